package rollout

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"crocuslug/configuration"
	"crocuslug/distribution"
	"crocuslug/ident"
	"crocuslug/intent"
	"crocuslug/plan"
	"crocuslug/revision"
	"crocuslug/standinkeyvalue"
	"crocuslug/timer"
)

// fleet is a set of instances that share one key-value store and call each other
// in memory.
type fleet struct {
	t           *testing.T
	ctx         context.Context
	timer       *timer.Service
	store       *standinkeyvalue.Store
	revisions   *revision.Store
	members     []distribution.Member
	mu          sync.Mutex
	stop        map[ident.Instance]context.CancelFunc
	rollouts    map[ident.Instance]*Rollout
	unreachable map[ident.Instance]bool
	published   map[ident.Instance][]ident.Revision
}

// revisionsBeforeOutage is the number of revisions before the outage. It is larger
// than the number of revisions from which a difference can be sent.
const revisionsBeforeOutage = 10

var errUnreachable = errors.New("instance is unreachable")

func newFleet(ctx context.Context, t *testing.T, members ...distribution.Member) *fleet {
	f := &fleet{
		t: t, ctx: ctx, timer: timer.New(), members: members,
		rollouts:    make(map[ident.Instance]*Rollout),
		unreachable: make(map[ident.Instance]bool),
		published:   make(map[ident.Instance][]ident.Revision),
	}
	f.stop = make(map[ident.Instance]context.CancelFunc)
	go f.timer.Run(ctx)
	f.store = standinkeyvalue.New(f.timer)
	f.revisions = f.newRevisionStore()
	for _, m := range members {
		f.start(m)
	}
	return f
}

func (f *fleet) newRevisionStore() *revision.Store {
	return revision.New(f.store.Port(), f.timer.Now, revision.Settings{})
}

// peer returns an instance, or nil if it is unreachable.
func (f *fleet) peer(name ident.Instance) *Rollout {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable[name] {
		return nil
	}
	return f.rollouts[name]
}

func (f *fleet) setUnreachable(name ident.Instance, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[name] = down
}

// start runs an instance and stops the earlier one of the same name, if any.
func (f *fleet) start(m distribution.Member) {
	revisions := f.newRevisionStore()
	deps := Dependencies{
		Head: revisions.Head, Load: revisions.Load, Watch: f.store.Watch,
		Notify: func(to ident.Instance, n distribution.Notice) {
			if r := f.peer(to); r != nil {
				go r.HandleNotice(m.Instance, n)
			}
		},
		Pull: func(_ context.Context, to ident.Instance, a PageRequest) (Page, error) {
			if r := f.peer(to); r != nil {
				return r.AnswerPull(a)
			}
			return Page{}, errUnreachable
		},
		Report: func(_ context.Context, to ident.Instance) (Report, error) {
			if r := f.peer(to); r != nil {
				return r.Report(), nil
			}
			return Report{}, errUnreachable
		},
	}
	changed := func(doc *configuration.Document) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.published[m.Instance] = append(f.published[m.Instance], doc.Revision)
	}
	r := New(m, uint64(len(f.rollouts)+1), f.timer, deps, changed, Settings{PageBytes: 512})
	r.SetMembers(f.members)
	f.mu.Lock()
	defer f.mu.Unlock()
	if stop := f.stop[m.Instance]; stop != nil {
		stop()
	}
	f.rollouts[m.Instance] = r
	f.published[m.Instance] = nil
	ctx, stop := context.WithCancel(f.ctx)
	f.stop[m.Instance] = stop
	go r.Run(ctx)
}

func (f *fleet) confirm(at ident.Instance, limit int) {
	base, err := f.revisions.NewestDocument(f.ctx)
	if err != nil {
		f.t.Fatal(err)
	}
	in := intent.Intent{Author: "ama"}
	for i := range 100 { // more parts than a notice may contain
		name := ident.Workspace(fmt.Sprintf("workspace-%d", i))
		in.Set.Workspaces = append(in.Set.Workspaces, configuration.Workspace{Name: name, MaxConcurrent: limit})
	}
	p, problems := plan.Make(base, in, plan.Usage{})
	if len(problems) > 0 {
		f.t.Fatal(problems)
	}
	rec, err := f.revisions.Confirm(f.ctx, p, "ama")
	if err != nil {
		f.t.Fatal(err)
	}
	f.rollouts[at].HandleConfirmed(rec)
}

func (f *fleet) wantRevision(rev ident.Revision) {
	f.t.Helper()
	for name, r := range f.rollouts {
		if got := r.Current().Revision; got != rev {
			f.t.Errorf("%s: got revision %d in force, want %d", name, got, rev)
		}
	}
}

// TestRevisionsReachAllInstances confirms revisions before and after an outage of
// the key-value service, during which one instance restarts and another becomes
// unreachable. It requires that revisions reach all instances and only increase.
func TestRevisionsReachAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		f := newFleet(ctx, t,
			distribution.Member{Instance: "a1", Domain: "A"}, distribution.Member{Instance: "a2", Domain: "A"},
			distribution.Member{Instance: "a3", Domain: "A"}, distribution.Member{Instance: "a4", Domain: "A"},
			distribution.Member{Instance: "b1", Domain: "B"}, distribution.Member{Instance: "b2", Domain: "B"},
			distribution.Member{Instance: "b3", Domain: "B"})
		for i := range revisionsBeforeOutage {
			f.confirm("a4", i+1)
			time.Sleep(2 * time.Second)
			f.wantRevision(ident.Revision(i + 1))
		}

		f.store.SetFaults(standinkeyvalue.Faults{Outage: true})
		time.Sleep(time.Minute)
		f.wantRevision(revisionsBeforeOutage)
		f.start(distribution.Member{Instance: "b3", Domain: "B"})
		time.Sleep(3 * time.Second)
		f.wantRevision(revisionsBeforeOutage)
		f.setUnreachable("a2", true)
		unanswered, cutOff := 0, 0
		for _, r := range f.rollouts["b1"].Status(ctx) {
			if !r.Answered {
				unanswered++
			}
			if r.CutOff {
				cutOff++
			}
		}
		if unanswered != 1 || cutOff != 6 {
			t.Errorf("instances: got %d that did not answer and %d cut off, want 1 and 6", unanswered, cutOff)
		}

		f.setUnreachable("a2", false)
		f.store.SetFaults(standinkeyvalue.Faults{})
		f.confirm("b2", 99)
		time.Sleep(4 * time.Second)
		f.wantRevision(revisionsBeforeOutage + 1)
		f.mu.Lock()
		defer f.mu.Unlock()
		for name, revisions := range f.published {
			for i := 1; i < len(revisions); i++ {
				if revisions[i] <= revisions[i-1] {
					t.Errorf("%s: got revisions %v in force, want rising ones", name, revisions)
				}
			}
		}
	})
}

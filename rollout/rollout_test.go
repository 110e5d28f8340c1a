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

// fleet is a set of instances over one store, linked in memory.
type fleet struct {
	t       *testing.T
	ctx     context.Context
	timer   *timer.Service
	store   *standinkeyvalue.Store
	ledger  *revision.Store
	members []distribution.Member
	mu      sync.Mutex
	stop    map[ident.Instance]context.CancelFunc
	all     map[ident.Instance]*Rollout
	down    map[ident.Instance]bool
	orders  map[ident.Instance][]ident.Revision
}

// first is the number of revisions before the outage, above those from which a
// difference is offered.
const first = 10

var errDown = errors.New("out of reach")

func newFleet(ctx context.Context, t *testing.T, members ...distribution.Member) *fleet {
	f := &fleet{
		t: t, ctx: ctx, timer: timer.New(), members: members,
		all:    make(map[ident.Instance]*Rollout),
		down:   make(map[ident.Instance]bool),
		orders: make(map[ident.Instance][]ident.Revision),
	}
	f.stop = make(map[ident.Instance]context.CancelFunc)
	go f.timer.Run(ctx)
	f.store = standinkeyvalue.New(f.timer)
	f.ledger = f.newLedger()
	for _, m := range members {
		f.start(m)
	}
	return f
}

func (f *fleet) newLedger() *revision.Store {
	return revision.New(f.store.Port(), f.timer.Now, revision.Settings{})
}

// peer returns a live instance, or nil if it is out of reach.
func (f *fleet) peer(name ident.Instance) *Rollout {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[name] {
		return nil
	}
	return f.all[name]
}

func (f *fleet) setDown(name ident.Instance, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[name] = down
}

// start runs an instance in place of one of the same name.
func (f *fleet) start(m distribution.Member) {
	l := f.newLedger()
	ports := Ports{
		Head: l.Head, Load: l.Load, Watch: f.store.Watch,
		Notify: func(to ident.Instance, n distribution.Notice) {
			if r := f.peer(to); r != nil {
				go r.Received(m.Instance, n)
			}
		},
		Pull: func(_ context.Context, to ident.Instance, a PageAsk) (Page, error) {
			if r := f.peer(to); r != nil {
				return r.Asked(a)
			}
			return Page{}, errDown
		},
		Report: func(_ context.Context, to ident.Instance) (Report, error) {
			if r := f.peer(to); r != nil {
				return r.Report(), nil
			}
			return Report{}, errDown
		},
	}
	changed := func(doc *configuration.Document) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.orders[m.Instance] = append(f.orders[m.Instance], doc.Revision)
	}
	r := New(m, uint64(len(f.all)+1), f.timer, ports, changed, Settings{PageBytes: 512})
	r.SetMembers(f.members)
	f.mu.Lock()
	defer f.mu.Unlock()
	if stop := f.stop[m.Instance]; stop != nil {
		stop()
	}
	f.all[m.Instance] = r
	f.orders[m.Instance] = nil
	ctx, stop := context.WithCancel(f.ctx)
	f.stop[m.Instance] = stop
	go r.Run(ctx)
}

func (f *fleet) confirm(at ident.Instance, limit int) {
	base, err := f.ledger.NewestDocument(f.ctx)
	if err != nil {
		f.t.Fatal(err)
	}
	in := intent.Intent{Author: "ama"}
	for i := range 100 { // more than a difference that is sent unasked
		name := ident.Workspace(fmt.Sprintf("workspace-%d", i))
		in.Set.Workspaces = append(in.Set.Workspaces, configuration.Workspace{Name: name, MaxConcurrent: limit})
	}
	p, problems := plan.Make(base, in, plan.Usage{})
	if len(problems) > 0 {
		f.t.Fatal(problems)
	}
	rec, err := f.ledger.Confirm(f.ctx, p, "ama")
	if err != nil {
		f.t.Fatal(err)
	}
	f.all[at].Accepted(rec)
}

func (f *fleet) want(rev ident.Revision) {
	f.t.Helper()
	for name, r := range f.all {
		if got := r.Current().Revision; got != rev {
			f.t.Errorf("%s: got revision %d in force, want %d", name, got, rev)
		}
	}
}

func TestFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		f := newFleet(ctx, t,
			distribution.Member{Instance: "a1", Domain: "A"}, distribution.Member{Instance: "a2", Domain: "A"},
			distribution.Member{Instance: "a3", Domain: "A"}, distribution.Member{Instance: "a4", Domain: "A"},
			distribution.Member{Instance: "b1", Domain: "B"}, distribution.Member{Instance: "b2", Domain: "B"},
			distribution.Member{Instance: "b3", Domain: "B"})
		for i := range first {
			f.confirm("a4", i+1)
			time.Sleep(2 * time.Second)
			f.want(ident.Revision(i + 1))
		}

		f.store.SetFaults(standinkeyvalue.Faults{Outage: true})
		time.Sleep(time.Minute)
		f.want(first)
		f.start(distribution.Member{Instance: "b3", Domain: "B"})
		time.Sleep(3 * time.Second)
		f.want(first)
		f.setDown("a2", true)
		silent, cutOff := 0, 0
		for _, r := range f.all["b1"].Status(ctx) {
			if !r.Answered {
				silent++
			}
			if r.CutOff {
				cutOff++
			}
		}
		if silent != 1 || cutOff != 6 {
			t.Errorf("got %d silent and %d cut off, want 1 and 6", silent, cutOff)
		}

		f.setDown("a2", false)
		f.store.SetFaults(standinkeyvalue.Faults{})
		f.confirm("b2", 99)
		time.Sleep(4 * time.Second)
		f.want(first + 1)
		f.mu.Lock()
		defer f.mu.Unlock()
		for name, revisions := range f.orders {
			for i := 1; i < len(revisions); i++ {
				if revisions[i] <= revisions[i-1] {
					t.Errorf("%s: got revisions %v in force, want rising ones", name, revisions)
				}
			}
		}
	})
}

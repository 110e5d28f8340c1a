package members

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"crocuslug/ident"
	"crocuslug/membership"
	"crocuslug/peerlink"
	"crocuslug/timer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) // gnet starts a pool when it is loaded
}

const waitLimit = 20 * time.Second

type instance struct {
	*Members
	link  *peerlink.Link
	lists atomic.Int32
	seen  atomic.Pointer[membership.View]
	cut   atomic.Pointer[ident.Instance] // what is sent to it is lost
}

var quick = membership.Settings{
	ProbePeriod:      200 * time.Millisecond,
	ProbeTimeout:     80 * time.Millisecond,
	PushInterval:     20 * time.Millisecond,
	SuspicionTimeout: 300 * time.Millisecond,
}

// start runs n instances of one domain that read the list if reads says so
// for their index, and otherwise know the first instance as their seed.
func start(t *testing.T, n int, reads func(i int) bool, change ...func(cfg *Settings)) []*instance {
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		clock.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	var all []*instance
	var list []membership.Member
	for i := range n {
		o := new(instance)
		self := membership.Member{Instance: ident.Instance(fmt.Sprintf("a.%d", i)), Incarnation: 1, Domain: "a", State: membership.Live}
		o.link = peerlink.New(peerlink.Settings{Instance: self.Instance, Domain: "a", Secret: []byte("s")}, clock, zerolog.Nop())
		o.link.Cut = func(to ident.Instance) bool {
			cut := o.cut.Load()
			return cut != nil && *cut == to
		}
		cfg := Settings{Self: self, Table: quick, Tick: 20 * time.Millisecond, ListInterval: 50 * time.Millisecond, Seeds: list[:min(i, 1)]}
		for _, f := range change {
			f(&cfg)
		}
		o.Members = New(cfg, o.link, clock, rand.New(rand.NewSource(int64(i))).Intn, zerolog.Nop())
		o.OnChange(func(v *membership.View) { o.seen.Store(v) })
		o.List = func(context.Context) ([]membership.Member, error) {
			o.lists.Add(1)
			if !reads(i) {
				return nil, errors.New("out of reach")
			}
			return list, nil
		}
		if err := o.link.Start(); err != nil {
			t.Fatal(err)
		}
		self.PeerAddress = o.link.Addr()
		list = append(list, self)
		all = append(all, o)
	}
	for _, o := range all {
		o.Start()
		t.Cleanup(o.link.Stop)
		t.Cleanup(o.Stop)
	}
	return all
}

// await waits until all of want believe that member has a state.
func await(t *testing.T, by []*instance, member ident.Instance, want membership.State) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for _, o := range by {
		for {
			m, ok := o.View().Find(member)
			if !ok {
				m.State = membership.Dead
			}
			if m.State == want {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s at %s: got %s, want %s", member, o.View().Self, m.State, want)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func TestMembersOverLinks(t *testing.T) {
	all := start(t, 5, func(int) bool { return true })
	for i := range all {
		await(t, all, ident.Instance(fmt.Sprintf("a.%d", i)), membership.Live)
	}
	cut := ident.Instance("a.2")
	all[1].cut.Store(&cut)
	for range 200 {
		if m, _ := all[3].View().Find("a.2"); m.State == "" {
			t.Fatal("a.2 after a cut of one direction: got dead, want live")
		}
		time.Sleep(5 * time.Millisecond)
	}
	all[1].cut.Store(nil)
	all[0].Announce(membership.Notice{Key: "upstream/1", Version: 1, Value: "leaving"})
	all[3].Leave()
	await(t, all, "a.3", membership.Leaving)
	for _, o := range all {
		for deadline := time.Now().Add(waitLimit); len(o.View().Notices) == 0; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("notice at %s: got none", o.View().Self)
			}
		}
	}
	all[4].link.Pause(true)
	await(t, all[:4], "a.4", membership.Dead)
	all[4].link.Pause(false)
	await(t, all[:4], "a.4", membership.Live)
	for _, o := range all {
		if got := o.seen.Load(); got == nil || len(got.Members) == 0 {
			t.Errorf("view that was reported at %s: got %v, want members", o.View().Self, got)
		}
	}
}

// TestFewReadTheList lets all but the first read the list in vain, so that they
// know each other by gossip from their seed alone.
func TestFewReadTheList(t *testing.T) {
	all := start(t, 5, func(i int) bool { return i == 0 }, func(cfg *Settings) { cfg.ListMember = time.Millisecond })
	for i := range all {
		await(t, all, ident.Instance(fmt.Sprintf("a.%d", i)), membership.Live)
	}
	before := all[4].lists.Load()
	first := all[0].lists.Load()
	for deadline := time.Now().Add(waitLimit); all[0].lists.Load() < first+5; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("reads by a.0: got %d, want %d", all[0].lists.Load(), first+5)
		}
	}
	if got := all[4].lists.Load(); got != before {
		t.Errorf("reads by a.4: got %d more, want none", got-before)
	}
}

// TestSeeds leaves the instance list out of reach of all.
// TestLongListIsReadSeldom has a list that may not be read again while the test runs.
func TestLongListIsReadSeldom(t *testing.T) {
	all := start(t, 3, func(int) bool { return true }, func(cfg *Settings) { cfg.ListMember = time.Hour })
	for _, o := range all {
		await(t, all, o.cfg.Self.Instance, membership.Live)
	}
	before := make([]int32, len(all))
	for i, o := range all {
		before[i] = o.lists.Load()
	}
	time.Sleep(10 * all[0].cfg.ListInterval)
	for i, o := range all {
		if got := o.lists.Load() - before[i]; got != 0 {
			t.Errorf("%s: got %d more reads of the list, want none", o.cfg.Self.Instance, got)
		}
	}
}

func TestSeeds(t *testing.T) {
	all := start(t, 3, func(int) bool { return false })
	for i := range all {
		await(t, all, ident.Instance(fmt.Sprintf("a.%d", i)), membership.Live)
	}
}

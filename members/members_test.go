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
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) // package gnet starts a goroutine pool on initialization
}

const waitLimit = 20 * time.Second

type instance struct {
	*Members
	link        *peerlink.Link
	listReads   atomic.Int32
	lastView    atomic.Pointer[membership.View]
	unreachable atomic.Pointer[ident.Instance] // messages sent to this instance are lost
}

var fastSettings = membership.Settings{
	ProbePeriod:      200 * time.Millisecond,
	ProbeTimeout:     80 * time.Millisecond,
	PushInterval:     20 * time.Millisecond,
	SuspicionTimeout: 300 * time.Millisecond,
}

// startInstances starts n instances of one domain. All but the first have the first as
// their seed. Instance i can read the list if reads(i) is true.
func startInstances(t *testing.T, n int, reads func(i int) bool, change ...func(cfg *Settings)) []*instance {
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
		o.link.DropTo = func(to ident.Instance) bool {
			cut := o.unreachable.Load()
			return cut != nil && *cut == to
		}
		cfg := Settings{Self: self, Table: fastSettings, TickInterval: 20 * time.Millisecond, ListInterval: 50 * time.Millisecond, Seeds: list[:min(i, 1)]}
		for _, f := range change {
			f(&cfg)
		}
		o.Members = New(cfg, o.link, clock, rand.New(rand.NewSource(int64(i))).Intn, zerolog.Nop())
		o.OnChange(func(v *membership.View) { o.lastView.Store(v) })
		o.ReadInstanceList = func(context.Context) ([]membership.Member, error) {
			o.listReads.Add(1)
			if !reads(i) {
				return nil, errors.New("instance list is unreachable")
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

// awaitState waits until all instances in by see member in the state want.
func awaitState(t *testing.T, by []*instance, member ident.Instance, want membership.State) {
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

// TestMembersOverLinks checks joining, loss of messages in one direction, notices,
// leaving and a pause over real links.
func TestMembersOverLinks(t *testing.T) {
	all := startInstances(t, 5, func(int) bool { return true })
	for i := range all {
		awaitState(t, all, ident.Instance(fmt.Sprintf("a.%d", i)), membership.Live)
	}
	cut := ident.Instance("a.2")
	all[1].unreachable.Store(&cut)
	for range 200 {
		if m, _ := all[3].View().Find("a.2"); m.State == "" {
			t.Fatal("a.2 after messages from one member to it are lost: got dead, want live")
		}
		time.Sleep(5 * time.Millisecond)
	}
	all[1].unreachable.Store(nil)
	all[0].Announce(membership.Notice{Key: "upstream/1", Version: 1, Value: "leaving"})
	all[3].Leave()
	awaitState(t, all, "a.3", membership.Leaving)
	for _, o := range all {
		for deadline := time.Now().Add(waitLimit); len(o.View().Notices) == 0; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("notice at %s: got none", o.View().Self)
			}
		}
	}
	all[4].link.Pause(true)
	awaitState(t, all[:4], "a.4", membership.Dead)
	all[4].link.Pause(false)
	awaitState(t, all[:4], "a.4", membership.Live)
	for _, o := range all {
		if got := o.lastView.Load(); got == nil || len(got.Members) == 0 {
			t.Errorf("view passed to OnChange at %s: got %v, want members", o.View().Self, got)
		}
	}
}

// TestFewMembersReadList lets only the first instance read the list. The others must learn
// of each other by gossip through their seed, and do not retry the list.
func TestFewMembersReadList(t *testing.T) {
	all := startInstances(t, 5, func(i int) bool { return i == 0 }, func(cfg *Settings) { cfg.ListIntervalPerMember = time.Millisecond })
	for i := range all {
		awaitState(t, all, ident.Instance(fmt.Sprintf("a.%d", i)), membership.Live)
	}
	before := all[4].listReads.Load()
	first := all[0].listReads.Load()
	for deadline := time.Now().Add(waitLimit); all[0].listReads.Load() < first+5; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("reads by a.0: got %d, want %d", all[0].listReads.Load(), first+5)
		}
	}
	if got := all[4].listReads.Load(); got != before {
		t.Errorf("reads by a.4: got %d more, want none", got-before)
	}
}

// TestLongListReadLessOften sets a pause per listed member that is longer than the
// test, so the list must not be read again.
func TestLongListReadLessOften(t *testing.T) {
	all := startInstances(t, 3, func(int) bool { return true }, func(cfg *Settings) { cfg.ListIntervalPerMember = time.Hour })
	for _, o := range all {
		awaitState(t, all, o.cfg.Self.Instance, membership.Live)
	}
	before := make([]int32, len(all))
	for i, o := range all {
		before[i] = o.listReads.Load()
	}
	time.Sleep(10 * all[0].cfg.ListInterval)
	for i, o := range all {
		if got := o.listReads.Load() - before[i]; got != 0 {
			t.Errorf("%s: got %d more reads of the list, want none", o.cfg.Self.Instance, got)
		}
	}
}

// TestSeeds makes the instance list unreachable for all instances, which must find
// each other through their seeds.
func TestSeeds(t *testing.T) {
	all := startInstances(t, 3, func(int) bool { return false })
	for i := range all {
		awaitState(t, all, ident.Instance(fmt.Sprintf("a.%d", i)), membership.Live)
	}
}

package lease

import (
	"flag"
	"os"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocuslug/store"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "4217"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// effect is an order that reaches an engine.
type effect struct {
	at      time.Time
	fencing store.Version
}

// service is the naive lease: at most one, held until it lapses.
type service struct {
	lease   store.Lease
	version store.Version
	lapses  time.Time
}

const (
	orderLimit = 3 * time.Second
	ttl        = defaultTTL
	longPause  = ttl // between the check of an order and its write
)

// TestOrdersKeepTheirOrder has holders that pause anywhere and lose answers,
// and requires that an engine never takes an order of an earlier holder after
// one of a later holder.
func TestOrdersKeepTheirOrder(t *testing.T) {
	effects := 0
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		s := &service{}
		hs := []*Holder{New(Settings{}), New(Settings{}), New(Settings{})}
		var ignoring, checking []effect
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 100, 500, 1000, 1900, 7900, 9000}).Draw(t, "advance")) * time.Millisecond)
			h := hs[rapid.IntRange(0, 2).Draw(t, "holder")]
			call := time.Duration(rapid.SampledFrom([]int{0, 0, 500, 4000}).Draw(t, "call")) * time.Millisecond
			if rapid.IntRange(0, 2).Draw(t, "cut off") > 0 {
				now = s.serve(h, now, call)
			}
			delay := rapid.SampledFrom([]time.Duration{0, orderLimit, orderLimit + longPause - time.Millisecond}).Draw(t, "delay")
			if h.MayOrder(now, orderLimit, false) {
				ignoring = append(ignoring, effect{now.Add(delay), h.Fencing()})
			}
			if h.MayOrder(now, orderLimit, true) {
				checking = append(checking, effect{now.Add(delay), h.Fencing()})
			}
			if h.Remaining(now) > 0 && (s.lease != h.Lease() || !now.Before(s.lapses)) {
				t.Fatalf("holder of lease %d relies on it after it lapsed", h.Lease())
			}
		}
		effects += len(ignoring) + len(checking)
		requireRising(t, ignoring)
		requireRising(t, fenced(checking))
	})
	if effects == 0 {
		t.Error("orders: got 0, want some")
	}
}

// serve carries out what h asks for and returns the time when it has the
// answer. The service acts at the start of the call.
func (s *service) serve(h *Holder, now time.Time, call time.Duration) time.Time {
	held := s.lease != 0 && now.Before(s.lapses)
	end := now.Add(call)
	switch h.Next(now) {
	case Acquire:
		if held {
			h.Failed(end)
			return end
		}
		s.version++
		s.lease = store.Lease(s.version)
		s.lapses = now.Add(ttl)
		h.Acquired(s.lease, s.version, now, end)
	case Renew:
		if !held || s.lease != h.Lease() {
			h.Lost(end)
			return end
		}
		s.lapses = now.Add(ttl)
		h.Renewed(now)
	}
	return end
}

// fenced returns what an engine that checks fencing numbers takes.
func fenced(es []effect) []effect {
	sort.SliceStable(es, func(i, j int) bool { return es[i].at.Before(es[j].at) })
	var out []effect
	for _, e := range es {
		if len(out) == 0 || e.fencing >= out[len(out)-1].fencing {
			out = append(out, e)
		}
	}
	return out
}

func requireRising(t *rapid.T, es []effect) {
	sort.SliceStable(es, func(i, j int) bool { return es[i].at.Before(es[j].at) })
	for i := 1; i < len(es); i++ {
		if got, want := es[i].fencing, es[i-1].fencing; got < want {
			t.Fatalf("order at %v: got fencing number %d, want at least %d", es[i].at, got, want)
		}
	}
}

// TestOrderEndsBeforeNextHolderOrders takes the longest pause at every time of
// a lease, against the earliest order of the next holder.
func TestOrderEndsBeforeNextHolderOrders(t *testing.T) {
	start := time.Unix(0, 0)
	h := New(Settings{Wait: 1})
	h.Acquired(1, 1, start, start)
	next := New(Settings{})
	lapses := start.Add(ttl)
	next.Acquired(2, 2, lapses, lapses)
	earliest := lapses
	for !next.MayOrder(earliest, orderLimit, false) {
		earliest = earliest.Add(10 * time.Millisecond)
		next.Renewed(earliest)
	}
	for at := start; at.Before(lapses); at = at.Add(10 * time.Millisecond) {
		if !h.MayOrder(at, orderLimit, false) {
			continue
		}
		if got := at.Add(orderLimit + longPause); got.After(earliest) {
			t.Errorf("order given at %v: got its end at %v, want none after %v", at, got, earliest)
		}
	}
}

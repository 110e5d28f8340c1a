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

// deliveredOrder is an order that reached an engine.
type deliveredOrder struct {
	at      time.Time
	fencing store.Version
}

// service is a reference implementation of the lease service: at most one lease
// exists, until it expires.
type service struct {
	lease   store.Lease
	version store.Version
	expires time.Time
}

const (
	orderLimit = 3 * time.Second
	ttl        = defaultTTL
	longPause  = ttl // longest pause between the check of an order and its write
)

// TestNoOrderOfEarlierHolderAfterLaterOne lets holders pause anywhere and lose
// answers, and requires that an engine never accepts an order of an earlier
// holder after one of a later holder.
func TestNoOrderOfEarlierHolderAfterLaterOne(t *testing.T) {
	orders := 0
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		s := &service{}
		hs := []*Holder{New(Settings{}), New(Settings{}), New(Settings{})}
		var ignoring, checking []deliveredOrder
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 100, 500, 1000, 1900, 7900, 9000}).Draw(t, "advance")) * time.Millisecond)
			h := hs[rapid.IntRange(0, 2).Draw(t, "holder")]
			call := time.Duration(rapid.SampledFrom([]int{0, 0, 500, 4000}).Draw(t, "call")) * time.Millisecond
			if rapid.IntRange(0, 2).Draw(t, "cut off") > 0 {
				now = s.serve(h, now, call)
			}
			delay := rapid.SampledFrom([]time.Duration{0, orderLimit, orderLimit + longPause - time.Millisecond}).Draw(t, "delay")
			if h.MayOrder(now, orderLimit, false) {
				ignoring = append(ignoring, deliveredOrder{now.Add(delay), h.Fencing()})
			}
			if h.MayOrder(now, orderLimit, true) {
				checking = append(checking, deliveredOrder{now.Add(delay), h.Fencing()})
			}
			if h.Remaining(now) > 0 && (s.lease != h.Lease() || !now.Before(s.expires)) {
				t.Fatalf("holder relies on lease %d after it expired", h.Lease())
			}
		}
		orders += len(ignoring) + len(checking)
		requireNonDecreasing(t, ignoring)
		requireNonDecreasing(t, acceptedOrders(checking))
	})
	if orders == 0 {
		t.Error("orders: got 0, want some")
	}
}

// serve performs the action that h asks for and returns the time at which h
// receives the answer. The service acts at the start of the call.
func (s *service) serve(h *Holder, now time.Time, call time.Duration) time.Time {
	granted := s.lease != 0 && now.Before(s.expires)
	end := now.Add(call)
	switch h.NextAction(now) {
	case Acquire:
		if granted {
			h.Failed(end)
			return end
		}
		s.version++
		s.lease = store.Lease(s.version)
		s.expires = now.Add(ttl)
		h.Acquired(s.lease, s.version, now, end)
	case Renew:
		if !granted || s.lease != h.Lease() {
			h.Lost(end)
			return end
		}
		s.expires = now.Add(ttl)
		h.Renewed(now)
	}
	return end
}

// acceptedOrders returns the orders that an engine accepts that checks fencing
// numbers.
func acceptedOrders(es []deliveredOrder) []deliveredOrder {
	sort.SliceStable(es, func(i, j int) bool { return es[i].at.Before(es[j].at) })
	var out []deliveredOrder
	for _, e := range es {
		if len(out) == 0 || e.fencing >= out[len(out)-1].fencing {
			out = append(out, e)
		}
	}
	return out
}

func requireNonDecreasing(t *rapid.T, es []deliveredOrder) {
	sort.SliceStable(es, func(i, j int) bool { return es[i].at.Before(es[j].at) })
	for i := 1; i < len(es); i++ {
		if got, want := es[i].fencing, es[i-1].fencing; got < want {
			t.Fatalf("order at %v: got fencing number %d, want at least %d", es[i].at, got, want)
		}
	}
}

// TestOrderEndsBeforeNextHolderOrders pauses a holder as long as possible at
// every time of its lease, and requires that its order ends before the earliest
// order of the next holder.
func TestOrderEndsBeforeNextHolderOrders(t *testing.T) {
	start := time.Unix(0, 0)
	h := New(Settings{TakeoverDelay: 1})
	h.Acquired(1, 1, start, start)
	next := New(Settings{})
	expires := start.Add(ttl)
	next.Acquired(2, 2, expires, expires)
	earliest := expires
	for !next.MayOrder(earliest, orderLimit, false) {
		earliest = earliest.Add(10 * time.Millisecond)
		next.Renewed(earliest)
	}
	for at := start; at.Before(expires); at = at.Add(10 * time.Millisecond) {
		if !h.MayOrder(at, orderLimit, false) {
			continue
		}
		if got := at.Add(orderLimit + longPause); got.After(earliest) {
			t.Errorf("end of the order sent at %v: got %v, want at most %v", at, got, earliest)
		}
	}
}

package line

import (
	"context"
	"slices"
	"testing"
	"time"

	"crocuslug/admission"
	"crocuslug/ident"
	"crocuslug/result"
)

var start = time.Unix(1000, 0)

// testQueue is a Queue with a given number of free places.
type testQueue struct {
	*Queue
	free   int
	placed []ident.Generation
}

func newTestQueue() *testQueue {
	r := &testQueue{Queue: New(admission.Settings{}, func(ident.Workspace) admission.Limits { return admission.Limits{} })}
	r.Capacity = func(time.Time) (admission.Priority, bool) { return admission.Batch, r.free > 0 }
	r.TryPlace = func(t *Waiter, _ time.Time) bool {
		if t.Request == "nowhere" {
			return false
		}
		r.free--
		r.placed = append(r.placed, t.ID)
		r.Resolve(t, Outcome{})
		return true
	}
	return r
}

func (r *testQueue) enqueue(t *testing.T, id ident.Generation, request any) *Waiter {
	t.Helper()
	ticket, err := r.Enqueue(admission.Item{ID: id, Priority: admission.Normal, Cost: 1, Deadline: start.Add(time.Minute)}, request, start)
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

// TestGrant checks that free places go to waiting requests in order, and that a request that
// cannot be placed neither delays the others nor loses its position.
func TestGrant(t *testing.T) {
	r := newTestQueue()
	r.enqueue(t, "a", "nowhere")
	b := r.enqueue(t, "b", nil)
	r.enqueue(t, "c", nil)
	r.Grant(start)
	if len(r.placed) > 0 {
		t.Errorf("no free place: got %v placed, want none", r.placed)
	}
	r.free = 1
	r.Grant(start)
	if want := []ident.Generation{"b"}; !slices.Equal(r.placed, want) {
		t.Errorf("one free place: got %v, want %v", r.placed, want)
	}
	if v, ok := b.Poll(); !ok || v.Err != nil {
		t.Errorf("got outcome %v, %v, want one without error", v, ok)
	}
	r.free = 5
	r.Grant(start)
	if want := []ident.Generation{"b", "c"}; !slices.Equal(r.placed, want) {
		t.Errorf("five free places: got %v, want %v", r.placed, want)
	}
	if n, _ := r.Admission.Len(); n != 1 || len(r.Waiters()) != 1 {
		t.Errorf("got %d queued and %d waiters, want only a", n, len(r.Waiters()))
	}
}

// TestWait checks that a request whose caller disconnects is removed from the queue, and that
// a request whose deadline has passed is refused.
func TestWait(t *testing.T) {
	r := newTestQueue()
	a, b := r.enqueue(t, "a", nil), r.enqueue(t, "b", nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if v := r.Wait(ctx, a); v.Err == nil || v.Err.Code != result.GenerationCancelled {
		t.Errorf("caller disconnected: got %v, want GenerationCancelled", v.Err)
	}
	r.Expire(start.Add(2 * time.Minute))
	if v := r.Wait(context.Background(), b); v.Err == nil || v.Err.Code != result.DeadlineInfeasible {
		t.Errorf("deadline passed: got %v, want DeadlineInfeasible", v.Err)
	}
	r.free = 5
	r.Grant(start)
	if len(r.placed) > 0 || len(r.Waiters()) > 0 {
		t.Errorf("got %v placed and %d waiters, want none", r.placed, len(r.Waiters()))
	}
}

// TestConflict checks that a second request with the id of a waiting one is refused and the
// first one keeps its position.
func TestConflict(t *testing.T) {
	r := newTestQueue()
	first := r.enqueue(t, "a", nil)
	_, err := r.Enqueue(admission.Item{ID: "a", Priority: admission.Normal, Cost: 1}, nil, start)
	if err == nil || err.Code != result.RequestConflict {
		t.Errorf("second: got %v, want RequestConflict", err)
	}
	r.free = 1
	r.Grant(start)
	if v, ok := first.Poll(); !ok || v.Err != nil {
		t.Errorf("first: got outcome %v, %v, want it to be placed", v, ok)
	}
}

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

// room is a line before a number of places.
type room struct {
	*Line
	free   int
	placed []ident.Generation
}

func newRoom() *room {
	r := &room{Line: New(admission.Settings{}, func(ident.Workspace) admission.Limits { return admission.Limits{} })}
	r.Capacity = func(time.Time) (admission.Priority, bool) { return admission.Batch, r.free > 0 }
	r.Place = func(t *Ticket, _ time.Time) bool {
		if t.Request == "nowhere" {
			return false
		}
		r.free--
		r.placed = append(r.placed, t.ID)
		r.Answer(t, Verdict{})
		return true
	}
	return r
}

func (r *room) offer(t *testing.T, id ident.Generation, request any) *Ticket {
	t.Helper()
	ticket, err := r.Offer(admission.Item{ID: id, Priority: admission.Normal, Cost: 1, Deadline: start.Add(time.Minute)}, request, start)
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

// TestPump holds that places go to those that wait in their order, and that one
// for which there is none does not hold up the others and keeps its turn.
func TestPump(t *testing.T) {
	r := newRoom()
	r.offer(t, "a", "nowhere")
	b := r.offer(t, "b", nil)
	r.offer(t, "c", nil)
	r.Pump(start)
	if len(r.placed) > 0 {
		t.Errorf("no place: got %v placed, want none", r.placed)
	}
	r.free = 1
	r.Pump(start)
	if want := []ident.Generation{"b"}; !slices.Equal(r.placed, want) {
		t.Errorf("one place: got %v, want %v", r.placed, want)
	}
	if v, ok := b.Verdict(); !ok || v.Err != nil {
		t.Errorf("got verdict %v, %v, want one without error", v, ok)
	}
	r.free = 5
	r.Pump(start)
	if want := []ident.Generation{"b", "c"}; !slices.Equal(r.placed, want) {
		t.Errorf("places: got %v, want %v", r.placed, want)
	}
	if n, _ := r.Queue.Len(); n != 1 || len(r.Tickets()) != 1 {
		t.Errorf("got %d that wait and %d tickets, want a alone", n, len(r.Tickets()))
	}
}

// TestAwait holds that a caller who leaves gives its turn up, and that one whose
// time is over is answered.
func TestAwait(t *testing.T) {
	r := newRoom()
	a, b := r.offer(t, "a", nil), r.offer(t, "b", nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if v := r.Await(ctx, a); v.Err == nil || v.Err.Code != result.GenerationCancelled {
		t.Errorf("caller left: got %v, want GenerationCancelled", v.Err)
	}
	r.Expire(start.Add(2 * time.Minute))
	if v := r.Await(context.Background(), b); v.Err == nil || v.Err.Code != result.DeadlineInfeasible {
		t.Errorf("time over: got %v, want DeadlineInfeasible", v.Err)
	}
	r.free = 5
	r.Pump(start)
	if len(r.placed) > 0 || len(r.Tickets()) > 0 {
		t.Errorf("got %v placed and %d tickets, want none", r.placed, len(r.Tickets()))
	}
}

// TestConflict holds that a second request under a name that waits is refused,
// and the first keeps its turn.
func TestConflict(t *testing.T) {
	r := newRoom()
	first := r.offer(t, "a", nil)
	_, err := r.Offer(admission.Item{ID: "a", Priority: admission.Normal, Cost: 1}, nil, start)
	if err == nil || err.Code != result.RequestConflict {
		t.Errorf("second: got %v, want RequestConflict", err)
	}
	r.free = 1
	r.Pump(start)
	if v, ok := first.Verdict(); !ok || v.Err != nil {
		t.Errorf("first: got verdict %v, %v, want a place", v, ok)
	}
}

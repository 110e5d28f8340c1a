package daemon

import (
	"sync"
	"time"

	"crocuslug/ident"
)

// reservation is an engine slot that is counted as used by a generation.
type reservation struct {
	upstream ident.Upstream
	instance ident.Instance // instance of another failure domain that counts it, or "" if this one does
	at       time.Time
}

// reservations holds engine slots by the generation that uses them. It is safe for concurrent
// use.
type reservations struct {
	mu           sync.Mutex
	byGeneration map[ident.Generation]reservation
}

func newReservations() *reservations {
	return &reservations{byGeneration: make(map[ident.Generation]reservation)}
}

func (r *reservations) put(id ident.Generation, v reservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byGeneration[id] = v
}

// take removes and returns the reservation of a generation. It returns false if there is none.
func (r *reservations) take(id ident.Generation) (reservation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.byGeneration[id]
	delete(r.byGeneration, id)
	return v, ok
}

// expire removes and returns the reservations older than limit.
func (r *reservations) expire(now time.Time, limit time.Duration) map[ident.Generation]reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[ident.Generation]reservation)
	for id, v := range r.byGeneration {
		if now.Sub(v.at) > limit {
			delete(r.byGeneration, id)
			out[id] = v
		}
	}
	return out
}

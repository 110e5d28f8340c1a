package daemon

import (
	"sync"
	"time"

	"crocuslug/ident"
)

// reservation is an engine that is counted as busy for a generation.
type reservation struct {
	upstream ident.Upstream
	instance ident.Instance // instance of another failure domain that counts it, or ""
	at       time.Time
}

// reservations are kept from the grant until the engine is taken.
type reservations struct {
	mu   sync.Mutex
	held map[ident.Generation]reservation
}

func newReservations() *reservations {
	return &reservations{held: make(map[ident.Generation]reservation)}
}

func (r *reservations) put(id ident.Generation, v reservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[id] = v
}

func (r *reservations) take(id ident.Generation) (reservation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.held[id]
	delete(r.held, id)
	return v, ok
}

// expire removes and returns those older than limit.
func (r *reservations) expire(now time.Time, limit time.Duration) map[ident.Generation]reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[ident.Generation]reservation)
	for id, v := range r.held {
		if now.Sub(v.at) > limit {
			delete(r.held, id)
			out[id] = v
		}
	}
	return out
}

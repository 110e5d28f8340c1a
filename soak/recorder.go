package soak

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"crocuslug/ident"
	"crocuslug/nativewire"
)

// recorder counts the runs of requests. Upstreams report each run to it before they begin, and say of
// themselves what it answers with.
type recorder struct {
	listener net.Listener
	clock    clock

	mu       sync.Mutex
	runs     map[string]int
	arrivals map[string][]time.Time // by upstream id
	turned   map[string][]time.Time // arrivals that were turned away, by upstream id
	address  map[string]string      // registered addresses by upstream id
	says     map[string]statement   // by upstream id
}

// statement is what an upstream says of itself in its answers. Empty fields mean nothing.
type statement struct {
	limit, rest, leaving string
}

func newRecorder(c clock) (*recorder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &recorder{listener: l, clock: c, runs: make(map[string]int), arrivals: make(map[string][]time.Time), turned: make(map[string][]time.Time), address: make(map[string]string), says: make(map[string]statement)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		defer r.mu.Unlock()
		q := req.URL.Query()
		u := q.Get("upstream")
		r.address[u] = q.Get("address")
		says := r.says[u]
		for field, value := range map[string]string{nativewire.LimitField: says.limit, nativewire.RestField: says.rest, nativewire.LeavingField: says.leaving} {
			if value != "" {
				w.Header().Set(field, value)
			}
		}
		if says.rest != "" {
			r.turned[u] = append(r.turned[u], r.clock.Now())
			return
		}
		r.runs[q.Get("id")]++
		r.arrivals[u] = append(r.arrivals[u], r.clock.Now())
	})
	go func() { _ = http.Serve(l, mux) }() // returns after close
	return r, nil
}

func (r *recorder) addr() string { return r.listener.Addr().String() }

func (r *recorder) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// setStatement sets what an upstream says of itself from now on.
func (r *recorder) setStatement(upstream string, says statement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.says[upstream] = says
}

// mostTurnedAway returns the largest number of requests that an upstream turned away between two times
// after one that it turned away.
func (r *recorder) mostTurnedAway(upstream string, from, to time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := 0
	for _, at := range r.turned[upstream] {
		n := 0
		for _, other := range r.turned[upstream] {
			if since := other.Sub(at); since > from && since < to {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// afterSaid returns the number of runs of an upstream that began later than a limit after the first one since
// a time. The answer to that one is the first to say what was set at that time.
func (r *recorder) afterSaid(upstream string, set time.Time, limit time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var first time.Time
	n := 0
	for _, at := range r.arrivals[upstream] {
		switch {
		case !at.After(set):
		case first.IsZero():
			first = at
		case at.Sub(first) > limit:
			n++
		}
	}
	return n
}

// addressOf returns the address that an upstream registers.
func (r *recorder) addressOf(upstream string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address[upstream]
}

// running returns the upstreams of a service that have run a request since a time, sorted.
func (r *recorder) running(service ident.Service, since time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for u, at := range r.arrivals {
		if strings.HasPrefix(u, string(service)+"-") && at[len(at)-1].After(since) {
			out = append(out, u)
		}
	}
	slices.Sort(out)
	return out
}

// most returns the largest number of runs of an upstream in a window that begins at or after a time.
func (r *recorder) most(upstream string, from time.Time, window time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.arrivals[upstream]
	most := 0
	for i := range at {
		n := 0
		for n < len(at)-i && at[i+n].Sub(at[i]) <= window {
			n++
		}
		if !at[i].Before(from) {
			most = max(most, n)
		}
	}
	return most
}

func (r *recorder) close() { _ = r.listener.Close() }

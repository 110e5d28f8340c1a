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

// recorder counts the runs of requests. Upstreams report each run to it before they begin, and name
// the limit that it answers with.
type recorder struct {
	listener net.Listener
	clock    clock

	mu       sync.Mutex
	runs     map[string]int
	arrivals map[string][]time.Time // by upstream id
	limits   map[string]string      // by upstream id
}

func newRecorder(c clock) (*recorder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &recorder{listener: l, clock: c, runs: make(map[string]int), arrivals: make(map[string][]time.Time), limits: make(map[string]string)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		defer r.mu.Unlock()
		q := req.URL.Query()
		u := q.Get("upstream")
		r.runs[q.Get("id")]++
		r.arrivals[u] = append(r.arrivals[u], r.clock.Now())
		if limit := r.limits[u]; limit != "" {
			w.Header().Set(nativewire.LimitField, limit)
		}
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

// setLimit sets the limit that an upstream names from now on. Empty means none.
func (r *recorder) setLimit(upstream, limit string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits[upstream] = limit
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

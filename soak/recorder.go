package soak

import (
	"net"
	"net/http"
	"sync"
)

// recorder counts the runs of requests. Upstreams report each run to it before they begin.
type recorder struct {
	listener net.Listener

	mu   sync.Mutex
	runs map[string]int
}

func newRecorder() (*recorder, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &recorder{listener: l, runs: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", func(_ http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runs[req.URL.Query().Get("id")]++
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

func (r *recorder) close() { _ = r.listener.Close() }

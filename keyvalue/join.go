package keyvalue

import (
	"context"
	"sync"

	"crocuslug/store"
)

// flight is one read on its way to the service for all who wait for it.
type flight struct {
	sent  bool // from then on nobody may join
	done  chan struct{}
	reply reply
	err   error
}

// joiner lets identical reads share a call. A read joins another only if that
// has not been sent yet: an answer to a call sent earlier may be older than a
// write that the caller knows of. At most one call per key is in progress and
// one waits behind it.
type joiner struct {
	mu      sync.Mutex
	flights map[string]*flight // newest by key
}

// read returns the reply that fetch gives for key. It reports whether the
// caller has joined a flight of another.
func (j *joiner) read(ctx context.Context, key string, fetch func(sent func()) (reply, error)) (r reply, joined bool, err error) {
	f, joined := j.board(key, fetch)
	select {
	case <-f.done:
		return f.reply, joined, f.err
	case <-ctx.Done():
		return reply{}, joined, store.Unavailable.Wrap(ctx.Err())
	}
}

// board returns a flight that has not been sent, of another or a new one.
func (j *joiner) board(key string, fetch func(sent func()) (reply, error)) (f *flight, joined bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	before := j.flights[key]
	if before != nil && !before.sent {
		return before, true
	}
	f = &flight{done: make(chan struct{})}
	j.flights[key] = f
	go j.fly(key, before, f, fetch)
	return f, false
}

func (j *joiner) fly(key string, before, f *flight, fetch func(sent func()) (reply, error)) {
	if before != nil {
		<-before.done
	}
	f.reply, f.err = fetch(func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		f.sent = true
	})
	j.mu.Lock()
	f.sent = true
	if j.flights[key] == f {
		delete(j.flights, key)
	}
	j.mu.Unlock()
	close(f.done)
}

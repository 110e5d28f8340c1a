package keyvalue

import (
	"context"
	"sync"

	"crocuslug/store"
)

// pendingRead is one call to the service that several identical reads may share.
type pendingRead struct {
	sent  bool          // the request was sent; no read may join any more
	done  chan struct{} // closed once reply and err are valid
	reply reply
	err   error
}

// coalescer lets identical reads share one call. A read joins a call only if that has not been
// sent yet, because the answer to a call sent earlier may be older than a write that the reader
// knows of. For each key at most one call is in progress and one waits for it to end.
type coalescer struct {
	mu      sync.Mutex
	pending map[string]*pendingRead // newest by key
}

// read returns the reply that fetch returns for key, and whether it shares the call of another
// read. fetch calls sent just before it sends the request.
func (j *coalescer) read(ctx context.Context, key string, fetch func(sent func()) (reply, error)) (r reply, joined bool, err error) {
	f, joined := j.joinOrStart(key, fetch)
	select {
	case <-f.done:
		return f.reply, joined, f.err
	case <-ctx.Done():
		return reply{}, joined, store.Unavailable.Wrap(ctx.Err())
	}
}

// joinOrStart returns a call that has not been sent yet: that of another read, or else a new one.
func (j *coalescer) joinOrStart(key string, fetch func(sent func()) (reply, error)) (f *pendingRead, joined bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	previous := j.pending[key]
	if previous != nil && !previous.sent {
		return previous, true
	}
	f = &pendingRead{done: make(chan struct{})}
	j.pending[key] = f
	go j.run(key, previous, f, fetch)
	return f, false
}

// run makes a call after the previous one with the same key has ended.
func (j *coalescer) run(key string, previous, f *pendingRead, fetch func(sent func()) (reply, error)) {
	if previous != nil {
		<-previous.done
	}
	f.reply, f.err = fetch(func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		f.sent = true
	})
	j.mu.Lock()
	f.sent = true
	if j.pending[key] == f {
		delete(j.pending, key)
	}
	j.mu.Unlock()
	close(f.done)
}

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
func (c *coalescer) read(ctx context.Context, key string, fetch func(sent func()) (reply, error)) (r reply, joined bool, err error) {
	p, joined := c.joinOrStart(key, fetch)
	select {
	case <-p.done:
		return p.reply, joined, p.err
	case <-ctx.Done():
		return reply{}, joined, store.Unavailable.Wrap(ctx.Err())
	}
}

// joinOrStart returns a call that has not been sent yet: that of another read, or else a new one.
func (c *coalescer) joinOrStart(key string, fetch func(sent func()) (reply, error)) (p *pendingRead, joined bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.pending[key]
	if previous != nil && !previous.sent {
		return previous, true
	}
	p = &pendingRead{done: make(chan struct{})}
	c.pending[key] = p
	go c.run(key, previous, p, fetch)
	return p, false
}

// run makes a call after the previous one with the same key has ended.
func (c *coalescer) run(key string, previous, p *pendingRead, fetch func(sent func()) (reply, error)) {
	if previous != nil {
		<-previous.done
	}
	p.reply, p.err = fetch(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		p.sent = true
	})
	c.mu.Lock()
	p.sent = true
	if c.pending[key] == p {
		delete(c.pending, key)
	}
	c.mu.Unlock()
	close(p.done)
}

package peerlink

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/sourcegraph/jsonrpc2"

	"crocuslug/ident"
	"crocuslug/result"
)

// maxSpareBytes bounds the write buffer that a connection keeps for reuse.
const maxSpareBytes = 256 << 10

// conn is one connection to a peer, from the start of dialing to its end.
type conn struct {
	link      *Link
	dials     bool
	handshake *handshake // used on the event loop only
	need      int        // bytes that the next frame takes; event loop only
	ready     chan struct{}
	done      chan struct{}
	lastHeard atomic.Int64 // nanoseconds
	lastSent  atomic.Int64 // nanoseconds
	lastUse   atomic.Int64 // nanoseconds
	busy      atomic.Int32 // calls in progress in both directions
	handling  atomic.Int32 // handlers that run for the peer
	mutedOut  atomic.Bool  // a cut has swallowed something: all that follows is lost
	mutedIn   atomic.Bool
	measuring atomic.Bool

	peer atomic.Pointer[ident.Instance]

	mu       sync.Mutex
	gc       gnet.Conn
	up       bool
	closed   bool
	cause    *result.Error
	pending  []byte // frames that wait for the write in progress
	inflight []byte // frames that are being written
	spare    []byte
	outbound int // bytes in the buffer of gnet when last seen
	writing  bool
	rpc      *jsonrpc2.Conn
	inbox    *inbox
}

func newConn(l *Link, dials bool, to ident.Instance) *conn {
	c := &conn{
		link:      l,
		dials:     dials,
		handshake: newHandshake(l.cfg, dials, to),
		need:      headerBytes,
		ready:     make(chan struct{}),
		done:      make(chan struct{}),
	}
	c.peer.Store(&to)
	now := l.timer.Now().UnixNano()
	c.lastHeard.Store(now)
	c.lastSent.Store(now)
	c.lastUse.Store(now)
	return c
}

// id returns the peer, or "" while an accepted connection has not named it.
func (c *conn) id() ident.Instance {
	return *c.peer.Load()
}

// enqueue queues a frame for the peer, or returns why it cannot be sent.
func (c *conn) enqueue(kind FrameKind, payload []byte) *result.Error {
	if len(payload) > c.link.cfg.MaxFrameBytes {
		return result.Newf(result.TooLarge, "frame of %d bytes exceeds %d", len(payload), c.link.cfg.MaxFrameBytes)
	}
	if c.cutOut() {
		return nil
	}
	if kind != kindLink {
		c.lastUse.Store(c.link.timer.Now().UnixNano())
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return unavailable(c.id(), "the connection is lost")
	}
	if c.queued()+headerBytes+len(payload) > c.link.cfg.MaxQueueBytes {
		gc := c.gc
		c.mu.Unlock()
		c.measure(gc)
		return result.Newf(result.Overloaded, "the queue to instance %s is full", c.id())
	}
	c.pending = appendFrame(c.pending, kind, payload)
	c.mu.Unlock()
	c.link.counts.sent(kind, headerBytes+len(payload))
	c.flush()
	return nil
}

func (c *conn) queued() int {
	return len(c.pending) + len(c.inflight) + c.outbound
}

// cutOut reports whether a cut swallows what goes to the peer.
func (c *conn) cutOut() bool {
	if c.mutedOut.Load() {
		return true
	}
	if cut := c.link.Cut; cut != nil && cut(c.id()) {
		c.mutedOut.Store(true)
		return true
	}
	return false
}

// cutIn reports whether a cut swallows what comes from the peer.
func (c *conn) cutIn() bool {
	if c.mutedIn.Load() {
		return true
	}
	if cut := c.link.CutFrom; cut != nil && cut(c.id()) {
		c.mutedIn.Store(true)
		return true
	}
	return false
}

// flush hands what is pending to the event loop unless a write is in progress.
func (c *conn) flush() {
	if c.link.gate.closed() {
		return
	}
	c.mu.Lock()
	if !c.up || c.closed || c.writing || len(c.pending) == 0 {
		c.mu.Unlock()
		return
	}
	c.writing = true
	c.inflight = c.pending
	c.pending = c.spare[:0]
	c.spare = nil
	gc := c.gc
	buf := c.inflight
	c.mu.Unlock()
	c.lastSent.Store(c.link.timer.Now().UnixNano())
	if err := gc.AsyncWrite(buf, c.written); err != nil {
		c.shut(unavailable(c.id(), err.Error()))
	}
}

// written accounts for a write that the event loop has taken.
func (c *conn) written(gc gnet.Conn, err error) error {
	outbound := 0
	if err == nil {
		outbound = gc.OutboundBuffered()
	}
	c.mu.Lock()
	if cap(c.inflight) <= maxSpareBytes {
		c.spare = c.inflight[:0]
	}
	c.inflight = nil
	c.outbound = outbound
	c.writing = false
	c.mu.Unlock()
	c.flush()
	return nil
}

// measure asks the event loop how much waits in the buffer of gnet.
func (c *conn) measure(gc gnet.Conn) {
	if gc == nil || !c.measuring.CompareAndSwap(false, true) {
		return
	}
	if err := gc.EventLoop().Execute(c.link.ctx, gnet.RunnableFunc(c.remeasure)); err != nil {
		c.measuring.Store(false)
	}
}

// shut ends the connection. Only the first call has an effect.
func (c *conn) shut(cause *result.Error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.cause = cause
	gc, rpc, box := c.gc, c.rpc, c.inbox
	c.mu.Unlock()
	close(c.done)
	c.link.remove(c, cause)
	if gc != nil {
		_ = gc.Close()
	}
	if box != nil {
		box.close()
		go func() { _ = rpc.Close() }()
	}
}

// reset ends the connection at once; what is queued is lost.
func (c *conn) reset() {
	c.mu.Lock()
	gc := c.gc
	c.mu.Unlock()
	if gc != nil {
		_ = gc.EventLoop().Execute(c.link.ctx, gnet.RunnableFunc(c.linger))
	}
	c.shut(unavailable(c.id(), "the link was reset"))
}

// check pings a quiet connection and gives a silent or unused one up.
func (c *conn) check(now time.Time, tick time.Duration) {
	cfg := c.link.cfg
	c.mu.Lock()
	open, up := c.gc != nil, c.up
	c.mu.Unlock()
	if !open {
		return
	}
	since := func(at *atomic.Int64) time.Duration { return time.Duration(now.UnixNano() - at.Load()) }
	unused := cfg.UnusedTimeout
	if !c.dials {
		unused *= 2
	}
	switch {
	case !up && since(&c.lastUse) > cfg.HandshakeTimeout:
		c.shut(unavailable(c.id(), "the handshake timed out"))
	case !up:
	case since(&c.lastHeard)+tick > cfg.IdleTimeout:
		c.shut(unavailable(c.id(), "the connection is silent"))
	case c.busy.Load() == 0 && since(&c.lastUse) > unused:
		c.shut(nil)
	case since(&c.lastSent)+tick > cfg.IdlePing:
		_ = c.enqueue(kindLink, nil)
	}
}

func unavailable(to ident.Instance, why string) *result.Error {
	return result.Newf(result.PeerUnavailable, "instance %s: %s", to, why)
}

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

// maxSpareBytes is the largest write buffer that a connection keeps for reuse.
const maxSpareBytes = 256 << 10

// conn is one connection to a peer, from the start of dialing until it is closed.
type conn struct {
	link             *Link
	dialed           bool          // this side has dialed
	handshake        *handshake    // used only on the event loop
	needBytes        int           // size of the next frame as far as known; used only on the event loop
	ready            chan struct{} // closed when the connection is established
	done             chan struct{} // closed when the connection is closed
	lastReceived     atomic.Int64  // in Unix nanoseconds, as the next two
	lastSent         atomic.Int64
	lastUsed         atomic.Int64 // last call or data frame; before that, the start of the handshake
	activeCalls      atomic.Int32 // calls in progress in both directions
	activeHandlers   atomic.Int32 // running handlers of calls from the peer
	droppingSent     atomic.Bool  // DropTo has dropped a message, so all later ones are dropped too
	droppingReceived atomic.Bool  // the same for DropFrom
	measuringBuffer  atomic.Bool  // an update of gnetBuffered is in progress

	peer atomic.Pointer[ident.Instance]

	mu           sync.Mutex
	gnetConn     gnet.Conn
	established  bool
	closed       bool
	cause        *result.Error // why it was closed; nil for an orderly close
	pending      []byte        // frames waiting for the write in progress to end
	inFlight     []byte        // frames being written
	spare        []byte        // buffer for reuse
	gnetBuffered int           // last known number of bytes in the buffer of gnet
	writing      bool
	rpc          *jsonrpc2.Conn // nil until established
	calls        *inbox         // nil until established
}

func newConn(l *Link, dialed bool, to ident.Instance) *conn {
	c := &conn{
		link:      l,
		dialed:    dialed,
		handshake: newHandshake(l.cfg, dialed, to),
		needBytes: headerBytes,
		ready:     make(chan struct{}),
		done:      make(chan struct{}),
	}
	c.peer.Store(&to)
	now := l.timer.Now().UnixNano()
	c.lastReceived.Store(now)
	c.lastSent.Store(now)
	c.lastUsed.Store(now)
	return c
}

// id returns the peer. It is "" for an accepted connection until the peer has sent
// its name.
func (c *conn) id() ident.Instance {
	return *c.peer.Load()
}

// enqueue queues a frame for the peer. It returns an error if the frame cannot be
// sent.
func (c *conn) enqueue(kind FrameKind, payload []byte) *result.Error {
	if len(payload) > c.link.cfg.MaxFrameBytes {
		return result.Newf(result.TooLarge, "frame payload of %d bytes exceeds the limit of %d", len(payload), c.link.cfg.MaxFrameBytes)
	}
	if c.dropsSent() {
		return nil
	}
	if kind != kindLink {
		c.lastUsed.Store(c.link.timer.Now().UnixNano())
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return unavailable(c.id(), "the connection is lost")
	}
	if c.queued()+headerBytes+len(payload) > c.link.cfg.MaxQueueBytes {
		gconn := c.gnetConn
		c.mu.Unlock()
		c.measureBuffer(gconn)
		return result.Newf(result.Overloaded, "the send queue to instance %s is full", c.id())
	}
	c.pending = appendFrame(c.pending, kind, payload)
	c.mu.Unlock()
	c.link.counts.addSent(kind, headerBytes+len(payload))
	c.flush()
	return nil
}

// queued returns the number of bytes that are waiting to be sent; c.mu is held.
func (c *conn) queued() int {
	return len(c.pending) + len(c.inFlight) + c.gnetBuffered
}

// dropsSent reports whether messages to the peer are dropped by Link.DropTo.
func (c *conn) dropsSent() bool {
	if c.droppingSent.Load() {
		return true
	}
	if cut := c.link.DropTo; cut != nil && cut(c.id()) {
		c.droppingSent.Store(true)
		return true
	}
	return false
}

// dropsReceived reports whether messages from the peer are dropped by Link.DropFrom.
func (c *conn) dropsReceived() bool {
	if c.droppingReceived.Load() {
		return true
	}
	if cut := c.link.DropFrom; cut != nil && cut(c.id()) {
		c.droppingReceived.Store(true)
		return true
	}
	return false
}

// flush passes the pending frames to the event loop unless a write is in progress.
func (c *conn) flush() {
	if c.link.gate.closed() {
		return
	}
	c.mu.Lock()
	if !c.established || c.closed || c.writing || len(c.pending) == 0 {
		c.mu.Unlock()
		return
	}
	c.writing = true
	c.inFlight = c.pending
	c.pending = c.spare[:0]
	c.spare = nil
	gconn := c.gnetConn
	buf := c.inFlight
	c.mu.Unlock()
	c.lastSent.Store(c.link.timer.Now().UnixNano())
	if err := gconn.AsyncWrite(buf, c.onWritten); err != nil {
		c.closeWith(unavailable(c.id(), err.Error()))
	}
}

// onWritten completes a write after the event loop has accepted its bytes.
func (c *conn) onWritten(gconn gnet.Conn, err error) error {
	outbound := 0
	if err == nil {
		outbound = gconn.OutboundBuffered()
	}
	c.mu.Lock()
	if cap(c.inFlight) <= maxSpareBytes {
		c.spare = c.inFlight[:0]
	}
	c.inFlight = nil
	c.gnetBuffered = outbound
	c.writing = false
	c.mu.Unlock()
	c.flush()
	return nil
}

// measureBuffer asks the event loop to update the number of bytes in the buffer of gnet.
func (c *conn) measureBuffer(gconn gnet.Conn) {
	if gconn == nil || !c.measuringBuffer.CompareAndSwap(false, true) {
		return
	}
	if err := gconn.EventLoop().Execute(c.link.ctx, gnet.RunnableFunc(c.updateBuffered)); err != nil {
		c.measuringBuffer.Store(false)
	}
}

// closeWith closes the connection for the given cause. A nil cause is an orderly close.
// Only the first call has an effect.
func (c *conn) closeWith(cause *result.Error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.cause = cause
	gconn, rpc, box := c.gnetConn, c.rpc, c.calls
	c.mu.Unlock()
	close(c.done)
	c.link.remove(c, cause)
	if gconn != nil {
		_ = gconn.Close()
	}
	if box != nil {
		box.close()
		go func() { _ = rpc.Close() }()
	}
}

// reset closes the connection with a TCP reset. Queued frames are lost.
func (c *conn) reset() {
	c.mu.Lock()
	gconn := c.gnetConn
	c.mu.Unlock()
	if gconn != nil {
		_ = gconn.EventLoop().Execute(c.link.ctx, gnet.RunnableFunc(c.setLinger))
	}
	c.closeWith(unavailable(c.id(), "the link was reset"))
}

// checkActivity pings the peer if nothing was sent for IdlePing and closes the
// connection if nothing was received for IdleTimeout or it was not used for
// UnusedTimeout. The accepting side waits twice as long for use as the dialing side.
func (c *conn) checkActivity(now time.Time, tick time.Duration) {
	cfg := c.link.cfg
	c.mu.Lock()
	opened, up := c.gnetConn != nil, c.established
	c.mu.Unlock()
	if !opened {
		return
	}
	since := func(at *atomic.Int64) time.Duration { return time.Duration(now.UnixNano() - at.Load()) }
	unused := cfg.UnusedTimeout
	if !c.dialed {
		unused *= 2
	}
	switch {
	case !up && since(&c.lastUsed) > cfg.HandshakeTimeout:
		c.closeWith(unavailable(c.id(), "the handshake timed out"))
	case !up:
	case since(&c.lastReceived)+tick > cfg.IdleTimeout:
		c.closeWith(unavailable(c.id(), "nothing was received on the connection within the idle timeout"))
	case c.activeCalls.Load() == 0 && since(&c.lastUsed) > unused:
		c.closeWith(nil)
	case since(&c.lastSent)+tick > cfg.IdlePing:
		_ = c.enqueue(kindLink, nil)
	}
}

// unavailable returns a PeerUnavailable error for instance to.
func unavailable(to ident.Instance, why string) *result.Error {
	return result.Newf(result.PeerUnavailable, "instance %s: %s", to, why)
}

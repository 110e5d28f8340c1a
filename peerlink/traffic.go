package peerlink

import (
	"context"

	"github.com/panjf2000/gnet/v2"

	"crocuslug/result"
)

// maxConns bounds the connections of a link in both directions.
const maxConns = 4096

// events receives the events of gnet for the accepting or the dialing side.
// Its methods run on an event loop.
type events struct {
	gnet.BuiltinEventEngine
	link *Link
	boot chan gnet.Engine
}

// OnBoot hands the engine to Start.
func (e *events) OnBoot(eng gnet.Engine) gnet.Action {
	if e.boot != nil {
		e.boot <- eng
	}
	return gnet.None
}

// OnOpen starts the handshake on a new connection.
func (e *events) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	c, dialed := gc.Context().(*conn)
	if !dialed {
		c = newConn(e.link, false, "")
		gc.SetContext(c)
	}
	if !dialed && !e.link.add(c) {
		return nil, gnet.Close
	}
	c.mu.Lock()
	c.gc = gc
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return nil, gnet.Close
	}
	now := e.link.timer.Now().UnixNano()
	c.lastHeard.Store(now)
	c.lastUse.Store(now)
	if !dialed || c.cutOut() {
		return nil, gnet.None
	}
	return c.linkFrame(encodeHello(c.handshake.self)), gnet.None
}

// OnClose forgets the connection.
func (e *events) OnClose(gc gnet.Conn, err error) gnet.Action {
	c, ok := gc.Context().(*conn)
	if !ok {
		return gnet.None
	}
	why := "the connection was closed"
	if err != nil {
		why = err.Error()
	}
	c.shut(unavailable(c.id(), why))
	return gnet.None
}

// OnTraffic handles the frames that have arrived.
func (e *events) OnTraffic(gc gnet.Conn) gnet.Action {
	e.link.gate.wait()
	c, ok := gc.Context().(*conn)
	if !ok || e.link.ctx.Err() != nil {
		return gnet.Close
	}
	if gc.InboundBuffered() < c.need {
		return gnet.None
	}
	buf, err := gc.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	used, failure := c.take(gc, buf)
	if failure != nil {
		c.shut(failure)
		return gnet.Close
	}
	if used > 0 {
		_, _ = gc.Discard(used)
	}
	return gnet.None
}

// take handles the complete frames of buf and returns the bytes that it used.
func (c *conn) take(gc gnet.Conn, buf []byte) (int, *result.Error) {
	now := c.link.timer.Now().UnixNano()
	used := 0
	for {
		limit := c.link.cfg.MaxFrameBytes
		if !c.up {
			limit = maxHandshakeBytes
		}
		kind, payload, size, err := decodeFrame(buf[used:], limit)
		if err != nil {
			return used, err
		}
		c.need = size
		if size > len(buf)-used {
			return used, nil
		}
		used += size
		if err := c.receive(gc, kind, payload, now); err != nil {
			return used, err
		}
	}
}

func (c *conn) receive(gc gnet.Conn, kind FrameKind, payload []byte, now int64) *result.Error {
	if !c.up {
		return c.shake(gc, kind, payload)
	}
	if c.cutIn() {
		return nil
	}
	c.lastHeard.Store(now)
	c.link.counts.received(kind, headerBytes+len(payload))
	if kind == kindLink {
		return nil
	}
	c.lastUse.Store(now)
	if kind == kindCall {
		return c.inbox.push(payload, c.link.cfg.MaxQueueBytes)
	}
	h := c.link.frames[kind]
	if h == nil {
		return result.Newf(result.Malformed, "frame of unknown kind %d", kind)
	}
	h(c.id(), payload)
	return nil
}

// shake takes one message of the handshake.
func (c *conn) shake(gc gnet.Conn, kind FrameKind, payload []byte) *result.Error {
	if kind != kindLink || len(payload) == 0 {
		return result.New(result.Unauthorized, "frame before the end of the handshake")
	}
	answer, complete, err := c.handshake.receive(payload)
	if err != nil {
		return err
	}
	c.peer.Store(&c.handshake.peer.Instance)
	if c.cutIn() {
		return nil
	}
	c.link.counts.received(kind, headerBytes+len(payload))
	if len(answer) > 0 && !c.cutOut() {
		if _, err := gc.Write(c.linkFrame(answer)); err != nil {
			return unavailable(c.id(), err.Error())
		}
	}
	if complete {
		c.establish()
	}
	return nil
}

// establish makes the connection usable once the handshake is complete.
func (c *conn) establish() {
	box := newInbox()
	rpc := c.newRPC(box)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		box.close()
		_ = rpc.Close()
		return
	}
	c.up = true
	c.rpc = rpc
	c.inbox = box
	c.mu.Unlock()
	c.link.established(c)
	close(c.ready)
	c.flush()
}

func (c *conn) linkFrame(payload []byte) []byte {
	c.link.counts.sent(kindLink, headerBytes+len(payload))
	return appendFrame(nil, kindLink, payload)
}

// remeasure runs on the event loop.
func (c *conn) remeasure(context.Context) error {
	c.measuring.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outbound = 0
	if !c.closed {
		c.outbound = c.gc.OutboundBuffered()
	}
	return nil
}

// linger runs on the event loop and makes the close that follows a reset.
func (c *conn) linger(context.Context) error {
	return c.gc.SetLinger(0)
}

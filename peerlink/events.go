package peerlink

import (
	"context"

	"github.com/panjf2000/gnet/v2"

	"crocuslug/result"
)

// maxConns is the largest number of connections of a link, dialed and accepted.
const maxConns = 4096

// eventHandler handles the events of gnet for the accepting or the dialing side. Its
// methods run on an event loop.
type eventHandler struct {
	gnet.BuiltinEventEngine
	link   *Link
	booted chan gnet.Engine
}

// OnBoot passes the gnet engine to Start.
func (e *eventHandler) OnBoot(eng gnet.Engine) gnet.Action {
	if e.booted != nil {
		e.booted <- eng
	}
	return gnet.None
}

// OnOpen starts the handshake on a new connection.
func (e *eventHandler) OnOpen(gconn gnet.Conn) ([]byte, gnet.Action) {
	c, dialed := gconn.Context().(*conn)
	if !dialed {
		c = newConn(e.link, false, "")
		gconn.SetContext(c)
	}
	if !dialed && !e.link.addAccepted(c) {
		return nil, gnet.Close
	}
	c.mu.Lock()
	c.gnetConn = gconn
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return nil, gnet.Close
	}
	now := e.link.timer.Now().UnixNano()
	c.lastReceived.Store(now)
	c.lastUsed.Store(now)
	if !dialed || c.dropsSent() {
		return nil, gnet.None
	}
	return c.linkFrame(encodeHello(c.handshake.self)), gnet.None
}

// OnClose removes the connection from the link.
func (e *eventHandler) OnClose(gconn gnet.Conn, err error) gnet.Action {
	c, ok := gconn.Context().(*conn)
	if !ok {
		return gnet.None
	}
	why := "the connection was closed"
	if err != nil {
		why = err.Error()
	}
	c.closeWith(unavailable(c.id(), why))
	return gnet.None
}

// OnTraffic handles the received frames.
func (e *eventHandler) OnTraffic(gconn gnet.Conn) gnet.Action {
	e.link.gate.wait()
	c, ok := gconn.Context().(*conn)
	if !ok || e.link.ctx.Err() != nil {
		return gnet.Close
	}
	if gconn.InboundBuffered() < c.needBytes {
		return gnet.None
	}
	buf, err := gconn.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	used, failure := c.handleFrames(gconn, buf)
	if failure != nil {
		c.closeWith(failure)
		return gnet.Close
	}
	if used > 0 {
		_, _ = gconn.Discard(used)
	}
	return gnet.None
}

// handleFrames handles the complete frames in buf and returns the number of bytes that
// they occupy.
func (c *conn) handleFrames(gconn gnet.Conn, buf []byte) (int, *result.Error) {
	now := c.link.timer.Now().UnixNano()
	used := 0
	for {
		limit := c.link.cfg.MaxFrameBytes
		if !c.established {
			limit = maxHandshakeBytes
		}
		kind, payload, size, err := decodeFrame(buf[used:], limit)
		if err != nil {
			return used, err
		}
		c.needBytes = size
		if size > len(buf)-used {
			return used, nil
		}
		used += size
		if err := c.handleFrame(gconn, kind, payload, now); err != nil {
			return used, err
		}
	}
}

// handleFrame handles one frame, which is part of the handshake until the connection
// is established.
func (c *conn) handleFrame(gconn gnet.Conn, kind FrameKind, payload []byte, now int64) *result.Error {
	if !c.established {
		return c.handleHandshake(gconn, kind, payload)
	}
	if c.dropsReceived() {
		return nil
	}
	c.lastReceived.Store(now)
	c.link.counts.addReceived(kind, headerBytes+len(payload))
	if kind == kindLink {
		return nil
	}
	c.lastUsed.Store(now)
	if kind == kindCall {
		return c.calls.push(payload, c.link.cfg.MaxQueueBytes)
	}
	h := c.link.frames[kind]
	if h == nil {
		return result.Newf(result.Malformed, "no handler for frames of kind %d", kind)
	}
	h(c.id(), payload)
	return nil
}

// handleHandshake handles one message of the handshake.
func (c *conn) handleHandshake(gconn gnet.Conn, kind FrameKind, payload []byte) *result.Error {
	if kind != kindLink || len(payload) == 0 {
		return result.New(result.Unauthorized, "the peer sent a frame before the handshake was complete")
	}
	answer, complete, err := c.handshake.receive(payload)
	if err != nil {
		return err
	}
	c.peer.Store(&c.handshake.peer.Instance)
	if c.dropsReceived() {
		return nil
	}
	c.link.counts.addReceived(kind, headerBytes+len(payload))
	if len(answer) > 0 && !c.dropsSent() {
		if _, err := gconn.Write(c.linkFrame(answer)); err != nil {
			return unavailable(c.id(), err.Error())
		}
	}
	if complete {
		c.establish()
	}
	return nil
}

// establish makes the connection usable after the handshake.
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
	c.established = true
	c.rpc = rpc
	c.calls = box
	c.mu.Unlock()
	c.link.addEstablished(c)
	close(c.ready)
	c.flush()
}

// linkFrame returns a frame of kindLink and counts its bytes as sent.
func (c *conn) linkFrame(payload []byte) []byte {
	c.link.counts.addSent(kindLink, headerBytes+len(payload))
	return appendFrame(nil, kindLink, payload)
}

// updateBuffered updates the number of bytes in the buffer of gnet. It runs on the event
// loop.
func (c *conn) updateBuffered(context.Context) error {
	c.measuringBuffer.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gnetBuffered = 0
	if !c.closed {
		c.gnetBuffered = c.gnetConn.OutboundBuffered()
	}
	return nil
}

// setLinger makes the following close a TCP reset. It runs on the event loop.
func (c *conn) setLinger(context.Context) error {
	return c.gnetConn.SetLinger(0)
}

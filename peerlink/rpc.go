package peerlink

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"crocuslug/ident"
	"crocuslug/result"
)

// maxHandlers is the largest number of concurrent handlers for one connection.
const maxHandlers = 512

// Handler answers a control call. It runs on its own goroutine, and ctx is cancelled
// when the connection ends. A *result.Error is returned to the caller unchanged, and
// any other error as a Fault.
type Handler func(ctx context.Context, from ident.Instance, params json.RawMessage) (any, error)

// Call calls a method of instance to and decodes the answer into out unless out is
// nil. If the peer is unreachable, it returns PeerUnavailable, whose Run is NotRun if
// the call cannot have reached the peer and Unknown otherwise. An error of the
// handler is returned as a *result.Error.
func (l *Link) Call(ctx context.Context, to ident.Instance, method string, params, out any) error {
	ctx, span, opts := l.startClientSpan(ctx, to, method)
	err := l.call(ctx, to, method, params, out, opts)
	endSpan(span, err)
	return err
}

func (l *Link) call(ctx context.Context, to ident.Instance, method string, params, out any, opts []jsonrpc2.CallOption) error {
	c, err := l.establishedConn(ctx, to)
	if err != nil {
		return err
	}
	c.activeCalls.Add(1)
	defer c.activeCalls.Add(-1)
	w, e := c.rpc.DispatchCall(ctx, method, params, opts...)
	if e != nil {
		return notSentError(to, e)
	}
	return callError(to, w.Wait(ctx, out))
}

// Notify calls a method of instance to without waiting for an answer. It returns an
// error if the message cannot be queued. A nil error does not mean that the message
// has arrived.
func (l *Link) Notify(ctx context.Context, to ident.Instance, method string, params any) error {
	c, err := l.establishedConn(ctx, to)
	if err != nil {
		return err
	}
	if e := c.rpc.Notify(ctx, method, params); e != nil {
		return notSentError(to, e)
	}
	return nil
}

// establishedConn returns an established connection to a peer. It dials if there is
// none and waits until the connection is established, fails or ctx ends.
func (l *Link) establishedConn(ctx context.Context, to ident.Instance) (*conn, error) {
	c, err := l.connTo(to)
	if err != nil {
		return nil, err
	}
	select {
	case <-c.ready:
		return c, nil
	default:
	}
	select {
	case <-c.ready:
		return c, nil
	case <-c.done:
		return nil, unavailable(to, "no connection could be established")
	case <-ctx.Done():
		return nil, unavailable(to, ctx.Err().Error())
	}
}

// notSentError returns the error for a call that was not sent.
func notSentError(to ident.Instance, err error) error {
	var r *result.Error
	if errors.As(err, &r) {
		return r
	}
	return unavailable(to, err.Error())
}

// callError converts the error of a call that was sent. The outcome of the call is
// unknown unless the peer reported it.
func callError(to ident.Instance, err error) error {
	if err == nil {
		return nil
	}
	var remote *jsonrpc2.Error
	if !errors.As(err, &remote) {
		return unavailable(to, err.Error()).Ran(result.RunUnknown)
	}
	r := new(result.Error)
	if remote.Data != nil && json.Unmarshal(*remote.Data, r) == nil && r.Code != result.OK {
		return r
	}
	return result.New(result.Fault, remote.Message).Ran(result.RunUnknown)
}

// newRPC returns the JSON-RPC side of the connection, which reads objects from box.
func (c *conn) newRPC(box *inbox) *jsonrpc2.Conn {
	s := &stream{conn: c, calls: box}
	log := jsonrpc2.SetLogger(rpcLog{c.link.log})
	return jsonrpc2.NewConn(c.link.ctx, s, s, log)
}

// stream implements jsonrpc2.ObjectStream over the frames of a connection and handles
// the calls received on it.
type stream struct {
	conn  *conn
	calls *inbox
}

// WriteObject sends one JSON-RPC object.
func (s *stream) WriteObject(obj any) error {
	text, err := json.Marshal(obj)
	if err != nil {
		return result.New(result.Malformed, err.Error())
	}
	if err := s.conn.enqueue(kindCall, text); err != nil {
		return err
	}
	return nil
}

// ReadObject waits for the next JSON-RPC object.
func (s *stream) ReadObject(v any) error {
	text, ok := s.calls.pop()
	if !ok {
		return io.EOF
	}
	s.conn.link.gate.wait()
	return json.Unmarshal(text, v)
}

// Close ends the connection.
func (s *stream) Close() error {
	s.conn.closeWith(unavailable(s.conn.id(), "the JSON-RPC stream was closed"))
	return nil
}

// Handle starts the handler of a call on its own goroutine.
func (s *stream) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	h := s.conn.link.methods[req.Method]
	if h == nil {
		s.reply(ctx, rpc, req, nil, result.Newf(result.NotFound, "unknown method %s", req.Method))
		return
	}
	if s.conn.activeHandlers.Add(1) > maxHandlers {
		s.conn.activeHandlers.Add(-1)
		s.reply(ctx, rpc, req, nil, result.New(result.Overloaded, "too many calls are in progress on one connection"))
		return
	}
	s.conn.activeCalls.Add(1)
	go s.runHandler(ctx, rpc, req, h)
}

// runHandler calls h and sends its result.
func (s *stream) runHandler(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, h Handler) {
	defer s.conn.activeCalls.Add(-1)
	defer s.conn.activeHandlers.Add(-1)
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	ctx, span := s.conn.link.startServerSpan(ctx, s.conn.id(), req)
	out, err := h(ctx, s.conn.id(), params)
	endSpan(span, err)
	s.reply(ctx, rpc, req, out, err)
}

// reply sends the result of a call, unless the call is a notification.
func (s *stream) reply(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, out any, err error) {
	if req.Notif {
		return
	}
	if err == nil {
		err = rpc.Reply(ctx, req.ID, out)
		if err == nil || errors.Is(err, jsonrpc2.ErrClosed) {
			return
		}
	}
	var r *result.Error
	if !errors.As(err, &r) {
		r = result.New(result.Fault, err.Error()).Ran(result.RunUnknown)
	}
	e := &jsonrpc2.Error{Code: int64(r.Code), Message: r.Error()}
	e.SetError(r)
	_ = rpc.ReplyWithError(ctx, req.ID, e)
}

// inbox queues received JSON-RPC objects between the event loop and jsonrpc2.
type inbox struct {
	mu     sync.Mutex
	cond   *sync.Cond
	queue  [][]byte
	size   int
	closed bool
}

func newInbox() *inbox {
	b := new(inbox)
	b.cond = sync.NewCond(&b.mu)
	return b
}

// push adds a copy of text to the inbox. It returns Overloaded if the inbox would
// hold more than limit bytes.
func (b *inbox) push(text []byte, limit int) *result.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.size+len(text) > limit {
		return result.New(result.Overloaded, "too many calls are waiting on one connection")
	}
	b.size += len(text)
	b.queue = append(b.queue, append([]byte(nil), text...))
	b.cond.Signal()
	return nil
}

// pop waits for the next object. It returns false after close.
func (b *inbox) pop() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.queue) == 0 && !b.closed {
		b.cond.Wait()
	}
	if len(b.queue) == 0 || b.closed {
		return nil, false
	}
	text := b.queue[0]
	b.queue[0] = nil
	b.queue = b.queue[1:]
	b.size -= len(text)
	return text, true
}

func (b *inbox) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.cond.Broadcast()
}

// rpcLog writes log messages of jsonrpc2 at debug level.
type rpcLog struct {
	log zerolog.Logger
}

// Printf logs one message.
func (l rpcLog) Printf(format string, v ...any) {
	l.log.Debug().Msgf(format, v...)
}

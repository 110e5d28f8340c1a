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

// maxHandlers bounds the handlers that run for one connection at a time.
const maxHandlers = 512

// Handler answers a control call. It runs on a goroutine of its own; ctx ends
// when the connection does. An error that is a *result.Error reaches the
// caller as it is, any other as a Fault.
type Handler func(ctx context.Context, from ident.Instance, params json.RawMessage) (any, error)

// Call calls method of instance to and decodes the answer into out unless that
// is nil. A peer out of reach gives PeerUnavailable, with Run NotRun if the
// call cannot have reached it and Unknown otherwise; an error of the handler is
// returned as the *result.Error that it gave.
func (l *Link) Call(ctx context.Context, to ident.Instance, method string, params, out any) error {
	ctx, span, opts := l.span(ctx, to, method)
	err := l.call(ctx, to, method, params, out, opts)
	finish(span, err)
	return err
}

func (l *Link) call(ctx context.Context, to ident.Instance, method string, params, out any, opts []jsonrpc2.CallOption) error {
	c, err := l.ready(ctx, to)
	if err != nil {
		return err
	}
	c.busy.Add(1)
	defer c.busy.Add(-1)
	w, e := c.rpc.DispatchCall(ctx, method, params, opts...)
	if e != nil {
		return notSent(to, e)
	}
	return callError(to, w.Wait(ctx, out))
}

// Notify sends method to instance to without waiting for an answer. It returns
// an error if the message cannot be queued; a nil error does not mean that it
// has arrived.
func (l *Link) Notify(ctx context.Context, to ident.Instance, method string, params any) error {
	c, err := l.ready(ctx, to)
	if err != nil {
		return err
	}
	if e := c.rpc.Notify(ctx, method, params); e != nil {
		return notSent(to, e)
	}
	return nil
}

// ready returns an established connection to a peer, dialing if there is none.
func (l *Link) ready(ctx context.Context, to ident.Instance) (*conn, error) {
	c, err := l.reach(to)
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
		return nil, unavailable(to, "no connection")
	case <-ctx.Done():
		return nil, unavailable(to, ctx.Err().Error())
	}
}

func notSent(to ident.Instance, err error) error {
	var r *result.Error
	if errors.As(err, &r) {
		return r
	}
	return unavailable(to, err.Error())
}

// callError translates the end of a call that has been sent.
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

func (c *conn) newRPC(box *inbox) *jsonrpc2.Conn {
	s := &stream{c: c, box: box}
	log := jsonrpc2.SetLogger(rpcLog{c.link.log})
	return jsonrpc2.NewConn(c.link.ctx, s, s, log)
}

// stream is the framed connection as jsonrpc2 sees it, and receives its calls.
type stream struct {
	c   *conn
	box *inbox
}

// WriteObject sends one JSON-RPC object.
func (s *stream) WriteObject(obj any) error {
	text, err := json.Marshal(obj)
	if err != nil {
		return result.New(result.Malformed, err.Error())
	}
	if err := s.c.enqueue(kindCall, text); err != nil {
		return err
	}
	return nil
}

// ReadObject waits for the next JSON-RPC object.
func (s *stream) ReadObject(v any) error {
	text, ok := s.box.pop()
	if !ok {
		return io.EOF
	}
	s.c.link.gate.wait()
	return json.Unmarshal(text, v)
}

// Close ends the connection.
func (s *stream) Close() error {
	s.c.shut(unavailable(s.c.id(), "the stream of calls was closed"))
	return nil
}

// Handle runs the handler of a call.
func (s *stream) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	h := s.c.link.methods[req.Method]
	if h == nil {
		s.answer(ctx, rpc, req, nil, result.Newf(result.NotFound, "no method %s", req.Method))
		return
	}
	if s.c.handling.Add(1) > maxHandlers {
		s.c.handling.Add(-1)
		s.answer(ctx, rpc, req, nil, result.New(result.Overloaded, "too many calls on one connection"))
		return
	}
	s.c.busy.Add(1)
	go s.run(ctx, rpc, req, h)
}

func (s *stream) run(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, h Handler) {
	defer s.c.busy.Add(-1)
	defer s.c.handling.Add(-1)
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	ctx, span := s.c.link.received(ctx, s.c.id(), req)
	out, err := h(ctx, s.c.id(), params)
	finish(span, err)
	s.answer(ctx, rpc, req, out, err)
}

func (s *stream) answer(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request, out any, err error) {
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

// inbox holds JSON-RPC objects between the event loop and jsonrpc2.
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

// push copies text into the inbox unless more than limit bytes would wait.
func (b *inbox) push(text []byte, limit int) *result.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.size+len(text) > limit {
		return result.New(result.Overloaded, "too many calls wait on one connection")
	}
	b.size += len(text)
	b.queue = append(b.queue, append([]byte(nil), text...))
	b.cond.Signal()
	return nil
}

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

// rpcLog writes the log of jsonrpc2.
type rpcLog struct {
	log zerolog.Logger
}

// Printf writes one event.
func (l rpcLog) Printf(format string, v ...any) {
	l.log.Debug().Msgf(format, v...)
}

package engineclient

import (
	"bufio"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"
	"github.com/zeebo/errs"

	"crocuslug/generation"
	"crocuslug/statusline"
)

// Stream is one stream of an engine, on a connection of its own.
type Stream struct {
	dialTimeout time.Duration

	mu     sync.Mutex
	conn   net.Conn
	closed bool
	name   string
	resp   *fasthttp.Response
	parser fastjson.Parser
	load   string // of the engine, as in its answer
}

// Token is one event of a stream: a token, or the end of the answer.
type Token struct {
	Index  int
	Text   string
	Finish string // the finish reason of the engine; if it is set, the event has no token
}

// Close ends the stream. It may be called from any goroutine, and makes Start, Resume and Read
// return.
func (s *Stream) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// setConn sets the connection of the stream. If the stream was closed meanwhile, it closes the
// connection and returns false.
func (s *Stream) setConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.conn = conn
	return true
}

// open sends req on a new connection and reads the head of the answer.
func (s *Stream) open(address, name string, req *fasthttp.Request) error {
	s.name = name
	conn, r, err := dial(address, s.dialTimeout)
	if err != nil {
		return streamError(dialCause(err), err)
	}
	if !s.setConn(conn) {
		return streamError(generation.ConnectionRefused, errs.New("closed"))
	}
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return streamError(generation.ConnectionReset, err)
	}
	if err := w.Flush(); err != nil {
		return streamError(generation.ConnectionReset, err)
	}
	s.resp = fasthttp.AcquireResponse()
	s.resp.StreamBody = true
	if err := statusline.SkipInterim(r, &s.resp.Header); err != nil {
		return streamError(generation.ConnectionReset, err)
	}
	if err := s.resp.ReadLimitBody(r, 0); err != nil {
		return streamError(generation.ConnectionReset, err)
	}
	s.load = string(s.resp.Header.Peek("X-Engine-Load"))
	return statusError(s.resp.StatusCode())
}

// Load returns the load that the engine reported with its answer as running/waiting/slots, or ""
// if it reported none. It is valid after Start or Resume.
func (s *Stream) Load() string {
	return s.load
}

// dialCause distinguishes a dial that timed out from a refused one.
func dialCause(err error) generation.LossCause {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return generation.ResponseTimeout
	}
	return generation.ConnectionRefused
}

// statusError returns the error for the status of an answer, or nil for 200.
func statusError(status int) error {
	cause := generation.RequestRejected
	switch status {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusNotFound:
		cause = generation.UnknownStream
	case fasthttp.StatusTooManyRequests:
		cause = generation.EngineFull
	case fasthttp.StatusServiceUnavailable:
		cause = generation.EngineDraining
	case fasthttp.StatusNotImplemented:
		cause = generation.CannotContinue
	}
	return streamError(cause, errs.New("engine answered with status %d", status))
}

// endOfStream is the data of the last event of a stream.
const endOfStream = "[DONE]"

// Read calls f for each token until the stream ends or f returns false. It returns nil if f
// returned false or the engine ended the stream with a finish reason, and a *StreamError otherwise.
func (s *Stream) Read(f func(Token) bool) error {
	finished := false
	for ev, err := range sse.Read(s.resp.BodyStream(), nil) {
		if err != nil {
			return streamError(generation.ConnectionReset, err)
		}
		if ev.Data == endOfStream && !finished {
			return streamError(generation.CorruptStream, errs.New("stream ended without a finish reason"))
		}
		if ev.Data == endOfStream {
			return nil
		}
		t, err := s.decodeEvent(ev)
		if err != nil {
			return streamError(generation.CorruptStream, err)
		}
		finished = finished || t.Finish != ""
		if !f(t) {
			return nil
		}
	}
	return streamError(generation.ConnectionReset, errs.New("stream ended without its last event"))
}

// decodeEvent decodes one event. The parser belongs to the stream, so that its memory is reused.
func (s *Stream) decodeEvent(ev sse.Event) (Token, error) {
	v, err := s.parser.Parse(ev.Data)
	if err != nil {
		return Token{}, errs.Wrap(err)
	}
	choices := v.GetArray("choices")
	if id := v.GetStringBytes("id"); string(id) != s.name || len(choices) != 1 {
		return Token{}, errs.New("event of stream %q with %d choices, want stream %q and one choice", id, len(choices), s.name)
	}
	if r := choices[0].GetStringBytes("finish_reason"); r != nil {
		return Token{Finish: string(r)}, nil
	}
	i, err := strconv.Atoi(ev.LastEventID)
	if err != nil || i < 0 {
		return Token{}, errs.New("event id %q: want the index of a token", ev.LastEventID)
	}
	return Token{Index: i, Text: string(choices[0].GetStringBytes("delta", "content"))}, nil
}

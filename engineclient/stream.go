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
)

// Stream is one stream of an engine on a connection of its own.
type Stream struct {
	dialLimit time.Duration

	mu     sync.Mutex
	conn   net.Conn
	closed bool
	name   string
	resp   *fasthttp.Response
	parser fastjson.Parser
	load   string
}

// Token is one event of a stream.
type Token struct {
	Index  int
	Text   string
	Finish string // the engine's reason; the event carries no token then
}

// Close ends the stream from any goroutine. Open and Read return then.
func (s *Stream) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.conn != nil {
		_ = s.conn.Close()
	}
}

// adopt keeps the connection, or closes it if the stream was closed meanwhile.
func (s *Stream) adopt(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.conn = conn
	return true
}

func (s *Stream) open(address, name string, req *fasthttp.Request) error {
	s.name = name
	conn, r, err := dial(address, s.dialLimit)
	if err != nil {
		return lost(dialCause(err), err)
	}
	if !s.adopt(conn) {
		return lost(generation.ConnectionRefused, errs.New("closed"))
	}
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return lost(generation.ConnectionReset, err)
	}
	if err := w.Flush(); err != nil {
		return lost(generation.ConnectionReset, err)
	}
	s.resp = fasthttp.AcquireResponse()
	s.resp.StreamBody = true
	if err := s.resp.ReadLimitBody(r, 0); err != nil {
		return lost(generation.ConnectionReset, err)
	}
	s.load = string(s.resp.Header.Peek("X-Engine-Load"))
	return statusError(s.resp.StatusCode())
}

// Load returns the load that the engine told with its answer, as
// running/waiting/slots, or "". It is called after Start or Resume.
func (s *Stream) Load() string {
	return s.load
}

// dialCause tells a refused connection from one that was not answered in time.
func dialCause(err error) generation.LossCause {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return generation.ResponseTimeout
	}
	return generation.ConnectionRefused
}

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
	return lost(cause, errs.New("engine answered %d", status))
}

// doneData ends a stream of completions.
const doneData = "[DONE]"

// Read calls f for each token until the stream ends or f returns false. It
// returns nil after the engine's own end, and a *Lost otherwise.
func (s *Stream) Read(f func(Token) bool) error {
	for ev, err := range sse.Read(s.resp.BodyStream(), nil) {
		if err != nil {
			return lost(generation.ConnectionReset, err)
		}
		if ev.Data == doneData {
			return nil
		}
		t, err := s.token(ev)
		if err != nil {
			return lost(generation.CorruptStream, err)
		}
		if !f(t) {
			return nil
		}
	}
	return lost(generation.ConnectionReset, errs.New("stream ended early"))
}

// token reads one event. The parser is the stream's own and keeps its memory.
func (s *Stream) token(ev sse.Event) (Token, error) {
	v, err := s.parser.Parse(ev.Data)
	if err != nil {
		return Token{}, errs.Wrap(err)
	}
	choices := v.GetArray("choices")
	if id := v.GetStringBytes("id"); string(id) != s.name || len(choices) != 1 {
		return Token{}, errs.New("event of stream %q on stream %q", id, s.name)
	}
	if r := choices[0].GetStringBytes("finish_reason"); r != nil {
		return Token{Finish: string(r)}, nil
	}
	i, err := strconv.Atoi(ev.LastEventID)
	if err != nil || i < 0 {
		return Token{}, errs.New("event without an index")
	}
	return Token{Index: i, Text: string(choices[0].GetStringBytes("delta", "content"))}, nil
}

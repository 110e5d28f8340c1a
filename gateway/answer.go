package gateway

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/trace"

	"crocuslug/cursor"
	"crocuslug/generation"
	"crocuslug/owner"
	"crocuslug/problem"
	"crocuslug/result"
	"crocuslug/socket"
)

// sendAnswer sends the part of a generation after cursor c, and ends span when it is done.
func (g *Gateway) sendAnswer(ctx *fasthttp.RequestCtx, gen *owner.Generation, c cursor.Cursor, streamed bool, span trace.Span) {
	r, err := gen.Read(c)
	if err != nil {
		span.RecordError(err)
		span.End()
		problem.Write(ctx, err, gen.Spec().Request)
		return
	}
	if !streamed {
		defer span.End()
		g.answerWhole(ctx, gen, r)
		return
	}
	s := &sender{g: g, caller: ctx.Conn(), spec: gen.Spec(), cursor: c, chunked: ctx.Request.Header.IsHTTP11()}
	s.setEventPrefix()
	// The stream is written directly to the connection, because the server would pass each token of
	// a streamed body to another goroutine.
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		defer span.End()
		defer r.Close()
		s.send(conn, r)
	})
}

// answerWhole waits for the end of the generation and sends it in one response. It stops waiting if the
// caller disconnects.
func (g *Gateway) answerWhole(ctx *fasthttp.RequestCtx, gen *owner.Generation, r *owner.Reader) {
	defer r.Close()
	var text strings.Builder
	n := 0
	checkedAt := g.ports.Timer.Now()
	for {
		p := r.Next()
		if now := g.ports.Timer.Now(); now.Sub(checkedAt) >= disconnectCheckInterval {
			checkedAt = now
			if disconnected(ctx.Conn()) {
				problem.Write(ctx, result.New(result.GenerationCancelled, "the caller has disconnected").Ran(result.RunUnknown), gen.Spec().Request)
				return
			}
		}
		for _, t := range p.Tokens {
			text.WriteString(t)
			n++
		}
		switch {
		case p.Result != nil:
			problem.Write(ctx, p.Result, gen.Spec().Request)
			return
		case p.Done:
			writeCompletion(ctx, gen.Spec(), text.String(), n, p.Finish)
			return
		}
	}
}

// message is the message of an answered chat completion.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// choice is the only choice of a chat completion.
type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// usage holds the number of tokens of a chat completion.
type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// wholeCompletion is a chat completion that is not streamed.
type wholeCompletion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

// writeCompletion writes a chat completion of n tokens as the response.
func writeCompletion(ctx *fasthttp.RequestCtx, spec generation.Spec, text string, n int, finish string) {
	b, err := json.Marshal(wholeCompletion{
		ID:      string(spec.Request),
		Object:  "chat.completion",
		Model:   spec.Model,
		Choices: []choice{{Message: message{Role: "assistant", Content: text}, FinishReason: finish}},
		Usage:   usage{CompletionTokens: n},
	})
	if err != nil {
		problem.Write(ctx, result.New(result.Fault, err.Error()).Ran(result.RunDone), spec.Request)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// sender streams one answer to one caller: in chunks with HTTP/1.1, and with older versions until
// the end of the connection.
type sender struct {
	g           *Gateway
	conn        net.Conn
	caller      net.Conn  // the connection that conn wraps
	checkedAt   time.Time // when it was last checked whether the caller is lost
	spec        generation.Spec
	cursor      cursor.Cursor
	chunked     bool
	eventPrefix []byte // part of an event between its id and its token
	buf         []byte // data of the next write, after chunkSizeSpace bytes
}

// chunkSizeSpace is the space before the data of a chunk for its size: hexadecimal digits and the
// end of the line.
const chunkSizeSpace = 10

// lastChunk ends a chunked body.
const lastChunk = "0\r\n\r\n"

// setEventPrefix sets the part of an event that is the same for all tokens.
func (s *sender) setEventPrefix() {
	id, _ := json.Marshal(s.spec.Request)
	model, _ := json.Marshal(s.spec.Model)
	s.eventPrefix = []byte("\ndata: {\"id\":" + string(id) + ",\"object\":\"chat.completion.chunk\",\"model\":" + string(model) +
		",\"choices\":[{\"index\":0,\"delta\":{\"content\":")
}

// send writes the answer until it ends or the caller disconnects.
func (s *sender) send(conn net.Conn, r *owner.Reader) {
	s.conn = conn
	if !s.writeRaw(s.header()) {
		return
	}
	for {
		p := r.Next()
		s.buf = append(s.buf[:0], make([]byte, chunkSizeSpace)...)
		for _, t := range p.Tokens {
			s.appendToken(t)
		}
		ended := s.appendEnd(p)
		if len(s.buf) == chunkSizeSpace {
			s.buf = append(s.buf, ": keep-alive\n\n"...)
		}
		if !s.flush(ended) || ended {
			return
		}
	}
}

// header returns the head of the response.
func (s *sender) header() []byte {
	b := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\nConnection: close\r\n")
	b = append(b, requestHeader+": "+string(s.spec.Request)+"\r\n"...)
	if s.chunked {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	return append(b, "\r\n"...)
}

// appendToken appends the event of one token.
func (s *sender) appendToken(t string) {
	s.cursor = s.cursor.Next([]byte(t))
	s.appendEvent(t, "null")
}

// appendEvent appends an event. finish is the JSON form of the finish reason.
func (s *sender) appendEvent(content, finish string) {
	s.buf = append(s.buf, "id: "...)
	s.buf = s.cursor.Append(s.buf)
	s.buf = append(s.buf, s.eventPrefix...)
	s.buf = appendString(s.buf, content)
	s.buf = append(s.buf, `},"finish_reason":`...)
	s.buf = append(s.buf, finish...)
	s.buf = append(s.buf, "}]}\n\n"...)
}

// appendEnd appends the end of the answer or its error, if p holds one, and reports whether it
// does.
func (s *sender) appendEnd(p owner.Part) bool {
	switch {
	case p.Done:
		finish, _ := json.Marshal(p.Finish)
		s.appendEvent("", string(finish))
		s.buf = append(s.buf, "data: [DONE]\n\n"...)
		return true
	case p.Result != nil:
		details, _ := json.Marshal(problem.New(p.Result, s.spec.Request))
		s.buf = append(s.buf, "event: error\ndata: "...)
		s.buf = append(s.buf, details...)
		s.buf = append(s.buf, "\n\n"...)
		return true
	}
	return false
}

// flush sends the buffered data, followed by the last chunk if last is set. It returns false if
// the write fails.
func (s *sender) flush(last bool) bool {
	if !s.chunked {
		return s.writeRaw(s.buf[chunkSizeSpace:])
	}
	size := strconv.AppendUint(nil, uint64(len(s.buf)-chunkSizeSpace), chunkSizeBase)
	size = append(size, "\r\n"...)
	start := chunkSizeSpace - len(size)
	copy(s.buf[start:], size)
	s.buf = append(s.buf, "\r\n"...)
	if last {
		s.buf = append(s.buf, lastChunk...)
	}
	return s.writeRaw(s.buf[start:])
}

// chunkSizeBase is the base in which the sizes of chunks are written.
const chunkSizeBase = 16

// lostCheckInterval is the interval of the checks whether the caller is lost.
const lostCheckInterval = time.Second

// writeRaw writes b to the connection within WriteTimeout. It returns false if that fails or the caller
// is lost.
func (s *sender) writeRaw(b []byte) bool {
	now := s.g.ports.Timer.Now()
	if now.Sub(s.checkedAt) >= lostCheckInterval {
		s.checkedAt = now
		if socket.Lost(s.caller) {
			s.g.ports.Log.Info().Str("Request", string(s.spec.Request)).Msg("the caller acknowledges nothing; its connection is closed")
			return false
		}
	}
	if err := s.conn.SetWriteDeadline(now.Add(s.g.cfg.WriteTimeout)); err != nil {
		return false
	}
	_, err := s.conn.Write(b)
	return err == nil
}

// appendString appends the JSON form of text to b. Most tokens need no escaping and are copied.
func appendString(b []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			quoted, _ := json.Marshal(text)
			return append(b, quoted...)
		}
	}
	b = append(b, '"')
	b = append(b, text...)
	return append(b, '"')
}

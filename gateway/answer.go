package gateway

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/trace"

	"crocuslug/cursor"
	"crocuslug/generation"
	"crocuslug/owner"
	"crocuslug/problem"
	"crocuslug/result"
)

// answer sends the rest of a generation from cursor c.
func (g *Gateway) answer(ctx *fasthttp.RequestCtx, gen *owner.Generation, c cursor.Cursor, streamed bool, span trace.Span) {
	r, err := gen.Read(c)
	if err != nil {
		span.RecordError(err)
		span.End()
		problem.Write(ctx, err, gen.Spec().Request)
		return
	}
	if !streamed {
		defer span.End()
		g.whole(ctx, gen, r)
		return
	}
	s := &sender{g: g, spec: gen.Spec(), cursor: c, chunked: ctx.Request.Header.IsHTTP11()}
	s.frame()
	// The stream writes to the connection itself: the server's way for streamed
	// bodies hands each token to another goroutine.
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		defer span.End()
		defer r.Close()
		s.send(conn, r)
	})
}

// whole answers with the whole generation at once.
func (g *Gateway) whole(ctx *fasthttp.RequestCtx, gen *owner.Generation, r *owner.Reader) {
	defer r.Close()
	var text strings.Builder
	n := 0
	for {
		p := r.Next()
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

// message is an answer in the form of a chat completion.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// choice is the one choice of a chat completion.
type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// usage counts the tokens of a chat completion.
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

// sender streams one answer to one caller, as chunks of HTTP/1.1 or, to older
// callers, until the connection's end.
type sender struct {
	g       *Gateway
	conn    net.Conn
	spec    generation.Spec
	cursor  cursor.Cursor
	chunked bool
	before  []byte // of an event, between its id and its token
	buf     []byte // what is written next, from sizeRoom on
}

// sizeRoom is the room before a chunk's data for its size: hexadecimal digits
// and the end of the line.
const sizeRoom = 10

// lastChunk ends a chunked body.
const lastChunk = "0\r\n\r\n"

// frame prepares the parts of an event that are the same for all tokens.
func (s *sender) frame() {
	id, _ := json.Marshal(s.spec.Request)
	model, _ := json.Marshal(s.spec.Model)
	s.before = []byte("\ndata: {\"id\":" + string(id) + ",\"object\":\"chat.completion.chunk\",\"model\":" + string(model) +
		",\"choices\":[{\"index\":0,\"delta\":{\"content\":")
}

// send writes the answer until it ends or the caller is gone.
func (s *sender) send(conn net.Conn, r *owner.Reader) {
	s.conn = conn
	if !s.writeRaw(s.header()) {
		return
	}
	for {
		p := r.Next()
		s.buf = append(s.buf[:0], make([]byte, sizeRoom)...)
		for _, t := range p.Tokens {
			s.token(t)
		}
		over := s.end(p)
		if len(s.buf) == sizeRoom {
			s.buf = append(s.buf, ": keep-alive\n\n"...)
		}
		if !s.write(over) || over {
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

// token appends the event of one token.
func (s *sender) token(t string) {
	s.cursor = s.cursor.Next([]byte(t))
	s.event(t, "null")
}

func (s *sender) event(content, finish string) {
	s.buf = append(s.buf, "id: "...)
	s.buf = s.cursor.Append(s.buf)
	s.buf = append(s.buf, s.before...)
	s.buf = appendString(s.buf, content)
	s.buf = append(s.buf, `},"finish_reason":`...)
	s.buf = append(s.buf, finish...)
	s.buf = append(s.buf, "}]}\n\n"...)
}

// end appends the end of the answer, if p has it, and reports whether it does.
func (s *sender) end(p owner.Part) bool {
	switch {
	case p.Done:
		finish, _ := json.Marshal(p.Finish)
		s.event("", string(finish))
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

// write sends what is gathered, and the end of the body with the last of it. It
// reports whether the caller is there.
func (s *sender) write(last bool) bool {
	if !s.chunked {
		return s.writeRaw(s.buf[sizeRoom:])
	}
	size := strconv.AppendUint(nil, uint64(len(s.buf)-sizeRoom), hexadecimal)
	size = append(size, "\r\n"...)
	start := sizeRoom - len(size)
	copy(s.buf[start:], size)
	s.buf = append(s.buf, "\r\n"...)
	if last {
		s.buf = append(s.buf, lastChunk...)
	}
	return s.writeRaw(s.buf[start:])
}

// hexadecimal is the base of the sizes of chunks.
const hexadecimal = 16

func (s *sender) writeRaw(b []byte) bool {
	if err := s.conn.SetWriteDeadline(s.g.ports.Timer.Now().Add(s.g.cfg.WriteLimit)); err != nil {
		return false
	}
	_, err := s.conn.Write(b)
	return err == nil
}

// appendString appends the JSON form of text to b.
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

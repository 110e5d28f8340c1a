package gateway

import (
	"bufio"
	"encoding/json"
	"net"
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
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-store")
	ctx.Response.ImmediateHeaderFlush = true
	s := &sender{g: g, conn: ctx.Conn(), spec: gen.Spec(), cursor: c}
	s.frame()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer span.End()
		defer r.Close()
		s.send(w, r)
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

// sender streams one answer to one caller.
type sender struct {
	g      *Gateway
	conn   net.Conn
	spec   generation.Spec
	cursor cursor.Cursor
	before []byte // of an event, between its id and its token
	buf    []byte
}

// frame prepares the parts of an event that are the same for all tokens.
func (s *sender) frame() {
	id, _ := json.Marshal(s.spec.Request)
	model, _ := json.Marshal(s.spec.Model)
	s.before = []byte("\ndata: {\"id\":" + string(id) + ",\"object\":\"chat.completion.chunk\",\"model\":" + string(model) +
		",\"choices\":[{\"index\":0,\"delta\":{\"content\":")
}

// send writes the answer until it ends or the caller is gone.
func (s *sender) send(w *bufio.Writer, r *owner.Reader) {
	for {
		p := r.Next()
		s.buf = s.buf[:0]
		for _, t := range p.Tokens {
			s.token(t)
		}
		over := s.end(p)
		if len(s.buf) == 0 {
			s.buf = append(s.buf, ": keep-alive\n\n"...)
		}
		if !s.write(w) || over {
			return
		}
	}
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

// write sends what is gathered and reports whether the caller is there.
func (s *sender) write(w *bufio.Writer) bool {
	if err := s.conn.SetWriteDeadline(s.g.ports.Timer.Now().Add(s.g.cfg.WriteLimit)); err != nil {
		return false
	}
	if _, err := w.Write(s.buf); err != nil {
		return false
	}
	return w.Flush() == nil
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

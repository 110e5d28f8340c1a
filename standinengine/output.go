package standinengine

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"crocuslug/standinnetwork"
)

// finishLength is the reason by which every answer of the stand-in ends.
const finishLength = "length"

// reader follows a stream from an index on.
type reader struct {
	e     *Engine
	l     *life
	s     *stream
	next  int
	moved chan struct{}
}

// follow registers a reader of s, which has been attached already.
func (e *Engine) follow(l *life, s *stream, from int) *reader {
	r := &reader{e: e, l: l, s: s, next: from, moved: make(chan struct{}, 1)}
	e.mu.Lock()
	s.readers[r.moved] = struct{}{}
	e.mu.Unlock()
	return r
}

// release ends the reading.
func (r *reader) release() {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	delete(r.s.readers, r.moved)
	r.l.batch.detach(r.e.timer.Now(), r.s)
}

// wait waits for more tokens or the end. It returns the number of tokens of
// the answer so far, whether they are all, and false if the stream was
// cancelled or the engine has died.
func (r *reader) wait() (produced int, ended, ok bool) {
	for {
		if !r.e.waitThawed(r.l) {
			return 0, false, false
		}
		r.e.mu.Lock()
		produced, ended = r.s.produced, r.s.ended
		gone := r.s.gone
		r.e.mu.Unlock()
		if gone {
			return 0, false, false
		}
		if produced > r.next || ended {
			return produced, ended, true
		}
		select {
		case <-r.moved:
		case <-r.l.ended:
			return 0, false, false
		}
	}
}

// writeStream answers with the events of s from an index on.
func (e *Engine) writeStream(l *life, ctx *fasthttp.RequestCtx, s *stream, from int) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.ImmediateHeaderFlush = true
	r := e.follow(l, s, from)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer r.release()
		for {
			produced, ended, ok := r.wait()
			if !ok || r.write(w, produced, ended) != nil || ended {
				return
			}
		}
	})
}

// write writes the events up to produced, and the end if there is one.
func (r *reader) write(w *bufio.Writer, produced int, ended bool) error {
	for ; r.next < produced; r.next++ {
		_, _ = w.WriteString("id: " + strconv.Itoa(r.next) + "\ndata: ")
		_, _ = w.Write(r.s.chunk(tokenText(r.s.nonce, r.next), nil))
		_, _ = w.WriteString("\n\n")
	}
	if ended {
		reason := finishLength
		_, _ = w.WriteString("data: ")
		_, _ = w.Write(r.s.chunk("", &reason))
		_, _ = w.WriteString("\n\ndata: [DONE]\n\n")
	}
	return w.Flush()
}

func (s *stream) chunk(content string, reason *string) []byte {
	c := chunk{
		ID: s.id, Object: "chat.completion.chunk", Model: s.model.Model, Version: s.model.Version,
		Choices: []choice{{Delta: &delta{content}, FinishReason: reason}},
	}
	body, err := json.Marshal(c)
	if err != nil {
		panic(err) // a chunk can be written
	}
	return body
}

// writeWhole answers with all of s when it has ended.
func (e *Engine) writeWhole(l *life, ctx *fasthttp.RequestCtx, s *stream) {
	r := e.follow(l, s, s.base)
	defer r.release()
	for {
		produced, ended, ok := r.wait()
		if !ok {
			fail(ctx, http.StatusServiceUnavailable, "cancelled")
			return
		}
		if ended {
			break
		}
		r.next = produced
	}
	var text strings.Builder
	for i := s.base; i < s.limit; i++ {
		text.WriteString(tokenText(s.nonce, i))
	}
	reason := finishLength
	prompt, made := s.bytes/bytesPerToken, max(s.limit-s.base, 0)
	standinnetwork.WriteJSON(ctx, http.StatusOK, chunk{
		ID: s.id, Object: "chat.completion", Model: s.model.Model, Version: s.model.Version,
		Choices: []choice{{Message: &message{"assistant", text.String()}, FinishReason: &reason}},
		Usage:   &usage{prompt, made, prompt + made},
	})
}

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

// finishLength is the finish reason of every answer of the simulated engine.
const finishLength = "length"

// reader reads the tokens of a stream, starting at an index.
type reader struct {
	e      *Engine
	l      *runState
	s      *stream
	next   int
	notify chan struct{}
}

// addReader registers a reader of s that starts at index from. The caller has already
// counted the connection in s.attached.
func (e *Engine) addReader(l *runState, s *stream, from int) *reader {
	r := &reader{e: e, l: l, s: s, next: from, notify: make(chan struct{}, 1)}
	e.mu.Lock()
	s.readers[r.notify] = struct{}{}
	e.mu.Unlock()
	return r
}

// release unregisters r and detaches its connection from the stream.
func (r *reader) release() {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	delete(r.s.readers, r.notify)
	r.l.batch.detach(r.e.timer.Now(), r.s)
}

// wait blocks until there are tokens after next or the stream has ended. It
// returns the number of tokens so far and whether the stream has ended; ok is
// false if the stream was cancelled or the engine stopped.
func (r *reader) wait() (produced int, ended, ok bool) {
	for {
		if !r.e.waitThawed(r.l) {
			return 0, false, false
		}
		r.e.mu.Lock()
		produced, ended = r.s.produced, r.s.ended
		gone := r.s.cancelled
		r.e.mu.Unlock()
		if gone {
			return 0, false, false
		}
		if produced > r.next || ended {
			return produced, ended, true
		}
		select {
		case <-r.notify:
		case <-r.l.ended:
			return 0, false, false
		}
	}
}

// writeStream answers with the events of s, starting at index from.
func (e *Engine) writeStream(l *runState, ctx *fasthttp.RequestCtx, s *stream, from int) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.ImmediateHeaderFlush = true
	r := e.addReader(l, s, from)
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

// write writes the events before index produced, and the end marker if the stream
// has ended.
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
		panic(err) // cannot happen: a chunk holds only strings and numbers
	}
	return body
}

// writeComplete waits for the end of s and answers with all of its tokens after
// those of continue_from.
func (e *Engine) writeComplete(l *runState, ctx *fasthttp.RequestCtx, s *stream) {
	r := e.addReader(l, s, s.base)
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

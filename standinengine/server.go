package standinengine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"crocuslug/prefix"
	"crocuslug/standinnetwork"
	"crocuslug/unit"
)

// Paths of the protocol.
const (
	completionsPath = "/v1/chat/completions"
	streamsPath     = "/v1/streams/"
	loadPath        = "/v1/load"
	statePath       = "/v1/state"
	eventsPath      = "/v1/cache/events"
	ordersPath      = "/v1/orders"
	faultsPath      = "/standin/faults"
	callsPath       = "/standin/calls"
)

// fault is the body of a call to faultsPath.
type fault struct {
	Kind     string
	Factor   float64       // argument of Slow
	Duration unit.Duration // argument of Lag
}

func (e *Engine) handle(l *runState, ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case faultsPath:
		e.handleFault(ctx)
		return
	case callsPath:
		standinnetwork.WriteJSON(ctx, http.StatusOK, e.Counters())
		return
	}
	if !e.waitThawed(l) {
		return
	}
	e.setLoadHeader(l, ctx)
	switch {
	case path == completionsPath && ctx.IsPost():
		e.handleCompletion(l, ctx)
	case strings.HasPrefix(path, streamsPath) && ctx.IsGet():
		e.handleResume(l, ctx, strings.TrimPrefix(path, streamsPath))
	case strings.HasPrefix(path, streamsPath) && ctx.IsDelete():
		e.handleCancel(l, ctx, strings.TrimPrefix(path, streamsPath))
	case path == loadPath && ctx.IsGet():
		e.handleLoad(l, ctx)
	case path == statePath && ctx.IsGet():
		e.mu.Lock()
		s := l.state.clone()
		e.mu.Unlock()
		standinnetwork.WriteJSON(ctx, http.StatusOK, s)
	case path == eventsPath && ctx.IsGet():
		e.handleEvents(l, ctx)
	case path == ordersPath && ctx.IsPost():
		e.handleOrder(l, ctx)
	default:
		fail(ctx, http.StatusNotFound, "no such path")
	}
}

// waitThawed blocks while the engine is frozen. It reports false if the engine
// stopped.
func (e *Engine) waitThawed(l *runState) bool {
	for {
		e.mu.Lock()
		thawed := l.thawed
		e.mu.Unlock()
		if thawed == nil {
			return true
		}
		select {
		case <-thawed:
		case <-l.ended:
			return false
		}
	}
}

func (e *Engine) setLoadHeader(l *runState, ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := l.batch
	ctx.Response.Header.Set("X-Engine-Load", fmt.Sprintf("%d/%d/%d", len(b.running), len(b.waiting), b.cfg.Slots))
}

// Default and upper bound of max_tokens.
const (
	defaultMaxTokens = 16
	maxMaxTokens     = 1 << 20
)

// crashWord in a prompt makes the engine crash when it decodes the stream.
const crashWord = "crash-engine"

func (e *Engine) handleCompletion(l *runState, ctx *fasthttp.RequestCtx) {
	var r completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		fail(ctx, http.StatusBadRequest, err.Error())
		return
	}
	s, err := newStream(&r)
	if err != nil {
		fail(ctx, http.StatusBadRequest, err.Error())
		return
	}
	s.id = string(ctx.Request.Header.Peek("X-Request-Id"))
	if s.id == "" {
		s.id = fmt.Sprintf("s-%016x", rand.Uint64())
	}
	if status, text := e.admit(l, &r, s); status != http.StatusOK {
		fail(ctx, status, text)
		return
	}
	if r.Stream {
		e.writeStream(l, ctx, s, s.base)
		return
	}
	e.writeComplete(l, ctx, s)
}

// newStream returns the stream of a request, or an error if its continue_from does
// not hold the first tokens of one answer.
func newStream(r *completionRequest) (*stream, error) {
	s := &stream{
		priority: r.Priority,
		base:     len(r.ContinueFrom),
		produced: len(r.ContinueFrom),
		limit:    r.MaxTokens,
	}
	if s.limit <= 0 {
		s.limit = defaultMaxTokens
	}
	s.limit = min(s.limit, maxMaxTokens)
	prompt := r.prompt()
	s.bytes = len(prompt)
	s.blocks = prefix.Blocks(prompt)
	s.crashes = strings.Contains(prompt, crashWord)
	if s.base == 0 {
		s.nonce = fmt.Sprintf("%012x", rand.Uint64()>>16)
		return s, nil
	}
	nonce, err := readNonce(r.ContinueFrom)
	s.nonce = nonce
	return s, err
}

// admit adds the stream to the batch. If it is refused, admit returns the status
// and text of the response.
func (e *Engine) admit(l *runState, r *completionRequest, s *stream) (status int, text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := l.state.find(r.Model, r.Version)
	switch {
	case l.leaving:
		status, text = http.StatusServiceUnavailable, "leaving"
	case m == nil:
		status, text = http.StatusNotFound, "model is not loaded"
	case r.Adapter != "" && !slices.Contains(m.Adapters, r.Adapter):
		status, text = http.StatusNotFound, "adapter is not loaded"
	case s.base > 0 && e.cfg.CannotContinue:
		status, text = http.StatusNotImplemented, "cannot continue from tokens"
	case l.batch.streams[s.id] != nil:
		status, text = http.StatusConflict, "stream exists"
	case l.batch.full():
		status, text = http.StatusTooManyRequests, "full"
	default:
		s.model = Model{Model: m.Model, Version: m.Version}
		l.batch.submit(e.timer.Now(), s)
		return http.StatusOK, ""
	}
	e.counters.Refused++
	return status, text
}

func (e *Engine) handleResume(l *runState, ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	s := l.batch.streams[id]
	if s == nil {
		e.mu.Unlock()
		fail(ctx, http.StatusNotFound, "stream is not known")
		return
	}
	from := s.base
	if last := string(ctx.Request.Header.Peek("Last-Event-ID")); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil || n < 0 || n >= s.produced {
			e.mu.Unlock()
			fail(ctx, http.StatusBadRequest, "Last-Event-ID is not the index of a token of this stream")
			return
		}
		from = n + 1
	}
	s.attached++
	e.counters.Resumed++
	e.mu.Unlock()
	e.writeStream(l, ctx, s, from)
}

func (e *Engine) handleCancel(l *runState, ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	if s := l.batch.streams[id]; s != nil {
		l.batch.cancel(s)
	}
	e.mu.Unlock()
	ctx.SetStatusCode(http.StatusNoContent)
}

func (e *Engine) handleLoad(l *runState, ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	r := l.load
	r.AgeMs = e.timer.Now().Sub(l.loadTime).Milliseconds()
	e.mu.Unlock()
	standinnetwork.WriteJSON(ctx, http.StatusOK, r)
}

func (e *Engine) handleEvents(l *runState, ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil && ctx.QueryArgs().Has("after") {
		fail(ctx, http.StatusBadRequest, "after is not a number")
		return
	}
	e.mu.Lock()
	out := l.batch.cache.eventsAfter(e.timer.Now(), after)
	e.mu.Unlock()
	standinnetwork.WriteJSON(ctx, http.StatusOK, out)
}

func (e *Engine) handleOrder(l *runState, ctx *fasthttp.RequestCtx) {
	var o order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		fail(ctx, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.cfg.ChecksFencing && o.FencingNumber < l.state.FencingNumber:
		e.counters.OrdersRefused++
		fail(ctx, http.StatusConflict, fmt.Sprintf("fencing number is %d, want at least %d", o.FencingNumber, l.state.FencingNumber))
	case !l.state.apply(o):
		e.counters.OrdersRefused++
		fail(ctx, http.StatusBadRequest, "order has an unknown kind, lacks a name, or its model is not loaded")
	default:
		e.counters.OrdersTaken++
		standinnetwork.WriteJSON(ctx, http.StatusOK, l.state.clone())
	}
}

func (e *Engine) handleFault(ctx *fasthttp.RequestCtx) {
	var f fault
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		fail(ctx, http.StatusBadRequest, err.Error())
		return
	}
	switch f.Kind {
	case "Kill":
		go e.Kill()
	case "Freeze":
		e.Freeze()
	case "Thaw":
		e.Thaw()
	case "Silence":
		e.silence(ctx.Conn())
	case "Leave":
		e.Leave()
	case "Slow":
		e.Slow(f.Factor)
	case "Lag":
		e.Lag(f.Duration.Std())
	default:
		fail(ctx, http.StatusBadRequest, "no such fault")
		return
	}
	ctx.SetStatusCode(http.StatusNoContent)
}

func fail(ctx *fasthttp.RequestCtx, status int, text string) {
	standinnetwork.WriteJSON(ctx, status, errorBody{errorText{text, http.StatusText(status)}})
}

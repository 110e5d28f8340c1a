// Package caller is a client of the system's model services.
//
// It sends each request under an id and keeps the cursor of the last event. When
// its connection fails or delivers nothing for too long, it resumes from that
// cursor at the next address. It measures when tokens arrive, so that load tools
// and tests can check what a caller observes.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"crocuslug/ident"
	"crocuslug/problem"
	"crocuslug/result"
	"crocuslug/timer"
)

// Settings configures a Caller. Zero durations and counts mean the defaults.
type Settings struct {
	Addresses  []string      // host:port of entry instances, tried in turn
	Key        string        // bearer key of a workspace
	Silence    time.Duration // read timeout of a connection
	Reconnects int           // maximum number of reconnects of a request
	Pause      time.Duration // before each reconnect
	NoCursor   bool          // resend the request from the start instead of resuming; for comparison
}

// Defaults of Settings.
const (
	defaultSilence    = 8 * time.Second
	defaultReconnects = 20
	defaultPause      = 20 * time.Millisecond
)

// Caller sends requests. It is safe for concurrent use.
type Caller struct {
	cfg   Settings
	timer *timer.Service
}

// New returns a caller with the given settings.
func New(cfg Settings, t *timer.Service) *Caller {
	if cfg.Silence == 0 {
		cfg.Silence = defaultSilence
	}
	if cfg.Reconnects == 0 {
		cfg.Reconnects = defaultReconnects
	}
	if cfg.Pause == 0 {
		cfg.Pause = defaultPause
	}
	return &Caller{cfg: cfg, timer: t}
}

// Request is one chat completion request.
type Request struct {
	ID        ident.Request
	Model     string
	Prompt    string
	MaxTokens int
	First     int                                // index in Settings.Addresses of the first address to try
	Trace     string                             // traceparent header, may be empty
	OnToken   func(index int, text string)       // called for each token, may be nil
	OnLost    func(address string, reason error) // called for each failed attempt, may be nil
}

// Answer is the outcome of a request, with what arrived before it ended.
type Answer struct {
	Tokens      []string
	Whole       bool          // whether the stream reached its end marker
	Finish      string        // finish reason of the completion
	Err         *result.Error // the failure that the system reported, or nil
	FirstToken  time.Duration // from sending to the first token
	Total       time.Duration
	LongestGap  time.Duration // between two consecutive tokens
	Reconnects  int
	LastAddress string // address of the last attempt
	Cursor      string // event id of the last token
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// body is a chat completion request.
type body struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
}

// chunk holds the fields of a streamed completion event that the caller uses.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// exchange is the state of one request across its attempts.
type exchange struct {
	c        *Caller
	r        Request
	answer   Answer
	cursor   string
	sent     time.Time
	last     time.Time
	finished bool
}

// Do sends r and returns when the answer is complete, the system reports a
// failure that a retry cannot mend, the reconnects are used up, or ctx ends. In
// the last two cases Err is the failure of the last attempt if the system
// reported it, and nil otherwise.
func (c *Caller) Do(ctx context.Context, r Request) Answer {
	x := &exchange{c: c, r: r, sent: c.timer.Now()}
	var lastErr error
	for attempt := 0; !x.finished && ctx.Err() == nil && attempt <= c.cfg.Reconnects; attempt++ {
		address := c.cfg.Addresses[(r.First+attempt)%len(c.cfg.Addresses)]
		x.answer.LastAddress = address
		x.answer.Reconnects = attempt
		err := x.connect(ctx, address)
		if lastErr = err; err == nil {
			continue
		}
		if r.OnLost != nil {
			r.OnLost(address, err)
		}
		c.sleep(ctx, c.cfg.Pause)
	}
	if !x.finished {
		errors.As(lastErr, &x.answer.Err)
	}
	x.answer.Total = c.timer.Now().Sub(x.sent)
	return x.answer
}

func (c *Caller) sleep(ctx context.Context, d time.Duration) {
	done := make(chan struct{})
	sub := c.timer.After(d, func(time.Time) { close(done) })
	defer sub.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// readTimeoutConn is a connection whose reads fail after limit without data.
type readTimeoutConn struct {
	net.Conn
	limit time.Duration
	timer *timer.Service
}

// Read fails if no data arrives within the limit.
func (q *readTimeoutConn) Read(b []byte) (int, error) {
	if err := q.SetReadDeadline(q.timer.Now().Add(q.limit)); err != nil {
		return 0, err
	}
	return q.Conn.Read(b)
}

// connect makes one attempt: it sends the request to address, or resumes the
// answer there from the cursor. An error means that another attempt may succeed.
func (x *exchange) connect(ctx context.Context, address string) error {
	var conn net.Conn
	client := &fasthttp.HostClient{
		Addr:               address,
		StreamResponseBody: true,
		Dial: func(addr string) (net.Conn, error) {
			nc, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
			if err != nil {
				return nil, err
			}
			conn = nc
			return &readTimeoutConn{nc, x.c.cfg.Silence, x.c.timer}, nil
		},
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	x.buildRequest(req, address)
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	stop := context.AfterFunc(ctx, func() {
		if conn != nil {
			_ = conn.Close()
		}
	})
	defer stop()
	if err := client.Do(req, resp); err != nil {
		return err
	}
	return x.readResponse(resp)
}

func (x *exchange) buildRequest(req *fasthttp.Request, address string) {
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+x.c.cfg.Key)
	if x.r.Trace != "" {
		req.Header.Set("traceparent", x.r.Trace)
	}
	if x.cursor != "" && !x.c.cfg.NoCursor {
		req.SetRequestURI("http://" + address + "/v1/generations/" + string(x.r.ID))
		req.Header.Set("Last-Event-ID", x.cursor)
		return
	}
	// Marshal cannot fail for a body: it holds only strings, numbers and booleans.
	b, _ := json.Marshal(body{
		Model:     x.r.Model,
		Messages:  []message{{Role: "user", Content: x.r.Prompt}},
		Stream:    true,
		MaxTokens: x.r.MaxTokens,
	})
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + "/v1/chat/completions")
	req.Header.SetContentType("application/json")
	req.Header.Set("X-Request-Id", string(x.r.ID))
	req.SetBodyRaw(b)
}

// readResponse reads the answer. An error means that another attempt may succeed.
func (x *exchange) readResponse(resp *fasthttp.Response) error {
	if resp.StatusCode() != fasthttp.StatusOK {
		return x.readProblem(resp)
	}
	for ev, err := range sse.Read(resp.BodyStream(), nil) {
		switch {
		case err != nil:
			return err
		case ev.Type == "error":
			return x.handleProblem([]byte(ev.Data))
		case ev.Data == "[DONE]":
			x.finished = true
			x.answer.Whole = true
			return nil
		}
		if err := x.recordToken(ev); err != nil {
			return err
		}
	}
	return errors.New("stream ended before its end marker")
}

// maxProblemBytes bounds the body of a response other than 200 OK.
const maxProblemBytes = 1 << 16

func (x *exchange) readProblem(resp *fasthttp.Response) error {
	b := make([]byte, maxProblemBytes)
	n := 0
	for n < len(b) {
		m, err := resp.BodyStream().Read(b[n:])
		n += m
		if err != nil {
			break
		}
	}
	return x.handleProblem(b[:n])
}

// handleProblem decodes a failure that the system reported. It returns an error
// if another attempt may succeed; otherwise it stores the failure as the outcome.
func (x *exchange) handleProblem(details []byte) error {
	e, ok := problem.Read(details)
	if !ok {
		return errs.New("failure response is not a valid problem document")
	}
	switch e.Code {
	case result.GenerationMoved, result.PeerUnavailable, result.InstanceLeaving, result.ConfigurationMissing:
		return e
	}
	x.answer.Err = e
	x.finished = true
	return nil
}

func (x *exchange) recordToken(ev sse.Event) error {
	var c chunk
	if err := json.Unmarshal([]byte(ev.Data), &c); err != nil || len(c.Choices) != 1 {
		return fmt.Errorf("malformed event %q, want a completion chunk with one choice", ev.Data)
	}
	if r := c.Choices[0].FinishReason; r != nil {
		x.answer.Finish = *r
		return nil
	}
	now := x.c.timer.Now()
	if len(x.answer.Tokens) == 0 {
		x.answer.FirstToken = now.Sub(x.sent)
	} else {
		x.answer.LongestGap = max(x.answer.LongestGap, now.Sub(x.last))
	}
	x.last = now
	x.cursor = ev.LastEventID
	x.answer.Cursor = x.cursor
	x.answer.Tokens = append(x.answer.Tokens, c.Choices[0].Delta.Content)
	if x.r.OnToken != nil {
		x.r.OnToken(len(x.answer.Tokens)-1, c.Choices[0].Delta.Content)
	}
	return nil
}

// Package caller is a client of the system's model services.
//
// It does what a good caller does: it names its request, keeps the cursor of the
// last event, and when its connection is lost or silent it goes on from there
// through the next address. It notes when tokens came, so that load tools and
// tests can judge what a caller saw.
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

// Settings describe a caller. Zero values mean the defaults.
type Settings struct {
	Addresses  []string // host:port of entry instances, tried in turn
	Key        string   // bearer key of a workspace
	Silence    time.Duration
	Reconnects int           // after which the caller gives up
	Pause      time.Duration // before each reconnect
	NoCursor   bool          // sends the request again from the start; for comparison
}

// Defaults of Settings.
const (
	defaultSilence    = 8 * time.Second
	defaultReconnects = 20
	defaultPause      = 20 * time.Millisecond
)

// Caller sends requests. Its methods may be called from any goroutine.
type Caller struct {
	cfg   Settings
	timer *timer.Service
}

// New returns a caller.
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

// Request is one request for an answer.
type Request struct {
	ID        ident.Request
	Model     string
	Prompt    string
	MaxTokens int
	First     int                                // index of the address to begin with
	Trace     string                             // traceparent header, may be empty
	OnToken   func(index int, text string)       // called for each token, may be nil
	OnLost    func(address string, reason error) // called for each lost connection, may be nil
}

// Answer is what came back.
type Answer struct {
	Tokens      []string
	Whole       bool
	Finish      string
	Err         *result.Error // the system's final answer, if it was a failure
	FirstToken  time.Duration // from sending to the first token
	Total       time.Duration
	LongestGap  time.Duration // between two tokens
	Reconnects  int
	LastAddress string
	Cursor      string // of the last token
}

// message is one message of a chat completion request.
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

// chunk is the part of a streamed completion that is read.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// exchange is one answer on its way.
type exchange struct {
	c      *Caller
	r      Request
	answer Answer
	cursor string
	sent   time.Time
	last   time.Time
	final  bool
}

// Do sends r and returns the answer when it is whole, has failed for good, or
// ctx has ended. A caller that gives up tells the last refusal, if there was one.
func (c *Caller) Do(ctx context.Context, r Request) Answer {
	x := &exchange{c: c, r: r, sent: c.timer.Now()}
	var lost error
	for try := 0; !x.final && ctx.Err() == nil && try <= c.cfg.Reconnects; try++ {
		address := c.cfg.Addresses[(r.First+try)%len(c.cfg.Addresses)]
		x.answer.LastAddress = address
		x.answer.Reconnects = try
		err := x.connect(ctx, address)
		if lost = err; err == nil {
			continue
		}
		if r.OnLost != nil {
			r.OnLost(address, err)
		}
		c.sleep(ctx, c.cfg.Pause)
	}
	if !x.final {
		errors.As(lost, &x.answer.Err)
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

// quietConn fails a read that waits longer than the limit.
type quietConn struct {
	net.Conn
	limit time.Duration
	timer *timer.Service
}

// Read reads within the limit.
func (q *quietConn) Read(b []byte) (int, error) {
	if err := q.SetReadDeadline(q.timer.Now().Add(q.limit)); err != nil {
		return 0, err
	}
	return q.Conn.Read(b)
}

// connect sends the request, or asks for the rest of its answer, at one address.
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
			return &quietConn{nc, x.c.cfg.Silence, x.c.timer}, nil
		},
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	x.fill(req, address)
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
	return x.read(resp)
}

func (x *exchange) fill(req *fasthttp.Request, address string) {
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+x.c.cfg.Key)
	if x.r.Trace != "" {
		req.Header.Set("traceparent", x.r.Trace)
	}
	if x.cursor != "" && !x.c.cfg.NoCursor {
		req.SetRequestURI("http://" + address + "/v1/generations/" + string(x.r.ID))
		req.Header.Set("Last-Event-ID", x.cursor)
		return
	}
	// A body always has a JSON form.
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

// read takes in a response. An error means that the connection was lost.
func (x *exchange) read(resp *fasthttp.Response) error {
	if resp.StatusCode() != fasthttp.StatusOK {
		return x.refused(resp)
	}
	for ev, err := range sse.Read(resp.BodyStream(), nil) {
		switch {
		case err != nil:
			return err
		case ev.Type == "error":
			return x.failed([]byte(ev.Data))
		case ev.Data == "[DONE]":
			x.final = true
			x.answer.Whole = true
			return nil
		}
		if err := x.token(ev); err != nil {
			return err
		}
	}
	return errors.New("connection ended early")
}

// maxProblemBytes bounds the body of a refusal.
const maxProblemBytes = 1 << 16

func (x *exchange) refused(resp *fasthttp.Response) error {
	b := make([]byte, maxProblemBytes)
	n := 0
	for n < len(b) {
		m, err := resp.BodyStream().Read(b[n:])
		n += m
		if err != nil {
			break
		}
	}
	return x.failed(b[:n])
}

// failed takes in the system's own failure. Some are worth another try elsewhere.
func (x *exchange) failed(details []byte) error {
	e, ok := problem.Read(details)
	if !ok {
		return errs.New("unreadable failure")
	}
	switch e.Code {
	case result.GenerationMoved, result.PeerUnavailable, result.InstanceLeaving, result.ConfigurationMissing:
		return e
	}
	x.answer.Err = e
	x.final = true
	return nil
}

func (x *exchange) token(ev sse.Event) error {
	var c chunk
	if err := json.Unmarshal([]byte(ev.Data), &c); err != nil || len(c.Choices) != 1 {
		return fmt.Errorf("malformed event %q", ev.Data)
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

// Package engineclient speaks to model engines over HTTP.
//
// Each stream has a connection of its own, newly opened, so that a connection
// that has gone silent is never taken for a fresh one, and closing a stream
// disturbs no other.
package engineclient

import (
	"bufio"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/propagation"

	"crocuslug/generation"
)

// Settings bound a Client. Zero values mean the defaults.
type Settings struct {
	DialLimit   time.Duration // time limit of opening a connection
	CancelLimit time.Duration // time limit of a cancellation
}

// Defaults of Settings.
const (
	defaultDialLimit   = 250 * time.Millisecond
	defaultCancelLimit = time.Second
)

// Client opens streams on engines. Its methods may be called from any goroutine.
type Client struct {
	cfg    Settings
	cancel fasthttp.Client
}

// New returns a client.
func New(cfg Settings) *Client {
	if cfg.DialLimit == 0 {
		cfg.DialLimit = defaultDialLimit
	}
	if cfg.CancelLimit == 0 {
		cfg.CancelLimit = defaultCancelLimit
	}
	return &Client{cfg: cfg, cancel: fasthttp.Client{
		ReadTimeout:         cfg.CancelLimit,
		WriteTimeout:        cfg.CancelLimit,
		MaxIdleConnDuration: time.Second,
	}}
}

// Request is what a stream is started from.
type Request struct {
	Address  string
	Stream   string
	Body     []byte   // the caller's request, JSON
	Held     []string // tokens to continue from
	Version  string
	Adapter  string
	Priority int                    // lower runs sooner
	Trace    propagation.MapCarrier // headers of the trace, may be nil
}

// Lost is the error of a stream that could not be opened or went on.
type Lost struct {
	Cause generation.LossCause
	Err   error
}

// Error returns the text of the cause.
func (l *Lost) Error() string {
	return l.Err.Error()
}

func lost(c generation.LossCause, err error) *Lost {
	return &Lost{Cause: c, Err: err}
}

// Prepare returns a stream that is not open. Closing it ends Open.
func (c *Client) Prepare() *Stream {
	return &Stream{dialLimit: c.cfg.DialLimit}
}

// Start opens s as a new stream. The error is a *Lost.
func (c *Client) Start(s *Stream, r Request) error {
	body, err := requestBody(r)
	if err != nil {
		return lost(generation.RequestRejected, err)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + r.Address + "/v1/chat/completions")
	req.Header.SetContentType("application/json")
	req.Header.Set("X-Request-Id", r.Stream)
	setTrace(req, r.Trace)
	req.SetBodyRaw(body)
	return s.open(r.Address, r.Stream, req)
}

// Resume opens s as the rest of a stream that the engine knows, from token
// index from. The error is a *Lost.
func (c *Client) Resume(s *Stream, r Request, from int) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + r.Address + "/v1/streams/" + r.Stream)
	if from > 0 {
		req.Header.Set("Last-Event-ID", strconv.Itoa(from-1))
	}
	setTrace(req, r.Trace)
	return s.open(r.Address, r.Stream, req)
}

func setTrace(req *fasthttp.Request, t propagation.MapCarrier) {
	for k, v := range t {
		req.Header.Set(k, v)
	}
}

// Cancel asks an engine to drop a stream.
func (c *Client) Cancel(address, stream string) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodDelete)
	req.SetRequestURI("http://" + address + "/v1/streams/" + stream)
	return errs.Wrap(c.cancel.DoTimeout(req, resp, c.cfg.CancelLimit))
}

// requestBody returns the caller's request with what the stream needs besides.
// All fields that the system does not know are passed on.
func requestBody(r Request) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return nil, errs.Wrap(err)
	}
	if fields == nil {
		return nil, errs.New("want a request in JSON")
	}
	set := func(name string, v any) {
		// Strings and lists of strings always have a JSON form.
		fields[name], _ = json.Marshal(v)
	}
	set("stream", true)
	set("priority", r.Priority)
	if r.Version != "" {
		set("version", r.Version)
	}
	if r.Adapter != "" {
		set("adapter", r.Adapter)
	}
	if len(r.Held) > 0 {
		set("continue_from", r.Held)
	}
	b, err := json.Marshal(fields)
	return b, errs.Wrap(err)
}

// dial opens a connection. An error means that nothing was sent.
func dial(address string, limit time.Duration) (net.Conn, *bufio.Reader, error) {
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return nil, nil, err
	}
	const readBuffer = 4096
	return conn, bufio.NewReaderSize(conn, readBuffer), nil
}

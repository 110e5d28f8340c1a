// Package engineclient is the HTTP client of model engines.
//
// Each stream uses a new connection. A connection that became silent is therefore never reused,
// and closing a stream does not affect any other.
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

// Settings configure a Client. Zero values stand for the defaults.
type Settings struct {
	DialTimeout   time.Duration // limit for opening a connection
	CancelTimeout time.Duration // limit of a cancellation
}

// Defaults of Settings.
const (
	defaultDialTimeout   = 250 * time.Millisecond
	defaultCancelTimeout = time.Second
)

// Client opens streams on engines. Its methods may be called from any goroutine.
type Client struct {
	cfg    Settings
	cancel fasthttp.Client
}

// New returns a client.
func New(cfg Settings) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.CancelTimeout == 0 {
		cfg.CancelTimeout = defaultCancelTimeout
	}
	const maxAnswer = 64 << 10 // bytes; the body is not used
	return &Client{cfg: cfg, cancel: fasthttp.Client{
		MaxResponseBodySize: maxAnswer,
		ReadTimeout:         cfg.CancelTimeout,
		WriteTimeout:        cfg.CancelTimeout,
		MaxIdleConnDuration: time.Second,
	}}
}

// Request describes a stream to start.
type Request struct {
	Address  string   // host:port of the engine
	Stream   string   // name of the stream
	Body     []byte   // the caller's request, JSON
	Prefix   []string // tokens with which the answer begins, to continue it; may be empty
	Version  string
	Adapter  string
	Priority int                    // requests with a lower value run earlier
	Trace    propagation.MapCarrier // header fields of the trace; may be nil
}

// StreamError is the error of a stream that could not be opened or that broke off.
type StreamError struct {
	Cause generation.LossCause
	Err   error
}

// Error returns the text of the underlying error.
func (l *StreamError) Error() string {
	return l.Err.Error()
}

func streamError(c generation.LossCause, err error) *StreamError {
	return &StreamError{Cause: c, Err: err}
}

// NewStream returns a stream that is not open yet. Closing it also ends a Start or Resume in
// progress.
func (c *Client) NewStream() *Stream {
	return &Stream{dialTimeout: c.cfg.DialTimeout}
}

// Start opens s as a new stream. The error is a *StreamError.
func (c *Client) Start(s *Stream, r Request) error {
	body, err := requestBody(r)
	if err != nil {
		return streamError(generation.RequestRejected, err)
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

// Resume opens s to read a stream that the engine already knows, beginning with the token of index
// from. The error is a *StreamError.
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

// setTrace adds the header fields of a trace to req.
func setTrace(req *fasthttp.Request, t propagation.MapCarrier) {
	for k, v := range t {
		req.Header.Set(k, v)
	}
}

// Cancel tells an engine to stop a stream and forget it.
func (c *Client) Cancel(address, stream string) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodDelete)
	req.SetRequestURI("http://" + address + "/v1/streams/" + stream)
	return errs.Wrap(c.cancel.DoTimeout(req, resp, c.cfg.CancelTimeout))
}

// requestBody returns the caller's request with the fields that the stream needs in addition. All
// fields that the system does not know are kept.
func requestBody(r Request) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return nil, errs.Wrap(err)
	}
	if fields == nil {
		return nil, errs.New("body: got null, want a JSON object")
	}
	set := func(name string, v any) {
		// Marshal does not fail for the types used here.
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
	if len(r.Prefix) > 0 {
		set("continue_from", r.Prefix)
	}
	b, err := json.Marshal(fields)
	return b, errs.Wrap(err)
}

// dial opens a connection. If it returns an error, nothing was sent.
func dial(address string, limit time.Duration) (net.Conn, *bufio.Reader, error) {
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return nil, nil, err
	}
	const readBuffer = 4096
	return conn, bufio.NewReaderSize(conn, readBuffer), nil
}

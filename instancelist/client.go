package instancelist

import (
	"context"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

// Settings configures a Client. Address is required.
type Settings struct {
	Address  string        // host:port of the platform's service
	Timeout  time.Duration // time limit of one fetch; 0 means 2 s
	MaxBytes int           // largest size of a list in bytes; 0 means 16 MiB
}

// Client fetches the list of instances. It is safe for concurrent use.
type Client struct {
	cfg  Settings
	http *fasthttp.HostClient
}

// Defaults of Settings.
const (
	defaultTimeout  = 2 * time.Second
	defaultMaxBytes = 16 << 20
)

// New returns a client.
func New(cfg Settings) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	return &Client{cfg: cfg, http: &fasthttp.HostClient{
		Addr:                      cfg.Address,
		MaxResponseBodySize:       cfg.MaxBytes,
		MaxIdemponentCallAttempts: 1,
	}}
}

// fetchResult is the result of one fetch.
type fetchResult struct {
	list List
	err  error
}

// Fetch returns the current list of the platform without the instances that
// cannot be used. It returns an error if the list does not arrive in time or is
// malformed. Each call opens a new connection,
// because requests on an idle one may get no answer.
func (c *Client) Fetch(ctx context.Context) (List, error) {
	done := make(chan fetchResult, 1)
	go func() {
		l, err := c.fetch()
		done <- fetchResult{l, err}
	}()
	select {
	case a := <-done:
		return a.list, a.err
	case <-ctx.Done():
		return List{}, errs.Wrap(ctx.Err())
	}
}

func (c *Client) fetch() (List, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + c.cfg.Address + "/v1/instances")
	req.SetConnectionClose()
	if err := c.http.DoTimeout(req, res, c.cfg.Timeout); err != nil {
		return List{}, errs.Wrap(err)
	}
	if got := res.StatusCode(); got != http.StatusOK {
		return List{}, errs.New("status %d, want %d", got, http.StatusOK)
	}
	return ParseUsable(res.Body())
}

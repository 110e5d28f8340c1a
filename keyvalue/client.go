// Package keyvalue is the client of the platform's key-value service.
//
// The service is shared by all daemons, counts every call and has outages, so
// the client keeps within a budget, joins identical reads, and backs off with
// jitter after failures. A write is sent once: whether it was applied is told
// apart exactly, and what to do about an unknown outcome is the caller's
// decision.
package keyvalue

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"crocuslug/store"
	"crocuslug/timer"
	"crocuslug/unit"
)

// Settings describe a client. The zero value of each but Address works.
type Settings struct {
	Address         string        // host:port of the service
	Timeout         time.Duration // limit of a call that is no watch; 0 means 2 s
	WatchTimeout    time.Duration // limit of a watch, above the wait of the service; 0 means 15 s
	ReadsPerSecond  float64       // budget of reads and watches; 0 means 20
	WritesPerSecond float64       // budget of writes; 0 means 10
	Burst           int           // calls that may be made at once within the budgets; 0 means 40
	BudgetWait      time.Duration // longest wait for the budget; 0 means 500 ms
	BackOff         time.Duration // mean wait after an outage begins; 0 means 250 ms
	MaxBackOff      time.Duration // mean wait that repeated failures lead to; 0 means 8 s
	MaxBytes        int           // limit of the size of an answer; 0 means 64 MiB
	Seed            uint64        // of the jitter; daemons need different ones
	ContentType     string        // of bodies; the HTTP library's default if empty
	Dialect         Dialect       // Native if its fields are nil
}

// Defaults of Settings, and the failures in a row that stop calls.
const (
	defaultTimeout         = 2 * time.Second
	defaultWatchTimeout    = 15 * time.Second
	defaultReadsPerSecond  = 20
	defaultWritesPerSecond = 10
	defaultBurst           = 40
	defaultBudgetWait      = 500 * time.Millisecond
	defaultBackOff         = 250 * time.Millisecond
	defaultMaxBackOff      = 8 * time.Second
	defaultMaxBytes        = 64 << 20
	failureThreshold       = 3
)

func (cfg *Settings) setDefaults() {
	unit.Fallback(&cfg.Timeout, defaultTimeout)
	unit.Fallback(&cfg.WatchTimeout, defaultWatchTimeout)
	unit.Fallback(&cfg.ReadsPerSecond, defaultReadsPerSecond)
	unit.Fallback(&cfg.WritesPerSecond, defaultWritesPerSecond)
	unit.Fallback(&cfg.Burst, defaultBurst)
	unit.Fallback(&cfg.BudgetWait, defaultBudgetWait)
	unit.Fallback(&cfg.BackOff, defaultBackOff)
	unit.Fallback(&cfg.MaxBackOff, defaultMaxBackOff)
	unit.Fallback(&cfg.MaxBytes, defaultMaxBytes)
}

// Calls counts what a client has done.
type Calls struct {
	Reads         uint64 // sent to the service, without watches
	Writes        uint64 // sent to the service
	Watches       uint64 // sent to the service
	Joined        uint64 // reads that were answered by another's call
	OverBudget    uint64 // calls refused here for want of budget
	BackedOff     uint64 // calls refused here after failures of the service
	Unavailable   uint64 // calls that the service did not apply
	Unknown       uint64 // writes with an unknown outcome
	SilentWatches uint64 // watches that were replaced because their connection was silent
}

// Client calls the service. Its methods may be called from any goroutine.
type Client struct {
	cfg     Settings
	timer   *timer.Service
	http    *fasthttp.HostClient
	dialect Dialect
	conns   *connections
	reads   *rate.Limiter
	writes  *rate.Limiter
	joiner  joiner

	mu      sync.Mutex
	breaker *breaker
	calls   Calls
}

// New returns a client that takes the time from t, which has to run.
func New(cfg Settings, t *timer.Service) *Client {
	cfg.setDefaults()
	dialect := cfg.Dialect
	if dialect.Get == nil {
		dialect = Native()
	}
	conns := newConnections(cfg.Timeout / 2)
	return &Client{
		cfg:     cfg,
		timer:   t,
		conns:   conns,
		dialect: dialect,
		reads:   rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), cfg.Burst),
		writes:  rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), cfg.Burst),
		joiner:  joiner{flights: make(map[string]*flight)},
		breaker: newBreaker(cfg.BackOff, cfg.MaxBackOff, cfg.Seed),
		http: &fasthttp.HostClient{
			Addr:                      cfg.Address,
			Dial:                      conns.dial,
			MaxResponseBodySize:       cfg.MaxBytes,
			MaxIdemponentCallAttempts: 1, // a write is never sent twice
			DisablePathNormalizing:    true,
		},
	}
}

// Port returns the client as the platform's port.
func (c *Client) Port() store.Store {
	return store.Store{
		Get:    c.Get,
		List:   c.List,
		Scan:   c.Scan,
		Put:    c.Put,
		Delete: c.Delete,
		Watch:  c.Watch,
		Grant:  c.Grant,
		Renew:  c.Renew,
		Revoke: c.Revoke,
	}
}

// Calls returns the counts up to now.
func (c *Client) Calls() Calls {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Close closes all connections. Calls in progress fail, and so do later ones.
func (c *Client) Close() {
	c.conns.close()
}

// count adds one to a counter of calls.
func (c *Client) count(n *uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}

// sleep waits for d or the end of ctx.
func (c *Client) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	done := make(chan struct{})
	sub := c.timer.After(d, func(time.Time) { close(done) })
	defer sub.Stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

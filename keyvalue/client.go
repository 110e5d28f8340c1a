// Package keyvalue is the client of the platform's key-value service.
//
// The service is shared by all daemons, counts every call and has outages. The client therefore
// keeps its call rate within a budget, coalesces identical reads, and backs off with jitter after
// failures. It sends a write once and reports exactly whether the write was applied, was not
// applied, or has an unknown outcome. The caller decides what to do about an unknown outcome.
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

// Settings configure a Client. Zero values of all fields but Address stand for the defaults.
type Settings struct {
	Address         string        // host:port of the service
	Timeout         time.Duration // limit of a call other than a watch; 0 means 2 s
	WatchWait       time.Duration // time that the service is asked to wait in a watch; 0 means 10 s
	WatchMargin     time.Duration // time after WatchWait after which a watch without an answer is sent once more while it is waited for; 0 means never
	WatchAttempts   int           // connections on which a watch without an answer is tried; 0 means 2
	ReadsPerSecond  float64       // budget of reads and watches; 0 means 20
	WritesPerSecond float64       // budget of writes; 0 means 10
	Burst           int           // calls that the budgets allow at once; 0 means 40
	MaxBudgetWait   time.Duration // longest wait for the budget; 0 means 500 ms
	BackOff         time.Duration // mean wait for the first probe in an outage; 0 means 250 ms
	MaxBackOff      time.Duration // largest mean wait between probes; 0 means 8 s
	MaxBytes        int           // size limit of an answer in bytes; 0 means 64 MiB
	Seed            uint64        // seed of the jitter; each daemon needs its own
	ContentType     string        // of request bodies; "" means the default of the HTTP library
	Dialect         Dialect       // NativeDialect if its functions are nil
}

// Defaults of Settings.
const (
	defaultTimeout         = 2 * time.Second
	defaultWatchWait       = 10 * time.Second
	defaultWatchAttempts   = 2
	defaultReadsPerSecond  = 20
	defaultWritesPerSecond = 10
	defaultBurst           = 40
	defaultMaxBudgetWait   = 500 * time.Millisecond
	defaultBackOff         = 250 * time.Millisecond
	defaultMaxBackOff      = 8 * time.Second
	defaultMaxBytes        = 64 << 20
	failureThreshold       = 3 // failures in a row after which the breaker opens
)

func (cfg *Settings) setDefaults() {
	unit.SetDefault(&cfg.Timeout, defaultTimeout)
	unit.SetDefault(&cfg.WatchWait, defaultWatchWait)
	unit.SetDefault(&cfg.WatchAttempts, defaultWatchAttempts)
	unit.SetDefault(&cfg.ReadsPerSecond, defaultReadsPerSecond)
	unit.SetDefault(&cfg.WritesPerSecond, defaultWritesPerSecond)
	unit.SetDefault(&cfg.Burst, defaultBurst)
	unit.SetDefault(&cfg.MaxBudgetWait, defaultMaxBudgetWait)
	unit.SetDefault(&cfg.BackOff, defaultBackOff)
	unit.SetDefault(&cfg.MaxBackOff, defaultMaxBackOff)
	unit.SetDefault(&cfg.MaxBytes, defaultMaxBytes)
}

// Calls counts the calls of a client by kind and outcome.
type Calls struct {
	Reads          uint64 // sent to the service, without watches
	Writes         uint64 // sent to the service
	Watches        uint64 // sent to the service
	Joined         uint64 // reads answered by a call that another read made
	OverBudget     uint64 // calls refused by the client because of the budget
	BackedOff      uint64 // calls refused by the client during a back-off
	Unavailable    uint64 // calls that failed and were not applied
	Unknown        uint64 // writes whose outcome is unknown
	SilentWatches  uint64 // watches without an answer within their time limit
	OverdueWatches uint64 // watches that were sent once more because they had no answer
}

// Client calls the service. Its methods may be called from any goroutine.
type Client struct {
	// OnOverdueWatch is called when a watch is sent once more because it has no answer. It may be nil. Set
	// it before the first use.
	OnOverdueWatch func()

	cfg       Settings
	timer     *timer.Service
	http      *fasthttp.HostClient
	dialect   Dialect
	conns     *connections
	reads     *rate.Limiter
	writes    *rate.Limiter
	coalescer coalescer

	mu          sync.Mutex
	breaker     *breaker
	calls       Calls
	watchSilent bool                   // the last watch got no answer within its time limit
	watchLate   bool                   // the last watch was answered after it had been sent once more
	era         uint64                 // the latest era of the service that an answer has shown
	leases      map[store.Lease]uint64 // eras in which leases were granted
}

// New returns a client that uses the time of t, which must be running.
func New(cfg Settings, t *timer.Service) *Client {
	cfg.setDefaults()
	dialect := cfg.Dialect
	if dialect.Get == nil {
		dialect = NativeDialect()
	}
	conns := newConnections(cfg.Timeout / 2)
	return &Client{
		cfg:       cfg,
		timer:     t,
		conns:     conns,
		dialect:   dialect,
		reads:     rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), cfg.Burst),
		writes:    rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), cfg.Burst),
		coalescer: coalescer{pending: make(map[string]*pendingRead)},
		leases:    make(map[store.Lease]uint64),
		breaker:   newBreaker(cfg.BackOff, cfg.MaxBackOff, cfg.Seed),
		http: &fasthttp.HostClient{
			Addr:                      cfg.Address,
			Dial:                      conns.dial,
			MaxResponseBodySize:       cfg.MaxBytes,
			MaxIdemponentCallAttempts: 1, // a write is never sent twice
			DisablePathNormalizing:    true,
		},
	}
}

// Store returns the client as a store.Store.
func (c *Client) Store() store.Store {
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

// Calls returns the current counts.
func (c *Client) Calls() Calls {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Close closes all connections. Calls in progress and later calls fail.
func (c *Client) Close() {
	c.conns.close()
}

// increment adds one to a counter of c.calls.
func (c *Client) increment(n *uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}

// sleep waits for d or until ctx ends.
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

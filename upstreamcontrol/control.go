// Package upstreamcontrol sends orders to load and unload models to the engines
// of a failure domain, while the instance holds the lease for that.
//
// Each round acquires or renews the lease, reads the state of the engines, lets
// the planner derive orders, and sends each order only if the lease is valid for
// long enough at that moment. Orders that were sent are not remembered: the next
// round reads the state of the engines again.
package upstreamcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/lease"
	"crocuslug/placement"
	"crocuslug/store"
	"crocuslug/timer"
	"crocuslug/unit"
)

// Settings of a Control. Zero values mean the defaults.
type Settings struct {
	Lease      lease.Settings
	Placement  placement.Settings
	OrderLimit unit.Duration // time limit of one order, from the check of the lease to the answer
	ReadLimit  unit.Duration // time limit of one read of an engine's state
}

// Defaults of Settings.
const (
	defaultOrderLimit = 3 * time.Second
	defaultReadLimit  = time.Second
)

// Ports are the functions that a Control calls. All but MayUnload are
// required.
type Ports struct {
	// Configuration returns the configuration in force, or nil.
	Configuration func() *configuration.Document
	// InUse returns the models that generations run on or wait for at an engine.
	InUse func(u ident.Upstream) []placement.Model
	// MayUnload reports whether no other instance uses the model at the engine;
	// nil means that there is no other instance.
	MayUnload func(ctx context.Context, o placement.Order) bool
}

// SentOrder is an order that was sent. If Err is not nil, it is unknown whether
// the order took effect; the next round reads the state of the engine.
type SentOrder struct {
	placement.Order
	Err error
}

// Control sends orders to the engines of one failure domain. It is not safe for
// concurrent use.
type Control struct {
	cfg     Settings
	ports   Ports
	store   store.Store
	timer   *timer.Service
	self    ident.Instance
	domain  ident.Domain
	holder  *lease.Holder
	planner *placement.Planner
	reads   fasthttp.Client
	orders  fasthttp.Client // keeps no connection: an answer does not name its order
}

// New returns a Control of the instance self for the failure domain d.
func New(cfg Settings, seams Ports, store store.Store, t *timer.Service, self ident.Instance, d ident.Domain) *Control {
	if cfg.OrderLimit == 0 {
		cfg.OrderLimit = unit.Duration(defaultOrderLimit)
	}
	if cfg.ReadLimit == 0 {
		cfg.ReadLimit = unit.Duration(defaultReadLimit)
	}
	return &Control{
		cfg: cfg, ports: seams, store: store, timer: t, self: self, domain: d,
		holder:  lease.New(cfg.Lease),
		planner: placement.New(cfg.Placement, d),
		reads:   fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxAnswer},
		orders:  fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxAnswer},
	}
}

// maxAnswer is the greatest size of the answer of an engine in bytes. That many may be read from
// maxConcurrentReads engines at once.
const maxAnswer = 256 << 10

// HoldsLease reports whether this instance holds the lease.
func (c *Control) HoldsLease() bool { return c.holder.Remaining(c.timer.Now()) > 0 }

// Round acquires or renews the lease. If this instance holds it, Round reads the
// state of the engines, sends the orders that follow from it and returns them.
// It releases the lease if the configuration has no placements.
func (c *Control) Round(ctx context.Context) []SentOrder {
	doc := c.ports.Configuration()
	if doc == nil || len(doc.Placements) == 0 {
		c.Release(ctx)
		return nil
	}
	c.maintainLease(ctx)
	if !c.HoldsLease() {
		return nil
	}
	upstreams := make(map[ident.Upstream]configuration.Upstream)
	for _, u := range doc.Upstreams {
		if u.Domain == c.domain && len(u.Models) > 0 {
			upstreams[u.Name] = u
		}
	}
	engines := c.readEngines(upstreams)
	c.maintainLease(ctx)
	var sent []SentOrder
	for _, o := range c.planner.Plan(doc.Placements, engines, c.timer.Now()) {
		if o.Kind == placement.Unload && c.ports.MayUnload != nil && !c.ports.MayUnload(ctx, o) {
			continue
		}
		if err := c.sendOrder(upstreams[o.Upstream], o); !errors.Is(err, errLeaseTooShort) {
			sent = append(sent, SentOrder{o, err})
		}
	}
	return sent
}

// Release revokes the lease if this instance holds it, so that another instance
// can acquire it immediately.
func (c *Control) Release(ctx context.Context) {
	if l := c.holder.Lease(); l != 0 {
		// If the call fails, the lease expires by itself.
		_ = c.store.Revoke(ctx, l)
		c.holder.Lost(c.timer.Now())
	}
}

// Close closes the idle connections to engines.
func (c *Control) Close() {
	c.reads.CloseIdleConnections()
}

// maxConcurrentReads is the number of engines whose state is read concurrently.
const maxConcurrentReads = 64

func (c *Control) readEngines(upstreams map[ident.Upstream]configuration.Upstream) []placement.Engine {
	var mu sync.Mutex
	var engines []placement.Engine
	var g errgroup.Group
	g.SetLimit(maxConcurrentReads)
	for _, u := range upstreams {
		g.Go(func() error {
			e := c.readEngine(u)
			mu.Lock()
			defer mu.Unlock()
			engines = append(engines, e)
			return nil
		})
	}
	_ = g.Wait()
	for i := range engines {
		engines[i].InUse = c.ports.InUse(engines[i].Name)
	}
	return engines
}

// maintainLease acquires or renews the lease if that is due.
func (c *Control) maintainLease(ctx context.Context) {
	began := c.timer.Now()
	switch c.holder.NextAction(began) {
	case lease.Acquire:
		c.acquire(ctx, began)
	case lease.Renew:
		c.renew(ctx, began)
	}
}

// leasePrefix, followed by the name of a failure domain, is the key of the record
// that names the instance that controls its engines.
const leasePrefix = "leases/placement/"

func (c *Control) acquire(ctx context.Context, began time.Time) {
	key := leasePrefix + string(c.domain)
	if _, err := c.store.Get(ctx, key); !store.Absent.Has(err) {
		c.holder.Failed(c.timer.Now())
		return
	}
	l, err := c.store.Grant(ctx, c.holder.TTL())
	if err != nil {
		c.holder.Failed(c.timer.Now())
		return
	}
	v, err := c.store.Put(ctx, key, []byte(c.self), 0, l)
	if err != nil {
		// The record may have been written although the answer was lost;
		// revoking the lease deletes it.
		_ = c.store.Revoke(ctx, l)
		c.holder.Failed(c.timer.Now())
		return
	}
	now := c.timer.Now()
	c.holder.Acquired(l, v, began, now)
	c.planner = placement.New(c.cfg.Placement, c.domain)
	c.planner.ExhaustLoadRate(now)
}

func (c *Control) renew(ctx context.Context, began time.Time) {
	err := c.store.Renew(ctx, c.holder.Lease())
	switch {
	case err == nil:
		c.holder.Renewed(began)
	case store.Absent.Has(err):
		c.holder.Lost(c.timer.Now())
	default:
		c.holder.Failed(c.timer.Now())
	}
}

// state is an engine's answer to GET /v1/state.
type state struct {
	Models []struct {
		Model    string   `json:"model"`
		Version  string   `json:"version"`
		Adapters []string `json:"adapters"`
	} `json:"models"`
}

// readEngine returns the state of an engine. StateKnown is false if the engine
// does not answer.
func (c *Control) readEngine(u configuration.Upstream) placement.Engine {
	e := placement.Engine{Name: u.Name, Servable: u.Models, Leaving: u.Leaving}
	var s state
	if err := c.call(http.MethodGet, "http://"+u.Address+"/v1/state", nil, &s, c.cfg.ReadLimit.Std()); err != nil {
		return e
	}
	e.StateKnown = true
	for _, m := range s.Models {
		e.Loaded = append(e.Loaded, placement.Model{Name: m.Model, Version: m.Version})
		for _, a := range m.Adapters {
			e.Loaded = append(e.Loaded, placement.Model{Name: m.Model, Version: m.Version, Adapter: a})
		}
	}
	return e
}

// order is the body of POST /v1/orders.
type order struct {
	Kind    placement.Kind `json:"kind"`
	Model   string         `json:"model"`
	Version string         `json:"version,omitempty"`
	Adapter string         `json:"adapter,omitempty"`
	Fencing store.Version  `json:"fencing_number"`
}

// errLeaseTooShort means that the lease may expire before the order is answered,
// so that the order was not sent.
var errLeaseTooShort = errs.New("lease is not held for the time limit of an order; the order is not sent")

func (c *Control) sendOrder(u configuration.Upstream, o placement.Order) error {
	body, err := json.Marshal(order{o.Kind, o.Model.Name, o.Model.Version, o.Model.Adapter, c.holder.Fencing()})
	if err != nil {
		return err
	}
	limit := c.cfg.OrderLimit.Std()
	if !c.holder.MayOrder(c.timer.Now(), limit, u.ChecksFencing) {
		return errLeaseTooShort
	}
	return c.call(http.MethodPost, "http://"+u.Address+"/v1/orders", body, nil, limit)
}

func (c *Control) call(method, uri string, body []byte, out any, limit time.Duration) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	req.SetBody(body)
	client := &c.reads
	if method != http.MethodGet {
		client = &c.orders
		req.SetConnectionClose()
	}
	if err := client.DoTimeout(req, resp, limit); err != nil {
		return err
	}
	if resp.StatusCode() >= http.StatusMultipleChoices {
		return errs.New("%s %s: status %d", method, uri, resp.StatusCode())
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), out)
}

// Package upstreamcontrol gives engines their orders as the holder of a lease.
//
// One round keeps the lease, reads the state of the engines, has the planner
// derive orders, and sends each one only if the lease allows it right then.
// Nothing is remembered of an order: the next round reads what became of it.
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
	OrderLimit unit.Duration // time of one order, from its check to its answer
	ReadLimit  unit.Duration // time of one reading of an engine's state
}

// Defaults of Settings.
const (
	defaultOrderLimit = 3 * time.Second
	defaultReadLimit  = time.Second
)

// Seams are what a Control is told by others.
type Seams struct {
	// Configuration returns the configuration in force, or nil.
	Configuration func() *configuration.Document
	// InUse returns the models that generations run on or wait for at an engine.
	InUse func(u ident.Upstream) []placement.Model
	// MayUnload reports whether no other instance uses the model at the engine;
	// nil means that there is no other instance.
	MayUnload func(ctx context.Context, o placement.Order) bool
}

// Given is an order that went out. With an error it is not known to be in
// force; the next rounds read what became of it.
type Given struct {
	placement.Order
	Err error
}

// Control orders the engines of one failure domain. It is not safe for
// concurrent use; its rounds are made by one goroutine.
type Control struct {
	cfg     Settings
	seams   Seams
	store   store.Store
	timer   *timer.Service
	self    ident.Instance
	domain  ident.Domain
	holder  *lease.Holder
	planner *placement.Planner
	client  fasthttp.Client
}

// New returns a control for the failure domain d at the instance self.
func New(cfg Settings, seams Seams, store store.Store, t *timer.Service, self ident.Instance, d ident.Domain) *Control {
	if cfg.OrderLimit == 0 {
		cfg.OrderLimit = unit.Duration(defaultOrderLimit)
	}
	if cfg.ReadLimit == 0 {
		cfg.ReadLimit = unit.Duration(defaultReadLimit)
	}
	return &Control{
		cfg: cfg, seams: seams, store: store, timer: t, self: self, domain: d,
		holder:  lease.New(cfg.Lease),
		planner: placement.New(cfg.Placement, d),
		client:  fasthttp.Client{MaxIdemponentCallAttempts: 1},
	}
}

// Holds reports whether this instance holds the lease.
func (c *Control) Holds() bool { return c.holder.Remaining(c.timer.Now()) > 0 }

// Round keeps the lease and, while it is held, gives the orders of this round
// and returns them.
func (c *Control) Round(ctx context.Context) []Given {
	doc := c.seams.Configuration()
	if doc == nil || len(doc.Placements) == 0 {
		c.Release(ctx)
		return nil
	}
	c.keep(ctx)
	if !c.Holds() {
		return nil
	}
	ups := make(map[ident.Upstream]configuration.Upstream)
	for _, u := range doc.Upstreams {
		if u.Domain == c.domain && len(u.Models) > 0 {
			ups[u.Name] = u
		}
	}
	engines := c.readAll(ups)
	c.keep(ctx)
	var given []Given
	for _, o := range c.planner.Plan(doc.Placements, engines, c.timer.Now()) {
		if o.Kind == placement.Unload && c.seams.MayUnload != nil && !c.seams.MayUnload(ctx, o) {
			continue
		}
		if err := c.order(ups[o.Upstream], o); !errors.Is(err, errLease) {
			given = append(given, Given{o, err})
		}
	}
	return given
}

// Release gives up the lease if it is held, so that another instance can have
// it at once.
func (c *Control) Release(ctx context.Context) {
	if l := c.holder.Lease(); l != 0 {
		// Without an answer the lease lapses.
		_ = c.store.Revoke(ctx, l)
		c.holder.Lost(c.timer.Now())
	}
}

// Close closes the idle connections to engines.
func (c *Control) Close() {
	c.client.CloseIdleConnections()
}

// readsAtOnce is how many engines are read at once.
const readsAtOnce = 64

func (c *Control) readAll(ups map[ident.Upstream]configuration.Upstream) []placement.Engine {
	var mu sync.Mutex
	var engines []placement.Engine
	var g errgroup.Group
	g.SetLimit(readsAtOnce)
	for _, u := range ups {
		g.Go(func() error {
			e := c.read(u)
			mu.Lock()
			defer mu.Unlock()
			engines = append(engines, e)
			return nil
		})
	}
	_ = g.Wait()
	for i := range engines {
		engines[i].InUse = c.seams.InUse(engines[i].Name)
	}
	return engines
}

// keep acquires or renews the lease if it is time to.
func (c *Control) keep(ctx context.Context) {
	began := c.timer.Now()
	switch c.holder.NextAction(began) {
	case lease.Acquire:
		c.acquire(ctx, began)
	case lease.Renew:
		c.renew(ctx, began)
	}
}

// leasePrefix and a failure domain are the key of the record of who orders its
// engines.
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
		// A record whose answer was lost goes with its lease.
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

// read returns the state of an engine; it is not Known if the engine does not
// answer.
func (c *Control) read(u configuration.Upstream) placement.Engine {
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

var errLease = errs.New("the lease does not allow the order")

func (c *Control) order(u configuration.Upstream, o placement.Order) error {
	body, err := json.Marshal(order{o.Kind, o.Model.Name, o.Model.Version, o.Model.Adapter, c.holder.Fencing()})
	if err != nil {
		return err
	}
	limit := c.cfg.OrderLimit.Std()
	if !c.holder.MayOrder(c.timer.Now(), limit, u.ChecksFencing) {
		return errLease
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
	if method != http.MethodGet {
		req.SetConnectionClose()
	}
	if err := c.client.DoTimeout(req, resp, limit); err != nil {
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

package daemon

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"crocuslug/configuration"
	"crocuslug/generation"
	"crocuslug/ident"
	"crocuslug/membership"
	"crocuslug/placement"
	"crocuslug/result"
	"crocuslug/upstreamcontrol"
)

// methodInUse asks an instance whether it uses a model at an engine.
const methodInUse = "Orders.InUse"

// orderTick is the interval of the rounds of orders.
const orderTick = time.Second

// orderRanks is how many instances of a failure domain, by rank, try to hold
// the lease.
const orderRanks = 2

// Bounds of asking the others before a copy is unloaded.
const (
	inUseTimeout = 2 * time.Second
	inUseCalls   = 64 // calls at once
	inUsePause   = 10 * time.Second
)

// orders gives the engines of the failure domain their orders. All but due is
// used by its goroutine only.
type orders struct {
	control *upstreamcontrol.Control
	due     chan struct{}
	holds   atomic.Bool
	resume  time.Time // no copy is unloaded before
}

// buildOrders wires the orders to engines.
func (d *Daemon) buildOrders() {
	d.orders = &orders{due: make(chan struct{}, 1)}
	d.orders.control = upstreamcontrol.New(d.opt.Orders, upstreamcontrol.Ports{
		Configuration: func() *configuration.Document { return d.doc.Load().Document },
		InUse:         d.modelsInUse,
		MayUnload:     d.mayUnload,
	}, d.store, d.opt.Timer, d.id, d.cfg.Domain)
	d.link.Handle(methodInUse, d.handleInUse)
	d.metrics.count("OrdersFailed", 0)
	d.gauge("HoldsOrders", func() int { return truth(d.HoldsOrders()) })
}

// startOrders begins the rounds. A round that takes longer than the interval
// makes later ones wait.
func (d *Daemon) startOrders() {
	d.every(orderTick, func(time.Time) {
		select {
		case d.orders.due <- struct{}{}:
		default:
		}
	})
	d.tasks.Go(func() {
		defer d.orders.control.Close()
		for {
			select {
			case <-d.orders.due:
				d.orderRound()
			case <-d.ctx.Done():
				return
			}
		}
	})
}

func (d *Daemon) orderRound() {
	rank := d.members.View().Rank(d.id)
	if rank < 0 || rank >= orderRanks || d.leaving.Load() {
		d.orders.control.Release(d.ctx)
		d.noteHolder()
		return
	}
	for _, g := range d.orders.control.Round(d.ctx) {
		e := d.log.Info()
		if g.Err != nil {
			d.metrics.count("OrdersFailed", 1)
			e = d.log.Warn().Err(g.Err)
		} else {
			d.metrics.count("Orders."+string(g.Kind), 1)
		}
		e.Str("Order", string(g.Kind)).Str("Upstream", string(g.Upstream)).Str("Model", g.Model.Name).
			Str("Version", g.Model.Version).Str("Adapter", g.Model.Adapter).Msg("order to an engine")
	}
	d.noteHolder()
}

func (d *Daemon) noteHolder() {
	holds := d.orders.control.HoldsLease()
	if d.orders.holds.Swap(holds) != holds {
		d.log.Info().Bool("Holds", holds).Msg("lease of orders to engines")
	}
}

// HoldsOrders reports whether this instance orders the engines of its failure
// domain.
func (d *Daemon) HoldsOrders() bool {
	return d.orders.holds.Load()
}

func modelUse(s generation.Spec) placement.Model {
	return placement.Model{Name: s.Model, Version: s.Version, Adapter: s.Adapter}
}

// modelsInUse returns the models that generations of this instance run on at an
// engine, and those that generations here wait for.
func (d *Daemon) modelsInUse(u ident.Upstream) []placement.Model {
	out := d.waitedFor()
	d.owner.ForEachInProgress(func(s generation.Spec, at ident.Upstream) {
		if at == u || at == "" {
			out = append(out, modelUse(s))
		}
	})
	return out
}

// waitedFor returns the models that generations wait for.
func (d *Daemon) waitedFor() []placement.Model {
	var out []placement.Model
	for _, t := range d.line.Waiters() {
		if w, ok := t.Request.(*work); ok {
			out = append(out, modelUse(w.spec))
		}
	}
	return out
}

// mayUnload asks all other instances that are known whether they use a model
// at an engine. One that does not answer counts as if it did.
func (d *Daemon) mayUnload(ctx context.Context, o placement.Order) bool {
	if d.opt.Timer.Now().Before(d.orders.resume) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, inUseTimeout)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(inUseCalls)
	for _, m := range d.members.View().Members {
		if m.Instance == d.id || m.State == membership.Dead {
			continue
		}
		g.Go(func() error {
			var used bool
			err := d.link.Call(ctx, m.Instance, methodInUse, o, &used)
			if err == nil && used {
				err = result.Newf(result.Overloaded, "%s uses it", m.Instance)
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		d.orders.resume = d.opt.Timer.Now().Add(inUsePause)
		d.log.Info().Err(err).Str("Upstream", string(o.Upstream)).Str("Model", o.Model.Name).Msg("a copy is kept")
		return false
	}
	return true
}

func (d *Daemon) handleInUse(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
	var o placement.Order
	if err := json.Unmarshal(params, &o); err != nil {
		return nil, result.New(result.Malformed, err.Error())
	}
	for _, m := range d.modelsInUse(o.Upstream) {
		if m.Matches(o.Model) {
			return true, nil
		}
	}
	return false, nil
}

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

// methodInUse asks an instance whether it uses a model on an engine.
const methodInUse = "Orders.InUse"

// orderInterval is the interval between rounds of orders.
const orderInterval = time.Second

// leaseContenders is the number of instances of a failure domain, by rank, that try to acquire
// the lease for orders.
const leaseContenders = 2

// Limits of asking the other instances before a copy of a model is unloaded.
const (
	inUseTimeout     = 2 * time.Second
	inUseConcurrency = 64 // concurrent calls
	unloadPause      = 10 * time.Second
)

// orders sends the engines of the failure domain their orders to load and unload models. Fields
// other than roundDue and holdsLease are used by one goroutine only.
type orders struct {
	control        *upstreamcontrol.Control
	roundDue       chan struct{}
	holdsLease     atomic.Bool
	noUnloadBefore time.Time // no model is unloaded before this time
}

// buildOrders wires the orders to engines.
func (d *Daemon) buildOrders() {
	d.orders = &orders{roundDue: make(chan struct{}, 1)}
	d.orders.control = upstreamcontrol.New(d.opt.Orders, upstreamcontrol.Ports{
		Configuration: func() *configuration.Document { return d.doc.Load().Document },
		InUse:         d.modelsInUse,
		MayUnload:     d.mayUnload,
	}, d.store, d.opt.Timer, d.id, d.cfg.Domain)
	d.link.Handle(methodInUse, d.handleInUse)
	d.metrics.count("OrdersFailed", 0)
	d.gauge("HoldsOrders", func() int { return boolToInt(d.HoldsOrderLease()) })
}

// startOrders starts the rounds of orders. A round that takes longer than the interval delays
// the next one.
func (d *Daemon) startOrders() {
	d.every(orderInterval, func(time.Time) {
		select {
		case d.orders.roundDue <- struct{}{}:
		default:
		}
	})
	d.tasks.Go(func() {
		defer d.orders.control.Close()
		for {
			select {
			case <-d.orders.roundDue:
				d.orderRound()
			case <-d.ctx.Done():
				return
			}
		}
	})
}

// orderRound runs one round if this instance ranks high enough to contend for the lease, and
// releases the lease otherwise.
func (d *Daemon) orderRound() {
	rank := d.members.View().Rank(d.id)
	if rank < 0 || rank >= leaseContenders || d.leaving.Load() {
		d.orders.control.Release(d.ctx)
		d.recordLease()
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
			Str("Version", g.Model.Version).Str("Adapter", g.Model.Adapter).Msg("order to an engine finished")
	}
	d.recordLease()
}

// recordLease updates holdsLease and logs when the lease was acquired or lost.
func (d *Daemon) recordLease() {
	holds := d.orders.control.HoldsLease()
	if d.orders.holdsLease.Swap(holds) != holds {
		d.log.Info().Bool("Holds", holds).Msg("lease for orders to engines acquired or lost")
	}
}

// HoldsOrderLease reports whether this instance holds the lease to send orders to the engines
// of its failure domain.
func (d *Daemon) HoldsOrderLease() bool {
	return d.orders.holdsLease.Load()
}

func placementModel(s generation.Spec) placement.Model {
	return placement.Model{Name: s.Model, Version: s.Version, Adapter: s.Adapter}
}

// modelsInUse returns the models that generations of this instance use on an engine, and those
// of generations that have no engine yet.
func (d *Daemon) modelsInUse(u ident.Upstream) []placement.Model {
	out := d.queuedModels()
	d.owner.ForEachInProgress(func(s generation.Spec, at ident.Upstream) {
		if at == u || at == "" {
			out = append(out, placementModel(s))
		}
	})
	return out
}

// queuedModels returns the models of the generations that wait for admission.
func (d *Daemon) queuedModels() []placement.Model {
	var out []placement.Model
	for _, t := range d.generationQueue.Waiters() {
		if w, ok := t.Request.(*pendingGeneration); ok {
			out = append(out, placementModel(w.spec))
		}
	}
	return out
}

// mayUnload asks all other known instances whether they use a model on an engine. An instance
// that does not answer counts as using it. After a refusal no copy is unloaded for unloadPause.
func (d *Daemon) mayUnload(ctx context.Context, o placement.Order) bool {
	if d.opt.Timer.Now().Before(d.orders.noUnloadBefore) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, inUseTimeout)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(inUseConcurrency)
	for _, m := range d.members.View().Members {
		if m.Instance == d.id || m.State == membership.Dead {
			continue
		}
		g.Go(func() error {
			var used bool
			err := d.link.Call(ctx, m.Instance, methodInUse, o, &used)
			if err == nil && used {
				err = result.Newf(result.Overloaded, "instance %s uses the model", m.Instance)
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		d.orders.noUnloadBefore = d.opt.Timer.Now().Add(unloadPause)
		d.log.Info().Err(err).Str("Upstream", string(o.Upstream)).Str("Model", o.Model.Name).Msg("model is not unloaded, since another instance may use it")
		return false
	}
	return true
}

// handleInUse answers whether this instance uses a model on an engine.
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

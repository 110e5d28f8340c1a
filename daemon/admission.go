package daemon

import (
	"context"
	"encoding/json"
	"math"
	"strings"
	"time"

	"crocuslug/admission"
	"crocuslug/configuration"
	"crocuslug/estimate"
	"crocuslug/generation"
	"crocuslug/ident"
	"crocuslug/line"
	"crocuslug/prefix"
	"crocuslug/result"
	"crocuslug/routing"
)

// completionsPath is the path of generation requests that configuration rules match.
const completionsPath = "/v1/chat/completions"

// queueExpireInterval is how often queued requests are checked for passed deadlines.
const queueExpireInterval = 50 * time.Millisecond

// defaultQueueWait is the maximum wait of a request whose rule has no deadline.
const defaultQueueWait = 10 * time.Second

// pendingGeneration is a generation that waits for admission, with the inputs for the choice of
// its engine.
type pendingGeneration struct {
	spec         generation.Spec
	promptTokens int // estimated
	blocks       []prefix.Block
}

// matchRule returns the first rule that matches, or the zero rule if none does.
func (d *document) matchRule(w ident.Workspace, s ident.Service, method, path string) configuration.Rule {
	for _, r := range d.Rules {
		if (r.Workspace == "" || r.Workspace == w) && (r.Service == "" || r.Service == s) &&
			(r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return configuration.Rule{}
}

// priorities maps the priorities of the configuration to those of admission.
var priorities = map[configuration.Priority]admission.Priority{
	configuration.Urgent: admission.Urgent,
	configuration.Normal: admission.Normal,
	"":                   admission.Normal,
	configuration.Batch:  admission.Batch,
}

// queueItem returns the queue entry of a request under a rule. The maximum wait is taken from
// the rule, from the settings, or from defaultQueueWait, in this order.
func (d *Daemon) queueItem(id ident.Generation, w ident.Workspace, rule configuration.Rule, cost float64, now time.Time) admission.Item {
	wait := rule.Deadline.Std()
	if wait == 0 {
		wait = d.cfg.Load.QueueWait.Std()
	}
	if wait == 0 {
		wait = defaultQueueWait
	}
	return admission.Item{
		ID:        id,
		Workspace: w,
		Priority:  priorities[rule.Priority],
		Cost:      cost,
		Deadline:  now.Add(wait),
	}
}

// admitGeneration waits until an engine is reserved for a generation, or refuses the
// generation. The returned function must be called once, with the number of tokens, when the
// generation is over; it is nil if Options.RoundRobin is set.
func (d *Daemon) admitGeneration(ctx context.Context, spec generation.Spec) (func(tokens int), *result.Error) {
	if d.opt.RoundRobin {
		return nil, nil
	}
	finish, err := d.throttleAndQueue(ctx, spec)
	if err != nil {
		d.metrics.count("Refused."+err.Code.String(), 1)
	}
	return finish, err
}

// throttleAndQueue charges the estimated cost of a generation to the workspace's rate limit and
// waits for an engine. If the wait fails, the charge is reversed.
func (d *Daemon) throttleAndQueue(ctx context.Context, spec generation.Spec) (func(tokens int), *result.Error) {
	now := d.opt.Timer.Now()
	req := estimate.Request{
		Workspace:    spec.Workspace,
		Model:        spec.Model,
		PromptTokens: promptTokens(spec),
		MaxTokens:    spec.MaxTokens,
	}
	cost := d.estimator.Cost(req)
	d.shares.AddDemand(spec.Workspace, cost)
	if err := d.throttle.Charge(spec.Workspace, cost, now); err != nil {
		return nil, err
	}
	rule := d.doc.Load().matchRule(spec.Workspace, spec.Service, "POST", completionsPath)
	item := d.queueItem(spec.Generation, spec.Workspace, rule, cost, now)
	if err := d.awaitEngine(ctx, item, &pendingGeneration{spec, req.PromptTokens, promptBlocks(spec.Body)}, now); err != nil {
		d.throttle.Adjust(spec.Workspace, -cost, d.opt.Timer.Now())
		return nil, err
	}
	return func(tokens int) { d.settleAdmission(req, cost, spec.Generation, tokens) }, nil
}

// awaitEngine queues a generation and waits until an engine is reserved for it, here or in
// another failure domain.
func (d *Daemon) awaitEngine(ctx context.Context, item admission.Item, w *pendingGeneration, began time.Time) *result.Error {
	ctx, cancel := d.withStop(ctx)
	defer cancel()
	t, err := d.generationQueue.Enqueue(item, w, began)
	if err != nil {
		return err
	}
	d.generationQueue.Grant(began)
	for {
		v := d.generationQueue.Wait(ctx, t)
		if v.Err != nil {
			return v.Err
		}
		if v.Spill == "" || d.spillTo(ctx, w, v.Spill) {
			d.metrics.admissionWait.Update(d.opt.Timer.Now().Sub(began).Microseconds())
			return nil
		}
		d.generationQueue.Requeue(t, d.opt.Timer.Now())
	}
}

// withStop returns a context that ends when ctx ends or the daemon stops.
func (d *Daemon) withStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(d.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// settleAdmission replaces the estimated cost of a finished generation by its actual cost and
// admits waiting ones.
func (d *Daemon) settleAdmission(req estimate.Request, cost float64, id ident.Generation, tokens int) {
	now := d.opt.Timer.Now()
	spent := d.estimator.ActualCost(req.PromptTokens, tokens)
	if tokens > 0 {
		d.estimator.Record(req.Workspace, req.Model, tokens)
	}
	d.throttle.Adjust(req.Workspace, spent-cost, now)
	d.generationQueue.Admission.Finish(id, spent)
	d.generationQueue.Grant(now)
}

// defaultUrgentShare is the share of the slots that only urgent work may use.
const defaultUrgentShare = 0.03

// slotsForAll returns the free slots that work of any priority may use. It is negative if fewer
// slots are free than the share for urgent work.
func (d *Daemon) slotsForAll(now time.Time) float64 {
	share := d.cfg.Load.UrgentShare
	if share == 0 {
		share = defaultUrgentShare
	}
	net, slots := d.engineChooser.NetFree(now)
	return net - math.Ceil(share*slots)
}

// generationCapacity returns the lowest priority with which a generation may start now, and
// false if none may start. New generations wait while an interrupted one needs an engine.
func (d *Daemon) generationCapacity(now time.Time) (admission.Priority, bool) {
	switch {
	case now.UnixNano() < d.admissionPausedUntil.Load():
		return 0, false
	case d.engineChooser.FreeSlots(now) <= 0:
		return admission.Batch, d.capacityElsewhere(now)
	case d.slotsForAll(now) < 0:
		return admission.Urgent, true
	}
	return admission.Batch, true
}

// placeGeneration reserves an engine for a granted generation and answers its ticket. It
// returns false if no engine is free now.
func (d *Daemon) placeGeneration(t *line.Waiter, now time.Time) bool {
	w := t.Request.(*pendingGeneration)
	s, err := d.constrainEngines(w.spec, nil)
	if err != nil {
		d.refuseTicket(t, err)
		return true
	}
	dec := d.engineChooser.Choose(w.routingRequest(s.avoid, s.only), now)
	if dec.Kind != routing.Send && len(s.avoid) > 0 && !s.strict {
		dec = d.engineChooser.Choose(w.routingRequest(nil, ""), now)
	}
	switch dec.Kind {
	case routing.Send:
		d.reservedEngines.put(w.spec.Generation, reservation{upstream: dec.Upstream, at: now})
		d.generationQueue.Resolve(t, line.Outcome{})
		return true
	case routing.SpillTo:
		d.generationQueue.Resolve(t, line.Outcome{Spill: dec.Domain})
		return true
	case routing.NoUpstream:
		d.refuseTicket(t, noUpstream(w.spec.Model))
		return true
	}
	return false
}

// refuseTicket refuses a granted generation with err.
func (d *Daemon) refuseTicket(t *line.Waiter, err *result.Error) {
	d.generationQueue.Admission.Finish(t.ID, 0)
	d.generationQueue.Resolve(t, line.Outcome{Err: err})
}

// routingRequest returns the request to choose an engine, which excludes the given engines and
// allows only one if only is not empty.
func (w *pendingGeneration) routingRequest(exclude []ident.Upstream, only ident.Upstream) routing.Request {
	return routing.Request{
		ID:           w.spec.Request,
		Model:        modelOf(w.spec),
		Blocks:       w.blocks,
		PromptTokens: w.promptTokens,
		Exclude:      exclude,
		Only:         only,
	}
}

func modelOf(spec generation.Spec) routing.Model {
	return routing.Model{Name: spec.Model, Version: spec.Version, Adapter: spec.Adapter}
}

// promptBlocks returns the blocks of the prompt that engines cache. It returns nil if body is
// not valid JSON.
func promptBlocks(body []byte) []prefix.Block {
	var c struct {
		Messages []struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"messages"`
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return nil
	}
	var text strings.Builder
	for _, m := range c.Messages {
		text.WriteString(m.Role + ":" + m.Content + "\n")
	}
	return prefix.Blocks(text.String())
}

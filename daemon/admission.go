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

// completionsPath is the path of generations, as rules match it.
const completionsPath = "/v1/chat/completions"

// expireTick is the interval of looking for passed deadlines.
const expireTick = 50 * time.Millisecond

// defaultQueueWait is how long a request without a deadline waits at most.
const defaultQueueWait = 10 * time.Second

// work is what a place for a generation is chosen by.
type work struct {
	spec   generation.Spec
	prompt int // tokens, estimated
	blocks []prefix.Block
}

// ruleOf returns the first rule that matches, or the zero rule.
func (d *document) ruleOf(w ident.Workspace, s ident.Service, method, path string) configuration.Rule {
	for _, r := range d.Rules {
		if (r.Workspace == "" || r.Workspace == w) && (r.Service == "" || r.Service == s) &&
			(r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return configuration.Rule{}
}

// priorities translates those of the configuration.
var priorities = map[configuration.Priority]admission.Priority{
	configuration.Urgent: admission.Urgent,
	configuration.Normal: admission.Normal,
	"":                   admission.Normal,
	configuration.Batch:  admission.Batch,
}

// item returns what the queue needs to know of a request under a rule.
func (d *Daemon) item(id ident.Generation, w ident.Workspace, rule configuration.Rule, cost float64, now time.Time) admission.Item {
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

// admit waits until a generation may start on the engine that is reserved for
// it then, or refuses it. The function that it returns is called once when the
// generation is over.
func (d *Daemon) admit(ctx context.Context, spec generation.Spec) (func(tokens int), *result.Error) {
	if d.opt.Naive {
		return nil, nil
	}
	finish, err := d.admitWork(ctx, spec)
	if err != nil {
		d.metrics.count("Refused."+err.Code.String(), 1)
	}
	return finish, err
}

func (d *Daemon) admitWork(ctx context.Context, spec generation.Spec) (func(tokens int), *result.Error) {
	now := d.opt.Timer.Now()
	ask := estimate.Request{
		Workspace:    spec.Workspace,
		Model:        spec.Model,
		PromptTokens: promptTokens(spec),
		MaxTokens:    spec.MaxTokens,
	}
	cost := d.estimator.Cost(ask)
	d.shares.AddDemand(spec.Workspace, cost)
	if err := d.throttle.Charge(spec.Workspace, cost, now); err != nil {
		return nil, err
	}
	rule := d.doc.Load().ruleOf(spec.Workspace, spec.Service, "POST", completionsPath)
	it := d.item(spec.Generation, spec.Workspace, rule, cost, now)
	if err := d.await(ctx, it, &work{spec, ask.PromptTokens, promptBlocks(spec.Body)}, now); err != nil {
		d.throttle.Adjust(spec.Workspace, -cost, d.opt.Timer.Now())
		return nil, err
	}
	return func(tokens int) { d.finished(ask, cost, spec.Generation, tokens) }, nil
}

// await waits in the line of generations until an engine is reserved.
func (d *Daemon) await(ctx context.Context, it admission.Item, w *work, began time.Time) *result.Error {
	ctx, cancel := d.withStop(ctx)
	defer cancel()
	t, err := d.line.Enqueue(it, w, began)
	if err != nil {
		return err
	}
	d.line.Grant(began)
	for {
		v := d.line.Wait(ctx, t)
		if v.Err != nil {
			return v.Err
		}
		if v.Spill == "" || d.spillTo(ctx, w, v.Spill) {
			d.metrics.wait.Update(d.opt.Timer.Now().Sub(began).Microseconds())
			return nil
		}
		d.line.Requeue(t, d.opt.Timer.Now())
	}
}

// withStop returns a context that ends with ctx and with the daemon.
func (d *Daemon) withStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(d.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// finished corrects what was estimated and lets others start.
func (d *Daemon) finished(ask estimate.Request, cost float64, id ident.Generation, tokens int) {
	now := d.opt.Timer.Now()
	spent := d.estimator.ActualCost(ask.PromptTokens, tokens)
	if tokens > 0 {
		d.estimator.Record(ask.Workspace, ask.Model, tokens)
	}
	d.throttle.Adjust(ask.Workspace, spent-cost, now)
	d.line.Admission.Finish(id, spent)
	d.line.Grant(now)
}

// defaultUrgentShare is the share of the slots that only urgent work may take.
const defaultUrgentShare = 0.03

// unreserved returns the slots that work of any priority may take.
func (d *Daemon) unreserved(now time.Time) float64 {
	share := d.cfg.Load.UrgentShare
	if share == 0 {
		share = defaultUrgentShare
	}
	net, slots := d.chooser.NetFree(now)
	return net - math.Ceil(share*slots)
}

// free returns whether a generation could start now, and of which priority at
// the lowest. New work is held back while a lost answer waits for an engine.
func (d *Daemon) free(now time.Time) (admission.Priority, bool) {
	switch {
	case now.UnixNano() < d.heldBack.Load():
		return 0, false
	case d.chooser.FreeSlots(now) <= 0:
		return admission.Batch, d.roomElsewhere(now)
	case d.unreserved(now) < 0:
		return admission.Urgent, true
	}
	return admission.Batch, true
}

// place reserves an engine for a granted generation.
func (d *Daemon) place(t *line.Waiter, now time.Time) bool {
	w := t.Request.(*work)
	s, err := d.screen(w.spec, nil)
	if err != nil {
		d.drop(t, err)
		return true
	}
	dec := d.chooser.Choose(w.ask(s.avoid, s.only), now)
	if dec.Kind != routing.Send && len(s.avoid) > 0 && !s.strict {
		dec = d.chooser.Choose(w.ask(nil, ""), now)
	}
	switch dec.Kind {
	case routing.Send:
		d.reserved.put(w.spec.Generation, reservation{upstream: dec.Upstream, at: now})
		d.line.Resolve(t, line.Outcome{})
		return true
	case routing.SpillTo:
		d.line.Resolve(t, line.Outcome{Spill: dec.Domain})
		return true
	case routing.NoUpstream:
		d.drop(t, noUpstream(w.spec.Model))
		return true
	}
	return false
}

// drop refuses a granted generation.
func (d *Daemon) drop(t *line.Waiter, err *result.Error) {
	d.line.Admission.Finish(t.ID, 0)
	d.line.Resolve(t, line.Outcome{Err: err})
}

func (w *work) ask(exclude []ident.Upstream, only ident.Upstream) routing.Request {
	return routing.Request{
		ID:           w.spec.Request,
		Model:        modelOf(w.spec),
		Blocks:       w.blocks,
		PromptTokens: w.prompt,
		Exclude:      exclude,
		Only:         only,
	}
}

func modelOf(spec generation.Spec) routing.Model {
	return routing.Model{Name: spec.Model, Version: spec.Version, Adapter: spec.Adapter}
}

// promptBlocks returns the blocks of the prompt that engines cache.
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

package daemon

import (
	"context"
	"time"

	"github.com/google/uuid"

	"crocuslug/admission"
	"crocuslug/configuration"
	"crocuslug/health"
	"crocuslug/ident"
	"crocuslug/line"
	"crocuslug/result"
	"crocuslug/retry"
	"crocuslug/routing"
)

// defaultServiceSlots is the number of concurrent calls to an upstream of a plain service, if
// the configuration does not state it.
const defaultServiceSlots = 64

// serviceCost is the cost of a call to a plain service, in tokens.
const serviceCost = 1

// serviceCandidates returns the upstreams of plain services. Those of this failure domain are
// marked as Near.
func (d *Daemon) serviceCandidates(doc *document) []routing.Candidate {
	var out []routing.Candidate
	for _, u := range doc.Upstreams {
		if doc.kinds[u.Service] != configuration.Plain {
			continue
		}
		out = append(out, routing.Candidate{
			Upstream: u.Name,
			Slots:    orDefault(u.Slots, defaultServiceSlots),
			Models:   []routing.Model{{Name: string(u.Service)}},
			Leaving:  u.Leaving,
			Near:     u.Domain == d.cfg.Domain,
		})
	}
	return out
}

// AdmitServiceCall waits until a call to a plain service may start under a rule, or refuses it.
// The returned function must be called once the call is over.
func (d *Daemon) AdmitServiceCall(ctx context.Context, w ident.Workspace, rule configuration.Rule) (func(), *result.Error) {
	now := d.opt.Timer.Now()
	d.retries.AddRequest()
	if d.opt.RoundRobin {
		return func() {}, nil
	}
	ctx, cancel := d.withStop(ctx)
	defer cancel()
	item := d.queueItem(ident.Generation(uuid.NewString()), w, rule, serviceCost, now)
	t, err := d.serviceQueue.Enqueue(item, nil, now)
	if err == nil {
		d.serviceQueue.Grant(now)
		err = d.serviceQueue.Wait(ctx, t).Err
	}
	if err != nil {
		d.metrics.count("Refused."+err.Code.String(), 1)
		return nil, err
	}
	return func() {
		d.serviceQueue.Admission.Finish(item.ID, serviceCost)
		d.serviceQueue.Grant(d.opt.Timer.Now())
	}, nil
}

// serviceCapacity returns the lowest priority with which a call to a plain service may start
// now, and false if none may start.
func (d *Daemon) serviceCapacity(time.Time) (admission.Priority, bool) {
	_, running := d.serviceQueue.Admission.Len()
	return admission.Batch, running < d.doc.Load().serviceSlots
}

func (d *Daemon) placeServiceCall(t *line.Waiter, _ time.Time) bool {
	d.serviceQueue.Resolve(t, line.Outcome{})
	return true
}

// ChooseServiceUpstream chooses an upstream of a plain service other than the tried ones. The
// returned function must be called once the call is over, with its outcome and the time until
// the answer. ChooseServiceUpstream returns false if there is no upstream.
func (d *Daemon) ChooseServiceUpstream(s ident.Service, tried []ident.Upstream) (configuration.Upstream, func(k health.Kind, took time.Duration), bool) {
	dec := d.serviceChooser.Choose(routing.Request{
		Model:   routing.Model{Name: string(s)},
		Exclude: tried,
		Resumed: len(tried) > 0,
	}, d.opt.Timer.Now())
	if dec.Kind != routing.Send {
		return configuration.Upstream{}, nil, false
	}
	return d.doc.Load().upstreams[dec.Upstream], func(k health.Kind, took time.Duration) {
		if k == health.OK {
			d.serviceChooser.Done(dec.Upstream, d.opt.Timer.Now())
		} else {
			d.serviceChooser.Failed(dec.Upstream, d.opt.Timer.Now())
		}
		d.observeOutcome(health.Outcome{Upstream: dec.Upstream, Kind: k, Latency: took})
	}, true
}

// DecideServiceRetry decides whether a failed call to a plain service is retried, and after
// which wait.
func (d *Daemon) DecideServiceRetry(a retry.Attempt) (retry.Decision, time.Duration) {
	if d.opt.RoundRobin {
		return retry.Retry, 0
	}
	v, wait := d.retries.Decide(a)
	if v == retry.Retry {
		d.metrics.count("Retries", 1)
	}
	return v, wait
}

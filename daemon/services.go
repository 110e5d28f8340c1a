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

// serviceCalls is the number of calls that an upstream of a plain service takes
// at once, if the configuration does not say.
const serviceCalls = 64

// serviceCost is the cost of a call to a plain service in tokens.
const serviceCost = 1

// plainCandidates returns the upstreams of plain services, those of the own
// failure domain as near ones.
func (d *Daemon) plainCandidates(doc *document) []routing.Candidate {
	var out []routing.Candidate
	for _, u := range doc.Upstreams {
		if doc.kinds[u.Service] != configuration.Plain {
			continue
		}
		out = append(out, routing.Candidate{
			Upstream: u.Name,
			Slots:    orDefault(u.Slots, serviceCalls),
			Models:   []routing.Model{{Name: string(u.Service)}},
			Leaving:  u.Leaving,
			Near:     u.Domain == d.cfg.Domain,
		})
	}
	return out
}

// AdmitService waits until a call to a plain service may start under a rule, or
// refuses it. The function that it returns is called when the call is over.
func (d *Daemon) AdmitService(ctx context.Context, w ident.Workspace, rule configuration.Rule) (func(), *result.Error) {
	now := d.opt.Timer.Now()
	d.retries.AddRequest()
	if d.opt.Naive {
		return func() {}, nil
	}
	ctx, cancel := d.withStop(ctx)
	defer cancel()
	it := d.item(ident.Generation(uuid.NewString()), w, rule, serviceCost, now)
	t, err := d.services.Enqueue(it, nil, now)
	if err == nil {
		d.services.Grant(now)
		err = d.services.Wait(ctx, t).Err
	}
	if err != nil {
		d.metrics.count("Refused."+err.Code.String(), 1)
		return nil, err
	}
	return func() {
		d.services.Admission.Finish(it.ID, serviceCost)
		d.services.Grant(d.opt.Timer.Now())
	}, nil
}

// plainFree returns whether a call to a plain service could start now.
func (d *Daemon) plainFree(time.Time) (admission.Priority, bool) {
	_, running := d.services.Admission.Len()
	return admission.Batch, running < d.doc.Load().calls
}

func (d *Daemon) plainPlace(t *line.Waiter, _ time.Time) bool {
	d.services.Resolve(t, line.Outcome{})
	return true
}

// ChooseService returns an upstream of a plain service other than the tried
// ones. The function that it returns is called when the call is over, with how
// it ended and how long the answer took. It returns false if there is none.
func (d *Daemon) ChooseService(s ident.Service, tried []ident.Upstream) (configuration.Upstream, func(k health.Kind, took time.Duration), bool) {
	dec := d.plain.Choose(routing.Request{
		Model:   routing.Model{Name: string(s)},
		Exclude: tried,
		Resumed: len(tried) > 0,
	}, d.opt.Timer.Now())
	if dec.Kind != routing.Send {
		return configuration.Upstream{}, nil, false
	}
	return d.doc.Load().upstreams[dec.Upstream], func(k health.Kind, took time.Duration) {
		if k == health.OK {
			d.plain.Done(dec.Upstream, d.opt.Timer.Now())
		} else {
			d.plain.Failed(dec.Upstream, d.opt.Timer.Now())
		}
		d.observe(health.Outcome{Upstream: dec.Upstream, Kind: k, Latency: took})
	}, true
}

// RetryService decides whether a failed call to a plain service is tried again,
// and after what wait.
func (d *Daemon) RetryService(a retry.Attempt) (retry.Decision, time.Duration) {
	if d.opt.Naive {
		return retry.Retry, 0
	}
	v, wait := d.retries.Decide(a)
	if v == retry.Retry {
		d.metrics.count("Retries", 1)
	}
	return v, wait
}

package daemon

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/configuration"
	"crocuslug/generation"
	"crocuslug/health"
	"crocuslug/ident"
)

// healthTick is the interval of comparing latencies and starting trials.
const healthTick = time.Second

// paceWindow is the number of tokens whose time is the latency that engines are
// compared by.
const paceWindow = 16

// buildHealth wires the health of upstreams. The trackers, one a service,
// belong to the loop of control state.
func (d *Daemon) buildHealth() {
	d.trackers = make(map[ident.Service]*health.Tracker)
}

// followHealth gives the trackers the upstreams of a configuration.
func (d *Daemon) followHealth(doc *document) {
	names := make(map[ident.Service][]ident.Upstream)
	for _, u := range doc.Upstreams {
		if u.Domain == d.cfg.Domain {
			names[u.Service] = append(names[u.Service], u.Name)
		}
	}
	now := d.opt.Timer.Now()
	d.loop.Post(func() {
		for s, list := range names {
			t, ok := d.trackers[s]
			if !ok {
				t = health.New(d.opt.Health)
				d.trackers[s] = t
			}
			d.changed(t.SetUpstreams(list, now))
		}
	})
}

func (d *Daemon) checkHealth(now time.Time) {
	d.loop.Post(func() {
		for _, t := range d.trackers {
			d.changed(t.Tick(now))
		}
	})
}

// observe feeds one outcome to the tracker of its service.
func (d *Daemon) observe(o health.Outcome) {
	if d.opt.Naive {
		return
	}
	u, ok := d.doc.Load().upstreams[o.Upstream]
	if !ok {
		return
	}
	now := d.opt.Timer.Now()
	d.loop.Post(func() {
		if t, ok := d.trackers[u.Service]; ok {
			d.changed(t.Observe(o, now))
		}
	})
}

// observeCause feeds the end of a stream. Answers that say nothing about the
// health of the engine do not count.
func (d *Daemon) observeCause(u ident.Upstream, cause generation.LossCause) {
	switch cause {
	case generation.ConnectionRefused:
		d.observe(health.Outcome{Upstream: u, Kind: health.Refused})
	case generation.ConnectionReset, generation.TokenTimeout, generation.ResponseTimeout, generation.CorruptStream:
		d.observe(health.Outcome{Upstream: u, Kind: health.Failed})
	}
}

// paced takes in how long an engine took for tokens of one stream. First says
// that they are the first ones.
func (d *Daemon) paced(u ident.Upstream, tokens int, took time.Duration, first bool) {
	if d.opt.Naive {
		return
	}
	d.chooser.ReportTokens(u, tokens, took, d.opt.Timer.Now())
	if first {
		d.observe(health.Outcome{Upstream: u, Kind: health.OK, Latency: took * paceWindow / time.Duration(tokens)})
	}
}

// changed passes changes on to the choosers. It runs on the loop.
func (d *Daemon) changed(cs []health.Change) {
	for _, c := range cs {
		if c.State == health.Trial {
			d.tasks.Go(func() { d.try(c.Upstream) })
			continue
		}
		out := c.State == health.Out
		d.chooser.SetOut(c.Upstream, out)
		d.plain.SetOut(c.Upstream, out)
		if out {
			d.polls.restart(c.Upstream)
		}
		if out {
			d.metrics.count("UpstreamsEjected", 1)
		} else {
			d.metrics.count("UpstreamsReadmitted", 1)
		}
		d.log.Info().Str("Upstream", string(c.Upstream)).Bool("Out", out).Msg("upstream health")
	}
}

// trialLimit bounds one trial.
const trialLimit = time.Second

// try asks an upstream that is out whether it is there.
func (d *Daemon) try(u ident.Upstream) {
	up, ok := d.doc.Load().upstreams[u]
	if !ok {
		return
	}
	var err error
	if d.doc.Load().kinds[up.Service] == configuration.Plain {
		err = dialOnly(up.Address)
	} else {
		err = d.probe(up.Address)
	}
	d.observe(health.Outcome{Upstream: u, Kind: kindOf(err), Trial: true})
}

func dialOnly(address string) error {
	c, err := net.DialTimeout("tcp", address, trialLimit)
	if err != nil {
		return err
	}
	return c.Close()
}

func (d *Daemon) probe(address string) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/v1/load")
	req.SetConnectionClose()
	if err := d.polls.client.DoTimeout(req, resp, trialLimit); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errStatus
	}
	return nil
}

func kindOf(err error) health.Kind {
	switch {
	case err == nil:
		return health.OK
	case errors.Is(err, syscall.ECONNREFUSED):
		return health.Refused
	}
	return health.Failed
}

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

// healthInterval is how often latencies are compared and trials of ejected upstreams are
// started.
const healthInterval = time.Second

// paceWindow is the number of tokens whose generation time is the latency by which engines are
// compared.
const paceWindow = 16

// buildHealth creates the map of health trackers, one per service. It is accessed by the
// control loop only.
func (d *Daemon) buildHealth() {
	d.trackers = make(map[ident.Service]*health.Tracker)
}

// updateHealthUpstreams passes the upstreams of a configuration to the health trackers.
func (d *Daemon) updateHealthUpstreams(doc *document) {
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
			d.applyHealthChanges(t.SetUpstreams(list, now))
		}
	})
}

func (d *Daemon) checkHealth(now time.Time) {
	d.loop.Post(func() {
		for _, t := range d.trackers {
			d.applyHealthChanges(t.Tick(now))
		}
	})
}

// observeOutcome reports an outcome to the health tracker of the upstream's service.
func (d *Daemon) observeOutcome(o health.Outcome) {
	if d.opt.RoundRobin {
		return
	}
	u, ok := d.doc.Load().upstreams[o.Upstream]
	if !ok {
		return
	}
	now := d.opt.Timer.Now()
	d.loop.Post(func() {
		if t, ok := d.trackers[u.Service]; ok {
			d.applyHealthChanges(t.Observe(o, now))
		}
	})
}

// observeStreamEnd reports the end of a stream to the health tracker. Causes that say nothing
// about the health of the engine are ignored.
func (d *Daemon) observeStreamEnd(u ident.Upstream, cause generation.LossCause) {
	switch cause {
	case generation.ConnectionRefused:
		d.observeOutcome(health.Outcome{Upstream: u, Kind: health.Refused})
	case generation.TokenTimeout, generation.ResponseTimeout:
		d.observeOutcome(health.Outcome{Upstream: u, Kind: health.Silent})
	case generation.ConnectionReset, generation.CorruptStream:
		d.observeOutcome(health.Outcome{Upstream: u, Kind: health.Failed})
	}
}

// recordPace records how long an engine took for tokens of one stream. The stream's first
// tokens, marked by first, also count as a health outcome.
func (d *Daemon) recordPace(u ident.Upstream, tokens int, took time.Duration, first bool) {
	if d.opt.RoundRobin {
		return
	}
	d.engineChooser.ReportTokens(u, tokens, took, d.opt.Timer.Now())
	if first {
		d.observeOutcome(health.Outcome{Upstream: u, Kind: health.OK, Latency: took * paceWindow / time.Duration(tokens)})
	}
}

// applyHealthChanges starts the trials that the health trackers request and passes other
// changes to the choosers. It runs on the control loop.
func (d *Daemon) applyHealthChanges(cs []health.Change) {
	for _, c := range cs {
		if c.State == health.Trial {
			d.tasks.Go(func() { d.probeUpstream(c.Upstream) })
			continue
		}
		out := c.State == health.Out
		d.engineChooser.SetOut(c.Upstream, out)
		d.serviceChooser.SetOut(c.Upstream, out)
		if out {
			d.poller.restart(c.Upstream)
		}
		if out {
			d.metrics.count("UpstreamsEjected", 1)
		} else {
			d.metrics.count("UpstreamsReadmitted", 1)
		}
		d.log.Info().Str("Upstream", string(c.Upstream)).Bool("Out", out).Msg("upstream ejected or readmitted")
	}
}

// probeTimeout limits one probe.
const probeTimeout = time.Second

// probeUpstream checks whether an ejected upstream is reachable and reports the outcome as a
// trial.
func (d *Daemon) probeUpstream(u ident.Upstream) {
	up, ok := d.doc.Load().upstreams[u]
	if !ok {
		return
	}
	var err error
	if d.doc.Load().kinds[up.Service] == configuration.Plain {
		err = probeTCP(up.Address)
	} else {
		err = d.probeEngine(up.Address)
	}
	d.observeOutcome(health.Outcome{Upstream: u, Kind: outcomeKind(err), Trial: true})
}

func probeTCP(address string) error {
	c, err := net.DialTimeout("tcp", address, probeTimeout)
	if err != nil {
		return err
	}
	return c.Close()
}

func (d *Daemon) probeEngine(address string) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/v1/load")
	req.SetConnectionClose()
	if err := d.poller.client.DoTimeout(req, resp, probeTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errStatus
	}
	return nil
}

// outcomeKind returns the outcome of a probe or poll for the health of the upstream.
func outcomeKind(err error) health.Kind {
	var ne net.Error
	switch {
	case err == nil:
		return health.OK
	case errors.Is(err, syscall.ECONNREFUSED):
		return health.Refused
	case errors.Is(err, fasthttp.ErrTimeout), errors.Is(err, fasthttp.ErrDialTimeout), errors.As(err, &ne) && ne.Timeout():
		return health.Silent
	}
	return health.Failed
}

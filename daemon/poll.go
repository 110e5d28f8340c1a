package daemon

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"crocuslug/affinity"
	"crocuslug/health"
	"crocuslug/ident"
	"crocuslug/prefix"
	"crocuslug/routing"
	"crocuslug/unit"
)

// Defaults of the settings for polls.
const (
	defaultPollInterval = unit.Duration(500 * time.Millisecond)
	defaultPollBytes    = 1500 // bytes per second
	defaultSubset       = 32
)

// pollCheckInterval is how often the poller looks for engines that are due.
const pollCheckInterval = 20 * time.Millisecond

// pollTimeout limits one request of a poll.
const pollTimeout = time.Second

var errStatus = errs.New("engine answered with a status other than 200")

// poller asks the engines of the instance's subset for their load and cache events in turn. A
// poll may overdraw the budget of bytes; the next one then waits until the budget is no longer
// negative.
type poller struct {
	client   *fasthttp.Client
	interval time.Duration
	rate     float64 // bytes per second

	mu         sync.Mutex
	targets    []*target
	next       int
	budget     float64 // bytes
	refilledAt time.Time
	odd        map[ident.Upstream]bool // engines whose last load report could not be used
}

// target is an engine that is polled.
type target struct {
	name      ident.Upstream
	address   string
	polledAt  time.Time // time of the last poll
	polling   bool
	lastEvent uint64 // number of the last cache event received
}

func (d *Daemon) buildPolls(rng *lockedRand) {
	cfg := d.cfg.Load
	if cfg.PollInterval == 0 {
		cfg.PollInterval = defaultPollInterval
	}
	d.poller = &poller{
		client:   pollClient(),
		interval: cfg.PollInterval.Std(),
		rate:     float64(orDefault(cfg.PollBytesPerSecond, defaultPollBytes)),
		next:     int(rng.Uint64() % (1 << 16)),
	}
}

// maxPollAnswer is the greatest size of an answer to a poll in bytes.
const maxPollAnswer = 1 << 20

func pollClient() *fasthttp.Client {
	return &fasthttp.Client{ReadTimeout: pollTimeout, WriteTimeout: pollTimeout, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxPollAnswer}
}

// setTargets replaces the engines that are polled. Engines whose address is unchanged keep
// their state.
func (p *poller) setTargets(names []ident.Upstream, address func(ident.Upstream) (string, bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := make(map[ident.Upstream]*target)
	for _, t := range p.targets {
		old[t.name] = t
	}
	p.targets = nil
	maps.DeleteFunc(p.odd, func(u ident.Upstream, _ bool) bool { return !slices.Contains(names, u) })
	for _, name := range names {
		a, ok := address(name)
		if !ok {
			continue
		}
		t := old[name]
		if t == nil || t.address != a {
			t = &target{name: name, address: a}
		}
		p.targets = append(p.targets, t)
	}
}

// due returns the next engine to poll, or nil if none is due or the budget is overdrawn.
func (p *poller) due(now time.Time) *target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.refilledAt.IsZero() {
		p.budget = min(p.budget+now.Sub(p.refilledAt).Seconds()*p.rate, p.rate)
	}
	p.refilledAt = now
	if p.budget < 0 {
		return nil
	}
	for range p.targets {
		p.next++
		t := p.targets[p.next%len(p.targets)]
		if !t.polling && now.Sub(t.polledAt) >= p.interval {
			t.polling, t.polledAt = true, now
			return t
		}
	}
	return nil
}

// done ends a poll and charges its n bytes to the budget.
func (p *poller) done(t *target, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.polling = false
	p.budget -= float64(n)
}

// advance records that the cache events up to next were received.
func (p *poller) advance(t *target, next uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.lastEvent = next
}

// restart makes the next poll of an engine read its cache events from the start, since the
// engine may come back with an empty cache.
func (p *poller) restart(u ident.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if t.name == u {
			t.lastEvent = 0
		}
	}
}

// lastEventOf returns the number of the last cache event received from t.
func (p *poller) lastEventOf(t *target) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return t.lastEvent
}

// poll starts the polls that are due.
func (d *Daemon) poll(now time.Time) {
	for t := d.poller.due(now); t != nil; t = d.poller.due(now) {
		d.tasks.Go(func() { d.pollOne(t) })
	}
}

// pollOne polls the load of an engine and then its cache events. A failed load request counts as
// a health outcome of the engine.
func (d *Daemon) pollOne(t *target) {
	bytes, err := d.pollLoad(t)
	if err != nil {
		d.observeOutcome(health.Outcome{Upstream: t.name, Kind: outcomeKind(err)})
	} else {
		bytes += d.pollEvents(t)
	}
	d.poller.done(t, bytes)
	d.metrics.count("PollBytes", bytes)
}

// get requests path from an engine and decodes the JSON response into out. It returns the
// number of bytes sent and received, also with an error.
func (p *poller) get(address, path string, out any) (int, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	err := p.client.DoTimeout(req, resp, pollTimeout)
	n := len(req.Header.Header())
	if err != nil {
		return n, err
	}
	n += len(resp.Header.Header()) + len(resp.Body())
	if resp.StatusCode() != fasthttp.StatusOK {
		return n, errStatus
	}
	return n, json.Unmarshal(resp.Body(), out)
}

// maxReportAge is the age up to which a load report is believed.
const maxReportAge = time.Hour

// loadReport is the part of an engine's load report that is used.
type loadReport struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Slots   int   `json:"slots"`
	AgeMs   int64 `json:"age_ms"`
}

// of returns the report of an engine that was received at a time. It returns an error if no report can have
// its age.
func (r *loadReport) of(u ident.Upstream, received time.Time) (routing.Report, error) {
	if r.AgeMs < 0 || r.AgeMs > maxReportAge.Milliseconds() {
		return routing.Report{}, errs.New("load report has an age of %d ms, want 0 to %d", r.AgeMs, maxReportAge.Milliseconds())
	}
	at := received.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	return routing.Report{Upstream: u, At: at, Running: r.Running, Waiting: r.Waiting, Slots: r.Slots}, nil
}

// pollLoad reads the load of an engine and passes it to the chooser. It returns the number of
// bytes sent and received.
func (d *Daemon) pollLoad(t *target) (int, error) {
	var r loadReport
	n, err := d.poller.get(t.address, "/v1/load", &r)
	if err != nil {
		return n, err
	}
	now := d.opt.Timer.Now()
	report, err := r.of(t.name, now)
	if err == nil {
		err = d.engineChooser.ReportLoad(report)
	}
	d.noteReport(t.name, err)
	if err != nil {
		return n, err
	}
	d.generationQueue.Grant(now)
	return n, nil
}

// noteReport logs that the load report of an engine cannot be used, once until one can be used again.
func (d *Daemon) noteReport(u ident.Upstream, err error) {
	if d.poller.changedOdd(u, err != nil) && err != nil {
		d.log.Warn().Str("Upstream", string(u)).Err(err).Msg("load report of an engine cannot be used; ignoring it")
	}
}

// changedOdd records whether the load report of an engine could not be used, and reports whether that is news.
func (p *poller) changedOdd(u ident.Upstream, odd bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.odd[u] == odd {
		return false
	}
	if p.odd == nil {
		p.odd = make(map[ident.Upstream]bool)
	}
	if odd {
		p.odd[u] = true
	} else {
		delete(p.odd, u)
	}
	return true
}

// cacheEvents holds the cache events of an engine after a given number.
type cacheEvents struct {
	Next   uint64 `json:"next"`
	Events []struct {
		Seq   uint64 `json:"seq"`
		Kind  string `json:"kind"`
		Block string `json:"block"`
	} `json:"events"`
}

// pollEvents reads the new cache events of an engine and passes them to the chooser. It returns
// the number of bytes sent and received.
func (d *Daemon) pollEvents(t *target) int {
	var r cacheEvents
	n, err := d.poller.get(t.address, "/v1/cache/events?after="+strconv.FormatUint(d.poller.lastEventOf(t), 10), &r)
	if err != nil {
		return n
	}
	now := d.opt.Timer.Now()
	var events []affinity.Event
	for _, e := range r.Events {
		block, err := strconv.ParseUint(e.Block, 16, 64)
		if err != nil {
			continue
		}
		events = append(events, affinity.Event{Seq: e.Seq, Stored: e.Kind == "stored", Block: prefix.Block(block)})
	}
	d.engineChooser.ApplyCacheEvents(t.name, events, now)
	d.poller.advance(t, r.Next)
	return n
}

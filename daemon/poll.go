package daemon

import (
	"encoding/json"
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

// Defaults of the settings of polls.
const (
	defaultPollInterval = unit.Duration(500 * time.Millisecond)
	defaultPollBytes    = 1500 // per second
	defaultSubset       = 32
)

// pollTick is the interval of looking for engines that are due.
const pollTick = 20 * time.Millisecond

// pollLimit bounds one poll.
const pollLimit = time.Second

var errStatus = errs.New("unexpected status")

// polls asks the engines of the instance's subset for their load and cache
// events in turn, within a budget of bytes that may go into debt.
type polls struct {
	client   fasthttp.Client
	interval time.Duration
	rate     float64 // bytes per second

	mu      sync.Mutex
	targets []*target
	next    int
	bucket  float64 // bytes
	filled  time.Time
}

// target is one engine that is polled.
type target struct {
	name    ident.Upstream
	address string
	at      time.Time // of the last poll
	busy    bool
	after   uint64 // number of the last cache event
}

func (d *Daemon) buildPolls(rng *lockedRand) {
	cfg := d.cfg.Load
	if cfg.PollInterval == 0 {
		cfg.PollInterval = defaultPollInterval
	}
	d.polls = &polls{
		client:   fasthttp.Client{ReadTimeout: pollLimit, WriteTimeout: pollLimit, MaxIdemponentCallAttempts: 1},
		interval: cfg.PollInterval.Std(),
		rate:     float64(orDefault(cfg.PollBytesPerSecond, defaultPollBytes)),
		next:     int(rng.Uint64() % (1 << 16)),
	}
}

// follow replaces the engines that are polled.
func (p *polls) follow(names []ident.Upstream, address func(ident.Upstream) (string, bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := make(map[ident.Upstream]*target)
	for _, t := range p.targets {
		old[t.name] = t
	}
	p.targets = nil
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

// due returns the next engine to poll, or nil if none is due or the budget is spent.
func (p *polls) due(now time.Time) *target {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.filled.IsZero() {
		p.bucket = min(p.bucket+now.Sub(p.filled).Seconds()*p.rate, p.rate)
	}
	p.filled = now
	if p.bucket < 0 {
		return nil
	}
	for range p.targets {
		p.next++
		t := p.targets[p.next%len(p.targets)]
		if !t.busy && now.Sub(t.at) >= p.interval {
			t.busy, t.at = true, now
			return t
		}
	}
	return nil
}

// done charges a poll for its bytes.
func (p *polls) done(t *target, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.busy = false
	p.bucket -= float64(n)
}

// advance notes which cache events were taken.
func (p *polls) advance(t *target, next uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.after = next
}

// restart reads the cache events of an engine from the start again, since it
// may come back with an empty cache.
func (p *polls) restart(u ident.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if t.name == u {
			t.after = 0
		}
	}
}

// seen returns the number of the last cache event that was taken.
func (p *polls) seen(t *target) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return t.after
}

// poll starts the polls that are due.
func (d *Daemon) poll(now time.Time) {
	for t := d.polls.due(now); t != nil; t = d.polls.due(now) {
		d.tasks.Go(func() { d.pollOne(t) })
	}
}

func (d *Daemon) pollOne(t *target) {
	bytes, err := d.pollLoad(t)
	if err != nil {
		d.observe(health.Outcome{Upstream: t.name, Kind: kindOf(err)})
	} else {
		bytes += d.pollEvents(t)
	}
	d.polls.done(t, bytes)
	d.metrics.count("PollBytes", bytes)
}

// get asks an engine and returns the bytes that went both ways.
func (p *polls) get(address, path string, out any) (int, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	err := p.client.DoTimeout(req, resp, pollLimit)
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

// loadReport is the part of an engine's load report that is used.
type loadReport struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Slots   int   `json:"slots"`
	AgeMs   int64 `json:"age_ms"`
}

func (d *Daemon) pollLoad(t *target) (int, error) {
	var r loadReport
	n, err := d.polls.get(t.address, "/v1/load", &r)
	if err != nil {
		return n, err
	}
	now := d.opt.Timer.Now()
	d.chooser.ReportLoad(routing.Report{
		Upstream: t.name,
		At:       now.Add(-time.Duration(r.AgeMs) * time.Millisecond),
		Running:  r.Running,
		Waiting:  r.Waiting,
		Slots:    r.Slots,
	})
	d.line.Grant(now)
	return n, nil
}

// cacheEvents are the cache events of an engine after a number.
type cacheEvents struct {
	Next   uint64 `json:"next"`
	Events []struct {
		Seq   uint64 `json:"seq"`
		Kind  string `json:"kind"`
		Block string `json:"block"`
	} `json:"events"`
}

func (d *Daemon) pollEvents(t *target) int {
	var r cacheEvents
	n, err := d.polls.get(t.address, "/v1/cache/events?after="+strconv.FormatUint(d.polls.seen(t), 10), &r)
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
	d.chooser.ApplyCacheEvents(t.name, events, now)
	d.polls.advance(t, r.Next)
	return n
}

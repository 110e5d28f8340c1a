package measureaction

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"crocuslug/caller"
	"crocuslug/ident"
	"crocuslug/intent"
	"crocuslug/measure"
	"crocuslug/result"
	"crocuslug/standinengine"
	"crocuslug/standinservice"
	"crocuslug/standinsite"
	"crocuslug/unit"
)

// Shape of the deployment and of its load.
const (
	drainTokens   = 20
	drainInterval = 20 * time.Millisecond  // between tokens
	drainDelay    = 300 * time.Millisecond // of a call to a plain service
	drainRate     = 50.0                   // generations, and as many calls, a second
	drainStage    = 4 * time.Second
	drainBound    = 2 * time.Second
	drainPoll     = 2 * time.Millisecond
)

// drainFigures are the figures of the experiment. Times are counted from when
// the leaving was accepted or began.
type drainFigures struct {
	ConfiguredEngineLastMs  float64
	ConfiguredServiceLastMs float64
	SignallingEngineLastMs  float64 // new streams that it took
	SignallingEngineAsked   uint64  // streams that it refused after it said so
	SignallingServiceAsked  int     // calls that callers saw refused by it
	SignallingServiceLastMs float64 // the last of them
	InstanceLeftMs          float64 // until it had no work
	Generations             int
	Calls                   int
	Redirected              int // answers that an instance left to another before it began them
	Reconnects              int // of callers for other reasons
	NotWhole                int // answers
	Unanswered              int // calls, with those of unknown outcome
}

// drain is one run of the experiment.
type drain struct {
	site   *standinsite.Site
	naive  bool
	wg     sync.WaitGroup
	mu     sync.Mutex
	f      drainFigures
	report measure.Report
	signal time.Time // when the second engine and service began to leave
}

func runDrain(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	d := &drain{naive: cfg.Baseline}
	d.site = standinsite.New(standinsite.Settings{
		Instances: 3, Engines: 4, Services: 4, Seed: cfg.Seed, Log: cfg.Log,
		Engine:        standinengine.Settings{TokenInterval: drainInterval},
		ServiceFaults: standinservice.Faults{Delay: unit.Duration(drainDelay)},
	})
	defer d.site.Stop()
	if err := d.site.Start(); err != nil {
		return d.report, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.wg.Add(1)
	go d.load(ctx, rand.New(rand.NewPCG(cfg.Seed, 0)))
	time.Sleep(drainStage / 2)
	if err := d.byConfiguration(ctx); err != nil {
		return d.report, err
	}
	d.bySignal()
	d.instance(ctx)
	cancel()
	d.wg.Wait()
	if d.f.SignallingServiceLastMs > float64(drainBound.Milliseconds()) {
		d.report.AddViolation("the second service got new work later than the bound")
	}
	d.report.Figures = d.f
	if n := d.f.NotWhole + d.f.Unanswered + d.f.Reconnects; n > 0 {
		d.report.AddViolation(fmt.Sprintf("answers or calls cut: %d", n))
	}
	return d.report, nil
}

// last watches a count for a stage and returns when it rose last, in
// milliseconds after began, and holds that against the bound.
func (d *drain) last(what string, began time.Time, count func() uint64) float64 {
	var last time.Duration
	for n := count(); time.Since(began) < drainStage; time.Sleep(drainPoll) {
		if now := count(); now != n {
			n, last = now, time.Since(began)
		}
	}
	if last > drainBound {
		d.violate(fmt.Sprintf("%s got new work %d ms after it began to leave", what, last.Milliseconds()))
	}
	return float64(last.Microseconds()) / 1000
}

func (d *drain) violate(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.AddViolation(text)
}

// byConfiguration has an operator take the first engine and service out.
func (d *drain) byConfiguration(ctx context.Context) error {
	if err := d.accept(ctx); err != nil {
		return err
	}
	began := time.Now()
	if d.naive {
		d.site.Engines[0].Kill()
		d.site.Services[0].Kill()
	}
	both := make(chan float64)
	go func() {
		both <- d.last("the first service", began, func() uint64 { return taken(d.site.Services[0].Calls()) })
	}()
	d.f.ConfiguredEngineLastMs = d.last("the first engine", began, func() uint64 { return d.site.Engines[0].Counters().Started })
	d.f.ConfiguredServiceLastMs = <-both
	return nil
}

// taken is the number of calls whose work a service has begun. Replicas share
// the count of actions, so only look-ups tell one from another.
func taken(c standinservice.Calls) uint64 { return uint64(c.Lookups) }

func (d *drain) accept(ctx context.Context) error {
	if d.naive {
		return nil
	}
	in := intent.Intent{Whole: true, Set: d.site.Document()}
	in.Set.Upstreams = slices.Clone(in.Set.Upstreams)
	for i, u := range in.Set.Upstreams {
		in.Set.Upstreams[i].Leaving = u.Name == "engine-accra-0" || u.Name == ident.Upstream(standinsite.Booking+"-accra-0")
	}
	_, err := d.site.Change(ctx, d.site.Operator(), in)
	return err
}

// bySignal has the second engine and service answer 503 to new work.
func (d *drain) bySignal() {
	began := time.Now()
	d.mu.Lock()
	d.signal = began
	d.mu.Unlock()
	engine := d.site.Engines[1]
	before := engine.Counters().Refused
	engine.Leave()
	d.site.Services[1].Leave()
	d.f.SignallingEngineLastMs = d.last("the second engine", began, func() uint64 { return engine.Counters().Refused })
	d.f.SignallingEngineAsked = engine.Counters().Refused - before
}

// instance has the first instance leave.
func (d *drain) instance(ctx context.Context) {
	began := time.Now()
	first := d.site.Instances[0]
	if d.naive {
		d.site.KillInstance(first.Addr())
	} else if err := first.Leave(ctx); err != nil {
		d.violate("the instance did not end its work: " + err.Error())
	}
	d.f.InstanceLeftMs = float64(time.Since(began).Microseconds()) / 1000
	d.site.StopInstance(0)
	time.Sleep(max(0, drainStage-time.Since(began)))
}

// load sends generations and calls until ctx ends. What was sent is waited for.
func (d *drain) load(ctx context.Context, rng *rand.Rand) {
	defer d.wg.Done()
	next := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		d.wg.Add(2)
		go d.generate(i)
		go d.call(i)
		next = next.Add(time.Duration(rng.ExpFloat64() / drainRate * float64(time.Second)))
		time.Sleep(time.Until(next))
	}
}

func (d *drain) generate(i int) {
	defer d.wg.Done()
	redirected := 0
	a := d.site.Caller(caller.Settings{}).Do(context.Background(), caller.Request{
		ID: ident.Request(fmt.Sprintf("g%d", i)), Model: standinsite.Model, Prompt: fmt.Sprintf("debrief %d", i), MaxTokens: drainTokens, First: i,
		OnLost: func(_ string, err error) {
			var e *result.Error
			if errors.As(err, &e) && e.Code == result.InstanceLeaving {
				redirected++
			}
		},
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.f.Generations++
	d.f.Redirected += redirected
	d.f.Reconnects += a.Reconnects - redirected
	if !a.Whole || a.Err != nil {
		d.f.NotWhole++
	}
}

// call sends an action or a look-up in turn, at another instance if one is
// leaving.
func (d *drain) call(i int) {
	defer d.wg.Done()
	c := standinsite.Call{Method: http.MethodGet, Path: fmt.Sprintf("/records/%d", i)}
	if i%2 == 0 {
		c = standinsite.Call{Method: http.MethodPost, Path: "/bookings", Key: fmt.Sprintf("c%d", i), Body: "crane"}
	}
	at := d.site.Addresses()
	r := d.site.Send(at[i%len(at)], c)
	for j := 1; r.Problem.Run == result.RunNot && r.Problem.Code != 0 && j < len(at); j++ {
		r = d.site.Send(at[(i+j)%len(at)], c)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.f.Calls++
	switch {
	case r.Status == http.StatusServiceUnavailable && r.Problem.Code == 0:
		d.f.SignallingServiceAsked++
		d.f.SignallingServiceLastMs = float64(time.Since(d.signal).Microseconds()) / 1000
	case r.Status != http.StatusOK && r.Status != http.StatusCreated:
		d.f.Unanswered++
	}
}

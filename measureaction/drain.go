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

// Deployment, load and limits of drain.
const (
	drainTokens        = 20
	drainTokenInterval = 20 * time.Millisecond  // between tokens
	drainDelay         = 300 * time.Millisecond // of the answer of a plain service
	drainRate          = 50.0                   // generations per second, and as many calls
	drainStageLength   = 4 * time.Second
	maxDrainTime       = 2 * time.Second
	drainPollInterval  = 2 * time.Millisecond
)

// drainFigures are the figures of drain. Times are counted from the acceptance of the
// configuration change, or from the signal, that made an upstream or instance leave.
type drainFigures struct {
	ConfiguredEngineLastMs  float64
	ConfiguredServiceLastMs float64
	SignallingEngineLastMs  float64 // last new stream sent to the engine
	SignallingEngineAsked   uint64  // streams that the engine refused since it began to leave
	SignallingServiceAsked  int     // calls whose refusal by the service reached callers
	SignallingServiceLastMs float64 // time of the last such refusal
	InstanceLeftMs          float64 // time until the instance had no work
	Generations             int
	Calls                   int
	Redirected              int // answers that a leaving instance redirected to another before they began
	Reconnects              int // reconnects of callers for other reasons
	NotWhole                int // incomplete answers
	Unanswered              int // calls without an answer, including those of unknown outcome
}

// drain is the state of one run of the experiment.
type drain struct {
	site        *standinsite.Site
	naive       bool
	wg          sync.WaitGroup
	mu          sync.Mutex
	figures     drainFigures
	report      measure.Report
	signalledAt time.Time // when the second engine and service began to leave
}

func runDrain(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	d := &drain{naive: cfg.Baseline}
	d.site = standinsite.New(standinsite.Settings{
		Instances: 3, Engines: 4, Services: 4, Seed: cfg.Seed, Log: cfg.Log,
		Engine:        standinengine.Settings{TokenInterval: drainTokenInterval},
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
	time.Sleep(drainStageLength / 2)
	if err := d.leaveByConfiguration(ctx); err != nil {
		return d.report, err
	}
	d.leaveBySignal()
	d.leaveInstance(ctx)
	cancel()
	d.wg.Wait()
	if d.figures.SignallingServiceLastMs > float64(maxDrainTime.Milliseconds()) {
		d.report.AddViolation("the second service got new work after the time limit")
	}
	d.report.Figures = d.figures
	if n := d.figures.NotWhole + d.figures.Unanswered + d.figures.Reconnects; n > 0 {
		d.report.AddViolation(fmt.Sprintf("interrupted answers or calls: %d", n))
	}
	return d.report, nil
}

// lastIncrease polls a count for the length of a stage and returns the time of its last
// increase, in milliseconds after began. A time beyond maxDrainTime is a violation.
func (d *drain) lastIncrease(what string, began time.Time, count func() uint64) float64 {
	var last time.Duration
	for n := count(); time.Since(began) < drainStageLength; time.Sleep(drainPollInterval) {
		if now := count(); now != n {
			n, last = now, time.Since(began)
		}
	}
	if last > maxDrainTime {
		d.addViolation(fmt.Sprintf("%s got new work %d ms after it began to leave", what, last.Milliseconds()))
	}
	return float64(last.Microseconds()) / 1000
}

func (d *drain) addViolation(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.AddViolation(text)
}

// leaveByConfiguration marks the first engine and service as leaving by an operator's change.
func (d *drain) leaveByConfiguration(ctx context.Context) error {
	if err := d.confirmLeaving(ctx); err != nil {
		return err
	}
	began := time.Now()
	if d.naive {
		d.site.Engines[0].Kill()
		d.site.Services[0].Kill()
	}
	both := make(chan float64)
	go func() {
		both <- d.lastIncrease("the first service", began, func() uint64 { return begunCalls(d.site.Services[0].Calls()) })
	}()
	d.figures.ConfiguredEngineLastMs = d.lastIncrease("the first engine", began, func() uint64 { return d.site.Engines[0].Counters().Started })
	d.figures.ConfiguredServiceLastMs = <-both
	return nil
}

// begunCalls returns the number of calls that a service has begun to process. Only look-ups
// count, since replicas share the count of actions.
func begunCalls(c standinservice.Calls) uint64 { return uint64(c.Lookups) }

func (d *drain) confirmLeaving(ctx context.Context) error {
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

// leaveBySignal makes the second engine and service answer new work with 503.
func (d *drain) leaveBySignal() {
	began := time.Now()
	d.mu.Lock()
	d.signalledAt = began
	d.mu.Unlock()
	engine := d.site.Engines[1]
	before := engine.Counters().Refused
	engine.Leave()
	d.site.Services[1].Leave()
	d.figures.SignallingEngineLastMs = d.lastIncrease("the second engine", began, func() uint64 { return engine.Counters().Refused })
	d.figures.SignallingEngineAsked = engine.Counters().Refused - before
}

// leaveInstance makes the first instance leave and stops it.
func (d *drain) leaveInstance(ctx context.Context) {
	began := time.Now()
	first := d.site.Instances[0]
	if d.naive {
		d.site.KillInstance(first.Addr())
	} else if err := first.Leave(ctx); err != nil {
		d.addViolation("the leaving instance did not finish its work: " + err.Error())
	}
	d.figures.InstanceLeftMs = float64(time.Since(began).Microseconds()) / 1000
	d.site.StopInstance(0)
	time.Sleep(max(0, drainStageLength-time.Since(began)))
}

// load starts generations and calls until ctx is done. They are added to d.wg and run to their end.
func (d *drain) load(ctx context.Context, rng *rand.Rand) {
	defer d.wg.Done()
	next := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		d.wg.Add(2)
		go d.sendGeneration(i)
		go d.sendCall(i)
		next = next.Add(time.Duration(rng.ExpFloat64() / drainRate * float64(time.Second)))
		time.Sleep(time.Until(next))
	}
}

func (d *drain) sendGeneration(i int) {
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
	d.figures.Generations++
	d.figures.Redirected += redirected
	d.figures.Reconnects += a.Reconnects - redirected
	if !a.Whole || a.Err != nil {
		d.figures.NotWhole++
	}
}

// sendCall sends an action or, for odd i, a look-up. If an instance refuses it as not run,
// the next one is tried.
func (d *drain) sendCall(i int) {
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
	d.figures.Calls++
	switch {
	case r.Status == http.StatusServiceUnavailable && r.Problem.Code == 0:
		d.figures.SignallingServiceAsked++
		d.figures.SignallingServiceLastMs = float64(time.Since(d.signalledAt).Microseconds()) / 1000
	case r.Status != http.StatusOK && r.Status != http.StatusCreated:
		d.figures.Unanswered++
	}
}

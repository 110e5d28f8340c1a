package measureaction

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/claim"
	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/measure"
	"crocuslug/standinkeyvalue"
	"crocuslug/standinservice"
	"crocuslug/standinsite"
	"crocuslug/unit"
)

// stage is a period of arrivals at one rate.
type stage struct {
	name             string
	actionsPerSecond float64
	duration         time.Duration
	fault            bool
}

// stages are the stages of claims. The names are printed in its figures.
var stages = []stage{
	{"5/s", 5, 4 * time.Second, false},
	{"50/s", 50, 4 * time.Second, false},
	{"200/s", 200, 4 * time.Second, false},
	{"500/s", 500, 4 * time.Second, false},
	{"50/s with faults", 50, 10 * time.Second, true},
}

// Delays and callers of claims.
const (
	storeDelay       = 3 * time.Millisecond // of each call to the platform's key-value service
	serviceTimeout   = time.Second
	maxDeliveryDelay = 200 * time.Millisecond
	clockSkew        = 100 * time.Millisecond
	duplicateShare   = 0.1              // share of actions that two callers send at once
	callerTimeout    = 12 * time.Second // time after which a caller stops retrying
)

// Times of the faults, counted from the start of the stage.
const (
	loseAnswersAt = 500 * time.Millisecond
	outageAt      = 2 * time.Second
	outageEndAt   = 4 * time.Second
	killAt        = 5 * time.Second
	lostAnswers   = 10 // answers lost by the store, and as many by all services together
)

// stageFigures are the figures of one stage.
type stageFigures struct {
	Stage              string
	Actions            int
	DoneAtFirst        int // actions whose first answer reported the run
	Done               int // actions with an answer that reported the run
	WritesPerAction    float64
	PlatformWritesPerS float64
	ActionLatencyP50Ms *float64 // of first answers that report a run
	ActionLatencyP95Ms *float64
	NotRunP95Ms        *float64 // latency of answers that report that nothing was run
	NotRunAnswers      int
	UnknownAnswers     int // answers that report an action in progress or unknown, and missing answers
	OpenActions        int // calls without an outcome when the caller stopped retrying
}

func runClaims(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	var r measure.Report
	settings := standinsite.Settings{
		Domains: []ident.Domain{"d1", "d2"}, Instances: 2, Engines: 1, Services: 2,
		ServiceTimeout: unit.Duration(serviceTimeout), Seed: cfg.Seed, Log: cfg.Log,
	}
	settings.Options.Claims.Claims = claim.Settings{MaxDeliveryDelay: unit.Duration(maxDeliveryDelay), Skew: unit.Duration(clockSkew)}
	if cfg.Baseline {
		settings.Document.Rules = []configuration.Rule{{Name: "at-once", Method: fasthttp.MethodPost, Repeatable: true}}
	}
	site := standinsite.New(settings)
	defer site.Stop()
	if err := site.Start(); err != nil {
		return r, err
	}
	site.Store.SetFaults(standinkeyvalue.Faults{Delay: storeDelay})
	rng := rand.New(rand.NewPCG(cfg.Seed, 0))
	var figures []stageFigures
	for i, s := range stages {
		f := runStage(ctx, site, s, i, rng, &r)
		figures = append(figures, f)
	}
	for _, v := range site.Services[:1] {
		if n := v.Calls().Doubled; n > 0 {
			r.AddViolation(fmt.Sprintf("actions run more than once: %d", n))
		}
	}
	r.Figures = figures
	return r, nil
}

// runStage sends the actions of a stage, waits for all callers and returns the figures.
func runStage(ctx context.Context, site *standinsite.Site, s stage, number int, rng *rand.Rand, r *measure.Report) stageFigures {
	t := newTally(site, s.name)
	before, began := site.Store.Calls().Writes, time.Now()
	if s.fault {
		go injectFaults(site)
	}
	next := began
	for i := 0; time.Since(began) < s.duration && ctx.Err() == nil; i++ {
		act := &action{name: fmt.Sprintf("%d-%d-%d", number, i, rng.Uint32())}
		callers := 1
		if rng.Float64() < duplicateShare {
			callers = 2
		}
		t.startCallers(ctx, act, callers, rng.IntN(len(site.Instances)))
		next = next.Add(time.Duration(rng.ExpFloat64() / s.actionsPerSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
	}
	span := time.Since(began)
	t.wg.Wait()
	return t.check(r, site.Store.Calls().Writes-before, span)
}

// injectFaults injects the faults in sequence: lost answers, an outage of the platform's key-value
// service, and the loss of an instance.
func injectFaults(site *standinsite.Site) {
	time.Sleep(loseAnswersAt)
	site.Store.SetFaults(standinkeyvalue.Faults{Delay: storeDelay, LoseAnswers: lostAnswers})
	for _, v := range site.Services {
		v.SetFaults(standinservice.Faults{LoseAnswers: lostAnswers / len(site.Services), DropRequests: 1})
	}
	time.Sleep(outageAt - loseAnswersAt)
	site.Store.SetFaults(standinkeyvalue.Faults{Outage: true})
	time.Sleep(outageEndAt - outageAt)
	site.Store.SetFaults(standinkeyvalue.Faults{Delay: storeDelay})
	time.Sleep(killAt - outageEndAt)
	site.KillInstance(site.Instances[0].Addr())
}

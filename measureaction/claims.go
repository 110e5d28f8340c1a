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

// stage is a span of arrivals at one rate.
type stage struct {
	name  string
	rate  float64 // actions a second
	span  time.Duration
	fault bool
}

// stages of the experiment.
var stages = []stage{
	{"5/s", 5, 4 * time.Second, false},
	{"50/s", 50, 4 * time.Second, false},
	{"200/s", 200, 4 * time.Second, false},
	{"500/s", 500, 4 * time.Second, false},
	{"50/s with faults", 50, 10 * time.Second, true},
}

// Shape of the deployment.
const (
	storeDelay     = 3 * time.Millisecond // of each call to the platform's service
	serviceTimeout = time.Second
	settleTime     = 200 * time.Millisecond
	clockError     = 100 * time.Millisecond
	twice          = 0.1              // share of actions that two callers send at once
	patience       = 12 * time.Second // how long a caller goes on
)

// Times of the faults after the stage begins.
const (
	loseAt   = 500 * time.Millisecond
	outageAt = 2 * time.Second
	backAt   = 4 * time.Second
	killAt   = 5 * time.Second
	loseHow  = 10 // answers of each kind
)

// stageFigures are the figures of one stage.
type stageFigures struct {
	Stage              string
	Actions            int
	DoneAtFirst        int // by the first answer
	Done               int
	WritesPerAction    float64
	PlatformWritesPerS float64
	ActionLatencyP50Ms *float64 // of the first answers that tell of a run
	ActionLatencyP95Ms *float64
	NotRunP95Ms        *float64 // of answers that nothing was run
	NotRunAnswers      int
	UnknownAnswers     int // in progress, unknown, or none
	OpenActions        int // without an outcome when the caller gave up
}

func runClaims(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	var r measure.Report
	settings := standinsite.Settings{
		Domains: []ident.Domain{"d1", "d2"}, Instances: 2, Engines: 1, Services: 2,
		ServiceTimeout: unit.Duration(serviceTimeout), Seed: cfg.Seed, Log: cfg.Log,
	}
	settings.Options.Claims.Claims = claim.Settings{MaxDeliveryDelay: unit.Duration(settleTime), Skew: unit.Duration(clockError)}
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
			r.Violate(fmt.Sprintf("actions run again: %d", n))
		}
	}
	r.Figures = figures
	return r, nil
}

// runStage sends the actions of a stage and waits for all callers.
func runStage(ctx context.Context, site *standinsite.Site, s stage, number int, rng *rand.Rand, r *measure.Report) stageFigures {
	t := newTally(site, s.name)
	before, began := site.Store.Calls().Writes, time.Now()
	if s.fault {
		go disturb(site)
	}
	next := began
	for i := 0; time.Since(began) < s.span && ctx.Err() == nil; i++ {
		k := &key{name: fmt.Sprintf("%d-%d-%d", number, i, rng.Uint32())}
		callers := 1
		if rng.Float64() < twice {
			callers = 2
		}
		t.send(ctx, k, callers, rng.IntN(len(site.Instances)))
		next = next.Add(time.Duration(rng.ExpFloat64() / s.rate * float64(time.Second)))
		time.Sleep(time.Until(next))
	}
	span := time.Since(began)
	t.wg.Wait()
	return t.figures(r, site.Store.Calls().Writes-before, span)
}

// disturb has answers lost, the platform's service away, and an instance killed.
func disturb(site *standinsite.Site) {
	time.Sleep(loseAt)
	site.Store.SetFaults(standinkeyvalue.Faults{Delay: storeDelay, LoseAnswers: loseHow})
	for _, v := range site.Services {
		v.SetFaults(standinservice.Faults{LoseAnswers: loseHow / len(site.Services), DropRequests: 1})
	}
	time.Sleep(outageAt - loseAt)
	site.Store.SetFaults(standinkeyvalue.Faults{Outage: true})
	time.Sleep(backAt - outageAt)
	site.Store.SetFaults(standinkeyvalue.Faults{Delay: storeDelay})
	time.Sleep(killAt - backAt)
	site.KillInstance(site.Instances[0].Addr())
}

package measureload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"crocuslug/caller"
	"crocuslug/daemon"
	"crocuslug/ident"
	"crocuslug/measure"
	"crocuslug/standinsite"
)

// answered is an arrival with what the caller got.
type answered struct {
	arrival
	caller.Answer
}

// callerLimit is how long a caller waits for the whole answer.
const callerLimit = 25 * time.Second

// lunch returns the experiment of a shape.
func lunch(s shape, faults bool) func(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	return func(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
		var r measure.Report
		c := cut{}
		settings := s.site(cfg.Seed)
		settings.Options = daemon.Options{RoundRobin: cfg.Baseline, DropTo: c.to, DropFrom: c.to}
		site := standinsite.New(settings)
		defer site.Stop()
		if err := site.Start(); err != nil {
			return r, err
		}
		if faults {
			stop := startFaults(site, &c, cfg.Seed)
			defer stop()
		}
		got := send(ctx, site, s, plan(s, lunchPhases, cfg.Seed))
		t := newTally(s, &r)
		for _, a := range got {
			t.take(a)
		}
		if !cfg.Baseline {
			t.held(site)
		}
		r.Figures = t.figures()
		return r, nil
	}
}

// send sends the arrivals of a plan at their times and returns all answers.
func send(ctx context.Context, site *standinsite.Site, s shape, list []arrival) []answered {
	callers := make([]*caller.Caller, len(s.kinds))
	for i, k := range s.kinds {
		callers[i] = site.Caller(caller.Settings{Key: key(k.workspace), Silence: callerLimit})
	}
	out := make([]answered, len(list))
	began := time.Now()
	var wg sync.WaitGroup
	for i, a := range list {
		time.Sleep(a.at - time.Since(began))
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, callerLimit)
			defer cancel()
			out[i] = answered{a, callers[a.kind].Do(ctx, caller.Request{
				ID:        ident.Request(fmt.Sprintf("r%d", i)),
				Model:     standinsite.Model,
				Prompt:    a.prompt,
				MaxTokens: a.tokens,
				First:     a.first,
			})}
		}()
	}
	wg.Wait()
	return out
}

// cut loses all that an instance sends and receives.
type cut struct {
	instance atomic.Pointer[ident.Instance]
}

func (c *cut) to(id ident.Instance) bool {
	p := c.instance.Load()
	return p != nil && *p == id
}

// Times of the faults since the start.
const (
	firstDeath  = 9 * time.Second
	freezeAt    = 11 * time.Second
	secondDeath = 12 * time.Second
	cutAt       = 13 * time.Second
	healAt      = 17 * time.Second
)

// startFaults lets two engines die, one freeze and an instance be cut off from
// the others for a while. The faults end when the function returned is called.
func startFaults(site *standinsite.Site, c *cut, seed uint64) func() {
	rng := rand.New(rand.NewPCG(seed, 1))
	order := rng.Perm(len(site.Engines))
	isolated := site.Instances[rng.IntN(len(site.Instances))].ID()
	var timers []*time.Timer
	at := func(d time.Duration, f func()) { timers = append(timers, time.AfterFunc(d, f)) }
	at(firstDeath, site.Engines[order[0]].Kill)
	at(freezeAt, site.Engines[order[1]].Freeze)
	at(secondDeath, site.Engines[order[2]].Kill)
	at(cutAt, func() { c.instance.Store(&isolated) })
	at(healAt, func() {
		c.instance.Store(nil)
		site.Engines[order[1]].Thaw()
		_ = site.Engines[order[0]].Restart()
	})
	return func() {
		for _, t := range timers {
			t.Stop()
		}
	}
}

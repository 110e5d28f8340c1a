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

// outcome is an arrival and the answer that its caller got.
type outcome struct {
	arrival
	caller.Answer
}

// answerTimeout is the time that a caller waits for the complete answer.
const answerTimeout = 25 * time.Second

// lunchHour returns the lunch-hour experiment on deployment d, with or without faults.
func lunchHour(d deployment, faults bool) func(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	return func(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
		var r measure.Report
		c := isolation{}
		settings := d.siteSettings(cfg.Seed)
		settings.Options = daemon.Options{RoundRobin: cfg.Baseline, DropTo: c.isolates, DropFrom: c.isolates}
		site := standinsite.New(settings)
		defer site.Stop()
		if err := site.Start(); err != nil {
			return r, err
		}
		if faults {
			stop := startFaults(site, &c, cfg.Seed)
			defer stop()
		}
		got := sendArrivals(ctx, site, d, plan(d, lunchPhases, cfg.Seed))
		t := newTally(d, &r)
		for _, a := range got {
			t.record(a)
		}
		if !cfg.Baseline {
			t.checkIdle(site)
		}
		r.Figures = t.lunchResult()
		return r, nil
	}
}

// sendArrivals sends the requests of a plan at their arrival times and returns all answers.
func sendArrivals(ctx context.Context, site *standinsite.Site, d deployment, list []arrival) []outcome {
	callers := make([]*caller.Caller, len(d.requestKinds))
	for i, k := range d.requestKinds {
		callers[i] = site.Caller(caller.Settings{Key: key(k.workspace), Silence: answerTimeout})
	}
	out := make([]outcome, len(list))
	began := time.Now()
	var wg sync.WaitGroup
	for i, a := range list {
		time.Sleep(a.at - time.Since(began))
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, answerTimeout)
			defer cancel()
			out[i] = outcome{a, callers[a.kind].Do(ctx, caller.Request{
				ID:        ident.Request(fmt.Sprintf("r%d", i)),
				Model:     standinsite.Model,
				Prompt:    a.prompt,
				MaxTokens: a.answerTokens,
				First:     a.firstInstance,
			})}
		}()
	}
	wg.Wait()
	return out
}

// isolation drops all peer messages that the selected instance sends and receives.
type isolation struct {
	instance atomic.Pointer[ident.Instance]
}

func (c *isolation) isolates(id ident.Instance) bool {
	p := c.instance.Load()
	return p != nil && *p == id
}

// Times of the faults, counted from the start of the load.
const (
	firstKillAt  = 9 * time.Second
	freezeAt     = 11 * time.Second
	secondKillAt = 12 * time.Second
	isolateAt    = 13 * time.Second
	recoverAt    = 17 * time.Second
)

// startFaults schedules faults: two engines are killed, one is frozen, and an instance
// is isolated from the others for a while. The returned function cancels those that
// have not started.
func startFaults(site *standinsite.Site, c *isolation, seed uint64) func() {
	rng := rand.New(rand.NewPCG(seed, 1))
	order := rng.Perm(len(site.Engines))
	isolated := site.Instances[rng.IntN(len(site.Instances))].ID()
	var timers []*time.Timer
	at := func(d time.Duration, f func()) { timers = append(timers, time.AfterFunc(d, f)) }
	at(firstKillAt, site.Engines[order[0]].Kill)
	at(freezeAt, site.Engines[order[1]].Freeze)
	at(secondKillAt, site.Engines[order[2]].Kill)
	at(isolateAt, func() { c.instance.Store(&isolated) })
	at(recoverAt, func() {
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

package measuregeneration

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"crocuslug/caller"
	"crocuslug/ident"
	"crocuslug/measure"
	"crocuslug/standinsite"
	"crocuslug/suspect"
)

// Shape of the experiment with a crashing request.
const (
	crashEngines   = 8
	crashInnocents = 64
	crashSends     = 12
	crashTokens    = 250
	crashBound     = 3 // engines that one content may cost
	crashRestart   = 400 * time.Millisecond
)

// crashFigures are what crashing-request reports.
type crashFigures struct {
	EnginesLost     int64
	Sends           int
	Refused         int // sends that were refused by content
	InnocentAnswers int
	InnocentWhole   int
}

// runCrashing sends one content that kills engines again and again, each time
// under a new id and through the next instance, among innocent answers.
func runCrashing(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	var report measure.Report
	var deaths atomic.Int64
	s := lossSite(cfg)
	s.Engines = crashEngines
	s.Options.Suspect = suspect.Settings{Disabled: cfg.Baseline}
	s.OnEngineDeath = func(revive func() error) {
		deaths.Add(1)
		go func() {
			time.Sleep(crashRestart)
			_ = revive()
		}()
	}
	site := standinsite.New(s)
	if err := site.Start(); err != nil {
		return report, err
	}
	defer site.Stop()
	fig := &crashFigures{Sends: crashSends, InnocentAnswers: crashInnocents}
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range crashInnocents {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := innocent(ctx, site, cfg, i)
			mu.Lock()
			defer mu.Unlock()
			if a.Whole && disorder(a.Tokens, crashTokens) == "" {
				fig.InnocentWhole++
			} else {
				report.Violate(fmt.Sprintf("innocent %d: whole %t, %d tokens, %v", i, a.Whole, len(a.Tokens), a.Err))
			}
		}()
	}
	fig.Refused = sendCrashing(ctx, site)
	wg.Wait()
	fig.EnginesLost = deaths.Load()
	if fig.EnginesLost > crashBound {
		report.Violate(fmt.Sprintf("%d engines lost to one content", fig.EnginesLost))
	}
	report.Figures = fig
	return report, nil
}

// innocent gets one answer, starting again after a failure in the naive version.
func innocent(ctx context.Context, site *standinsite.Site, cfg measure.Settings, i int) caller.Answer {
	c := site.Caller(caller.Settings{Silence: callerSilence, NoCursor: cfg.Baseline})
	for try := 0; ; try++ {
		a := c.Do(ctx, caller.Request{
			ID:    ident.Request(fmt.Sprintf("innocent-%d-%d", i, try)),
			Model: standinsite.Model, Prompt: fmt.Sprintf("innocent %d", i), MaxTokens: crashTokens, First: i,
		})
		if a.Whole || !cfg.Baseline || try >= maxTries || ctx.Err() != nil {
			return a
		}
	}
}

// sendCrashing sends the content and returns how often it was refused.
func sendCrashing(ctx context.Context, site *standinsite.Site) int {
	c := site.Caller(caller.Settings{Silence: callerSilence, Reconnects: 2})
	refused := 0
	for i := range crashSends {
		pause(ctx, site, 100*time.Millisecond)
		a := c.Do(ctx, caller.Request{
			ID:    ident.Request(fmt.Sprintf("crash-%d", i)),
			Model: standinsite.Model, Prompt: "crash-engine now", MaxTokens: crashTokens, First: i,
		})
		if a.Err != nil {
			refused++
		}
	}
	return refused
}

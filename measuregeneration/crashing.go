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

// Deployment and load of crashing-request.
const (
	crashEngines      = 8
	crashUnrelated    = 64
	crashSends        = 12
	crashTokens       = 250
	maxCrashedEngines = 3                      // engines that requests with one content may crash
	crashRestartDelay = 400 * time.Millisecond // until a crashed engine starts again
)

// crashFigures are the figures of crashing-request.
type crashFigures struct {
	EnginesLost     int64
	Sends           int
	Refused         int // sends that ended with an error, such as a refusal for their content
	InnocentAnswers int
	InnocentWhole   int
}

// runCrashing repeatedly sends requests with one content that crashes engines, each
// with a new id and to the next instance, while unrelated requests are served.
func runCrashing(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	var report measure.Report
	var deaths atomic.Int64
	s := lossSite(cfg)
	s.Engines = crashEngines
	s.Options.Suspect = suspect.Settings{Disabled: cfg.Baseline}
	s.OnEngineDeath = func(revive func() error) {
		deaths.Add(1)
		go func() {
			time.Sleep(crashRestartDelay)
			_ = revive()
		}()
	}
	site := standinsite.New(s)
	if err := site.Start(); err != nil {
		return report, err
	}
	defer site.Stop()
	fig := &crashFigures{Sends: crashSends, InnocentAnswers: crashUnrelated}
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range crashUnrelated {
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := requestUnrelated(ctx, site, cfg, i)
			mu.Lock()
			defer mu.Unlock()
			if a.Whole && tokenDefect(a.Tokens, crashTokens) == "" {
				fig.InnocentWhole++
			} else {
				report.AddViolation(fmt.Sprintf("unrelated request %d: complete %t, %d tokens, error %v", i, a.Whole, len(a.Tokens), a.Err))
			}
		}()
	}
	fig.Refused = sendCrashing(ctx, site)
	wg.Wait()
	fig.EnginesLost = deaths.Load()
	if fig.EnginesLost > maxCrashedEngines {
		report.AddViolation(fmt.Sprintf("requests with one content crashed %d engines", fig.EnginesLost))
	}
	report.Figures = fig
	return report, nil
}

// requestUnrelated sends one unrelated request. In the naive version it starts again after a failure.
func requestUnrelated(ctx context.Context, site *standinsite.Site, cfg measure.Settings, i int) caller.Answer {
	c := site.Caller(caller.Settings{Silence: callerSilenceLimit, NoCursor: cfg.Baseline})
	for try := 0; ; try++ {
		a := c.Do(ctx, caller.Request{
			ID:    ident.Request(fmt.Sprintf("innocent-%d-%d", i, try)),
			Model: standinsite.Model, Prompt: fmt.Sprintf("innocent %d", i), MaxTokens: crashTokens, First: i,
		})
		if a.Whole || !cfg.Baseline || try >= maxAttempts || ctx.Err() != nil {
			return a
		}
	}
}

// sendCrashing sends the requests that crash engines and returns the number that failed.
func sendCrashing(ctx context.Context, site *standinsite.Site) int {
	c := site.Caller(caller.Settings{Silence: callerSilenceLimit, Reconnects: 2})
	refused := 0
	for i := range crashSends {
		sleep(ctx, site, 100*time.Millisecond)
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

package measuregeneration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"crocuslug/caller"
	"crocuslug/ident"
	"crocuslug/measure"
	"crocuslug/standinsite"
)

// round is one set of concurrent answers with one fault in the middle.
type round struct {
	site          *standinsite.Site
	report        *measure.Report
	resumeLatency *hdrhistogram.Histogram
	baseline      bool
	prefix        string
	callers       int
	tokens        int
	stagger       time.Duration // between the starts of two answers
	rng           *rand.Rand

	mu           sync.Mutex
	answers      []*answerProgress
	faultAt      time.Time
	neededTokens int // tokens that the answers need without faults
}

// answerProgress is the progress of one answer at its caller.
type answerProgress struct {
	id            ident.Request
	lastToken     time.Time     // arrival of the latest token that the caller did not have before
	longestWait   time.Duration // longest wait for a new token since the fault
	tokens        int           // tokens that the caller has received, repeated ones not counted
	tokensAtFault int           // tokens that the caller had when the fault was injected
	affected      bool          // the fault hit the engine or instance that served the answer
}

// run requests all answers, injects the fault when the first of them is half complete,
// and waits for the answers. It returns the function that repairs the fault, nil if ctx
// ended before the fault.
func (r *round) run(ctx context.Context, f fault, number int) (repair func() error) {
	var wg sync.WaitGroup
	addresses := r.site.Addresses()
	half := make(chan struct{})
	var once sync.Once
	for i := range r.callers {
		a := &answerProgress{id: ident.Request(fmt.Sprintf("%s-%d", r.prefix, i))}
		r.answers = append(r.answers, a)
		first := r.rng.IntN(len(addresses))
		wg.Add(1)
		go func() {
			defer wg.Done()
			sleep(ctx, r.site, time.Duration(i)*r.stagger)
			r.requestAnswer(ctx, a, first, addresses, func(n int) {
				if n == r.tokens/2 {
					once.Do(func() { close(half) })
				}
			})
		}()
	}
	select {
	case <-half:
		repair = r.injectFault(f, number)
	case <-ctx.Done():
	}
	wg.Wait()
	return repair
}

func sleep(ctx context.Context, s *standinsite.Site, d time.Duration) {
	done := make(chan struct{})
	sub := s.Timer().After(d, func(time.Time) { close(done) })
	defer sub.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// injectFault records where each answer is served, injects the fault and marks the affected answers.
func (r *round) injectFault(f fault, number int) func() error {
	locations := make(map[*answerProgress]location, len(r.answers))
	for _, a := range r.answers {
		engine, instance := r.site.Placed(standinsite.Workspace, a.requestID())
		locations[a] = location{engine, instance}
	}
	r.mu.Lock()
	r.faultAt = r.site.Timer().Now()
	for _, a := range r.answers {
		a.tokensAtFault = a.tokens
	}
	r.mu.Unlock()
	affected, repair := f(r.site, number)
	r.mu.Lock()
	defer r.mu.Unlock()
	for a, p := range locations {
		a.affected = a.tokensAtFault > 0 && a.tokensAtFault < r.tokens && affected(p)
	}
	return repair
}

func (a *answerProgress) requestID() ident.Request {
	return a.id
}

// requestAnswer requests one answer. In the naive version it starts again after a failure.
func (r *round) requestAnswer(ctx context.Context, a *answerProgress, first int, addresses []string, on func(int)) {
	c := r.site.Caller(caller.Settings{
		Addresses: addresses,
		Silence:   callerSilenceLimit,
		NoCursor:  r.baseline,
	})
	r.mu.Lock()
	r.neededTokens += r.tokens
	r.mu.Unlock()
	for try := 0; ; try++ {
		got := 0
		id := a.id
		if try > 0 {
			id = ident.Request(fmt.Sprintf("%s-again%d", a.id, try))
		}
		ans := c.Do(ctx, caller.Request{
			ID: id, Model: standinsite.Model, Prompt: "brief " + string(a.id), MaxTokens: r.tokens, First: first + try,
			OnToken: func(int, string) { got++; r.recordTokens(a, got); on(got) },
		})
		if r.baseline && !ans.Whole && try < maxAttempts && ctx.Err() == nil {
			continue
		}
		r.checkAnswer(a, ans)
		return
	}
}

// Limits of a caller.
const (
	callerSilenceLimit = 3 * time.Second
	maxAttempts        = 10
)

// recordTokens records that the caller has n tokens of the current attempt.
func (r *round) recordTokens(a *answerProgress, n int) {
	now := r.site.Timer().Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if n <= a.tokens {
		return
	}
	a.tokens = n
	if !r.faultAt.IsZero() {
		since := a.lastToken
		if since.Before(r.faultAt) {
			since = r.faultAt
		}
		a.longestWait = max(a.longestWait, now.Sub(since))
	}
	a.lastToken = now
}

// checkAnswer checks that an answer is complete and in order. It records the resume latency of an
// affected answer.
func (r *round) checkAnswer(a *answerProgress, ans caller.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ans.Whole {
		r.report.AddViolation(fmt.Sprintf("%s: incomplete after %d tokens: %v", a.id, len(ans.Tokens), ans.Err))
		return
	}
	if text := tokenDefect(ans.Tokens, r.tokens); text != "" {
		r.report.AddViolation(string(a.id) + ": " + text)
	}
	if a.affected {
		_ = r.resumeLatency.RecordValue(a.longestWait.Microseconds())
	}
}

// tokenDefect describes what is wrong with the tokens of an answer. It returns "" if they are correct.
func tokenDefect(tokens []string, want int) string {
	if len(tokens) != want {
		return fmt.Sprintf("got %d tokens, want %d", len(tokens), want)
	}
	nonce, _, _ := strings.Cut(tokens[0], ".")
	for i, t := range tokens {
		if t != fmt.Sprintf("%s.%d ", nonce, i) {
			return fmt.Sprintf("token %d is %q", i, t)
		}
	}
	return ""
}

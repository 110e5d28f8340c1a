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

// round is one set of answers with one fault in the middle.
type round struct {
	site     *standinsite.Site
	report   *measure.Report
	resume   *hdrhistogram.Histogram
	baseline bool
	prefix   string
	callers  int
	tokens   int
	stagger  time.Duration // between the starts of two answers
	rng      *rand.Rand

	mu       sync.Mutex
	asked    []*asked
	strikeAt time.Time
	needed   int // tokens that undisturbed callers would have needed
}

// asked is one answer that a caller waits for.
type asked struct {
	id      ident.Request
	last    time.Time     // last token that the caller did not have before
	wait    time.Duration // longest wait for such a token since the fault
	count   int           // tokens that the caller has
	atFault int           // tokens that it had when the fault came
	struck  bool
}

// run sends the answers, strikes when the middle of the first ones is reached, and
// waits for all.
func (r *round) run(ctx context.Context, f fault, number int) (heal func() error) {
	var wg sync.WaitGroup
	addresses := r.site.Addresses()
	half := make(chan struct{})
	var once sync.Once
	for i := range r.callers {
		a := &asked{id: ident.Request(fmt.Sprintf("%s-%d", r.prefix, i))}
		r.asked = append(r.asked, a)
		first := r.rng.IntN(len(addresses))
		wg.Add(1)
		go func() {
			defer wg.Done()
			pause(ctx, r.site, time.Duration(i)*r.stagger)
			r.answer(ctx, a, first, addresses, func(n int) {
				if n == r.tokens/2 {
					once.Do(func() { close(half) })
				}
			})
		}()
	}
	select {
	case <-half:
		heal = r.strike(f, number)
	case <-ctx.Done():
	}
	wg.Wait()
	return heal
}

func pause(ctx context.Context, s *standinsite.Site, d time.Duration) {
	done := make(chan struct{})
	sub := s.Timer().After(d, func(time.Time) { close(done) })
	defer sub.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// strike notes where each answer is made and brings the fault about.
func (r *round) strike(f fault, number int) func() error {
	places := make(map[*asked]placed, len(r.asked))
	for _, a := range r.asked {
		engine, instance := r.site.Placed(standinsite.Workspace, a.current())
		places[a] = placed{engine, instance}
	}
	r.mu.Lock()
	r.strikeAt = r.site.Timer().Now()
	for _, a := range r.asked {
		a.atFault = a.count
	}
	r.mu.Unlock()
	struck, heal := f(r.site, number)
	r.mu.Lock()
	defer r.mu.Unlock()
	for a, p := range places {
		a.struck = a.atFault > 0 && a.atFault < r.tokens && struck(p)
	}
	return heal
}

func (a *asked) current() ident.Request {
	return a.id
}

// answer gets one answer, starting again after a failure in the naive version.
func (r *round) answer(ctx context.Context, a *asked, first int, addresses []string, on func(int)) {
	c := r.site.Caller(caller.Settings{
		Addresses: addresses,
		Silence:   callerSilence,
		NoCursor:  r.baseline,
	})
	r.mu.Lock()
	r.needed += r.tokens
	r.mu.Unlock()
	for try := 0; ; try++ {
		got := 0
		id := a.id
		if try > 0 {
			id = ident.Request(fmt.Sprintf("%s-again%d", a.id, try))
		}
		ans := c.Do(ctx, caller.Request{
			ID: id, Model: standinsite.Model, Prompt: "brief " + string(a.id), MaxTokens: r.tokens, First: first + try,
			OnToken: func(int, string) { got++; r.note(a, got); on(got) },
		})
		if r.baseline && !ans.Whole && try < maxTries && ctx.Err() == nil {
			continue
		}
		r.judge(a, ans)
		return
	}
}

// Limits of a caller's patience.
const (
	callerSilence = 3 * time.Second
	maxTries      = 10
)

// note takes in that the caller has n tokens of the present try.
func (r *round) note(a *asked, n int) {
	now := r.site.Timer().Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if n <= a.count {
		return
	}
	a.count = n
	if !r.strikeAt.IsZero() {
		since := a.last
		if since.Before(r.strikeAt) {
			since = r.strikeAt
		}
		a.wait = max(a.wait, now.Sub(since))
	}
	a.last = now
}

// judge holds an answer against the naive one and takes its resume latency.
func (r *round) judge(a *asked, ans caller.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !ans.Whole {
		r.report.Violate(fmt.Sprintf("%s: not whole after %d tokens: %v", a.id, len(ans.Tokens), ans.Err))
		return
	}
	if text := disorder(ans.Tokens, r.tokens); text != "" {
		r.report.Violate(string(a.id) + ": " + text)
	}
	if a.struck {
		_ = r.resume.RecordValue(a.wait.Microseconds())
	}
}

// disorder says what is wrong with the tokens of an answer, or returns "".
func disorder(tokens []string, want int) string {
	if len(tokens) != want {
		return fmt.Sprintf("%d tokens instead of %d", len(tokens), want)
	}
	nonce, _, _ := strings.Cut(tokens[0], ".")
	for i, t := range tokens {
		if t != fmt.Sprintf("%s.%d ", nonce, i) {
			return fmt.Sprintf("token %d is %q", i, t)
		}
	}
	return ""
}

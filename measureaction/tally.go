package measureaction

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"crocuslug/measure"
	"crocuslug/result"
	"crocuslug/standinsite"
)

// action is an action and the answers that its callers got.
type action struct {
	name string

	mu           sync.Mutex
	body         string   // of the latest answer that reported a run
	runReported  bool     // an answer reported a run
	mayHaveRun   bool     // an answer left open whether the action ran, or is missing
	singleCaller bool     // only one caller sends the action
	violations   []string // texts of violations
}

// tally records the answers to the callers of a stage.
type tally struct {
	site *standinsite.Site
	name string
	wg   sync.WaitGroup

	mu            sync.Mutex
	actions       []*action
	f             stageFigures
	runLatency    *hdrhistogram.Histogram
	notRunLatency *hdrhistogram.Histogram
}

func newTally(site *standinsite.Site, name string) *tally {
	return &tally{site: site, name: name, runLatency: measure.NewHistogram(), notRunLatency: measure.NewHistogram()}
}

// startCallers starts callers that all send one action, each beginning at another instance.
func (t *tally) startCallers(ctx context.Context, act *action, callers, first int) {
	act.singleCaller = callers == 1
	t.mu.Lock()
	t.actions = append(t.actions, act)
	t.mu.Unlock()
	for i := range callers {
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			t.sendUntilDone(ctx, act, first+i)
		}()
	}
}

// minRetryDelay is the shortest time after which a caller retries.
const minRetryDelay = 100 * time.Millisecond

// sendUntilDone sends an action, and retries until its outcome is known or callerTimeout has passed.
func (t *tally) sendUntilDone(ctx context.Context, act *action, first int) {
	began := time.Now()
	for try := 0; time.Since(began) < callerTimeout && ctx.Err() == nil; try++ {
		at := t.site.Instances[(first+try)%len(t.site.Instances)].Addr()
		sent := time.Now()
		reply := t.site.Book(at, act.name, "crane "+act.name)
		if t.record(act, reply, time.Since(sent), try) {
			return
		}
		wait := time.Duration(reply.Problem.RetryAfterMs) * time.Millisecond
		time.Sleep(max(minRetryDelay, min(wait, time.Second)))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.f.OpenActions++
}

// record records an answer and reports whether it is the final one.
func (t *tally) record(act *action, reply standinsite.Reply, took time.Duration, try int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	act.mu.Lock()
	defer act.mu.Unlock()
	if reply.Status == http.StatusCreated || reply.Status == http.StatusOK {
		t.recordRun(act, reply, took, try)
		return true
	}
	if reply.Status != 0 && reply.Problem.Run == result.RunNot && reply.Problem.Code != result.ActionInProgress {
		t.f.NotRunAnswers++
		_ = t.notRunLatency.RecordValue(took.Microseconds())
		if act.singleCaller && !act.mayHaveRun && t.runs(act) > 0 {
			act.violations = append(act.violations, "an action that was reported as not run had run: "+act.name)
		}
		return false
	}
	t.f.UnknownAnswers++
	act.mayHaveRun = true
	return false
}

func (t *tally) recordRun(act *action, reply standinsite.Reply, took time.Duration, try int) {
	if try == 0 {
		t.f.DoneAtFirst++
		_ = t.runLatency.RecordValue(took.Microseconds())
	}
	if act.runReported && act.body != reply.Body {
		act.violations = append(act.violations, fmt.Sprintf("answers of %s differ: %s, %s", act.name, act.body, reply.Body))
	}
	act.runReported, act.body = true, reply.Body
}

func (t *tally) runs(act *action) int { return t.site.Services[0].Runs(act.name) }

// check checks all actions of the stage and returns its figures.
func (t *tally) check(r *measure.Report, writes int, span time.Duration) stageFigures {
	f := t.f
	f.Stage, f.Actions = t.name, len(t.actions)
	for _, act := range t.actions {
		n := t.runs(act)
		for _, w := range act.violations {
			r.AddViolation(w)
		}
		if n > 1 {
			r.AddViolation(fmt.Sprintf("%s ran %d times", act.name, n))
		}
		if act.runReported {
			f.Done++
		}
		if act.runReported && n == 0 || n > 0 && !act.runReported && !act.mayHaveRun {
			r.AddViolation(fmt.Sprintf("%s: run reported: %t, ran %d times", act.name, act.runReported, n))
		}
	}
	f.WritesPerAction = float64(writes) / float64(max(1, f.Actions))
	f.PlatformWritesPerS = float64(writes) / span.Seconds()
	if t.runLatency.TotalCount() > 0 {
		f.ActionLatencyP50Ms, f.ActionLatencyP95Ms = measure.Percentile(t.runLatency, 50), measure.Percentile(t.runLatency, 95)
	}
	if t.notRunLatency.TotalCount() > 0 {
		f.NotRunP95Ms = measure.Percentile(t.notRunLatency, 95)
	}
	return f
}

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

// key is an action with what its callers were told.
type key struct {
	name string

	mu    sync.Mutex
	body  string // of the first answer that told of a run
	told  bool
	mayBe bool // an answer left open whether the action ran, or one is awaited
	alone bool // one caller sends it
	wrong []string
}

// tally counts what the callers of a stage got.
type tally struct {
	site *standinsite.Site
	name string
	wg   sync.WaitGroup

	mu     sync.Mutex
	keys   []*key
	f      stageFigures
	ran    *hdrhistogram.Histogram
	notRun *hdrhistogram.Histogram
}

func newTally(site *standinsite.Site, name string) *tally {
	return &tally{site: site, name: name, ran: measure.NewHistogram(), notRun: measure.NewHistogram()}
}

// send has callers send one action, the first one through an instance.
func (t *tally) send(ctx context.Context, k *key, callers, first int) {
	k.alone = callers == 1
	t.mu.Lock()
	t.keys = append(t.keys, k)
	t.mu.Unlock()
	for i := range callers {
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			t.call(ctx, k, first+i)
		}()
	}
}

// defaultReturn is when a caller comes back that was not told a time.
const defaultReturn = 100 * time.Millisecond

// call sends an action until its outcome is known, or patience is over.
func (t *tally) call(ctx context.Context, k *key, first int) {
	began := time.Now()
	for try := 0; time.Since(began) < patience && ctx.Err() == nil; try++ {
		at := t.site.Instances[(first+try)%len(t.site.Instances)].Addr()
		sent := time.Now()
		reply := t.site.Book(at, k.name, "crane "+k.name)
		if t.take(k, reply, time.Since(sent), try) {
			return
		}
		wait := time.Duration(reply.Problem.RetryAfterMs) * time.Millisecond
		time.Sleep(max(defaultReturn, min(wait, time.Second)))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.f.OpenActions++
}

// take counts an answer and reports whether it ends the call.
func (t *tally) take(k *key, reply standinsite.Reply, took time.Duration, try int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	if reply.Status == http.StatusCreated || reply.Status == http.StatusOK {
		t.done(k, reply, took, try)
		return true
	}
	if reply.Status != 0 && reply.Problem.Run == result.RunNot && reply.Problem.Code != result.ActionInProgress {
		t.f.NotRunAnswers++
		_ = t.notRun.RecordValue(took.Microseconds())
		if k.alone && !k.mayBe && t.runs(k) > 0 {
			k.wrong = append(k.wrong, "an action that was told as not run had run: "+k.name)
		}
		return false
	}
	t.f.UnknownAnswers++
	k.mayBe = true
	return false
}

func (t *tally) done(k *key, reply standinsite.Reply, took time.Duration, try int) {
	if try == 0 {
		t.f.DoneAtFirst++
		_ = t.ran.RecordValue(took.Microseconds())
	}
	if k.told && k.body != reply.Body {
		k.wrong = append(k.wrong, fmt.Sprintf("answers of %s differ: %s, %s", k.name, k.body, reply.Body))
	}
	k.told, k.body = true, reply.Body
}

func (t *tally) runs(k *key) int { return t.site.Services[0].Runs(k.name) }

// figures checks all actions of the stage and returns its figures.
func (t *tally) figures(r *measure.Report, writes int, span time.Duration) stageFigures {
	f := t.f
	f.Stage, f.Actions = t.name, len(t.keys)
	for _, k := range t.keys {
		n := t.runs(k)
		for _, w := range k.wrong {
			r.AddViolation(w)
		}
		if n > 1 {
			r.AddViolation(fmt.Sprintf("%s ran %d times", k.name, n))
		}
		if k.told {
			f.Done++
		}
		if k.told && n == 0 || n > 0 && !k.told && !k.mayBe {
			r.AddViolation(fmt.Sprintf("%s: told %t, ran %d times", k.name, k.told, n))
		}
	}
	f.WritesPerAction = float64(writes) / float64(max(1, f.Actions))
	f.PlatformWritesPerS = float64(writes) / span.Seconds()
	if t.ran.TotalCount() > 0 {
		f.ActionLatencyP50Ms, f.ActionLatencyP95Ms = measure.Percentile(t.ran, 50), measure.Percentile(t.ran, 95)
	}
	if t.notRun.TotalCount() > 0 {
		f.NotRunP95Ms = measure.Percentile(t.notRun, 95)
	}
	return f
}

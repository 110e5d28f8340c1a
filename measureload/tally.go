package measureload

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/measure"
	"crocuslug/result"
	"crocuslug/standinsite"
)

// lunchFigures are the figures of a lunch hour.
type lunchFigures struct {
	FirstTokenP50Ms     *float64
	FirstTokenP95Ms     *float64
	LookUpP95Ms         *float64
	LookUpsAnswered     float64 // share of those offered
	GoodputTokensPerSec float64 // of whole answers that began by their deadline
	GoodputShare        float64 // of what the engines could decode
	ShareError          float64 // greatest relative error of a workspace's part of the served work
	Served              map[ident.Workspace]float64
	Fair                map[ident.Workspace]float64
	Offered             int
	Whole               int
	Refused             map[string]int // by code
	RefusedP95Ms        *float64       // time until a refusal
	RefusedAtOnce       float64        // share of the refusals that came within 250 ms
}

// tally counts the answers of a lunch hour.
type tally struct {
	shape   shape
	report  *measure.Report
	first   *hdrhistogram.Histogram
	lookUp  *hdrhistogram.Histogram
	refusal *hdrhistogram.Histogram
	good    float64 // tokens
	offered map[ident.Workspace]float64
	served  map[ident.Workspace]float64
	lookUps [2]int // offered, answered
	atOnce  int
	f       lunchFigures
}

func newTally(s shape, r *measure.Report) *tally {
	return &tally{
		shape:   s,
		report:  r,
		first:   measure.NewHistogram(),
		lookUp:  measure.NewHistogram(),
		refusal: measure.NewHistogram(),
		offered: make(map[ident.Workspace]float64),
		served:  make(map[ident.Workspace]float64),
		f:       lunchFigures{Refused: make(map[string]int)},
	}
}

// lateSlack is the time beyond a deadline that an answer may take on a busy machine.
const lateSlack = 500 * time.Millisecond

// atOnce is the time within which a refusal counts as given at once.
const atOnce = 250 * time.Millisecond

// busyFrom and busyTo bound the time in which shares are compared.
const (
	busyFrom = 9 * time.Second
	busyTo   = 20 * time.Second
)

// take counts one answer.
func (t *tally) take(a answered) {
	k := t.shape.kinds[a.kind]
	t.f.Offered++
	busy := a.at >= busyFrom && a.at < busyTo && !k.lookUp
	if busy {
		t.offered[k.workspace] += float64(a.tokens)
	}
	if k.lookUp {
		t.lookUps[0]++
	}
	switch {
	case a.Err != nil:
		t.refused(a, k)
		return
	case !a.Whole:
		t.report.Violate(fmt.Sprintf("answer at %v is not whole: %d tokens, %d reconnects", a.at, len(a.Tokens), a.Reconnects))
		return
	}
	t.check(a)
	t.f.Whole++
	if busy {
		t.served[k.workspace] += float64(a.tokens)
	}
	if a.FirstToken <= k.deadline+lateSlack {
		t.good += float64(len(a.Tokens))
	}
	if k.lookUp {
		t.lookUps[1]++
		_ = t.lookUp.RecordValue(a.Total.Microseconds())
		return
	}
	_ = t.first.RecordValue(a.FirstToken.Microseconds())
}

// refused counts a refusal, which has to be in time and to say when to come back.
func (t *tally) refused(a answered, k kind) {
	t.f.Refused[a.Err.Code.String()]++
	_ = t.refusal.RecordValue(a.Total.Microseconds())
	if a.Total <= atOnce {
		t.atOnce++
	}
	switch a.Err.Code {
	case result.Overloaded, result.DeadlineInfeasible, result.WorkspaceLimit, result.NoUpstream:
	default:
		t.report.Violate(fmt.Sprintf("request at %v: %v", a.at, a.Err))
		return
	}
	if a.Err.RetryAfter <= 0 {
		t.report.Violate(fmt.Sprintf("request at %v: refused without a time to come back: %v", a.at, a.Err))
	}
	if a.Total > k.deadline+lateSlack {
		t.report.Violate(fmt.Sprintf("request at %v: refused after %v", a.at, a.Total))
	}
}

// check holds the tokens against what one undisturbed engine would give.
func (t *tally) check(a answered) {
	nonce, _, _ := strings.Cut(a.Tokens[0], ".")
	for i, got := range a.Tokens {
		if got != fmt.Sprintf("%s.%d ", nonce, i) {
			t.report.Violate(fmt.Sprintf("answer at %v: token %d is %q", a.at, i, got))
			return
		}
	}
	if len(a.Tokens) != a.tokens {
		t.report.Violate(fmt.Sprintf("answer at %v: %d tokens of %d", a.at, len(a.Tokens), a.tokens))
	}
}

// Limits of the wait until nothing is held any more.
const (
	heldLimit = 3 * time.Second
	heldPoll  = 20 * time.Millisecond
)

// held checks that nothing waits or counts as running after the last answer.
func (t *tally) held(site *standinsite.Site) {
	for deadline := time.Now().Add(heldLimit); ; time.Sleep(heldPoll) {
		waiting, running := 0, 0
		for _, d := range site.Instances {
			w, r := d.AdmissionCounts()
			waiting += w
			running += r
		}
		if waiting+running == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.report.Violate(fmt.Sprintf("after the last answer %d wait and %d run", waiting, running))
			return
		}
	}
}

func (t *tally) figures() lunchFigures {
	f := t.f
	f.FirstTokenP50Ms = measure.Quantile(t.first, 50)
	f.FirstTokenP95Ms = measure.Quantile(t.first, 95)
	f.LookUpP95Ms = measure.Quantile(t.lookUp, 95)
	f.RefusedP95Ms = measure.Quantile(t.refusal, 95)
	f.RefusedAtOnce = float64(t.atOnce) / float64(max(1, int(t.refusal.TotalCount())))
	f.LookUpsAnswered = float64(t.lookUps[1]) / float64(max(1, t.lookUps[0]))
	total := time.Duration(0)
	for _, p := range lunchPhases {
		total += p.length
	}
	f.GoodputTokensPerSec = t.good / total.Seconds()
	f.GoodputShare = f.GoodputTokensPerSec / t.shape.capacity()
	f.Served = t.served
	f.Fair = fair(t.shape.kinds, t.offered, t.served)
	for w, want := range f.Fair {
		f.ShareError = max(f.ShareError, abs(t.served[w]-want)/max(1, want))
	}
	return f
}

// fair divides the work that was served at normal priority by the weights of the
// workspaces, none getting more than it offered.
func fair(kinds []kind, offered, served map[ident.Workspace]float64) map[ident.Workspace]float64 {
	kinds = slices.DeleteFunc(slices.Clone(kinds), func(k kind) bool { return k.priority != configuration.Normal })
	left := 0.0
	for _, k := range kinds {
		left += served[k.workspace]
	}
	out := make(map[ident.Workspace]float64)
	for len(out) < len(kinds) {
		next, level := -1, 0.0
		weights := 0.0
		for i, k := range kinds {
			if _, done := out[k.workspace]; done {
				continue
			}
			weights += k.share
			if l := offered[k.workspace] / k.share; next < 0 || l < level {
				next, level = i, l
			}
		}
		k := kinds[next]
		v := min(offered[k.workspace], left*k.share/weights)
		out[k.workspace] = v
		left -= v
	}
	return out
}

func abs(v float64) float64 {
	return max(v, -v)
}

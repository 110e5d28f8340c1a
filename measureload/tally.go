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

// lunchFigures are the figures of the lunch-hour experiments.
type lunchFigures struct {
	FirstTokenP50Ms     *float64
	FirstTokenP95Ms     *float64
	LookUpP95Ms         *float64
	LookUpsAnswered     float64                     // share of the look-ups that were answered
	GoodputTokensPerSec float64                     // tokens of complete answers that began by their deadline
	GoodputShare        float64                     // goodput relative to the engines' capacity
	ShareError          float64                     // largest relative difference of a workspace's served work from its fair share
	Served              map[ident.Workspace]float64 // tokens served during the peak
	Fair                map[ident.Workspace]float64 // tokens of a fair division during the peak
	Offered             int
	Whole               int
	Refused             map[string]int // number of refusals by result code
	RefusedP95Ms        *float64       // time from the request to its refusal
	RefusedAtOnce       float64        // share of the refusals that came within 250 ms
}

// tally evaluates the answers of an experiment.
type tally struct {
	deployment      deployment
	report          *measure.Report
	firstTokenTimes *hdrhistogram.Histogram
	lookUpTimes     *hdrhistogram.Histogram
	refusalTimes    *hdrhistogram.Histogram
	goodTokens      float64 // tokens of complete answers that began by their deadline
	offeredTokens   map[ident.Workspace]float64
	servedTokens    map[ident.Workspace]float64
	lookUps         [2]int // number offered and number answered
	refusedAtOnce   int
	figures         lunchFigures
}

func newTally(d deployment, r *measure.Report) *tally {
	return &tally{
		deployment:      d,
		report:          r,
		firstTokenTimes: measure.NewHistogram(),
		lookUpTimes:     measure.NewHistogram(),
		refusalTimes:    measure.NewHistogram(),
		offeredTokens:   make(map[ident.Workspace]float64),
		servedTokens:    make(map[ident.Workspace]float64),
		figures:         lunchFigures{Refused: make(map[string]int)},
	}
}

// deadlineTolerance is the tolerance on deadlines for delays of a busy machine.
const deadlineTolerance = 500 * time.Millisecond

// immediateLimit is the longest time until a refusal that counts as immediate.
const immediateLimit = 250 * time.Millisecond

// peakFrom and peakTo bound the peak, in which served work is compared with fair shares.
const (
	peakFrom = 9 * time.Second
	peakTo   = 20 * time.Second
)

// record records one answer.
func (t *tally) record(a outcome) {
	k := t.deployment.requestKinds[a.kind]
	t.figures.Offered++
	busy := a.at >= peakFrom && a.at < peakTo && !k.lookUp
	if busy {
		t.offeredTokens[k.workspace] += float64(a.answerTokens)
	}
	if k.lookUp {
		t.lookUps[0]++
	}
	switch {
	case a.Err != nil:
		t.recordRefusal(a, k)
		return
	case !a.Whole:
		t.report.AddViolation(fmt.Sprintf("answer at %v is incomplete: %d tokens, %d reconnects", a.at, len(a.Tokens), a.Reconnects))
		return
	}
	t.checkTokens(a)
	t.figures.Whole++
	if busy {
		t.servedTokens[k.workspace] += float64(a.answerTokens)
	}
	if a.FirstToken <= k.deadline+deadlineTolerance {
		t.goodTokens += float64(len(a.Tokens))
	}
	if k.lookUp {
		t.lookUps[1]++
		_ = t.lookUpTimes.RecordValue(a.Total.Microseconds())
		return
	}
	_ = t.firstTokenTimes.RecordValue(a.FirstToken.Microseconds())
}

// recordRefusal records a refusal. It must come by the deadline and carry a time to retry.
func (t *tally) recordRefusal(a outcome, k requestKind) {
	t.figures.Refused[a.Err.Code.String()]++
	_ = t.refusalTimes.RecordValue(a.Total.Microseconds())
	if a.Total <= immediateLimit {
		t.refusedAtOnce++
	}
	switch a.Err.Code {
	case result.Overloaded, result.DeadlineInfeasible, result.WorkspaceLimit, result.NoUpstream:
	default:
		t.report.AddViolation(fmt.Sprintf("request at %v: %v", a.at, a.Err))
		return
	}
	if a.Err.RetryAfter <= 0 {
		t.report.AddViolation(fmt.Sprintf("request at %v: refused without a time to retry: %v", a.at, a.Err))
	}
	if a.Total > k.deadline+deadlineTolerance {
		t.report.AddViolation(fmt.Sprintf("request at %v: refused after %v", a.at, a.Total))
	}
}

// checkTokens compares the tokens with those that one engine would produce without faults.
func (t *tally) checkTokens(a outcome) {
	nonce, _, _ := strings.Cut(a.Tokens[0], ".")
	for i, got := range a.Tokens {
		if got != fmt.Sprintf("%s.%d ", nonce, i) {
			t.report.AddViolation(fmt.Sprintf("answer at %v: token %d is %q", a.at, i, got))
			return
		}
	}
	if len(a.Tokens) != a.answerTokens {
		t.report.AddViolation(fmt.Sprintf("answer at %v: got %d tokens, want %d", a.at, len(a.Tokens), a.answerTokens))
	}
}

// Timeout and poll interval of the wait until no request is queued or running.
const (
	idleTimeout      = 3 * time.Second
	idlePollInterval = 20 * time.Millisecond
)

// checkIdle checks that no request is queued or counted as running once all answers have arrived.
func (t *tally) checkIdle(site *standinsite.Site) {
	for deadline := time.Now().Add(idleTimeout); ; time.Sleep(idlePollInterval) {
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
			t.report.AddViolation(fmt.Sprintf("after the last answer %d requests are queued and %d are running", waiting, running))
			return
		}
	}
}

func (t *tally) lunchResult() lunchFigures {
	f := t.figures
	f.FirstTokenP50Ms = measure.Percentile(t.firstTokenTimes, 50)
	f.FirstTokenP95Ms = measure.Percentile(t.firstTokenTimes, 95)
	f.LookUpP95Ms = measure.Percentile(t.lookUpTimes, 95)
	f.RefusedP95Ms = measure.Percentile(t.refusalTimes, 95)
	f.RefusedAtOnce = float64(t.refusedAtOnce) / float64(max(1, int(t.refusalTimes.TotalCount())))
	f.LookUpsAnswered = float64(t.lookUps[1]) / float64(max(1, t.lookUps[0]))
	total := time.Duration(0)
	for _, p := range lunchPhases {
		total += p.duration
	}
	f.GoodputTokensPerSec = t.goodTokens / total.Seconds()
	f.GoodputShare = f.GoodputTokensPerSec / t.deployment.capacity()
	f.Served = t.servedTokens
	f.Fair = fairShares(t.deployment.requestKinds, t.offeredTokens, t.servedTokens)
	for w, want := range f.Fair {
		f.ShareError = max(f.ShareError, abs(t.servedTokens[w]-want)/max(1, want))
	}
	return f
}

// fairShares returns the max-min fair division, by the weights of the workspaces, of the work
// that was served at normal priority. No workspace gets more than it offered.
func fairShares(kinds []requestKind, offered, served map[ident.Workspace]float64) map[ident.Workspace]float64 {
	kinds = slices.DeleteFunc(slices.Clone(kinds), func(k requestKind) bool { return k.priority != configuration.Normal })
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
			weights += k.weight
			if l := offered[k.workspace] / k.weight; next < 0 || l < level {
				next, level = i, l
			}
		}
		k := kinds[next]
		v := min(offered[k.workspace], left*k.weight/weights)
		out[k.workspace] = v
		left -= v
	}
	return out
}

func abs(v float64) float64 {
	return max(v, -v)
}

package measureoperator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"crocuslug/caller"
	"crocuslug/ident"
	"crocuslug/measure"
	"crocuslug/operatorclient"
	"crocuslug/plan"
	"crocuslug/result"
	"crocuslug/standinkeyvalue"
	"crocuslug/standinsite"
)

// Deployment, load and timing of platform-outage.
const (
	outageInstances     = 12
	outagePhaseDuration = 5 * time.Second // length of the phases before and after the outage
	outageDuration      = 15 * time.Second
	outageTokens        = 40 // tokens of an answer
	outageCallers       = 6
	outageCutOff        = 12 * time.Second       // until an instance without contact to the service counts as cut off; above the wait of a watch
	callsWindow         = 100 * time.Millisecond // window for the peak number of calls
)

// outageFigures are the figures of platform-outage.
type outageFigures struct {
	Before, During, After phase
	PlanCode              int // result code of a plan during the outage
	PlanMs                float64
	ConfirmCode           int // result code of a confirmation during the outage
	ConfirmMs             float64
	NewInstanceReadyMs    float64 // until an instance started during the outage had a configuration; 0 means never
	CatchUpMs             float64 // from the end of the outage until the confirmed change is in force at all instances
	CutOffInstances       int     // instances reported as cut off at the end of the outage
}

// phase holds the figures of one phase of the run.
type phase struct {
	Seconds            float64
	AnswersWhole       int64
	AnswersNot         int64
	StoreCalls         int
	StoreCallsPerSec   float64
	PeakCallsPerWindow int // highest number of calls in a window of 100 ms
}

// outage is the state of one run.
type outage struct {
	*fleet
	ctx               context.Context
	figures           outageFigures
	completeAnswers   atomic.Int64
	incompleteAnswers atomic.Int64
	killed            map[int]bool
}

// runOutage measures the effect of an outage of the key-value service. In the baseline
// every instance polls the service each second and has no peers.
func runOutage(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	var report measure.Report
	f, err := newFleet(ctx, cfg, fleetSize{instances: outageInstances, cutOffAfter: outageCutOff}, &report)
	if err != nil {
		return report, err
	}
	defer f.stop()
	o := &outage{fleet: f, ctx: ctx, killed: make(map[int]bool)}
	f.awaitRevision(ctx, 1, nil)
	operator := f.operatorWithoutRetry()
	p, refused := operator.Plan(ctx, limitIntent(0))
	if refused != nil {
		return report, refused
	}
	load, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range outageCallers {
		wg.Go(func() { o.requestAnswers(load, i) })
	}
	o.figures.Before = o.runPhase(outagePhaseDuration, func() {})
	f.site.Store.SetFaults(standinkeyvalue.Faults{Outage: true})
	o.figures.During = o.runPhase(outageDuration, func() { o.actDuringOutage(operator, p) })
	o.figures.CutOffInstances = o.cutOffInstances(operator)
	f.site.Store.SetFaults(standinkeyvalue.Faults{})
	o.figures.After = o.runPhase(outagePhaseDuration, func() { o.catchUp(p) })
	stop()
	wg.Wait()
	o.checkResults()
	report.Figures = o.figures
	return report, nil
}

// operatorWithoutRetry returns an operator's client that does not retry.
func (f *fleet) operatorWithoutRetry() *operatorclient.Client {
	c, err := operatorclient.New(operatorclient.Settings{Addresses: f.site.Addresses()[:1], Key: standinsite.OperatorKey, Rounds: 1})
	if err != nil {
		panic(err) // the key and the addresses are always set
	}
	return c
}

// requestAnswers requests answers one after the other until ctx is done, and compares them with
// those that one engine would produce without faults.
func (o *outage) requestAnswers(ctx context.Context, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		c := o.site.Caller(caller.Settings{Addresses: o.addresses(n)})
		a := c.Do(o.ctx, caller.Request{
			ID: ident.Request(fmt.Sprintf("answer-%d-%d", n, i)), Model: standinsite.Model, Prompt: fmt.Sprint(n, i), MaxTokens: outageTokens, First: n,
		})
		if a.Whole && isCompleteAnswer(a.Tokens) {
			o.completeAnswers.Add(1)
			continue
		}
		o.incompleteAnswers.Add(1)
		o.report.AddViolation(fmt.Sprintf("answer %d-%d: complete %t, %d tokens, error %v", n, i, a.Whole, len(a.Tokens), a.Err))
	}
}

// addresses returns the addresses of the instances in the failure domain of caller n.
func (o *outage) addresses(n int) []string {
	var out []string
	for _, d := range o.site.Instances {
		if d.Domain() == domains[n%len(domains)] || o.cfg.Baseline {
			out = append(out, d.Addr())
		}
	}
	return out
}

func isCompleteAnswer(tokens []string) bool {
	if len(tokens) != outageTokens {
		return false
	}
	nonce, _, _ := strings.Cut(tokens[0], ".")
	for i, t := range tokens {
		if t != fmt.Sprintf("%s.%d ", nonce, i) {
			return false
		}
	}
	return true
}

// runPhase runs do, lets at least d pass, and returns the figures of that time.
func (o *outage) runPhase(d time.Duration, do func()) phase {
	calls := func() int {
		c := o.site.Store.Calls()
		return c.Reads + c.Writes
	}
	first, whole, not := calls(), o.completeAnswers.Load(), o.incompleteAnswers.Load()
	began := o.site.Timer().Now()
	var wg sync.WaitGroup
	wg.Go(do)
	ph := phase{}
	last := first
	for o.site.Timer().Now().Sub(began) < d {
		sleep(o.ctx, o.site.Timer(), callsWindow)
		n := calls()
		ph.PeakCallsPerWindow = max(ph.PeakCallsPerWindow, n-last)
		last = n
	}
	wg.Wait()
	ph.Seconds = o.site.Timer().Now().Sub(began).Seconds()
	ph.StoreCalls = calls() - first
	ph.StoreCallsPerSec = float64(ph.StoreCalls) / ph.Seconds
	ph.AnswersWhole, ph.AnswersNot = o.completeAnswers.Load()-whole, o.incompleteAnswers.Load()-not
	return ph
}

// actDuringOutage attempts a plan and a confirmation and replaces an instance by a new one.
func (o *outage) actDuringOutage(operator *operatorclient.Client, p plan.Plan) {
	o.figures.PlanCode, o.figures.PlanMs = o.measureCall(func() *result.Error {
		_, err := operator.Plan(o.ctx, limitIntent(1))
		return err
	})
	o.figures.ConfirmCode, o.figures.ConfirmMs = o.measureCall(func() *result.Error {
		_, err := operator.Confirm(o.ctx, p)
		return err
	})
	if o.cfg.Baseline {
		o.pollers[len(o.pollers)-1].close()
		o.killed[len(o.pollers)-1] = true
		o.addPoller()
	} else {
		last := len(o.site.Instances) - 1
		o.site.KillInstance(o.site.Instances[last].Addr())
		o.killed[last] = true
		if err := o.site.AddInstance(); err != nil {
			o.report.AddViolation(err.Error())
			return
		}
	}
	o.awaitNewInstance()
}

// awaitNewInstance waits until the new instance has the configuration, for at most half of the
// outage.
func (o *outage) awaitNewInstance() {
	now := o.site.Timer().Now
	for began := now(); now().Sub(began) < outageDuration/2; sleep(o.ctx, o.site.Timer(), time.Millisecond) {
		all := o.revisions()
		if all[len(all)-1] == 1 {
			o.figures.NewInstanceReadyMs = float64(now().Sub(began).Microseconds()) / 1000
			return
		}
	}
	o.report.AddViolation("an instance started during the outage got no configuration")
}

func (o *outage) measureCall(f func() *result.Error) (code int, ms float64) {
	now := o.site.Timer().Now
	began := now()
	if err := f(); err != nil {
		code = int(err.Code)
	}
	return code, float64(now().Sub(began).Microseconds()) / 1000
}

func (o *outage) cutOffInstances(operator *operatorclient.Client) int {
	s, err := operator.Status(o.ctx)
	if err != nil {
		o.report.AddViolation("status: " + err.Error())
		return 0
	}
	return s.CutOff
}

// catchUp confirms the plan made before the outage again and waits until it is in force.
func (o *outage) catchUp(p plan.Plan) {
	now := o.site.Timer().Now
	began := now()
	rec, err := o.site.Operator().Confirm(o.ctx, p)
	for err != nil && err.Code == result.ConfirmUnknown && now().Sub(began) < spreadLimit {
		rec, err = o.site.Operator().Confirm(o.ctx, p)
	}
	if err != nil || rec.Revision != 2 {
		o.report.AddViolation(fmt.Sprintf("confirmation after the outage: got revision %d, want 2; error %v", rec.Revision, err))
		return
	}
	o.awaitRevision(o.ctx, rec.Revision, o.killed)
	o.figures.CatchUpMs = float64(now().Sub(began).Microseconds()) / 1000
}

// checkResults checks the result codes of the operator's calls and that answers were served.
func (o *outage) checkResults() {
	if o.figures.PlanCode != int(result.PlatformUnavailable) {
		o.report.AddViolation(fmt.Sprintf("plan during the outage: got result code %d, want that of an unavailable platform", o.figures.PlanCode))
	}
	if o.figures.ConfirmCode != int(result.ConfirmUnknown) {
		o.report.AddViolation(fmt.Sprintf("confirmation during the outage: got result code %d, want that of an unknown outcome", o.figures.ConfirmCode))
	}
	if o.figures.CutOffInstances == 0 && !o.cfg.Baseline {
		o.report.AddViolation("no instance is reported as cut off")
	}
	if o.figures.During.AnswersWhole == 0 {
		o.report.AddViolation("no answer was served during the outage")
	}
}

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

// Shape of platform-outage.
const (
	outageInstances = 12
	outagePhase     = 5 * time.Second // before and after
	outageTime      = 15 * time.Second
	outageTokens    = 40 // an answer
	outageCallers   = 6
	outageCutOff    = 12 * time.Second       // without word of the service, above the wait of a watch
	callsWindow     = 100 * time.Millisecond // in which the peak of calls is counted
)

// outageFigures are the figures of platform-outage.
type outageFigures struct {
	Before, During, After phase
	PlanCode              int // of a plan during the outage
	PlanMs                float64
	ConfirmCode           int // of a confirmation during the outage
	ConfirmMs             float64
	NewInstanceReadyMs    float64 // an instance started during the outage; 0 means that it had no configuration
	CatchUpMs             float64 // from the end of the outage to the confirmed change in force at all
	CutOffInstances       int     // that said so at the end of the outage
}

// phase is one part of the run.
type phase struct {
	Seconds            float64
	AnswersWhole       int64
	AnswersNot         int64
	StoreCalls         int
	StoreCallsPerSec   float64
	PeakCallsPerWindow int // calls of the busiest 100 ms
}

// outage is one run.
type outage struct {
	*fleet
	ctx    context.Context
	fig    outageFigures
	whole  atomic.Int64
	not    atomic.Int64
	killed map[int]bool
}

// runOutage measures what an outage of the key-value service does. In the
// baseline every instance polls the service each second and knows no peers.
func runOutage(ctx context.Context, cfg measure.Settings) (measure.Report, error) {
	var report measure.Report
	f, err := newFleet(ctx, cfg, shape{size: outageInstances, cutOffAfter: outageCutOff}, &report)
	if err != nil {
		return report, err
	}
	defer f.stop()
	o := &outage{fleet: f, ctx: ctx, killed: make(map[int]bool)}
	f.await(ctx, 1, nil)
	operator := f.oneTry()
	p, refused := operator.Plan(ctx, limitIntent(0))
	if refused != nil {
		return report, refused
	}
	load, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range outageCallers {
		wg.Go(func() { o.ask(load, i) })
	}
	o.fig.Before = o.phase(outagePhase, func() {})
	f.site.Store.SetFaults(standinkeyvalue.Faults{Outage: true})
	o.fig.During = o.phase(outageTime, func() { o.during(operator, p) })
	o.fig.CutOffInstances = o.cutOff(operator)
	f.site.Store.SetFaults(standinkeyvalue.Faults{})
	o.fig.After = o.phase(outagePhase, func() { o.catchUp(p) })
	stop()
	wg.Wait()
	o.judge()
	report.Figures = o.fig
	return report, nil
}

// oneTry returns an operator's client that does not ask again.
func (f *fleet) oneTry() *operatorclient.Client {
	c, err := operatorclient.New(operatorclient.Settings{Addresses: f.site.Addresses()[:1], Key: standinsite.OperatorKey, Rounds: 1})
	if err != nil {
		panic(err) // there is a key, and a site has instances
	}
	return c
}

// ask has answers made one after another and holds them against what one
// undisturbed engine gives.
func (o *outage) ask(ctx context.Context, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		c := o.site.Caller(caller.Settings{Addresses: o.addresses(n)})
		a := c.Do(o.ctx, caller.Request{
			ID: ident.Request(fmt.Sprintf("answer-%d-%d", n, i)), Model: standinsite.Model, Prompt: fmt.Sprint(n, i), MaxTokens: outageTokens, First: n,
		})
		if a.Whole && inOrder(a.Tokens) {
			o.whole.Add(1)
			continue
		}
		o.not.Add(1)
		o.report.AddViolation(fmt.Sprintf("answer %d-%d: whole %t, %d tokens, %v", n, i, a.Whole, len(a.Tokens), a.Err))
	}
}

// addresses returns the instances of the failure domain that caller n goes to.
func (o *outage) addresses(n int) []string {
	var out []string
	for _, d := range o.site.Instances {
		if d.Domain() == domains[n%len(domains)] || o.cfg.Baseline {
			out = append(out, d.Addr())
		}
	}
	return out
}

func inOrder(tokens []string) bool {
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

// phase lets a time pass while do runs, and counts meanwhile.
func (o *outage) phase(d time.Duration, do func()) phase {
	calls := func() int {
		c := o.site.Store.Calls()
		return c.Reads + c.Writes
	}
	first, whole, not := calls(), o.whole.Load(), o.not.Load()
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
	ph.AnswersWhole, ph.AnswersNot = o.whole.Load()-whole, o.not.Load()-not
	return ph
}

// during tries to change something, and replaces an instance.
func (o *outage) during(operator *operatorclient.Client, p plan.Plan) {
	o.fig.PlanCode, o.fig.PlanMs = o.timed(func() *result.Error {
		_, err := operator.Plan(o.ctx, limitIntent(1))
		return err
	})
	o.fig.ConfirmCode, o.fig.ConfirmMs = o.timed(func() *result.Error {
		_, err := operator.Confirm(o.ctx, p)
		return err
	})
	if o.cfg.Baseline {
		o.pollers[len(o.pollers)-1].end()
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
	o.awaitNew()
}

// awaitNew waits until the newest instance has the configuration, or the outage
// is nearly over.
func (o *outage) awaitNew() {
	now := o.site.Timer().Now
	for began := now(); now().Sub(began) < outageTime/2; sleep(o.ctx, o.site.Timer(), time.Millisecond) {
		all := o.revisions()
		if all[len(all)-1] == 1 {
			o.fig.NewInstanceReadyMs = float64(now().Sub(began).Microseconds()) / 1000
			return
		}
	}
	o.report.AddViolation("an instance that was started during the outage has no configuration")
}

func (o *outage) timed(f func() *result.Error) (code int, ms float64) {
	now := o.site.Timer().Now
	began := now()
	if err := f(); err != nil {
		code = int(err.Code)
	}
	return code, float64(now().Sub(began).Microseconds()) / 1000
}

func (o *outage) cutOff(operator *operatorclient.Client) int {
	s, err := operator.Status(o.ctx)
	if err != nil {
		o.report.AddViolation("status: " + err.Error())
		return 0
	}
	return s.CutOff
}

// catchUp confirms the plan of before the outage again and waits for it.
func (o *outage) catchUp(p plan.Plan) {
	now := o.site.Timer().Now
	began := now()
	rec, err := o.site.Operator().Confirm(o.ctx, p)
	for err != nil && err.Code == result.ConfirmUnknown && now().Sub(began) < spreadLimit {
		rec, err = o.site.Operator().Confirm(o.ctx, p)
	}
	if err != nil || rec.Revision != 2 {
		o.report.AddViolation(fmt.Sprintf("confirmation after the outage: revision %d, %v", rec.Revision, err))
		return
	}
	o.await(o.ctx, rec.Revision, o.killed)
	o.fig.CatchUpMs = float64(now().Sub(began).Microseconds()) / 1000
}

// judge holds the answers of the operators' calls against their meaning.
func (o *outage) judge() {
	if o.fig.PlanCode != int(result.PlatformUnavailable) {
		o.report.AddViolation(fmt.Sprintf("plan during the outage: code %d", o.fig.PlanCode))
	}
	if o.fig.ConfirmCode != int(result.ConfirmUnknown) {
		o.report.AddViolation(fmt.Sprintf("confirmation during the outage: code %d", o.fig.ConfirmCode))
	}
	if o.fig.CutOffInstances == 0 && !o.cfg.Baseline {
		o.report.AddViolation("no instance says that it is cut off")
	}
	if o.fig.During.AnswersWhole == 0 {
		o.report.AddViolation("no answer was served during the outage")
	}
}

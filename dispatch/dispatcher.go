package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/line"
	"crocuslug/meter"
	"crocuslug/result"
	"crocuslug/retry"
	"crocuslug/routing"
	"crocuslug/suspect"
	"crocuslug/timer"
	"crocuslug/work"
)

// Dispatcher answers the requests of one instance. Its methods may be called
// from any goroutine.
type Dispatcher struct {
	cfg    Settings
	ports  work.Ports
	fleet  *fleet.Fleet
	client *exchange.Client
	timer  *timer.Service
	random func() uint64
	log    zerolog.Logger
	// suspects knows the contents that make engines fail.
	suspects *suspect.Tracker
	prompts  *prompts
	meters   *meter.Meters
	turns    atomic.Uint64 // that were waited for

	mu      sync.Mutex
	budget  retry.Settings
	budgets map[ident.Service]*retry.Budget
	waiting map[ident.Service]int // streams that wait for an upstream
	lines   map[ident.Service]*line.Line
}

// Parts are what a Dispatcher works with. All are required.
type Parts struct {
	Ports    work.Ports
	Fleet    *fleet.Fleet
	Client   *exchange.Client
	Suspects *suspect.Tracker
	Meters   *meter.Meters
	Budget   retry.Settings // of the retries at one service
	Timer    *timer.Service
	Random   func() uint64 // 64 random bits at each call, from any goroutine
	Log      zerolog.Logger
}

// New returns a dispatcher.
func New(cfg Settings, p Parts) *Dispatcher {
	return &Dispatcher{
		cfg:      cfg.withDefaults(),
		ports:    p.Ports,
		fleet:    p.Fleet,
		client:   p.Client,
		suspects: p.Suspects,
		prompts:  newPrompts(),
		meters:   p.Meters,
		timer:    p.Timer,
		random:   p.Random,
		log:      p.Log,
		budget:   p.Budget,
		budgets:  make(map[ident.Service]*retry.Budget),
		waiting:  make(map[ident.Service]int),
		lines:    make(map[ident.Service]*line.Line),
	}
}

// budgetOf returns the budget of retries at a service.
func (d *Dispatcher) budgetOf(s ident.Service) *retry.Budget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.budgets[s]
	if !ok {
		b = retry.New(d.budget, d.random)
		d.budgets[s] = b
	}
	return b
}

// wait counts a stream that waits, or no longer does.
func (d *Dispatcher) wait(s ident.Service, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting[s] += n
}

// Waiting returns the streams that wait for an upstream of a service: lost ones
// while there is none, and new ones while all have enough to read.
func (d *Dispatcher) Waiting(s ident.Service) int {
	queued, _ := d.lineOf(s).Queue.Len()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waiting[s] + queued
}

// attempts is what was tried for one request.
type attempts struct {
	w       *work.Work
	made    int              // sendings, those included that cannot have arrived
	runs    int              // sendings that may have run
	crashes int              // runs that were broken off, but for those lost with a whole failure domain
	counted int              // of made, that no longer count towards Settings.Sends
	exclude []ident.Upstream // not tried again
	paced   bool             // it waits with others for the first upstreams that are back
	passed  []ident.Upstream // that did not take it; tried again after a wait
	apart   ident.Domain     // where the last upstream was lost; avoided if others are to be had
	last    string           // how the last one ended
}

// lowestRank is the last rank of work.Leg.
const lowestRank = 9

// rank returns the rank of a request in an upstream's queue. What was lost has
// the same as what is new: engines take the memory of a run that goes on for one
// of a higher rank, which then has to be read again.
func rank(w *work.Work) int { return min(max(0, w.Priority), lowestRank) }

// tried returns the upstreams that are not tried now.
func (a *attempts) tried() []ident.Upstream {
	return slices.Concat(a.exclude, a.passed)
}

// again lets the upstreams be tried anew that did not take the request.
func (a *attempts) again() {
	a.passed = nil
	a.counted = a.made
}

// wish returns what is asked of the fleet for the next sending.
func (d *Dispatcher) wish(a *attempts, now time.Time) fleet.PickRequest {
	return fleet.PickRequest{
		Service: a.w.Service.Name, Tokens: a.w.Tokens, Blocks: a.w.Blocks, Sizes: a.w.Sizes,
		Exclude: append(d.suspects.ExcludedEngines(now, a.w.Fingerprint), a.tried()...), ExcludeDomain: a.apart, RequireIdle: a.paced, UnreadTokens: a.w.Prompt,
	}
}

// pick chooses the upstream of the next sending.
func (d *Dispatcher) pick(a *attempts, now time.Time) (directory.Upstream, *result.Error) {
	u, refusal, _ := d.choose(a, 0, now)
	return u, refusal
}

// choose chooses the upstream of the next sending. If a backlog is given, it
// reports busy when all upstreams have more to read than that or are full;
// otherwise one of those is taken.
func (d *Dispatcher) choose(a *attempts, backlog time.Duration, now time.Time) (u directory.Upstream, refusal *result.Error, busy bool) {
	if refusal := d.screen(a, now); refusal != nil {
		return directory.Upstream{}, refusal, false
	}
	ask := d.wish(a, now)
	ask.MaxBacklog = backlog
	u, kind := d.fleet.Pick(ask, now)
	if kind != routing.Send && (a.apart != "" || len(ask.Exclude) > 0) {
		ask.ExcludeDomain, ask.Exclude = "", a.tried()
		u, kind = d.fleet.Pick(ask, now)
	}
	if kind == routing.Wait && backlog > 0 {
		return directory.Upstream{}, nil, true
	}
	if kind == routing.Wait {
		ask.AllowFull = true
		u, kind = d.fleet.Pick(ask, now)
	}
	if kind != routing.Send {
		n := d.fleet.Count(a.w.Service.Name)
		detail := fmt.Sprintf("no upstream of service %q takes the request: %d registered, %d leaving, %d out, %d replaced, %d tried",
			a.w.Service.Name, n.Registered, n.Leaving, n.Out, n.Replaced, len(a.tried()))
		return directory.Upstream{}, d.refuse(a, result.NoUpstream, detail), false
	}
	return u, nil, false
}

// refuse returns the final failure of a request. It says that the request was
// not run only if no sending can have run.
func (d *Dispatcher) refuse(a *attempts, code result.Code, detail string) *result.Error {
	if a.last != "" {
		detail += "; before that: " + a.last
	}
	e := result.New(code, detail)
	if a.runs > 0 {
		return e.Ran(result.RunUnknown)
	}
	return e.After(d.comeBack(a.w.Deadline.Sub(d.timer.Now())))
}

// comeBack returns when a caller may come back that has some time left. Most
// come back once only, so one that has much time had better let upstreams that
// crashed start again. The times are spread, or all would come at once.
func (d *Dispatcher) comeBack(remaining time.Duration) time.Duration {
	mean := time.Duration(d.cfg.RetryShare * float64(remaining))
	mean = min(max(mean, d.cfg.LeastRetry), d.cfg.MostRetry)
	return mean*3/4 + time.Duration(d.random()%uint64(mean/2))
}

// unsent reports whether nothing of the sending can have reached an upstream.
func (v verdict) unsent() bool { return v.kind == fleet.Dead && !v.ran }

// mayRetry decides whether a request is sent again after a sending has failed.
// The budget of retries bounds what upstreams get beyond first requests, so what
// did not reach one is free, and so is a stream that goes on after a loss.
func (d *Dispatcher) mayRetry(a *attempts, now time.Time, free bool) *result.Error {
	w := a.w
	remaining := w.Deadline.Sub(now)
	switch {
	case remaining < d.cfg.MinRemaining:
		return d.refuse(a, result.DeadlineInfeasible, "no time is left")
	case a.made-a.counted >= d.cfg.Sends:
		return d.refuse(a, result.NoUpstream, "all sendings failed")
	case w.Route.MaxAttempts > 0 && a.runs >= w.Route.MaxAttempts:
		return d.refuse(a, result.UpstreamFailed, "the route's attempts are used up")
	}
	run := result.RunNot
	if a.runs > 0 {
		run = result.RunUnknown
	}
	verdict, _ := d.budgetOf(w.Service.Name).Decide(retry.Attempt{
		Number:     a.made,
		Run:        run,
		Repeatable: w.Route.Repeatable(),
		Resumed:    free,
		Remaining:  remaining,
	})
	switch verdict {
	case retry.MayHaveRun:
		return d.refuse(a, result.UpstreamFailed, "the request may have run and may not be repeated")
	case retry.NoBudget:
		return d.refuse(a, result.Overloaded, "the budget of retries is spent")
	case retry.Exhausted:
		return d.refuse(a, result.UpstreamFailed, "the attempts are used up")
	}
	return nil
}

// verdict is how a sending ended, when that was not with an answer to pass on.
type verdict struct {
	kind   fleet.Outcome
	ran    bool // it may have run
	cause  cause
	reason string
}

// cause is the name under which a failed sending is counted.
type cause string

// Causes.
const (
	noProbe   cause = "NoProbe"   // the engine did not answer a probe while it was silent
	timedOut  cause = "TimedOut"  // no answer within the time limit
	notSent   cause = "NotSent"   // no connection
	broken    cause = "Broken"    // the connection ended before the answer
	silent    cause = "Silent"    // no piece within the longest pause
	replaced  cause = "Replaced"  // another upstream has the address
	notRun    cause = "NotRun"    // refused by the upstream
	unsigned  cause = "Unsigned"  // no answer of an upstream
	incorrect cause = "Incorrect" // not the pieces that were to come
	status    cause = "Status"    // a failure of the upstream's own
)

// judge tells how a sending failed. An answer is nil if there was none.
func (d *Dispatcher) judge(ctx context.Context, ans *exchange.Answer, err error) (verdict, bool) {
	switch {
	case err != nil && context.Cause(ctx) == errNoProbe:
		return verdict{kind: fleet.Dead, ran: true, cause: noProbe, reason: errNoProbe.Error()}, true
	case err != nil && context.Cause(ctx) == context.DeadlineExceeded:
		return verdict{kind: fleet.Failed, ran: !exchange.NotSent.Has(err), cause: timedOut, reason: "no answer within its time limit"}, true
	case exchange.NotSent.Has(err):
		return verdict{kind: fleet.Dead, cause: notSent, reason: err.Error()}, true
	case err != nil:
		return verdict{kind: fleet.Failed, ran: true, cause: broken, reason: err.Error()}, true
	case d.ports.Replaced(ans.Status, ans.Header):
		return verdict{kind: fleet.Replaced, cause: replaced, reason: "another upstream has the address"}, true
	case d.ports.NotRun(ans.Status, ans.Header):
		return verdict{kind: fleet.Served, cause: notRun, reason: "refused by the upstream with status " + http.StatusText(ans.Status)}, true
	case !d.ports.Genuine(ans.Header) && ans.Status < http.StatusMultipleChoices:
		return verdict{kind: fleet.Failed, ran: true, cause: unsigned, reason: "the answer bears no signature"}, true
	}
	return verdict{}, false
}

// note takes a failed sending into account and logs it.
func (d *Dispatcher) note(a *attempts, u directory.Upstream, v verdict, began, now time.Time) {
	d.fleet.ReportEnd(u.ID, v.kind, 0, now)
	d.meters.Count("Failed."+string(v.cause), 1)
	a.last = v.reason
	if v.kind == fleet.Dead || v.kind == fleet.Failed {
		a.apart = u.Domain
	}
	if v.ran {
		a.runs++
		a.exclude = append(a.exclude, u.ID)
	} else {
		a.passed = append(a.passed, u.ID)
	}
	d.log.Info().Str("Request", string(a.w.ID)).Str("Upstream", string(u.ID)).Int("Attempt", a.made).
		Bool("MayHaveRun", v.ran).Str("Cause", string(v.cause)).Str("Reason", v.reason).Dur("AfterMs", now.Sub(began)).Msg("attempt failed")
}

// until returns a context that ends with ctx or at a time by the timer.
func (d *Dispatcher) until(ctx context.Context, t time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	sub := d.timer.After(t.Sub(d.timer.Now()), func(time.Time) { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		sub.Stop()
		cancel(context.Canceled)
	}
}

// request returns what a leg sends.
func (d *Dispatcher) request(w *work.Work, leg *work.Leg) *exchange.Request {
	return &exchange.Request{
		Method:   w.Method,
		Target:   w.Target,
		Host:     w.Host,
		Header:   d.ports.Header(w, leg),
		Body:     w.Body,
		Fresh:    !w.Route.Repeatable(),
		IsAnswer: func(h http.Header) bool { return d.ports.Belongs(w, h) },
	}
}

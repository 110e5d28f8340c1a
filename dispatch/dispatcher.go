package dispatch

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/builds"
	"crocuslug/cooldown"
	"crocuslug/directory"
	"crocuslug/enginememory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/line"
	"crocuslug/meter"
	"crocuslug/poison"
	"crocuslug/result"
	"crocuslug/retry"
	"crocuslug/timer"
	"crocuslug/upstreamlimit"
	"crocuslug/work"
)

// Dispatcher sends the requests of one instance to upstreams. Its methods are safe for
// concurrent use.
type Dispatcher struct {
	cfg      Settings
	protocol work.Protocol
	fleet    *fleet.Fleet
	client   *exchange.Client
	timer    *timer.Service
	random   func() uint64
	log      zerolog.Logger
	// poison records the crashes of engines and knows which requests cause them.
	poison   *poison.Tracker
	limits   *upstreamlimit.Limits
	rests    *cooldown.Tracker
	builds   *builds.Tracker
	prompts  *prompts
	meters   *meter.Meters
	queueSeq atomic.Uint64 // number of the last queued stream, see waiterID
	claimSeq atomic.Uint64 // last claim on the memory of upstreams, see newClaim

	askPermits  func(ctx context.Context, r upstreamlimit.Request) (upstreamlimit.Answer, error)
	tellOrigin  func(r builds.Record) (told <-chan struct{})
	findOrigin  func(ctx context.Context, w *work.Work) (build *ident.Build, found bool)
	prefer      func(service ident.Service) *ident.Build
	cutOff      func(domain ident.Domain) (cut, doubtful bool)
	leaves      func(u directory.Upstream, request ident.Request)
	tellRest    func(helper ident.Instance, u directory.Upstream, rest time.Duration)
	observePace func(id ident.Upstream, n int, elapsed time.Duration) // may be nil
	delivery    Delivery

	mu             sync.Mutex
	budget         retry.Settings
	untold         untold
	budgets        map[ident.Service]*retry.Budget
	waitingResumes map[ident.Service]int // interrupted streams that wait for an upstream
	queues         map[ident.Service]*line.Queue
}

// Dependencies are the components that a Dispatcher uses. All but Delivery are required.
type Dependencies struct {
	Protocol work.Protocol
	Fleet    *fleet.Fleet
	Client   *exchange.Client
	Poison   *poison.Tracker
	Limits   *upstreamlimit.Limits
	Rests    *cooldown.Tracker
	// AskPermits asks the instance that issues them for permits.
	AskPermits func(ctx context.Context, r upstreamlimit.Request) (upstreamlimit.Answer, error)
	Builds     *builds.Tracker
	// TellOrigin tells other instances at which build a stream begins. The channel is closed once
	// they know it, or after a short time.
	TellOrigin func(r builds.Record) (told <-chan struct{})
	// FindOrigin returns the build at which a stream began that its caller takes up, nil if the
	// upstreams of the service name none, and false if it is not known.
	FindOrigin func(ctx context.Context, w *work.Work) (build *ident.Build, found bool)
	// PreferBuild returns the build at which new streams begin if it has an upstream for them, or nil if any
	// will do.
	PreferBuild func(service ident.Service) *ident.Build
	// CutOff reports whether this instance is cut off from the upstreams of a failure domain, and
	// whether it may be.
	CutOff func(domain ident.Domain) (cut, doubtful bool)
	// Leaves records that u, as it was registered when the request was sent, has answered that it is
	// leaving.
	Leaves func(u directory.Upstream, request ident.Request)
	// TellRest tells an instance that passed a request on that u has asked it for a rest.
	TellRest func(helper ident.Instance, u directory.Upstream, rest time.Duration)
	// ObservePace records that an upstream took a time for n pieces of a stream, or for one whole answer. It may be nil.
	ObservePace func(id ident.Upstream, n int, elapsed time.Duration)
	// Delivery limits which builds get attempts while a service is moved to another build.
	Delivery Delivery
	Meters   *meter.Meters
	Budget   retry.Settings // settings of the retry budget of each service
	Timer    *timer.Service
	Random   func() uint64 // returns 64 random bits per call; safe for concurrent use
	Log      zerolog.Logger
}

// New returns a Dispatcher.
func New(cfg Settings, p Dependencies) *Dispatcher {
	return &Dispatcher{
		cfg:            cfg.withDefaults(),
		protocol:       p.Protocol,
		fleet:          p.Fleet,
		client:         p.Client,
		poison:         p.Poison,
		limits:         p.Limits,
		rests:          p.Rests,
		askPermits:     p.AskPermits,
		builds:         p.Builds,
		tellOrigin:     p.TellOrigin,
		findOrigin:     p.FindOrigin,
		prefer:         p.PreferBuild,
		cutOff:         p.CutOff,
		leaves:         p.Leaves,
		tellRest:       p.TellRest,
		observePace:    p.ObservePace,
		delivery:       p.Delivery.withDefaults(),
		prompts:        newPrompts(),
		meters:         p.Meters,
		timer:          p.Timer,
		random:         p.Random,
		log:            p.Log,
		budget:         p.Budget,
		budgets:        make(map[ident.Service]*retry.Budget),
		waitingResumes: make(map[ident.Service]int),
		untold:         untold{records: make(map[*stream]builds.Record)},
		queues:         make(map[ident.Service]*line.Queue),
	}
}

// countWaiting adds n to the number of interrupted streams that wait for an upstream of s.
func (d *Dispatcher) countWaiting(s ident.Service, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waitingResumes[s] += n
}

// Waiting returns the number of streams that wait for an upstream of a service: interrupted
// streams while no upstream is available, and new streams in the queue.
func (d *Dispatcher) Waiting(s ident.Service) int {
	queued, _ := d.queueOf(s).Admission.Len()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waitingResumes[s] + queued
}

// attempts is the state of the attempts to send one request.
type attempts struct {
	w           *work.Work
	claim       enginememory.Claim // on the memory of the upstream of the current attempt
	yields      bool               // the request leaves the room that urgent ones need
	sends       int                // attempts, including those that cannot have arrived
	runs        int                // attempts that may have run
	crashes     int                // engines that crashed while they ran the request
	crashChecks []<-chan bool      // results of the checks whether further lost engines crashed
	uncounted   int                // part of sends that does not count towards Settings.MaxSends any more
	exclude     []ident.Upstream   // upstreams that are not tried again
	requireIdle bool               // the request waits, with others, for the first upstreams that return
	silent      []ident.Upstream   // upstreams that were left because they were silent; tried again after a wait
	declined    []ident.Upstream   // upstreams that did not accept the request; tried again after a wait
	lostDomain  ident.Domain       // failure domain of the last failed upstream; avoided if there are others
	side        side               // builds that may get the current attempt if build is nil
	counted     bool               // the current attempt was passed to Delivery.Sent
	build       *ident.Build       // build at which the rest of the answer must be produced; nil if any will do
	lastFailure string             // reason of the last failure
	settled     <-chan struct{}    // closed once the upstream of the last attempt is left, see exchange.Request.Closed; nil if it is
	answering   time.Time          // when the answer to the current attempt began; zero before
}

// ErrLeaving is the cause with which the context of a request ends if its instance ends before the
// request is answered.
var ErrLeaving = errors.New("the instance is leaving")

// refuseEnded returns the error of a request whose context has ended because its deadline has passed
// or its instance ends, and nil if the caller has disconnected.
func (d *Dispatcher) refuseEnded(ctx context.Context, a *attempts) *result.Error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return d.refuse(a, result.DeadlineInfeasible, "the remaining time is too short")
	case errors.Is(cause, ErrLeaving):
		return d.refuse(a, result.InstanceLeaving, "the instance ends before the request is answered")
	}
	return nil
}

// maxRank is the greatest value of work.Attempt.Rank, which is served last.
const maxRank = 9

// queueRank returns the rank of a request in the queue of an upstream. A resumed request has
// the same rank as a new one: an engine frees the memory of a running request for one of a
// higher rank, and the memory then has to be rebuilt from the prompt.
func queueRank(w *work.Work) int { return min(max(0, w.Priority), maxRank) }

// excluded returns the upstreams that are not to be chosen for the next attempt.
func (a *attempts) excluded() []ident.Upstream {
	return slices.Concat(a.exclude, a.silent, a.declined)
}

// retryAll allows the upstreams that declined the request or were silent to be chosen again,
// and resets the count of attempts.
func (a *attempts) retryAll() {
	a.silent, a.declined = nil, nil
	a.uncounted = a.sends
}

// refuse returns the final error of a request. It states that the request was not run only
// if no attempt can have run it.
func (d *Dispatcher) refuse(a *attempts, code result.Code, detail string) *result.Error {
	if a.lastFailure != "" {
		detail += "; previous failure: " + a.lastFailure
	}
	e := result.New(code, detail)
	if a.runs > 0 {
		return e.Ran(result.RunUnknown)
	}
	return e.After(d.retryAfter(a.w.Deadline.Sub(d.timer.Now())))
}

// retryAfter returns the time after which a refused caller may retry. Most callers retry only
// once, so the time grows with the remaining time, to give crashed upstreams time to
// restart. It is randomized so that callers do not all retry at once.
func (d *Dispatcher) retryAfter(remaining time.Duration) time.Duration {
	mean := time.Duration(d.cfg.RetryAfterShare * float64(remaining))
	mean = min(max(mean, d.cfg.MinRetryAfter), d.cfg.MaxRetryAfter)
	return mean*3/4 + time.Duration(d.random()%uint64(mean/2))
}

// unsent reports whether nothing of the request can have reached an upstream.
func (v sendFailure) unsent() bool {
	return (v.outcome == fleet.Dead || v.cause == withdrawn) && !v.mayHaveRun
}

// checkRetry returns nil if a request may be sent again after a failed attempt, and the final
// error otherwise. The retry budget bounds the load on upstreams beyond first requests.
// Attempts that did not reach an upstream are free of it, and so is a stream that is
// resumed after a loss.
func (d *Dispatcher) checkRetry(a *attempts, now time.Time, free bool) *result.Error {
	w := a.w
	remaining := w.Deadline.Sub(now)
	switch {
	case remaining < d.cfg.MinRemaining:
		return d.refuse(a, result.DeadlineInfeasible, "the remaining time is too short")
	case a.sends-a.uncounted >= d.cfg.MaxSends:
		return d.refuse(a, result.NoUpstream, "all attempts to send the request failed")
	case w.Route.MaxAttempts > 0 && a.runs >= w.Route.MaxAttempts:
		return d.refuse(a, result.UpstreamFailed, "the attempts allowed by the route are used up")
	}
	run := result.RunNot
	if a.runs > 0 {
		run = result.RunUnknown
	}
	verdict, _ := d.retryBudget(w.Service.Name).Decide(retry.Attempt{
		Number:     a.sends - a.uncounted,
		Run:        run,
		Repeatable: w.Route.Repeatable(),
		Resumed:    free,
		Remaining:  remaining,
	})
	switch verdict {
	case retry.MayHaveRun:
		return d.refuse(a, result.UpstreamFailed, "the request may have run and must not be repeated")
	case retry.NoBudget:
		return d.refuse(a, result.Overloaded, "the retry budget is exhausted")
	case retry.Exhausted:
		return d.refuse(a, result.UpstreamFailed, "the attempts allowed by the retry policy are used up")
	}
	return nil
}

// withDeadline returns a context that ends with ctx or at time t of the timer, with the cause
// context.DeadlineExceeded.
func (d *Dispatcher) withDeadline(ctx context.Context, t time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	sub := d.timer.After(t.Sub(d.timer.Now()), func(time.Time) { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		sub.Stop()
		cancel(context.Canceled)
	}
}

// exchangeRequest returns the request that is sent to the upstream of an attempt.
func (d *Dispatcher) exchangeRequest(w *work.Work, attempt *work.Attempt) *exchange.Request {
	return &exchange.Request{
		Method:   w.Method,
		Target:   w.Target,
		Host:     w.Host,
		Header:   d.protocol.Header(w, attempt),
		Body:     w.Body,
		More:     w.More,
		Take:     w.Take,
		Give:     w.Give,
		Fresh:    !w.Route.Repeatable(),
		IsAnswer: func(h http.Header) bool { return d.isAnswer(w, attempt.Upstream.ID, h) },
	}
}

// isAnswer reports whether an answer with header h answers w, and records it if not.
func (d *Dispatcher) isAnswer(w *work.Work, id ident.Upstream, h http.Header) bool {
	if d.protocol.Matches(w, h) {
		return true
	}
	d.meters.Count("AnswersForeign", 1)
	d.log.Info().Str("Request", string(w.ID)).Str("Upstream", string(id)).Msg("answer that does not name the request is passed over")
	return false
}

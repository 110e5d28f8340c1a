// Package claimwriter takes and settles claims on behalf of callers' requests.
//
// Operations go to the instance that is preferred as the writer of their
// bucket, so that many travel in one write, and are written here if it cannot
// be reached. Both may happen to one operation: it is evaluated by claim id,
// and only the instance that made the id may run the action.
package claimwriter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"crocuslug/claim"
	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/store"
	"crocuslug/timer"
	"crocuslug/unit"
)

// Settings of a Writer. Zero values mean the defaults.
type Settings struct {
	Claims       claim.Settings
	StartLimit   unit.Duration // time from the claim to the start of the action
	ForwardLimit unit.Duration // time that the preferred writer is waited for
	RetryAfter   unit.Duration // when a caller may come back while the service is out of reach
	SettleLimit  unit.Duration // time that Settle keeps its caller waiting
	SettleEvery  unit.Duration // time between two attempts to record an outcome
	MaxPending   int           // outcomes that wait to be recorded
}

// Defaults of Settings.
const (
	defaultStartLimit   = 3 * time.Second
	defaultForwardLimit = 500 * time.Millisecond
	defaultRetryAfter   = 2 * time.Second
	defaultSettleLimit  = time.Second
	defaultSettleEvery  = time.Second
	defaultMaxPending   = 10_000
)

// Dependencies are the calls that a Writer makes.
type Dependencies struct {
	// Local applies an operation by writing to the service.
	Local func(ctx context.Context, op claim.Operation) (claim.Decision, error)
	// Forward has another instance apply an operation.
	Forward func(ctx context.Context, to ident.Instance, op claim.Operation) (claim.Decision, error)
	// Preferred returns the instance that should write a bucket. Empty or the
	// instance itself means to write here.
	Preferred func(bucket int) ident.Instance
	// Spawn runs f apart from its caller; nil means in a goroutine.
	Spawn func(f func())
}

// Request asks for the claim of one action.
type Request struct {
	Key         claim.Hash
	Fingerprint claim.Hash
	Issued      time.Time     // zero if the caller did not say
	Limit       time.Duration // longest duration of the action's call
	// Status asks the service for the outcome of the key: Done with its answer,
	// NotRun if the service does not know the key, else Unknown. It is nil if
	// the service cannot be asked.
	Status func(ctx context.Context) (claim.State, claim.Answer)
}

// Writer takes and settles claims. Its methods may be called from any goroutine.
type Writer struct {
	cfg   Settings
	deps Dependencies
	timer *timer.Service
	self  ident.Instance

	mu      sync.Mutex
	issued  uint64
	pending int
}

// New returns a writer for the instance self, whose name no other run of a
// daemon has had.
func New(cfg Settings, deps Dependencies, t *timer.Service, self ident.Instance) *Writer {
	cfg.Claims = cfg.Claims.WithDefaults()
	setDefault(&cfg.StartLimit, defaultStartLimit)
	setDefault(&cfg.ForwardLimit, defaultForwardLimit)
	setDefault(&cfg.RetryAfter, defaultRetryAfter)
	setDefault(&cfg.SettleLimit, defaultSettleLimit)
	setDefault(&cfg.SettleEvery, defaultSettleEvery)
	if cfg.MaxPending == 0 {
		cfg.MaxPending = defaultMaxPending
	}
	if deps.Spawn == nil {
		deps.Spawn = func(f func()) { go f() }
	}
	return &Writer{cfg: cfg, deps: deps, timer: t, self: self}
}

func setDefault(v *unit.Duration, d time.Duration) {
	if *v == 0 {
		*v = unit.Duration(d)
	}
}

// Take claims an action. If the verdict is Granted, the caller may run the
// action once, starts it before the StartBy of the operation, and passes the
// operation to Settle whatever comes of it.
func (w *Writer) Take(ctx context.Context, r Request) (claim.Operation, claim.Decision) {
	op, v := w.take(ctx, r)
	if v.Unresolved == "" {
		return op, v
	}
	if r.Status == nil {
		v.Err = v.Err.After(0)
		return op, v
	}
	return w.resolve(ctx, r, op, v)
}

func (w *Writer) take(ctx context.Context, r Request) (claim.Operation, claim.Decision) {
	op := w.operation(r)
	v, err := w.do(ctx, op)
	if err != nil {
		if !store.Unavailable.Has(err) {
			w.release(op)
		}
		return op, claim.Decision{Err: w.notRun("the record of actions is out of reach")}
	}
	if v.Granted && !w.timer.Now().Before(op.StartBy) {
		w.release(op)
		return op, claim.Decision{Err: w.notRun("the claim came too late to run")}
	}
	return op, v
}

// resolve asks the service about a claim whose outcome is unknown.
func (w *Writer) resolve(ctx context.Context, r Request, op claim.Operation, v claim.Decision) (claim.Operation, claim.Decision) {
	asked := w.timer.Now()
	state, answer := r.Status(ctx)
	if state != claim.Done && state != claim.NotRun {
		return op, v
	}
	found := op
	found.Claim = v.Unresolved
	found.State = state
	found.Answer = answer
	found.AskedAt = asked
	found.FromService = true
	_, err := w.do(ctx, found)
	if state == claim.Done {
		return op, claim.Decision{Answer: &answer}
	}
	if err != nil {
		return op, v
	}
	return w.take(ctx, r)
}

func (w *Writer) operation(r Request) claim.Operation {
	w.mu.Lock()
	w.issued++
	id := claim.ID(fmt.Sprintf("%s/%d", w.self, w.issued))
	w.mu.Unlock()
	startBy := w.timer.Now().Add(w.cfg.StartLimit.Std())
	return claim.Operation{
		Key: r.Key, Fingerprint: r.Fingerprint, Claim: id, State: claim.Running,
		Issued: r.Issued, StartBy: startBy, Until: startBy.Add(r.Limit),
	}
}

func (w *Writer) notRun(detail string) *result.Error {
	return result.New(result.ActionNotRun, detail).After(w.cfg.RetryAfter.Std())
}

// do applies an operation through the preferred writer, or else here. After a
// forward without an answer, Unavailable becomes Unknown.
func (w *Writer) do(ctx context.Context, op claim.Operation) (claim.Decision, error) {
	to := w.deps.Preferred(w.cfg.Claims.BucketIndex(op.Key))
	if to == "" || to == w.self {
		return w.deps.Local(ctx, op)
	}
	v, err := w.forward(ctx, to, op)
	if err == nil {
		return v, nil
	}
	v, err = w.deps.Local(ctx, op)
	if err != nil {
		return v, store.Unknown.New("after a forward without an answer: %v", err)
	}
	return v, nil
}

// within returns a context that ends after d, and the function to release it.
func (w *Writer) within(ctx context.Context, d unit.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	sub := w.timer.After(d.Std(), func(time.Time) { cancel() })
	return ctx, func() {
		sub.Stop()
		cancel()
	}
}

func (w *Writer) forward(ctx context.Context, to ident.Instance, op claim.Operation) (claim.Decision, error) {
	ctx, release := w.within(ctx, w.cfg.ForwardLimit)
	defer release()
	return w.deps.Forward(ctx, to, op)
}

// release records apart from the caller that a claim was not run: an answer
// that nothing was run does not wait for a service out of reach.
func (w *Writer) release(op claim.Operation) {
	op.State = claim.NotRun
	w.deps.Spawn(func() { w.Settle(op) })
}

// Settle records the outcome of a claim: the operation of Take with State and
// Answer replaced. It returns after the first attempt, or SettleLimit; while the service is
// out of reach it goes on trying apart from the caller. Beyond MaxPending an
// outcome is left unrecorded, and the action counts as unknown.
func (w *Writer) Settle(op claim.Operation) {
	if w.attempt(op) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending >= w.cfg.MaxPending {
		return
	}
	w.pending++
	w.later(op)
}

// Pending returns the number of outcomes that wait to be recorded.
func (w *Writer) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pending
}

func (w *Writer) later(op claim.Operation) {
	w.timer.After(w.cfg.SettleEvery.Std(), func(time.Time) { w.deps.Spawn(func() { w.again(op) }) })
}

func (w *Writer) again(op claim.Operation) {
	if !w.attempt(op) {
		w.later(op)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending--
}

func (w *Writer) attempt(op claim.Operation) bool {
	ctx, release := w.within(context.Background(), w.cfg.SettleLimit)
	defer release()
	_, err := w.do(ctx, op)
	return err == nil
}

// Package claimwriter claims actions for callers' requests and records their
// outcomes.
//
// An operation is forwarded to the preferred writer of its bucket, so that many
// operations share one write. If that instance cannot be reached, the operation
// is written locally. Both may happen to the same operation: this is safe since
// operations are idempotent by claim ID, and only the instance that created the
// ID may run the action.
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

// Settings are the settings of a Writer. Zero values mean the defaults.
type Settings struct {
	Claims              claim.Settings
	StartLimit          unit.Duration // longest time from the claim to the start of the action
	ForwardTimeout      unit.Duration // time limit of a call to the preferred writer
	RetryAfter          unit.Duration // retry delay for callers while the key-value service is unavailable
	SettleTimeout       unit.Duration // time limit of one attempt to record an outcome
	SettleRetryInterval unit.Duration // time between attempts to record an outcome
	MaxPending          int           // largest number of outcomes that are retried
}

// Defaults of Settings.
const (
	defaultStartLimit          = 3 * time.Second
	defaultForwardTimeout      = 500 * time.Millisecond
	defaultRetryAfter          = 2 * time.Second
	defaultSettleTimeout       = time.Second
	defaultSettleRetryInterval = time.Second
	defaultMaxPending          = 10_000
)

// Dependencies are the functions that a Writer calls. ApplyLocal, Forward and
// PreferredWriter are required.
type Dependencies struct {
	// ApplyLocal applies an operation by writing to the key-value service.
	ApplyLocal func(ctx context.Context, op claim.Operation) (claim.Decision, error)
	// Forward asks another instance to apply an operation.
	Forward func(ctx context.Context, to ident.Instance, op claim.Operation) (claim.Decision, error)
	// PreferredWriter returns the instance that should write a bucket. If it is
	// empty or this instance, operations are applied locally.
	PreferredWriter func(bucket int) ident.Instance
	// Spawn runs f without blocking its caller; nil means in a new goroutine.
	Spawn func(f func())
}

// Request asks for the claim of one action.
type Request struct {
	Key         claim.Hash
	Fingerprint claim.Hash
	Issued      time.Time     // when the caller issued the key; zero if unknown
	Timeout     time.Duration // time limit of the call that runs the action
	// Status asks the service for the outcome of the key: Done with its answer,
	// NotRun if the service does not know the key, and Unknown otherwise. It is
	// nil if the service has no way to report outcomes.
	Status func(ctx context.Context) (claim.State, claim.Answer)
}

// Writer claims actions and records their outcomes. Its methods may be called
// from any goroutine.
type Writer struct {
	cfg   Settings
	deps  Dependencies
	timer *timer.Service
	self  ident.Instance

	mu        sync.Mutex
	lastClaim uint64
	pending   int
}

// New returns a writer for the instance self. The name must be unique to this
// run of the daemon, since claim IDs contain it.
func New(cfg Settings, deps Dependencies, t *timer.Service, self ident.Instance) *Writer {
	cfg.Claims = cfg.Claims.WithDefaults()
	setDefault(&cfg.StartLimit, defaultStartLimit)
	setDefault(&cfg.ForwardTimeout, defaultForwardTimeout)
	setDefault(&cfg.RetryAfter, defaultRetryAfter)
	setDefault(&cfg.SettleTimeout, defaultSettleTimeout)
	setDefault(&cfg.SettleRetryInterval, defaultSettleRetryInterval)
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

// Claim claims an action. If the decision is Granted, the caller may run the
// action once. It must start it before StartBy of the returned operation, and
// must pass the operation to Settle whatever the outcome is.
func (w *Writer) Claim(ctx context.Context, r Request) (claim.Operation, claim.Decision) {
	op, v := w.claimOnce(ctx, r)
	if v.Unresolved == "" {
		return op, v
	}
	if r.Status == nil {
		v.Err = v.Err.After(0)
		return op, v
	}
	return w.resolve(ctx, r, op, v)
}

// claimOnce claims an action without resolving an unknown outcome. A claim that
// was granted too late, or that may have been granted, is released.
func (w *Writer) claimOnce(ctx context.Context, r Request) (claim.Operation, claim.Decision) {
	op := w.operation(r)
	v, err := w.apply(ctx, op)
	if err != nil {
		if !store.Unavailable.Has(err) {
			w.release(op)
		}
		return op, claim.Decision{Err: w.notRun("the store of claims is unavailable")}
	}
	if v.Granted && !w.timer.Now().Before(op.StartBy) {
		w.release(op)
		return op, claim.Decision{Err: w.notRun("the claim was granted after the time by which the action had to start")}
	}
	return op, v
}

// resolve asks the service for the outcome of a claim that is unknown here, and
// records it. If the action was not run, it is claimed again for r.
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
	_, err := w.apply(ctx, found)
	if state == claim.Done {
		return op, claim.Decision{Answer: &answer}
	}
	if err != nil {
		return op, v
	}
	return w.claimOnce(ctx, r)
}

func (w *Writer) operation(r Request) claim.Operation {
	w.mu.Lock()
	w.lastClaim++
	id := claim.ID(fmt.Sprintf("%s/%d", w.self, w.lastClaim))
	w.mu.Unlock()
	startBy := w.timer.Now().Add(w.cfg.StartLimit.Std())
	return claim.Operation{
		Key: r.Key, Fingerprint: r.Fingerprint, Claim: id, State: claim.Running,
		Issued: r.Issued, StartBy: startBy, Until: startBy.Add(r.Timeout),
	}
}

func (w *Writer) notRun(detail string) *result.Error {
	return result.New(result.ActionNotRun, detail).After(w.cfg.RetryAfter.Std())
}

// apply applies an operation through the preferred writer, or locally if that
// fails. An error after a failed forward is always store.Unknown, since the
// preferred writer may still apply the operation.
func (w *Writer) apply(ctx context.Context, op claim.Operation) (claim.Decision, error) {
	to := w.deps.PreferredWriter(w.cfg.Claims.BucketIndex(op.Key))
	if to == "" || to == w.self {
		return w.deps.ApplyLocal(ctx, op)
	}
	v, err := w.forward(ctx, to, op)
	if err == nil {
		return v, nil
	}
	v, err = w.deps.ApplyLocal(ctx, op)
	if err != nil {
		return v, store.Unknown.New("applying the operation locally after forwarding it failed: %v", err)
	}
	return v, nil
}

// withTimeout returns a context that is cancelled after d, and the function that
// releases its resources.
func (w *Writer) withTimeout(ctx context.Context, d unit.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	sub := w.timer.After(d.Std(), func(time.Time) { cancel() })
	return ctx, func() {
		sub.Stop()
		cancel()
	}
}

func (w *Writer) forward(ctx context.Context, to ident.Instance, op claim.Operation) (claim.Decision, error) {
	ctx, cancel := w.withTimeout(ctx, w.cfg.ForwardTimeout)
	defer cancel()
	return w.deps.Forward(ctx, to, op)
}

// release records in the background that the action of a claim was not run. The
// caller of Claim does not wait for it, so that its answer is not delayed while
// the key-value service is unavailable.
func (w *Writer) release(op claim.Operation) {
	op.State = claim.NotRun
	w.deps.Spawn(func() { w.Settle(op) })
}

// Settle records the outcome of a claim. The operation op is the one returned by
// Claim with State and Answer replaced. Settle returns after the first attempt,
// which takes at most SettleTimeout. If the attempt fails, it is retried in the
// background every SettleRetryInterval. If MaxPending outcomes are being retried
// already, the outcome is not recorded and the action counts as unknown.
func (w *Writer) Settle(op claim.Operation) {
	if w.settleOnce(op) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending >= w.cfg.MaxPending {
		return
	}
	w.pending++
	w.scheduleRetry(op)
}

// Pending returns the number of outcomes that are being retried.
func (w *Writer) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pending
}

func (w *Writer) scheduleRetry(op claim.Operation) {
	w.timer.After(w.cfg.SettleRetryInterval.Std(), func(time.Time) { w.deps.Spawn(func() { w.retry(op) }) })
}

func (w *Writer) retry(op claim.Operation) {
	if !w.settleOnce(op) {
		w.scheduleRetry(op)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending--
}

func (w *Writer) settleOnce(op claim.Operation) bool {
	ctx, cancel := w.withTimeout(context.Background(), w.cfg.SettleTimeout)
	defer cancel()
	_, err := w.apply(ctx, op)
	return err == nil
}

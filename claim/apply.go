package claim

import (
	"time"

	"crocuslug/result"
)

// maxRetryAfter bounds the retry delay that is returned to a caller while the
// action is in progress or the bucket is full.
const maxRetryAfter = 2 * time.Second

// Apply evaluates an operation on the state and returns the decision. If
// Changed reports true afterwards, the decision is valid only once the head has
// been written.
func (b *Bucket) Apply(op Operation, now time.Time) Decision {
	e, found := b.entries[op.Key]
	if found && b.expired(e.ClaimedAt, now) {
		found = false
	}
	if op.State != Running {
		return b.recordOutcome(op, e, found, now)
	}
	if v := b.checkClaim(op, now); v.Err != nil {
		return v
	}
	if !found {
		return b.grant(op, now)
	}
	return b.claimExisting(op, e, now)
}

// checkClaim refuses a claim that arrives after StartBy, whose key lacks a
// required issue time or has one in the future, or whose key is so old that its
// record may have been deleted.
func (b *Bucket) checkClaim(op Operation, now time.Time) Decision {
	switch {
	case !now.Before(op.StartBy):
		return Decision{Err: result.New(result.ActionNotRun, "the claim arrived after the time by which the action had to start").After(maxRetryAfter)}
	case op.Issued.IsZero() && b.cfg.RequireIssueTime:
		return refuse(result.KeyMissing, "the key has no issue time, which is required here")
	case op.Issued.IsZero():
		return Decision{}
	case op.Issued.After(now.Add(b.cfg.Skew.Std())):
		return refuse(result.Malformed, "the key's issue time is in the future")
	case now.Sub(op.Issued) > b.cfg.Retention.Std():
		return refuse(result.KeyExpired, "the key was issued before the retention period")
	}
	return Decision{}
}

// grant records op as the running claim of its key. It refuses op if the bucket
// is full even after expired keys are removed.
func (b *Bucket) grant(op Operation, now time.Time) Decision {
	if len(b.entries) >= b.cfg.MaxKeys {
		b.removeExpired(now)
	}
	if len(b.entries) >= b.cfg.MaxKeys {
		return Decision{Err: result.New(result.ActionNotRun, "the record of actions is full").After(maxRetryAfter)}
	}
	b.put(Entry{
		Key: op.Key, Fingerprint: op.Fingerprint, Claim: op.Claim, State: Running,
		ClaimedAt: now.UnixMilli(), Until: op.Until.UnixMilli(),
	})
	return Decision{Granted: true}
}

// claimExisting evaluates a claim of a key that already has an entry.
func (b *Bucket) claimExisting(op Operation, e Entry, now time.Time) Decision {
	if e.Fingerprint != op.Fingerprint {
		return refuse(result.KeyConflict, "the key belongs to another request")
	}
	switch e.State {
	case Done:
		return Decision{Answer: e.Answer}
	case NotRun:
		if e.Claim == op.Claim {
			return Decision{Err: result.New(result.ActionNotRun, "the claim was released").After(maxRetryAfter)}
		}
		return b.grant(op, now)
	case Unknown:
		return b.outcomeUnknown(e, now)
	}
	if e.Claim == op.Claim {
		return Decision{Granted: true}
	}
	if wait := e.Until - now.UnixMilli(); wait >= 0 {
		after := min(time.Duration(wait+1)*time.Millisecond, maxRetryAfter)
		return Decision{Err: result.New(result.ActionInProgress, "claimed by another request").Ran(result.RunUnknown).After(after)}
	}
	return b.outcomeUnknown(e, now)
}

// outcomeUnknown returns the decision for a key whose earlier claim has an
// unknown outcome: the claim to resolve, and the error to return until it is
// resolved.
func (b *Bucket) outcomeUnknown(e Entry, now time.Time) Decision {
	err := result.New(result.ActionUnknown, "the outcome of the earlier request is not known").Ran(result.RunUnknown)
	if wait := b.resolvableAfter(e).Sub(now); wait > 0 {
		err = err.After(wait)
	}
	return Decision{Unresolved: e.Claim, Err: err}
}

// resolvableAfter returns the time after which the service has certainly started
// every request of a claim that reached it. Twice the clock error is added,
// since the claimer and the resolving instance may both be off.
func (b *Bucket) resolvableAfter(e Entry) time.Time {
	return time.UnixMilli(e.Until).Add(b.cfg.MaxDeliveryDelay.Std() + 2*b.cfg.Skew.Std())
}

// recordOutcome records the outcome of a claim. An outcome that the claimer
// reports is also recorded if the claim has no entry, so that a delayed write of
// that claim is not granted later.
func (b *Bucket) recordOutcome(op Operation, e Entry, found bool, now time.Time) Decision {
	if !found && op.FromService {
		return Decision{}
	}
	if !found {
		e = Entry{Key: op.Key, Fingerprint: op.Fingerprint, Claim: op.Claim, State: Running, ClaimedAt: now.UnixMilli(), Until: op.Until.UnixMilli()}
	}
	if e.Claim != op.Claim || !b.mayTransition(e, op) {
		return Decision{}
	}
	e.State = op.State
	if op.State == Done {
		e.Answer = b.limitBody(op.Answer)
	}
	b.put(e)
	return Decision{}
}

// mayTransition reports whether the state of a claim may change to that of op.
// Done overrides every other state. NotRun is accepted from the claimer, and
// from the service if it was asked when no request of the claim could still be
// in transit.
func (b *Bucket) mayTransition(e Entry, op Operation) bool {
	switch op.State {
	case Done:
		return e.State != Done
	case NotRun:
		if op.FromService {
			return e.State != Done && e.State != NotRun && op.AskedAt.After(b.resolvableAfter(e))
		}
		return e.State == Running
	}
	return e.State == Running
}

// limitBody returns the answer to store, without its body if that is larger
// than MaxAnswer.
func (b *Bucket) limitBody(a Answer) *Answer {
	if len(a.Body) > b.cfg.MaxAnswer {
		a.Body = nil
		a.Omitted = true
	}
	return &a
}

package claim

import (
	"time"

	"crocuslug/result"
)

// retryAfter is the longest wait that a caller is asked for while the action
// is in progress or the bucket is full.
const retryAfter = 2 * time.Second

// Apply evaluates an operation on the state and returns its verdict. Verdicts
// hold only once the head is written, if Changed reports a change.
func (b *Book) Apply(op Operation, now time.Time) Verdict {
	e, ok := b.entries[op.Key]
	if ok && b.expired(e.Taken, now) {
		ok = false
	}
	if op.State != Running {
		return b.settle(op, e, ok, now)
	}
	if v := b.admit(op, now); v.Err != nil {
		return v
	}
	if !ok {
		return b.take(op, now)
	}
	return b.again(op, e, now)
}

// admit refuses claims that are late, undated where a date is needed, or of a
// key whose record may be gone.
func (b *Book) admit(op Operation, now time.Time) Verdict {
	switch {
	case !now.Before(op.StartBy):
		return Verdict{Err: result.New(result.ActionNotRun, "the claim came too late to run").After(retryAfter)}
	case op.Issued.IsZero() && b.cfg.Dated:
		return refuse(result.KeyMissing, "the key needs its issue time")
	case op.Issued.IsZero():
		return Verdict{}
	case op.Issued.After(now.Add(b.cfg.Skew.Std())):
		return refuse(result.Malformed, "the key's issue time is in the future")
	case now.Sub(op.Issued) > b.cfg.Retention.Std():
		return refuse(result.KeyExpired, "the key was issued before the retention period")
	}
	return Verdict{}
}

func (b *Book) take(op Operation, now time.Time) Verdict {
	if len(b.entries) >= b.cfg.MaxKeys {
		b.evict(now)
	}
	if len(b.entries) >= b.cfg.MaxKeys {
		return Verdict{Err: result.New(result.ActionNotRun, "the record of actions is full").After(retryAfter)}
	}
	b.put(Entry{
		Key: op.Key, Fingerprint: op.Fingerprint, Claim: op.Claim, State: Running,
		Taken: now.UnixMilli(), Until: op.Until.UnixMilli(),
	})
	return Verdict{Granted: true}
}

// again evaluates a claim of a key that has an entry.
func (b *Book) again(op Operation, e Entry, now time.Time) Verdict {
	if e.Fingerprint != op.Fingerprint {
		return refuse(result.KeyConflict, "the key belongs to another request")
	}
	switch e.State {
	case Done:
		return Verdict{Answer: e.Answer}
	case NotRun:
		if e.Claim == op.Claim {
			return Verdict{Err: result.New(result.ActionNotRun, "the claim was released").After(retryAfter)}
		}
		return b.take(op, now)
	case Unknown:
		return b.unknown(e, now)
	}
	if e.Claim == op.Claim {
		return Verdict{Granted: true}
	}
	if wait := e.Until - now.UnixMilli(); wait >= 0 {
		after := min(time.Duration(wait+1)*time.Millisecond, retryAfter)
		return Verdict{Err: result.New(result.ActionInProgress, "claimed by another request").Ran(result.RunUnknown).After(after)}
	}
	return b.unknown(e, now)
}

// unknown names the claim to resolve, and the answer while it is not resolved.
func (b *Book) unknown(e Entry, now time.Time) Verdict {
	err := result.New(result.ActionUnknown, "the outcome of the earlier request is not known").Ran(result.RunUnknown)
	if wait := b.settled(e).Sub(now); wait > 0 {
		err = err.After(wait)
	}
	return Verdict{Resolve: e.Claim, Err: err}
}

// settled returns when the service has begun whatever it received of a claim.
func (b *Book) settled(e Entry) time.Time {
	return time.UnixMilli(e.Until).Add(b.cfg.Settle.Std() + 2*b.cfg.Skew.Std())
}

// settle records the outcome of a claim. A claim that was never seen is
// recorded as released, so that a late write of it is not granted.
func (b *Book) settle(op Operation, e Entry, ok bool, now time.Time) Verdict {
	if !ok && op.Resolve {
		return Verdict{}
	}
	if !ok {
		e = Entry{Key: op.Key, Fingerprint: op.Fingerprint, Claim: op.Claim, State: Running, Taken: now.UnixMilli(), Until: op.Until.UnixMilli()}
	}
	if e.Claim != op.Claim || !b.mayBecome(e, op) {
		return Verdict{}
	}
	e.State = op.State
	if op.State == Done {
		e.Answer = b.bounded(op.Answer)
	}
	b.put(e)
	return Verdict{}
}

// mayBecome reports whether the state of a claim may change as op says. That
// an action was run stands against every other state; that it was not run is
// taken from the claimer, or from the service if it was asked once nothing
// could be on its way.
func (b *Book) mayBecome(e Entry, op Operation) bool {
	switch op.State {
	case Done:
		return e.State != Done
	case NotRun:
		if op.Resolve {
			return e.State != Done && e.State != NotRun && op.Asked.After(b.settled(e))
		}
		return e.State == Running
	}
	return e.State == Running
}

// bounded returns the answer to store. A body above the bound is left out.
func (b *Book) bounded(a Answer) *Answer {
	if len(a.Body) > b.cfg.MaxAnswer {
		a.Body = nil
		a.Omitted = true
	}
	return &a
}

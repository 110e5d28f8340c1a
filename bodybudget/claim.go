package bodybudget

import (
	"runtime"
	"time"
)

// phase is what happens to the body or the answer of a request.
type phase uint8

// Phases of a claim. A claim can be evicted while its body is read or its answer is written.
const (
	idle    phase = iota // no request is in progress
	reading              // the body of the request is being read; it was not passed on
	held                 // the request was passed on
	writing              // the answer is being written to the caller
)

// State is the outcome of a Take.
type State uint8

// States of a Verdict.
const (
	Granted  State = iota // the bytes were taken
	Waiting               // ask again once Ready receives or Verdict.Wait has passed
	Refused               // the body gave way
	TooLarge              // the body exceeds the whole budget
)

// Verdict is the answer to a Take.
type Verdict struct {
	State State
	Wait  time.Duration
	// Collect asks the caller, while it waits, to run a garbage collection and to call Budget.Collected.
	Collect bool
}

// Claim is the part of a budget that one request holds. The zero value belongs to no budget, and is granted
// everything.
type Claim struct {
	budget *Budget
	evict  func(writing bool)
	ready  chan struct{}

	phase    phase
	size     int64     // bytes taken
	wanted   int64     // bytes asked for by the last Take
	progress time.Time // when the body last asked for bytes or got some, or the answer went on
	waits    time.Time // when it began to wait for bytes; zero if it does not
	evicted  bool

	previous, next *Claim // in Budget.stalled
}

// Attach makes c a claim on b, which may be nil. Evict is called, with the lock held, when the claim has to give
// way: the owner must stop what it waits for, and Release the claim. Writing is false if the request was not passed
// on. Evict must not block or call methods of b or c.
func (c *Claim) Attach(b *Budget, evict func(writing bool)) { c.budget, c.evict = b, evict }

// Open begins the request, whose body is read next. It is called once. A body of up to largest bytes is served if nothing else is
// in progress.
func (c *Claim) Open(now time.Time, largest int64) {
	b := c.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.floor = largest
	c.phase, c.progress = reading, now
}

// Ready returns a channel that receives when a claim that waits should ask again. It is valid after Waiting.
func (c *Claim) Ready() <-chan struct{} { return c.ready }

// wake makes Ready receive.
func (c *Claim) wake() {
	select {
	case c.ready <- struct{}{}:
	default: // nobody waits, or it will ask again anyway
	}
}

// Take asks for n bytes, before they are allocated. After Waiting it is called again with the same n.
func (c *Claim) Take(now time.Time, n int64) Verdict {
	b := c.budget
	if b == nil {
		return Verdict{State: Granted}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c.wanted = n
	b.stopWaiting(c)
	if !c.evicted && c.waits.IsZero() {
		c.advance(now)
	}
	switch {
	case c.evicted || c.phase == idle:
		return Verdict{State: Refused}
	case c.phase == reading && c.size+n > b.room(c.size+n):
		return Verdict{State: TooLarge}
	case !b.makeRoom(c, now):
		b.counts.Refused++
		b.giveUp(c)
		return Verdict{State: Refused}
	case b.used+n <= b.room(c.size+n):
	case c.phase != reading && c.overdue(now) && b.used-b.leaving-b.garbage+n > b.room(c.size+n): // nobody else can give way
		b.counts.Exceeded++
	default:
		return b.wait(c, now)
	}
	c.size += n
	b.used += n
	c.waits = time.Time{}
	c.advance(now)
	return Verdict{State: Granted}
}

// Await asks for n bytes as Take does, and waits for them if need be: it calls wait with Ready and the time after
// which it asks again, and runs the garbage collections that are asked for. It does not return Waiting.
func (c *Claim) Await(n int64, now func() time.Time, wait func(ready <-chan struct{}, d time.Duration)) State {
	for {
		v := c.Take(now(), n)
		switch {
		case v.State != Waiting:
			return v.State
		case v.Collect:
			runtime.GC()
			c.budget.Collected()
		default:
			wait(c.Ready(), v.Wait)
		}
	}
}

// makeRoom evicts claims for what c wants. It returns false if it is the turn of c itself to give way.
func (b *Budget) makeRoom(c *Claim, now time.Time) bool {
	for b.used-b.leaving-b.garbage+c.wanted > b.room(c.size+c.wanted) {
		v, overdue := b.stalled.first, c.overdue(now)
		mayRefuse := c.phase == reading
		if v == nil || now.Sub(v.progress) < b.cfg.Patience && (mayRefuse || !overdue) {
			return !mayRefuse || !overdue
		}
		if v == c {
			return false
		}
		b.evict(v)
	}
	return true
}

// overdue reports whether c has waited for longer than Settings.Patience.
func (c *Claim) overdue(now time.Time) bool {
	return !c.waits.IsZero() && now.Sub(c.waits) >= c.budget.cfg.Patience
}

// wait records that c waits, and returns for how long at most.
func (b *Budget) wait(c *Claim, now time.Time) Verdict {
	if c.waits.IsZero() {
		c.waits = now
		c.ready = make(chan struct{}, 1)
		b.counts.Waited++
	}
	b.waiting = append(b.waiting, c)
	until := c.waits.Add(b.cfg.Patience)
	if v := b.stalled.first; v != nil && v.progress.Before(c.waits) {
		until = v.progress.Add(b.cfg.Patience)
	}
	const least = time.Millisecond // evicted claims release their bytes soon
	verdict := Verdict{State: Waiting, Wait: max(least, until.Sub(now))}
	if b.garbage > 0 && b.swept == 0 {
		verdict.Collect, b.swept = true, b.garbage
		b.counts.Collects++
	}
	return verdict
}

// advance records progress.
func (c *Claim) advance(now time.Time) {
	c.progress = now
	if c.size > 0 && (c.phase == reading || c.phase == writing) {
		c.budget.stalled.add(c)
	}
}

// Hold records that the body was read and is about to be passed on, or that a part of the answer was written.
// It returns false if the claim had to give way before.
func (c *Claim) Hold() bool {
	b := c.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stalled.remove(c)
	c.phase = held
	return !c.evicted
}

// Write records that a part of the answer is about to be written, which is progress. It returns false if the claim
// had to give way.
func (c *Claim) Write(now time.Time) bool {
	b := c.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.evicted {
		return false
	}
	if c.phase != idle {
		c.phase = writing
		c.advance(now)
	}
	return true
}

// Give returns n bytes that are not held any more.
func (c *Claim) Give(n int64) {
	if b := c.budget; b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.free(c, n)
	}
}

// Release ends the request and returns all its bytes.
func (c *Claim) Release() {
	b := c.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stalled.remove(c)
	b.stopWaiting(c)
	if n := c.size; b.cfg.Collected && n > b.cfg.Small {
		b.garbage += n
		if c.evicted {
			b.leaving -= n
		}
		c.size = 0
		b.wakeWaiting()
	}
	b.free(c, c.size)
	c.phase, c.evicted = idle, false
}

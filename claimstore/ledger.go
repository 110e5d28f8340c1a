package claimstore

import (
	"context"
	"sync"
	"time"

	"crocuslug/claim"
	"crocuslug/ident"
	"crocuslug/store"
	"crocuslug/timer"
	"crocuslug/unit"
)

// Settings of a Ledger. Zero values mean the defaults.
type Settings struct {
	Claims   claim.Settings
	Interval unit.Duration // mean time between the starts of two writes of a busy bucket; negative means none
	Limit    unit.Duration // longest time that one batch is tried
	MaxBatch int           // operations in one write
}

// Defaults of Settings.
const (
	defaultInterval = 75 * time.Millisecond
	defaultLimit    = 2 * time.Second
	defaultMaxBatch = 500
)

// maxBatchBytes bounds the answers in one write, so that a head stays well
// under the largest value of the service.
const maxBatchBytes = 256 << 10

// Ledger applies operations to the books of all buckets. Its methods may be
// called from any goroutine.
type Ledger struct {
	cfg     Settings
	store   store.Store
	timer   *timer.Service
	self    ident.Instance
	buckets []*bucket
}

// New returns a ledger on store for the instance self.
func New(cfg Settings, store store.Store, t *timer.Service, self ident.Instance) *Ledger {
	cfg.Claims = cfg.Claims.WithDefaults()
	if cfg.Interval == 0 {
		cfg.Interval = unit.Duration(defaultInterval)
	}
	if cfg.Limit == 0 {
		cfg.Limit = unit.Duration(defaultLimit)
	}
	if cfg.MaxBatch == 0 {
		cfg.MaxBatch = defaultMaxBatch
	}
	l := &Ledger{cfg: cfg, store: store, timer: t, self: self}
	for i := range cfg.Claims.Buckets {
		l.buckets = append(l.buckets, newBucket(l, i))
	}
	return l
}

// waiting is an operation with the goroutine that waits for its verdict.
type waiting struct {
	op      claim.Operation
	verdict claim.Verdict
	err     error
	done    chan struct{}
	gone    bool // the goroutine gave up before the operation was written
}

// Do applies an operation and returns its verdict. It returns Unavailable if
// the operation was not written and will not be, and Unknown if it may have
// been written or may still be.
func (l *Ledger) Do(ctx context.Context, op claim.Operation) (claim.Verdict, error) {
	b := l.buckets[l.cfg.Claims.Bucket(op.Key)]
	w := &waiting{op: op, done: make(chan struct{})}
	b.add(w)
	select {
	case <-w.done:
		return w.verdict, w.err
	case <-ctx.Done():
	}
	if b.leave(w) {
		return claim.Verdict{}, store.Unavailable.Wrap(ctx.Err())
	}
	select {
	case <-w.done:
		return w.verdict, w.err
	default:
		return claim.Verdict{}, store.Unknown.Wrap(ctx.Err())
	}
}

// bucket batches the operations of one book.
type bucket struct {
	l    *Ledger
	book *shelf

	mu      sync.Mutex
	waiting []*waiting
	running bool
	next    time.Time // start of the next write at the earliest
}

func newBucket(l *Ledger, n int) *bucket {
	return &bucket{l: l, book: newShelf(l, n)}
}

func (b *bucket) add(w *waiting) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, w)
	if !b.running {
		b.running = true
		go b.run()
	}
}

// leave takes w out if it is not being written yet.
func (b *bucket) leave(w *waiting) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range b.waiting {
		if o == w {
			w.gone = true
			return true
		}
	}
	return false
}

// run writes batches until none waits.
func (b *bucket) run() {
	for {
		b.pause()
		batch := b.batch()
		if batch == nil {
			return
		}
		b.write(batch)
	}
}

// pause waits for the start of the next write.
func (b *bucket) pause() {
	wait := b.next.Sub(b.l.timer.Now())
	if wait <= 0 {
		return
	}
	done := make(chan struct{})
	b.l.timer.After(wait, func(time.Time) { close(done) })
	<-done
}

func (b *bucket) batch() []*waiting {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch []*waiting
	n, bytes := 0, 0
	for n < len(b.waiting) && len(batch) < b.l.cfg.MaxBatch && bytes < maxBatchBytes {
		w := b.waiting[n]
		if !w.gone {
			batch = append(batch, w)
		}
		bytes += len(w.op.Answer.Body)
		n++
	}
	b.waiting = append([]*waiting(nil), b.waiting[n:]...)
	b.running = len(batch) > 0
	return batch
}

// schedule sets the start of the next write after one at now. A bucket that was
// at rest may be written twice in a row, so that a lone action's outcome does
// not wait after its claim.
func (b *bucket) schedule(now time.Time, interval time.Duration) {
	if rested := now.Add(-interval); b.next.Before(rested) {
		b.next = rested
	}
	b.next = b.next.Add(interval)
}

func (b *bucket) write(batch []*waiting) {
	b.schedule(b.l.timer.Now(), b.l.cfg.Interval.Std())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sub := b.l.timer.After(b.l.cfg.Limit.Std(), func(time.Time) { cancel() })
	defer sub.Stop()
	err := b.book.commit(ctx, batch)
	for _, w := range batch {
		w.err = err
		close(w.done)
	}
}

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
	BatchTimeout    unit.Duration // longest time that one batch is tried
	MaxBatch int           // operations in one write
}

// Defaults of Settings.
const (
	defaultInterval = 75 * time.Millisecond
	defaultBatchTimeout    = 2 * time.Second
	defaultMaxBatch = 500
)

// maxBatchBytes bounds the answers in one write, so that a head stays well
// under the largest value of the service.
const maxBatchBytes = 256 << 10

// Store applies operations to the books of all buckets. Its methods may be
// called from any goroutine.
type Store struct {
	cfg     Settings
	kv   store.Store
	timer   *timer.Service
	self    ident.Instance
	batchers []*batcher
}

// New returns a ledger on store for the instance self.
func New(cfg Settings, kv store.Store, t *timer.Service, self ident.Instance) *Store {
	cfg.Claims = cfg.Claims.WithDefaults()
	if cfg.Interval == 0 {
		cfg.Interval = unit.Duration(defaultInterval)
	}
	if cfg.BatchTimeout == 0 {
		cfg.BatchTimeout = unit.Duration(defaultBatchTimeout)
	}
	if cfg.MaxBatch == 0 {
		cfg.MaxBatch = defaultMaxBatch
	}
	l := &Store{cfg: cfg, kv: kv, timer: t, self: self}
	for i := range cfg.Claims.Buckets {
		l.batchers = append(l.batchers, newBatcher(l, i))
	}
	return l
}

// pendingOperation is an operation with the goroutine that waits for its verdict.
type pendingOperation struct {
	op      claim.Operation
	verdict claim.Decision
	err     error
	done    chan struct{}
	abandoned    bool // the goroutine gave up before the operation was written
}

// Apply applies an operation and returns its verdict. It returns Unavailable if
// the operation was not written and will not be, and Unknown if it may have
// been written or may still be.
func (l *Store) Apply(ctx context.Context, op claim.Operation) (claim.Decision, error) {
	b := l.batchers[l.cfg.Claims.BucketIndex(op.Key)]
	w := &pendingOperation{op: op, done: make(chan struct{})}
	b.add(w)
	select {
	case <-w.done:
		return w.verdict, w.err
	case <-ctx.Done():
	}
	if b.abandon(w) {
		return claim.Decision{}, store.Unavailable.Wrap(ctx.Err())
	}
	select {
	case <-w.done:
		return w.verdict, w.err
	default:
		return claim.Decision{}, store.Unknown.Wrap(ctx.Err())
	}
}

// batcher batches the operations of one book.
type batcher struct {
	store    *Store
	record *bucketRecord

	mu      sync.Mutex
	queue []*pendingOperation
	running bool
	nextWrite    time.Time // start of the next write at the earliest
}

func newBatcher(l *Store, n int) *batcher {
	return &batcher{store: l, record: newBucketRecord(l, n)}
}

func (b *batcher) add(w *pendingOperation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, w)
	if !b.running {
		b.running = true
		go b.run()
	}
}

// abandon takes w out if it is not being written yet.
func (b *batcher) abandon(w *pendingOperation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range b.queue {
		if o == w {
			w.abandoned = true
			return true
		}
	}
	return false
}

// run writes batches until none waits.
func (b *batcher) run() {
	for {
		b.waitForNextWrite()
		batch := b.nextBatch()
		if batch == nil {
			return
		}
		b.write(batch)
	}
}

// waitForNextWrite waits for the start of the next write.
func (b *batcher) waitForNextWrite() {
	wait := b.nextWrite.Sub(b.store.timer.Now())
	if wait <= 0 {
		return
	}
	done := make(chan struct{})
	b.store.timer.After(wait, func(time.Time) { close(done) })
	<-done
}

func (b *batcher) nextBatch() []*pendingOperation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch []*pendingOperation
	n, bytes := 0, 0
	for n < len(b.queue) && len(batch) < b.store.cfg.MaxBatch && bytes < maxBatchBytes {
		w := b.queue[n]
		if !w.abandoned {
			batch = append(batch, w)
		}
		bytes += len(w.op.Answer.Body)
		n++
	}
	b.queue = append([]*pendingOperation(nil), b.queue[n:]...)
	b.running = len(batch) > 0
	return batch
}

// schedule sets the start of the next write after one at now. A bucket that was
// at rest may be written twice in a row, so that a lone action's outcome does
// not wait after its claim.
func (b *batcher) schedule(now time.Time, interval time.Duration) {
	if rested := now.Add(-interval); b.nextWrite.Before(rested) {
		b.nextWrite = rested
	}
	b.nextWrite = b.nextWrite.Add(interval)
}

func (b *batcher) write(batch []*pendingOperation) {
	b.schedule(b.store.timer.Now(), b.store.cfg.Interval.Std())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sub := b.store.timer.After(b.store.cfg.BatchTimeout.Std(), func(time.Time) { cancel() })
	defer sub.Stop()
	err := b.record.commit(ctx, batch)
	for _, w := range batch {
		w.err = err
		close(w.done)
	}
}

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

// Settings are the settings of a Store. Zero values mean the defaults.
type Settings struct {
	Claims       claim.Settings
	Interval     unit.Duration // mean time between the starts of two writes of a busy bucket; negative means no limit
	BatchTimeout unit.Duration // time limit of writing one batch, including retries
	MaxBatch     int           // largest number of operations in one write
}

// Defaults of Settings.
const (
	defaultInterval     = 75 * time.Millisecond
	defaultBatchTimeout = 2 * time.Second
	defaultMaxBatch     = 500
)

// maxBatchBytes bounds the response bodies in one write, so that a head stays
// well below the largest value that the service accepts.
const maxBatchBytes = 256 << 10

// Store applies operations to all buckets of claims in a key-value service. Its
// methods may be called from any goroutine.
type Store struct {
	cfg      Settings
	kv       store.Store
	timer    *timer.Service
	self     ident.Instance
	batchers []*batcher
}

// New returns a Store for the instance self that keeps its records in kv.
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
	s := &Store{cfg: cfg, kv: kv, timer: t, self: self}
	for i := range cfg.Claims.Buckets {
		s.batchers = append(s.batchers, newBatcher(s, i))
	}
	return s
}

// pendingOperation is an operation whose decision a goroutine waits for.
type pendingOperation struct {
	op        claim.Operation
	decision  claim.Decision
	err       error
	done      chan struct{}
	abandoned bool // the goroutine stopped waiting before the operation was written
}

// Apply applies an operation and returns the decision. It returns
// store.Unavailable if the operation was not written and never will be, and
// store.Unknown if it may have been written or may still be written.
func (s *Store) Apply(ctx context.Context, op claim.Operation) (claim.Decision, error) {
	b := s.batchers[s.cfg.Claims.BucketIndex(op.Key)]
	p := &pendingOperation{op: op, done: make(chan struct{})}
	b.add(p)
	select {
	case <-p.done:
		return p.decision, p.err
	case <-ctx.Done():
	}
	if b.abandon(p) {
		return claim.Decision{}, store.Unavailable.Wrap(ctx.Err())
	}
	select {
	case <-p.done:
		return p.decision, p.err
	default:
		return claim.Decision{}, store.Unknown.Wrap(ctx.Err())
	}
}

// batcher writes the operations of one bucket in batches.
type batcher struct {
	store  *Store
	record *bucketRecord

	mu        sync.Mutex
	queue     []*pendingOperation
	running   bool
	nextWrite time.Time // earliest start of the next write
}

func newBatcher(s *Store, n int) *batcher {
	return &batcher{store: s, record: newBucketRecord(s, n)}
}

func (b *batcher) add(p *pendingOperation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, p)
	if !b.running {
		b.running = true
		go b.run()
	}
}

// abandon marks p so that it is not written. It returns false if p is already
// being written.
func (b *batcher) abandon(p *pendingOperation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range b.queue {
		if q == p {
			p.abandoned = true
			return true
		}
	}
	return false
}

// run writes batches until the queue is empty.
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

// waitForNextWrite waits until the next write may start.
func (b *batcher) waitForNextWrite() {
	wait := b.nextWrite.Sub(b.store.timer.Now())
	if wait <= 0 {
		return
	}
	done := make(chan struct{})
	b.store.timer.After(wait, func(time.Time) { close(done) })
	<-done
}

// nextBatch removes the next batch from the queue. It returns nil if there is
// none; the batcher is then no longer running.
func (b *batcher) nextBatch() []*pendingOperation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch []*pendingOperation
	n, bytes := 0, 0
	for n < len(b.queue) && len(batch) < b.store.cfg.MaxBatch && bytes < maxBatchBytes {
		p := b.queue[n]
		if !p.abandoned {
			batch = append(batch, p)
		}
		bytes += len(p.op.Answer.Body)
		n++
	}
	b.queue = append([]*pendingOperation(nil), b.queue[n:]...)
	b.running = len(batch) > 0
	return batch
}

// schedule sets the earliest start of the next write after a write at now. An
// idle bucket may be written twice in a row, so that the outcome of a single
// action is not delayed after its claim.
func (b *batcher) schedule(now time.Time, interval time.Duration) {
	if earliest := now.Add(-interval); b.nextWrite.Before(earliest) {
		b.nextWrite = earliest
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
	for _, p := range batch {
		p.err = err
		close(p.done)
	}
}

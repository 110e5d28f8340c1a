// Package rollout connects the distribution of configurations to the platform's
// service, the peers and the clock.
//
// It runs what a distribution.Core decides, holds the watch while the instance
// is one of its failure domain's watchers, and publishes the document in force
// where traffic reads it without a lock.
package rollout

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/configuration"
	"crocuslug/distribution"
	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/revision"
	"crocuslug/store"
	"crocuslug/timer"
	"crocuslug/unit"
)

// Ports are the calls that a Rollout makes. All are required.
type Ports struct {
	// Head returns the newest record, Load its document, as revision.Ledger does.
	Head func(ctx context.Context) (revision.Record, *result.Error)
	Load func(ctx context.Context, rec revision.Record) (configuration.Document, *result.Error)
	// Watch waits for writes, as store.Store does.
	Watch func(ctx context.Context, prefix string, after store.Version) ([]store.Entry, store.Version, error)
	// Notify sends n to a peer and does not block; it may be lost.
	Notify func(to ident.Instance, n distribution.Notice)
	// Pull has the peer's Asked answer a.
	Pull func(ctx context.Context, to ident.Instance, a PageAsk) (Page, error)
	// Report has the peer's Report answer.
	Report func(ctx context.Context, to ident.Instance) (Report, error)
}

// Settings are the bounds of a Rollout. The zero value works.
type Settings struct {
	HeadKey      string // key to watch; "" means "configuration/head"
	Distribution distribution.Settings
	CallTimeout  unit.Duration // time limit of a call to a peer or of a read; 0 means 5 s
	PageBytes    int           // of one page of an answer to a peer; 0 means 128 KiB
	RetryAfter   unit.Duration // pause after a watch that failed; 0 means 1 s
	Log          zerolog.Logger
}

// Report says what is in force at one instance.
type Report struct {
	Instance ident.Instance
	Domain   ident.Domain
	Revision ident.Revision
	CutOff   bool          // keeps its revision without word of the platform's service
	SeenAgo  unit.Duration // age of that word; 0 means none
	Answered bool          // false if the instance did not answer
}

// Defaults of Settings.
const (
	defaultHeadKey     = "configuration/head"
	defaultCallTimeout = 5 * time.Second
	defaultRetryAfter  = time.Second
	defaultPageBytes   = 128 << 10
)

// Rollout keeps the newest configuration in force at one instance. Its methods
// may be called from any goroutine.
type Rollout struct {
	self  distribution.Member
	ports Ports
	timer *timer.Service
	cfg   Settings

	current atomic.Pointer[configuration.Document]
	reading atomic.Bool
	failing atomic.Bool // the last read of the head failed
	changed func(*configuration.Document)

	mu      sync.Mutex
	core    *distribution.Distributor
	members []distribution.Member
	ctx     context.Context
	ended   bool
	encoded encoded
	running sync.WaitGroup
}

// New returns a rollout for self. The seed decides its random choices. If
// changed is not nil it is called, one call at a time and in order of
// revisions, with each document that comes into force; it must not block nor
// call the Rollout.
func New(self distribution.Member, seed uint64, t *timer.Service, ports Ports, changed func(*configuration.Document), cfg Settings) *Rollout {
	if cfg.HeadKey == "" {
		cfg.HeadKey = defaultHeadKey
	}
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = unit.Duration(defaultCallTimeout)
	}
	if cfg.RetryAfter <= 0 {
		cfg.RetryAfter = unit.Duration(defaultRetryAfter)
	}
	if cfg.PageBytes <= 0 {
		cfg.PageBytes = defaultPageBytes
	}
	r := &Rollout{
		self: self, ports: ports, timer: t, cfg: cfg, changed: changed,
		core: distribution.New(self, seed, t.Now(), cfg.Distribution),
		ctx:  context.Background(),
	}
	r.current.Store(&configuration.Document{})
	return r
}

// Current returns the document in force, with revision 0 if there is none yet.
// It must not be changed.
func (r *Rollout) Current() *configuration.Document {
	return r.current.Load()
}

// tickInterval is the time between two ticks of the core.
const tickInterval = time.Second

// Run distributes until ctx ends, and returns when its goroutines have.
func (r *Rollout) Run(ctx context.Context) {
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	sub := r.timer.Every(tickInterval, func(now time.Time) {
		r.step(func() []distribution.Action { return r.core.Tick(now) })
	})
	r.watch(ctx)
	sub.Stop()
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.running.Wait()
}

// Accepted takes the record of a confirmation that was made here and puts its
// document in force, unless a later one is. It does not wait for that.
func (r *Rollout) Accepted(rec revision.Record) {
	r.mu.Lock()
	ctx := r.ctx
	r.mu.Unlock()
	if rec.Revision > r.Current().Revision {
		r.goDo(ctx, func() { r.load(ctx, rec) })
	}
}

func (r *Rollout) load(ctx context.Context, rec revision.Record) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout.Std())
	defer cancel()
	doc, err := r.ports.Load(ctx, rec)
	if err != nil {
		r.cfg.Log.Warn().Err(err).Uint64("Revision", uint64(rec.Revision)).Msg("configuration not read")
		return
	}
	r.step(func() []distribution.Action { return r.core.HandleDocument(r.timer.Now(), doc) })
}

// Received takes a notice of a peer.
func (r *Rollout) Received(from ident.Instance, n distribution.Notice) {
	r.step(func() []distribution.Action { return r.core.HandleNotice(r.timer.Now(), from, n) })
}

// SetMembers replaces the live instances.
func (r *Rollout) SetMembers(members []distribution.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = append([]distribution.Member(nil), members...)
	r.core.SetMembers(members)
}

// Report says what is in force here.
func (r *Rollout) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	return Report{
		Instance: r.self.Instance,
		Domain:   r.self.Domain,
		Revision: r.core.Revision(),
		CutOff:   r.core.CutOff(now),
		SeenAgo:  unit.Duration(r.core.StoreContactAge(now)),
		Answered: true,
	}
}

// step has the core decide under the lock and runs what it wants done. A
// document is published under the lock, so that none overtakes a later one.
func (r *Rollout) step(decide func() []distribution.Action) {
	r.mu.Lock()
	actions := decide()
	ctx := r.ctx
	for _, a := range actions {
		if a.Publish != nil {
			r.publish(a.Publish)
		}
	}
	r.mu.Unlock()
	for _, a := range actions {
		r.run(ctx, a)
	}
}

func (r *Rollout) publish(doc *configuration.Document) {
	r.current.Store(doc)
	r.cfg.Log.Info().Uint64("Revision", uint64(doc.Revision)).Msg("configuration in force")
	if r.changed != nil {
		r.changed(doc)
	}
}

func (r *Rollout) run(ctx context.Context, a distribution.Action) {
	switch {
	case a.Notify != nil:
		r.ports.Notify(a.To, *a.Notify)
	case a.Pull != nil:
		r.goDo(ctx, func() { r.pull(ctx, a.To, *a.Pull) })
	case a.ReadHead:
		r.goDo(ctx, func() { r.readHead(ctx) })
	}
}

// goDo runs f on a goroutine unless the rollout has ended.
func (r *Rollout) goDo(ctx context.Context, f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || ctx.Err() != nil {
		return
	}
	r.running.Go(f)
}

func (r *Rollout) pull(ctx context.Context, to ident.Instance, ask distribution.PullRequest) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout.Std())
	defer cancel()
	answer, err := r.fetch(ctx, to, ask)
	r.step(func() []distribution.Action {
		if err != nil {
			r.core.HandlePullFailure()
			return nil
		}
		return r.core.HandlePullResponse(r.timer.Now(), to, answer)
	})
}

// readHead reads the head, and its document if it is newer. Reads that are
// wanted while one runs are dropped; the next tick or watch wants them again.
func (r *Rollout) readHead(ctx context.Context) {
	if !r.reading.CompareAndSwap(false, true) {
		return
	}
	defer r.reading.Store(false)
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout.Std())
	defer cancel()
	rec, err := r.ports.Head(ctx)
	r.logRead(err)
	if err != nil {
		return
	}
	if rec.Revision <= r.Current().Revision {
		r.step(func() []distribution.Action {
			r.core.HandleHead(r.timer.Now(), rec.Revision)
			return nil
		})
		return
	}
	r.load(ctx, rec)
}

// logRead logs the first of several failures in a row, and their end.
func (r *Rollout) logRead(err *result.Error) {
	failed := err != nil
	if r.failing.Swap(failed) == failed {
		return
	}
	if failed {
		r.cfg.Log.Warn().Err(err).Msg("configuration head cannot be read; the revision in force stays")
		return
	}
	r.cfg.Log.Info().Msg("configuration head can be read again")
}

// watch holds a watch while the instance is a watcher. Each return of the watch
// is followed by a read of the head, also when it names no write.
func (r *Rollout) watch(ctx context.Context) {
	var after store.Version
	r.mu.Lock()
	delay := r.core.StartDelay()
	r.mu.Unlock()
	r.pause(ctx, delay)
	for ctx.Err() == nil {
		r.mu.Lock()
		watching := r.core.ShouldWatch()
		r.mu.Unlock()
		if !watching {
			r.pause(ctx, tickInterval)
			continue
		}
		r.readHead(ctx)
		_, next, err := r.ports.Watch(ctx, r.cfg.HeadKey, after)
		if err != nil {
			r.pause(ctx, r.cfg.RetryAfter.Std())
			continue
		}
		after = next
	}
}

func (r *Rollout) pause(ctx context.Context, d time.Duration) {
	done := make(chan struct{})
	sub := r.timer.After(d, func(time.Time) { close(done) })
	defer sub.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

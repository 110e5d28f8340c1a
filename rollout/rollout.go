// Package rollout connects the distribution of configurations to the platform's
// key-value service, the peers and the clock.
//
// It performs the actions that a distribution.Distributor returns, holds a watch
// while the instance is one of the watchers of its failure domain, and publishes
// the document in force so that request handlers can read it without a lock.
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

// Dependencies are the functions that a Rollout calls. All are required.
type Dependencies struct {
	// Head returns the newest record and Load its document, as those of
	// revision.Store do.
	Head func(ctx context.Context) (revision.Record, *result.Error)
	Load func(ctx context.Context, rec revision.Record) (configuration.Document, *result.Error)
	// Watch waits for writes, as that of store.Store does.
	Watch func(ctx context.Context, prefix string, after store.Version) ([]store.Entry, store.Version, error)
	// Notify sends n to a peer without blocking. The notice may be lost.
	Notify func(to ident.Instance, n distribution.Notice)
	// Pull returns the result of AnswerPull at a peer.
	Pull func(ctx context.Context, to ident.Instance, a PageRequest) (Page, error)
	// Report returns the result of Report at a peer.
	Report func(ctx context.Context, to ident.Instance) (Report, error)
}

// Settings are the settings of a Rollout. The zero value selects the defaults.
type Settings struct {
	HeadKey      string // key to watch; "" means "configuration/head"
	Distribution distribution.Settings
	CallTimeout  unit.Duration // time limit of a call to a peer or of a read; 0 means 5 s
	PageBytes    int           // size of one page of a response to a peer; 0 means 128 KiB
	RetryAfter   unit.Duration // delay after a watch failed; 0 means 1 s
	Log          zerolog.Logger
}

// Report describes the configuration in force at one instance.
type Report struct {
	Instance ident.Instance
	Domain   ident.Domain
	Revision ident.Revision
	CutOff   bool          // has no contact to the key-value service, directly or through peers
	SeenAgo  unit.Duration // age of the last known contact to the key-value service; 0 means none
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
	deps  Dependencies
	timer *timer.Service
	cfg   Settings

	current     atomic.Pointer[configuration.Document]
	reading     atomic.Bool
	readFailing atomic.Bool // whether the last read of the head failed
	onChange    func(*configuration.Document)

	mu           sync.Mutex
	distributor  *distribution.Distributor
	members      []distribution.Member
	ctx          context.Context
	ended        bool
	lastResponse encodedResponse
	running      sync.WaitGroup
}

// New returns a Rollout for self. Its random choices are determined by seed. If
// onChange is not nil, it is called with each document that comes into force, one
// call at a time and in order of revisions. It must neither block nor call the
// Rollout.
func New(self distribution.Member, seed uint64, t *timer.Service, deps Dependencies, onChange func(*configuration.Document), cfg Settings) *Rollout {
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
		self: self, deps: deps, timer: t, cfg: cfg, onChange: onChange,
		distributor: distribution.New(self, seed, t.Now(), cfg.Distribution),
		ctx:         context.Background(),
	}
	r.current.Store(&configuration.Document{})
	return r
}

// Current returns the document in force. Its revision is 0 if there is none yet.
// The document must not be modified.
func (r *Rollout) Current() *configuration.Document {
	return r.current.Load()
}

// tickInterval is the time between two calls of Distributor.Tick.
const tickInterval = time.Second

// Run distributes configurations until ctx ends, and returns when all its
// goroutines have ended.
func (r *Rollout) Run(ctx context.Context) {
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	sub := r.timer.Every(tickInterval, func(now time.Time) {
		r.update(func() []distribution.Action { return r.distributor.Tick(now) })
	})
	r.watch(ctx)
	sub.Stop()
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.running.Wait()
}

// HandleConfirmed loads the document of a change that was confirmed at this
// instance and puts it in force, unless a later one is in force. It does not wait
// for that.
func (r *Rollout) HandleConfirmed(rec revision.Record) {
	r.mu.Lock()
	ctx := r.ctx
	r.mu.Unlock()
	if rec.Revision > r.Current().Revision {
		r.spawn(ctx, func() { r.load(ctx, rec) })
	}
}

func (r *Rollout) load(ctx context.Context, rec revision.Record) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout.Std())
	defer cancel()
	doc, err := r.deps.Load(ctx, rec)
	if err != nil {
		r.cfg.Log.Warn().Err(err).Uint64("Revision", uint64(rec.Revision)).Msg("document of a configuration cannot be read; the revision in force stays")
		return
	}
	r.update(func() []distribution.Action { return r.distributor.HandleDocument(r.timer.Now(), doc) })
}

// HandleNotice handles a notice from a peer.
func (r *Rollout) HandleNotice(from ident.Instance, n distribution.Notice) {
	r.update(func() []distribution.Action { return r.distributor.HandleNotice(r.timer.Now(), from, n) })
}

// SetMembers replaces the list of live instances.
func (r *Rollout) SetMembers(members []distribution.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = append([]distribution.Member(nil), members...)
	r.distributor.SetMembers(members)
}

// Report describes the configuration in force at this instance.
func (r *Rollout) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.timer.Now()
	return Report{
		Instance: r.self.Instance,
		Domain:   r.self.Domain,
		Revision: r.distributor.Revision(),
		CutOff:   r.distributor.CutOff(now),
		SeenAgo:  unit.Duration(r.distributor.StoreContactAge(now)),
		Answered: true,
	}
}

// update calls decide with the lock held and performs the actions that it
// returns. Documents are published with the lock held, so that an older one
// cannot replace a newer one.
func (r *Rollout) update(decide func() []distribution.Action) {
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
		r.perform(ctx, a)
	}
}

func (r *Rollout) publish(doc *configuration.Document) {
	r.current.Store(doc)
	r.cfg.Log.Info().Uint64("Revision", uint64(doc.Revision)).Msg("configuration in force")
	if r.onChange != nil {
		r.onChange(doc)
	}
}

func (r *Rollout) perform(ctx context.Context, a distribution.Action) {
	switch {
	case a.Notify != nil:
		r.deps.Notify(a.To, *a.Notify)
	case a.Pull != nil:
		r.spawn(ctx, func() { r.pull(ctx, a.To, *a.Pull) })
	case a.ReadHead:
		r.spawn(ctx, func() { r.readHead(ctx) })
	}
}

// spawn runs f in a goroutine unless the Rollout has ended.
func (r *Rollout) spawn(ctx context.Context, f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || ctx.Err() != nil {
		return
	}
	r.running.Go(f)
}

func (r *Rollout) pull(ctx context.Context, to ident.Instance, request distribution.PullRequest) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout.Std())
	defer cancel()
	response, err := r.fetch(ctx, to, request)
	r.update(func() []distribution.Action {
		if err != nil {
			r.distributor.HandlePullFailure()
			return nil
		}
		return r.distributor.HandlePullResponse(r.timer.Now(), to, response)
	})
}

// readHead reads the head, and its document if that is newer than the current
// one. If a read is in progress already, it does nothing; the next tick or watch
// will ask for a read again.
func (r *Rollout) readHead(ctx context.Context) {
	if !r.reading.CompareAndSwap(false, true) {
		return
	}
	defer r.reading.Store(false)
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout.Std())
	defer cancel()
	rec, err := r.deps.Head(ctx)
	r.logHeadRead(err)
	if err != nil {
		return
	}
	if rec.Revision <= r.Current().Revision {
		r.update(func() []distribution.Action {
			r.distributor.HandleHead(r.timer.Now(), rec.Revision)
			return nil
		})
		return
	}
	r.load(ctx, rec)
}

// logHeadRead logs the first of consecutive failures to read the head, and the
// first success after them.
func (r *Rollout) logHeadRead(err *result.Error) {
	failed := err != nil
	if r.readFailing.Swap(failed) == failed {
		return
	}
	if failed {
		r.cfg.Log.Warn().Err(err).Msg("configuration head cannot be read; the revision in force stays")
		return
	}
	r.cfg.Log.Info().Msg("configuration head can be read again")
}

// watch holds a watch while the instance is a watcher. After each return of the
// watch the head is read, even if the watch reports no write.
func (r *Rollout) watch(ctx context.Context) {
	var after store.Version
	r.mu.Lock()
	delay := r.distributor.StartDelay()
	r.mu.Unlock()
	r.sleep(ctx, delay)
	for ctx.Err() == nil {
		r.mu.Lock()
		watching := r.distributor.ShouldWatch()
		r.mu.Unlock()
		if !watching {
			r.sleep(ctx, tickInterval)
			continue
		}
		r.readHead(ctx)
		_, next, err := r.deps.Watch(ctx, r.cfg.HeadKey, after)
		if err != nil {
			r.sleep(ctx, r.cfg.RetryAfter.Std())
			continue
		}
		after = next
	}
}

func (r *Rollout) sleep(ctx context.Context, d time.Duration) {
	done := make(chan struct{})
	sub := r.timer.After(d, func(time.Time) { close(done) })
	defer sub.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

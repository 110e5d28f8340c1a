package measureoperator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"crocuslug/ident"
	"crocuslug/revision"
	"crocuslug/store"
	"crocuslug/timer"
)

// pollInterval is the interval at which the naive version polls the key-value service.
const pollInterval = time.Second

// poller is an instance of the naive version. It reads the head of the configuration
// from the service at each pollInterval and has no peers.
type poller struct {
	ledger   *revision.Store
	timer    *timer.Service
	revision atomic.Uint64
	stop     context.CancelFunc
	running  sync.WaitGroup
}

// startPoller starts a poller whose first poll comes after delay.
func startPoller(store store.Store, t *timer.Service, delay time.Duration) *poller {
	ctx, cancel := context.WithCancel(context.Background())
	p := &poller{ledger: revision.New(store, t.Now, revision.Settings{}), timer: t, stop: cancel}
	p.running.Go(func() {
		sleep(ctx, t, delay)
		for ctx.Err() == nil {
			p.poll(ctx)
			sleep(ctx, t, pollInterval)
		}
	})
	return p
}

func (p *poller) poll(ctx context.Context) {
	rec, err := p.ledger.Head(ctx)
	if err != nil || uint64(rec.Revision) <= p.revision.Load() {
		return
	}
	if doc, err := p.ledger.Load(ctx, rec); err == nil {
		p.revision.Store(uint64(doc.Revision))
	}
}

// Revision returns the revision that the poller loaded last.
func (p *poller) Revision() ident.Revision {
	return ident.Revision(p.revision.Load())
}

func (p *poller) close() {
	p.stop()
	p.running.Wait()
}

func sleep(ctx context.Context, t *timer.Service, d time.Duration) {
	done := make(chan struct{})
	sub := t.After(d, func(time.Time) { close(done) })
	defer sub.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/cooldown"
	"crocuslug/directory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/timer"
)

// settleTime is given to work that another goroutine does at a time of the virtual clock.
const settleTime = 50 * time.Millisecond

// probedEngine is an engine that receives only probes.
type probedEngine struct {
	answers  atomic.Bool   // probes are answered; else their connections end
	holds    atomic.Bool   // probes are neither answered nor ended
	received chan struct{} // a probe has arrived
}

func (e *probedEngine) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	e.received <- struct{}{}
	if e.holds.Load() {
		<-r.Context().Done()
	}
	if !e.answers.Load() {
		panic(http.ErrAbortHandler)
	}
}

// probeTest is an attempt at a probedEngine whose probes are sent by a virtual clock.
type probeTest struct {
	t       *testing.T
	engine  *probedEngine
	clock   *timer.Service
	rests   *cooldown.Tracker
	attempt context.Context
	stop    context.CancelFunc
}

func newProbeTest(t *testing.T, p patience) *probeTest {
	t.Helper()
	e := &probedEngine{received: make(chan struct{}, 100)}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	clock := timer.NewVirtual(time.Now())
	u := directory.Upstream{ID: "a", Service: "s", Address: server.Listener.Addr().String(), Slots: 64}
	f := fleet.New(fleet.Settings{}, func() uint64 { return 0 }, zerolog.Nop())
	f.SetUpstreams([]directory.Upstream{u}, func(ident.Service) int { return 0 }, clock.Now())
	client := exchange.New(exchange.Settings{}, clock)
	t.Cleanup(client.Close)
	d := New(Settings{}, testDependencies(testProtocol(), f, client, clock, zerolog.Nop()))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	attempt, stop := d.withProbes(ctx, u, p)
	t.Cleanup(stop)
	d.rests.SetUpstreams([]directory.Upstream{u})
	return &probeTest{t, e, clock, d.rests, attempt, stop}
}

// probe lets the next probe be sent and waits until it has arrived.
func (p *probeTest) probe() {
	p.t.Helper()
	p.clock.Advance(probeInterval)
	select {
	case <-p.engine.received:
	case <-time.After(waitLimit):
		p.t.Fatal("probes received: got none, want one")
	}
	time.Sleep(settleTime)
}

const waitLimit = 20 * time.Second // for events that must happen, also on a machine under heavy load

// TestProbesAnswered guards against engines that are left because of one unanswered probe though
// they have answered those before, and against engines that are never left.
func TestProbesAnswered(t *testing.T) {
	t.Parallel()
	const (
		answered = 6
		longest  = 5 * probeInterval
	)
	p := newProbeTest(t, patience{mayMove: true, longest: longest, hasOther: func() bool { return true }})
	p.engine.answers.Store(true)
	for range answered {
		p.probe()
	}
	p.engine.answers.Store(false)
	for n := range 2 {
		p.probe()
		if p.attempt.Err() != nil {
			t.Fatalf("attempt after %d unanswered probes: got %v, want none", n+1, context.Cause(p.attempt))
		}
	}
	for range longest / probeInterval {
		if p.attempt.Err() == nil {
			p.probe()
		}
	}
	select {
	case <-p.attempt.Done():
	case <-time.After(waitLimit):
		t.Fatalf("attempt after a silence of %v: got no end, want %v", longest, errProbeFailed)
	}
	if got := context.Cause(p.attempt); got != errProbeFailed {
		t.Errorf("cause of the end: got %v, want %v", got, errProbeFailed)
	}
}

// TestProbeInProgress guards against an attempt that ends because its engine answered the request
// while a probe was in progress.
func TestProbeInProgress(t *testing.T) {
	t.Parallel()
	p := newProbeTest(t, patience{mayMove: true, early: true, hasOther: func() bool { return true }})
	p.engine.holds.Store(true)
	p.probe()
	p.stop()
	select {
	case <-p.attempt.Done():
		t.Errorf("attempt after its probes were stopped: got %v, want none", context.Cause(p.attempt))
	case <-time.After(settleTime):
	}
}

// TestProbesInRest guards against probes that break the rest of an engine, and against a stream that leaves
// its engine because none may be sent.
func TestProbesInRest(t *testing.T) {
	t.Parallel()
	const inRest = 6 // intervals
	p := newProbeTest(t, patience{mayMove: true, early: true, hasOther: func() bool { return true }})
	p.engine.answers.Store(true)
	p.rests.Asked("a", 0, inRest*probeInterval+probeInterval/2, p.clock.Now())
	p.probe()
	for range inRest - 1 {
		p.clock.Advance(probeInterval)
		time.Sleep(settleTime)
	}
	if got := len(p.engine.received); got > 0 {
		t.Errorf("probes within the rest: got %d more after the first, want none", got)
	}
	if p.attempt.Err() != nil {
		t.Errorf("attempt at a resting engine: got %v, want none", context.Cause(p.attempt))
	}
	p.probe()
}

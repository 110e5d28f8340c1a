// Package standinengine simulates a model engine.
//
// It decodes streams in one continuous batch, caches prompt prefixes in bounded
// memory, resumes, continues and cancels streams, publishes its load and cache
// events with a delay, executes orders, and simulates faults on request. Its
// counters show how much work it did, so that unnecessary work can be measured.
// The page docs/PROTOCOLS.md describes the protocol.
package standinengine

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/standinnetwork"
	"crocuslug/timer"
	"crocuslug/unit"
)

// Model is a version of a model that an engine has loaded.
type Model struct {
	Model    string
	Version  string
	Adapters []string
}

// Settings configures an engine. A negative duration means none.
type Settings struct {
	Name            string
	Listen          string        // address; "" means a loopback address that is reserved until Stop
	Models          []Model       // loaded at the start; empty means model "m", version "1"
	Slots           int           // streams decoded at once; 0 means 16
	QueueLimit      int           // maximum number of queued streams; 0 means 64, below 0 none
	TokenInterval   time.Duration // time between two tokens of a stream; 0 means 25 ms
	PrefillPerToken time.Duration // time to prefill one token that is not cached; 0 means none
	CacheBlocks     int           // blocks of the prefix cache; 0 means 4096
	LoadLag         time.Duration // interval between updates of the load report; 0 means 500 ms
	EventLag        time.Duration // delay of cache events; 0 means 500 ms
	EventGap        int           // one of this many cache events is lost; 0 means 20, below 0 none
	StreamGrace     time.Duration // time that a stream continues without a connection; 0 means 10 s
	ChecksFencing   bool          // whether orders with an old fencing number are rejected
	CannotContinue  bool          // whether continue_from is answered with 501
	Exit            func()        // called after Kill or a crash; nil means nothing
}

func (cfg *Settings) setDefaults() {
	unit.SetDefault(&cfg.Slots, 16)
	unit.SetDefault(&cfg.QueueLimit, 64)
	unit.SetDefault(&cfg.TokenInterval, 25*time.Millisecond)
	unit.SetDefault(&cfg.CacheBlocks, 4096)
	unit.SetDefault(&cfg.LoadLag, 500*time.Millisecond)
	unit.SetDefault(&cfg.EventLag, 500*time.Millisecond)
	unit.SetDefault(&cfg.EventGap, 20)
	unit.SetDefault(&cfg.StreamGrace, 10*time.Second)
	if len(cfg.Models) == 0 {
		cfg.Models = []Model{{Model: "m", Version: "1"}}
	}
}

// Counters counts the work of an engine since New, across restarts.
type Counters struct {
	Decoded       uint64 // tokens
	PrefillTokens uint64
	Started       uint64 // streams, including continued ones
	Resumed       uint64 // reconnections to a stream
	Continued     uint64 // streams started with continue_from
	Cancelled     uint64 // streams cancelled by a call or after the grace period
	Refused       uint64 // streams
	OrdersTaken   uint64
	OrdersRefused uint64
}

// Engine is a simulated model engine. It is safe for concurrent use.
type Engine struct {
	cfg   Settings
	timer *timer.Service

	mu       sync.Mutex
	addr     standinnetwork.Address
	counters Counters
	run      *runState // nil while the engine is down
}

// runState is the state of an engine from Start until it stops.
type runState struct {
	listener *standinnetwork.Listener
	tick     *timer.Subscription
	ended    chan struct{} // closed when the engine stops
	served   chan struct{} // closed when the server has returned
	thawed   chan struct{} // nil unless frozen
	batch    *batch
	leaving  bool
	lag      time.Duration
	load     loadReport
	loadTime time.Time
	state    stateReport
}

// New returns an engine that is down until Start. Its clock is t, which must be
// running for the engine to decode.
func New(cfg Settings, t *timer.Service) *Engine {
	cfg.setDefaults()
	return &Engine{cfg: cfg, timer: t}
}

// Start listens and begins to serve, on the port of the previous start unless Stop
// has released it. It returns an error if it cannot listen.
func (e *Engine) Start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	listener, err := e.addr.Listen(e.cfg.Listen)
	if err != nil {
		return err
	}
	l := &runState{
		listener: listener,
		ended:    make(chan struct{}),
		served:   make(chan struct{}),
		batch:    newBatch(&e.cfg, &e.counters),
		lag:      e.cfg.LoadLag,
		state:    initialState(e.cfg.Models),
	}
	e.run = l
	l.updateLoadReport(e.timer.Now())
	l.tick = e.timer.Every(e.cfg.TokenInterval, func(now time.Time) { e.step(l, now) })
	srv := standinnetwork.NewHTTP(func(ctx *fasthttp.RequestCtx) { e.handle(l, ctx) })
	go func() {
		defer close(l.served)
		_ = srv.Serve(listener)
	}()
	return nil
}

func initialState(models []Model) stateReport {
	s := stateReport{Role: "serve"}
	for _, m := range models {
		s.Models = append(s.Models, modelState{m.Model, m.Version, append([]string{}, m.Adapters...)})
	}
	return s
}

// Addr returns the address that the engine listens on. It is kept after a Kill.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr.String()
}

// Counters returns the current counts.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// Stop ends the engine, waits until its server has returned, and releases a reserved
// address.
func (e *Engine) Stop() {
	e.stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addr.Release()
}

// stop ends the engine and reports whether it was up.
func (e *Engine) stop() bool {
	l := e.shutDown()
	if l == nil {
		return false
	}
	<-l.served
	return true
}

// Kill simulates a crash: the engine refuses and resets connections and loses all
// state except its counters. Then it calls Settings.Exit. It does nothing if the
// engine is down.
func (e *Engine) Kill() {
	if e.stop() && e.cfg.Exit != nil {
		e.cfg.Exit()
	}
}

// Restart stops the engine if it is up and starts it with empty state on the same
// port.
func (e *Engine) Restart() error {
	e.stop()
	return e.Start()
}

func (e *Engine) shutDown() *runState {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.run
	if l == nil {
		return nil
	}
	e.run = nil
	l.tick.Stop()
	close(l.ended)
	l.listener.Reset()
	return l
}

// Freeze makes the engine accept connections but neither answer nor decode until
// Thaw.
func (e *Engine) Freeze() {
	e.withRun(func(l *runState) {
		if l.thawed == nil {
			l.thawed = make(chan struct{})
		}
	})
}

// Thaw ends a Freeze.
func (e *Engine) Thaw() {
	e.withRun(func(l *runState) {
		if l.thawed != nil {
			close(l.thawed)
			l.thawed = nil
		}
	})
}

// Silence permanently stops reads and writes on the open connections without
// closing them. New connections work.
func (e *Engine) Silence() { e.silence(nil) }

func (e *Engine) silence(keep net.Conn) {
	e.withRun(func(l *runState) { l.listener.Silence(keep) })
}

// Leave starts a graceful stop: streams continue, new ones are refused.
func (e *Engine) Leave() {
	e.withRun(func(l *runState) { l.leaving = true })
}

// Slow makes decoding slower by the given factor; 1 is the usual speed, and lower
// values count as 1.
func (e *Engine) Slow(factor float64) {
	e.withRun(func(l *runState) { l.batch.slowdown = max(factor, 1) })
}

// Lag sets the interval between updates of the load report.
func (e *Engine) Lag(d time.Duration) {
	e.withRun(func(l *runState) { l.lag = d })
}

// withRun calls f under the mutex unless the engine is down.
func (e *Engine) withRun(f func(l *runState)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.run != nil {
		f(e.run)
	}
}

// step advances the batch by one step and updates the load report when it is due.
// It does nothing if l is over or the engine is frozen.
func (e *Engine) step(l *runState, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.run != l || l.thawed != nil {
		return
	}
	if l.batch.step(now) {
		go e.Kill()
		return
	}
	if now.Sub(l.loadTime) >= l.lag {
		l.updateLoadReport(now)
	}
}

// updateLoadReport replaces the load report by one of the present state.
func (l *runState) updateLoadReport(now time.Time) {
	b := l.batch
	perStream := 1 / (b.cfg.TokenInterval.Seconds() * b.slowdown)
	l.loadTime = now
	l.load = loadReport{
		Running:         len(b.running),
		Waiting:         len(b.waiting),
		Slots:           b.cfg.Slots,
		TokensPerSecond: float64(len(b.running)) * perStream,
		stateReport:     l.state.clone(),
	}
}

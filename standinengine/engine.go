// Package standinengine is a small stand-in for a model engine.
//
// It decodes streams in one continuous batch, caches prompt prefixes in
// bounded memory, resumes, continues and cancels streams, publishes its load
// and cache events late, takes orders, and fails on demand. Its counters tell
// how much work was done, so that work beyond the need can be measured. The
// protocol is on the page docs/PROTOCOLS.md.
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

// Settings describe an engine. Durations below 0 mean none.
type Settings struct {
	Name            string
	Listen          string        // address; "" means 127.0.0.1:0
	Models          []Model       // loaded at the start; empty means model "m", version "1"
	Slots           int           // streams decoded at once; 0 means 16
	QueueLimit      int           // streams that may wait; 0 means 64, below 0 none
	TokenInterval   time.Duration // time between two tokens of a stream; 0 means 25 ms
	PrefillPerToken time.Duration // time to prefill one token that is not cached; 0 means none
	CacheBlocks     int           // blocks of the prefix cache; 0 means 4096
	LoadLag         time.Duration // age that a load report reaches; 0 means 500 ms
	EventLag        time.Duration // delay of cache events; 0 means 500 ms
	EventGap        int           // one of so many cache events is lost; 0 means 20, below 0 none
	StreamGrace     time.Duration // a stream goes on so long without a connection; 0 means 10 s
	ChecksFencing   bool          // refuses orders with an old fencing number
	CannotContinue  bool          // answers 501 to continue_from
	Exit            func()        // called after Kill or a crash; nil means nothing
}

func (cfg *Settings) setDefaults() {
	unit.SetDefault(&cfg.Listen, "127.0.0.1:0")
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

// Counters count what an engine has done since New, across restarts.
type Counters struct {
	Decoded       uint64 // tokens
	PrefillTokens uint64
	Started       uint64 // streams, with the continued ones
	Resumed       uint64
	Continued     uint64
	Cancelled     uint64 // by a call or for want of a connection
	Refused       uint64 // streams
	OrdersTaken   uint64
	OrdersRefused uint64
}

// Engine is a stand-in for a model engine. Its methods may be called from any
// goroutine.
type Engine struct {
	cfg   Settings
	timer *timer.Service

	mu       sync.Mutex
	addr     string
	counters Counters
	life     *life // nil while the engine is down
}

// life is the state of an engine that is lost when it dies.
type life struct {
	listener *standinnetwork.Listener
	tick     *timer.Subscription
	ended    chan struct{} // closed when the engine dies
	served   chan struct{} // closed when the server has returned
	thawed   chan struct{} // nil unless frozen
	batch    *batch
	leaving  bool
	lag      time.Duration
	load     loadReport
	loadTime time.Time
	state    stateReport
}

// New returns an engine that is down until Start. It takes the time from t,
// which has to run.
func New(cfg Settings, t *timer.Service) *Engine {
	cfg.setDefaults()
	return &Engine{cfg: cfg, timer: t}
}

// Start listens and begins to serve. It returns an error if it cannot listen.
func (e *Engine) Start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.addr
	if address == "" {
		address = e.cfg.Listen
	}
	listener, err := standinnetwork.Listen(address)
	if err != nil {
		return err
	}
	e.addr = listener.Addr().String()
	l := &life{
		listener: listener,
		ended:    make(chan struct{}),
		served:   make(chan struct{}),
		batch:    newBatch(&e.cfg, &e.counters),
		lag:      e.cfg.LoadLag,
		state:    initialState(e.cfg.Models),
	}
	e.life = l
	l.takeLoad(e.timer.Now())
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

// Addr returns the address that the engine listens on, also after a Kill.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Counters returns the present counts.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// Stop ends the engine and waits until its server has returned. It does
// nothing if the engine is down.
func (e *Engine) Stop() {
	if l := e.die(); l != nil {
		<-l.served
	}
}

// Kill ends the engine at once: it refuses and resets connections and loses
// all state but its counters. Then it calls Exit. It does nothing if the engine
// is down.
func (e *Engine) Kill() {
	l := e.die()
	if l == nil {
		return
	}
	<-l.served
	if e.cfg.Exit != nil {
		e.cfg.Exit()
	}
}

// Restart ends the engine if it is up and starts it afresh on the same port.
func (e *Engine) Restart() error {
	e.Stop()
	return e.Start()
}

func (e *Engine) die() *life {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.life
	if l == nil {
		return nil
	}
	e.life = nil
	l.tick.Stop()
	close(l.ended)
	l.listener.Reset()
	return l
}

// Freeze makes the engine accept connections, answer nothing and decode
// nothing until Thaw.
func (e *Engine) Freeze() {
	e.with(func(l *life) {
		if l.thawed == nil {
			l.thawed = make(chan struct{})
		}
	})
}

// Thaw ends a Freeze.
func (e *Engine) Thaw() {
	e.with(func(l *life) {
		if l.thawed != nil {
			close(l.thawed)
			l.thawed = nil
		}
	})
}

// Silence makes the connections that are open now silent for good. New ones
// work.
func (e *Engine) Silence() { e.silence(nil) }

func (e *Engine) silence(keep net.Conn) {
	e.with(func(l *life) { l.listener.Silence(keep) })
}

// Leave starts a graceful stop: streams go on, new ones are refused.
func (e *Engine) Leave() {
	e.with(func(l *life) { l.leaving = true })
}

// Slow makes the engine decode so many times slower; 1 is its usual speed.
func (e *Engine) Slow(factor float64) {
	e.with(func(l *life) { l.batch.factor = max(factor, 1) })
}

// Lag sets the age that load reports reach.
func (e *Engine) Lag(d time.Duration) {
	e.with(func(l *life) { l.lag = d })
}

// with calls f under the lock unless the engine is down.
func (e *Engine) with(f func(l *life)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != nil {
		f(e.life)
	}
}

// step decodes one token of each running stream.
func (e *Engine) step(l *life, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != l || l.thawed != nil {
		return
	}
	if l.batch.step(now) {
		go e.Kill()
		return
	}
	if now.Sub(l.loadTime) >= l.lag {
		l.takeLoad(now)
	}
}

// takeLoad renews the load report.
func (l *life) takeLoad(now time.Time) {
	b := l.batch
	perStream := 1 / (b.cfg.TokenInterval.Seconds() * b.factor)
	l.loadTime = now
	l.load = loadReport{
		Running:         len(b.running),
		Waiting:         len(b.waiting),
		Slots:           b.cfg.Slots,
		TokensPerSecond: float64(len(b.running)) * perStream,
		stateReport:     l.state.clone(),
	}
}

package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"crocuslug/background"
	"crocuslug/directory"
	"crocuslug/dispatch"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/health"
	"crocuslug/ident"
	"crocuslug/ingress"
	"crocuslug/keyvalue"
	"crocuslug/meter"
	"crocuslug/peerlink"
	"crocuslug/registry"
	"crocuslug/retry"
	"crocuslug/settings"
	"crocuslug/store"
	"crocuslug/suspect"
	"crocuslug/timer"
	"crocuslug/unit"
)

// Edge is one instance.
type Edge struct {
	// Dropped returns the log lines that were dropped; nil means that none are
	// counted. It is set before Start.
	Dropped func() uint64

	cfg   settings.Edge
	ports Ports
	timer *timer.Service
	log   zerolog.Logger

	ctx    context.Context
	cancel context.CancelFunc
	tasks  background.Group
	subs   []*timer.Subscription

	client     *keyvalue.Client
	store      store.Store
	registry   *registry.Registry
	fleet      *fleet.Fleet
	exchange   *exchange.Client
	suspects   *suspect.Ledger
	dispatcher *dispatch.Dispatcher
	server     *ingress.Server
	link       *peerlink.Link
	admin      *fasthttp.Server // readiness
	meters     *meter.Meters

	self    ident.Instance
	current atomic.Pointer[inForce] // nil until the first configuration
	leaving atomic.Bool
	left    atomic.Int64 // when Leave began, in Unix nanoseconds of the timer

	mu          sync.Mutex
	seen        store.Version // of the store, up to which all changes are known here
	behind      store.Version // told by a peer when this instance fell behind
	behindSince time.Time
	asked       time.Time // last question to a peer
	summed      time.Time // when the peers' figures were added up
	bad         map[string]store.Version
	peers       map[ident.Instance]*peer
	turn        int                  // of digests
	far         int                  // peers in other failure domains
	verdicts    map[uint64]time.Time // contents refused here, by the end of that
	restarts    []restart            // found here lately
}

// inForce is the configuration in force with the bytes that it was read from.
type inForce struct {
	*directory.Directory
	raw   []byte
	since time.Time
}

// Defaults of the settings.
const (
	defaultDrain      = 2 * time.Second
	defaultGrace      = 8 * time.Second
	defaultRetryShare = 0.2
)

func withDefaults(cfg *settings.Edge) {
	if cfg.Drain <= 0 {
		cfg.Drain = unit.Duration(defaultDrain)
	}
	if cfg.Grace <= 0 {
		cfg.Grace = unit.Duration(defaultGrace)
	}
	if cfg.RetryShare <= 0 {
		cfg.RetryShare = defaultRetryShare
	}
}

// randomSeed draws a seed for one random source.
func randomSeed() uint64 { return rand.Uint64() }

// New builds an instance that is not started.
func New(cfg settings.Edge, ports Ports, secret []byte, t *timer.Service, log zerolog.Logger) *Edge {
	withDefaults(&cfg)
	e := &Edge{
		cfg:      cfg,
		ports:    ports,
		timer:    t,
		log:      log.With().Str("Instance", cfg.Name).Str("Domain", string(cfg.Domain)).Logger(),
		registry: registry.New(registry.Settings{}),
		exchange: exchange.New(exchange.Settings{}, t),
		suspects: suspect.New(suspect.Settings{}),
		verdicts: make(map[uint64]time.Time),
		meters:   meter.New(t),
		self:     ident.Instance(cfg.PeerListen),
		bad:      make(map[string]store.Version),
		peers:    make(map[ident.Instance]*peer),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	kv := ports.Store
	kv.BackOff, kv.MaxBackOff, kv.Seed = storeBackOff, storeMaxBackOff, randomSeed()
	if cfg.StoreReads > 0 {
		kv.ReadsPerSecond = max(leastStoreRate, cfg.StoreReads/storeShare)
	}
	if cfg.StoreWrites > 0 {
		kv.WritesPerSecond = max(leastStoreRate, cfg.StoreWrites/storeShare)
	}
	e.client = keyvalue.New(kv, t)
	e.store = e.client.Port()
	e.fleet = fleet.New(fleet.Settings{
		Self:   e.self,
		Domain: cfg.Domain,
		Health: health.Settings{BackOff: unit.Duration(trialAfter), MaxBackOff: unit.Duration(maxTrialAfter)},
	}, rand.Uint64, e.log)
	e.fleet.OnLost = e.lost
	e.dispatcher = dispatch.New(dispatch.Settings{}, dispatch.Dependencies{
		Protocol: ports.Upstream,
		Fleet:    e.fleet,
		Client:   e.exchange,
		Suspects: e.suspects,
		Meters:   e.meters,
		Budget:   e.budget(),
		Timer:    t,
		Random:   rand.Uint64,
		Log:      e.log,
	})
	e.server = ingress.New(ingress.Settings{Listen: cfg.Listen, Connections: e.connections()}, ingress.Ports{
		Handle:   e.handle,
		Limits:   e.limits,
		Rejected: e.rejected,
	}, t, e.log)
	e.buildPeers(secret)
	return e
}

// Part of the store's rates that one instance takes.
const (
	storeShare     = 100 // instances that share them
	leastStoreRate = 4   // calls a second, enough to start with
)

// Waits around the store and upstreams that fail.
const (
	storeBackOff    = 100 * time.Millisecond // a configuration is to be in force within two seconds of its change
	storeMaxBackOff = 700 * time.Millisecond
	trialAfter      = 800 * time.Millisecond // crashed engines are back after about a second
	maxTrialAfter   = 8 * time.Second
)

// Part of what all instances together may do that one instance takes, as long
// as it does not know how many there are.
const (
	budgetShare   = 0.5 // of the ratio of repeats
	slackPerShare = 16  // instances that share the slack
)

func (e *Edge) budget() retry.Settings {
	const attempts = 8 // the route's own bound is lower
	return retry.Settings{
		Share:    budgetShare * e.cfg.RetryShare,
		Burst:    max(1, e.cfg.RetrySlack/slackPerShare),
		Attempts: attempts,
	}
}

// connections returns how many callers' connections the descriptors allow.
func (e *Edge) connections() int {
	const reserved, share = 400, 2 // for files, peers and the store; callers get half of the rest
	if e.cfg.Descriptors <= reserved {
		return 0
	}
	return (e.cfg.Descriptors - reserved) / share
}

// Start opens the sockets and begins to serve.
func (e *Edge) Start() error {
	if err := e.link.Start(); err != nil {
		return errs.Wrap(err)
	}
	if err := e.startAdmin(); err != nil {
		return errs.Wrap(err)
	}
	if err := e.server.Start(); err != nil {
		return errs.Wrap(err)
	}
	e.tasks.Go(e.watch)
	e.tasks.Go(e.announce)
	e.every(tickInterval, e.tick)
	e.every(expireInterval, func(now time.Time) {
		e.exchange.Expire()
		e.tellFleet(now)
	})
	e.every(digestInterval, e.tellPeers)
	e.log.Info().Str("Listen", e.cfg.Listen).Str("Peers", e.cfg.PeerListen).Str("Store", e.cfg.StoreAddress).Msg("started")
	return nil
}

// Intervals of what is done again and again.
const (
	tickInterval   = 100 * time.Millisecond
	expireInterval = time.Second
	digestInterval = 250 * time.Millisecond
)

func (e *Edge) every(d time.Duration, f func(now time.Time)) {
	e.subs = append(e.subs, e.timer.Every(d, f))
}

// tick lets beliefs about upstreams change with time.
func (e *Edge) tick(now time.Time) {
	for _, id := range e.registry.Expire(now) {
		e.log.Info().Str("Upstream", string(id)).Msg("upstream did not register again after the outage")
		e.publish(now)
	}
	e.fleet.Tick(now)
	e.dispatcher.Tick(now)
	e.suspects.Expire(now)
}

// Times of a planned stop.
const (
	closeAfter = 2600 * time.Millisecond // the balancer asks every second and needs two misses
	killMargin = 400 * time.Millisecond  // left of the grace for the end itself
)

// lateShare is the part of the grace after which a leaving instance starts no
// more streams. A stream takes most of the rest.
const lateShare = 0.12

// late reports whether a stream that begins now would be cut by the end of the
// instance.
func (e *Edge) late(now time.Time) bool {
	return e.leaving.Load() && now.UnixNano()-e.left.Load() > int64(lateShare*float64(e.cfg.Grace))
}

// Leave stops in a planned way: no new connections come after a while, and
// what is in progress is answered.
func (e *Edge) Leave() {
	began := e.timer.Now()
	e.left.Store(began.UnixNano())
	e.leaving.Store(true)
	e.server.Leave()
	e.log.Info().Int("Connections", e.server.Open()).Msg("leaving")
	e.sleep(min(closeAfter, e.cfg.Grace.Std()/2))
	e.server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e.timer.After(e.cfg.Grace.Std()-killMargin-e.timer.Now().Sub(began), func(time.Time) { cancel() })
	if err := e.server.Wait(ctx); err != nil {
		e.log.Warn().Int("Connections", e.server.Open()).Msg("cut off at the end of the grace")
	}
	e.log.Info().Dur("TookMs", e.timer.Now().Sub(began)).Msg("left")
}

// Stop ends everything at once.
func (e *Edge) Stop() {
	for _, s := range e.subs {
		s.Stop()
	}
	e.cancel()
	e.tasks.Close()
	e.server.Close()
	if err := e.admin.Shutdown(); err != nil {
		e.log.Warn().Err(err).Msg("readiness did not end")
	}
	e.meters.Stop()
	e.client.Close()
	e.link.Stop()
	e.exchange.Close()
	e.tasks.Wait()
	e.log.Info().Msg("stopped")
}

// sleep waits for d or the end of the instance.
func (e *Edge) sleep(d time.Duration) {
	done := make(chan struct{})
	sub := e.timer.After(d, func(time.Time) { close(done) })
	defer sub.Stop()
	select {
	case <-done:
	case <-e.ctx.Done():
	}
}

// Reload takes settings that were read again. The addresses stay as they are
// until the next start; err says why the settings could not be read.
func (e *Edge) Reload(cfg settings.Edge, err error) {
	if err != nil {
		e.log.Error().Err(err).Msg("settings cannot be read; those in force stay")
		return
	}
	now := e.timer.Now()
	for _, s := range cfg.Seeds {
		e.addPeer(presence{Instance: ident.Instance(s)}, now)
	}
	e.log.Info().Int("Seeds", len(cfg.Seeds)).Msg("settings reloaded")
}

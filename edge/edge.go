package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"crocuslug/background"
	"crocuslug/bodybudget"
	"crocuslug/builds"
	"crocuslug/cooldown"
	"crocuslug/directory"
	"crocuslug/dispatch"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/health"
	"crocuslug/ident"
	"crocuslug/ingress"
	"crocuslug/keyvalue"
	"crocuslug/meter"
	"crocuslug/pace"
	"crocuslug/peerlink"
	"crocuslug/poison"
	"crocuslug/reach"
	"crocuslug/registry"
	"crocuslug/relay"
	"crocuslug/retry"
	"crocuslug/settings"
	"crocuslug/store"
	"crocuslug/storeview"
	"crocuslug/timer"
	"crocuslug/unit"
	"crocuslug/upstreamlimit"
)

// Edge is one instance.
type Edge struct {
	// DroppedLogLines returns the number of log lines that were dropped. If it is nil, that metric
	// is not written. Set it before Start.
	DroppedLogLines func() uint64
	// DialUpstream opens a connection to the upstream at an address. New sets it; it may be replaced
	// before Start.
	DialUpstream func(ctx context.Context, address string) (net.Conn, error)

	cfg   settings.Edge
	ports Ports
	timer *timer.Service
	log   zerolog.Logger

	ctx    context.Context
	cancel context.CancelFunc
	tasks  background.Group
	subs   []*timer.Subscription

	client         *keyvalue.Client
	store          store.Store
	view           *storeview.View
	registry       *registry.Registry
	fleet          *fleet.Fleet
	exchange       *exchange.Client
	poison         *poison.Tracker
	upstreamLimits *upstreamlimit.Limits
	rests          *cooldown.Tracker
	builds         *builds.Tracker
	deliveries     *deliveries
	paces          *pace.Tracker
	paceLimits     map[ident.Upstream]int // limits by pace; used by updatePaces only
	pacedLimits    atomic.Int64           // number of upstreams with such a limit
	reach          *reach.Tracker
	relays         *relay.Server
	dispatcher     *dispatch.Dispatcher
	server         *ingress.Server
	bodies         *bodybudget.Budget // nil if there is no bound on memory
	link           *peerlink.Link
	admin          *fasthttp.Server // serves readiness and metrics
	meters         *meter.Meters

	self       ident.Instance
	current    atomic.Pointer[activeConfiguration] // nil until the first configuration arrives
	fetching   atomic.Bool                         // a configuration is being fetched because a peer has a newer one
	leaving    atomic.Bool
	retold     atomic.Int64                                  // streams whose holders are told again
	addresses  atomic.Pointer[map[string]directory.Upstream] // registered upstreams by address; nil at first
	restored   chan struct{}                                 // receives when the store was restored from an older copy
	leaveBegan atomic.Int64                                  // when Leave was called, in Unix nanoseconds of the timer

	publishing sync.Mutex // held from reading the registered upstreams until the fleet has them

	mu          sync.Mutex
	lastLoadSum time.Time                // when the loads that peers report were last added up
	oddEntries  map[string]store.Version // versions of entries that name nothing to use, by store key
	peers       map[ident.Instance]*peer
	digestRound int           // number of times that digests were sent
	toldVersion store.Version // store version in the last digests
	farPeers    int           // number of peers in other failure domains
	restarts    []restart     // restarts of upstreams that this instance found recently
	untoldAt    time.Time     // when too few holders of a stream were told last
	lastTick    time.Duration // uptime of the last tick
	resumed     time.Duration // uptime at which the process ran again after its last pause; 0 if it was not paused

	recordedBuilds map[ident.Service]bool // services that the store names as having several builds

	silentIssuers map[ident.Instance]silentIssuer // peers that did not answer requests for permits
	checksSince   time.Time                       // begin of the second in which checks were counted
	checks        int                             // connections opened to answer questions in that second
}

// activeConfiguration is the configuration in force, with the bytes that it was decoded from.
type activeConfiguration struct {
	*directory.Directory
	raw   []byte
	since time.Time
}

// Defaults of settings.Edge.
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

// randomSeed returns a random seed for one random source.
func randomSeed() uint64 { return rand.Uint64() }

// New returns an instance that is not started yet.
func New(cfg settings.Edge, ports Ports, secret []byte, t *timer.Service, log zerolog.Logger) *Edge {
	withDefaults(&cfg)
	e := &Edge{
		cfg:            cfg,
		ports:          ports,
		timer:          t,
		log:            log.With().Str("Instance", cfg.Name).Str("Domain", string(cfg.Domain)).Logger(),
		view:           storeview.New(storeview.Settings{MaxAge: maxAge(cfg.Drain.Std())}, max(1, randomSeed())),
		registry:       registry.New(registry.Settings{Drain: cfg.Drain.Std()}),
		exchange:       exchange.New(exchange.Settings{MaxBuffered: maxAnswers(cfg.MemoryBytes)}, t),
		bodies:         newBodies(cfg.MemoryBytes),
		poison:         poison.New(),
		upstreamLimits: upstreamlimit.New(ident.Instance(cfg.PeerListen)),
		rests:          cooldown.New(rand.Uint64),
		paces:          pace.New(pace.Settings{}),
		paceLimits:     make(map[ident.Upstream]int),
		builds:         builds.New(builds.Settings{}, t.Now()),
		reach:          reach.New(reach.Settings{}),
		meters:         meter.New(t),
		self:           ident.Instance(cfg.PeerListen),
		digestRound:    rand.IntN(maxDigestRound),
		oddEntries:     make(map[string]store.Version),
		peers:          make(map[ident.Instance]*peer),
		restored:       make(chan struct{}, 1),
		recordedBuilds: make(map[ident.Service]bool),

		silentIssuers: make(map[ident.Instance]silentIssuer),
	}
	e.registry.Known = func(now time.Time) time.Time { return now.Add(-e.view.Age(t.Uptime())) }
	e.deliveries = e.newDeliveries()
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.DialUpstream = e.exchange.Dial
	e.exchange.Dial = e.connectUpstream
	e.relays = relay.New(relay.Settings{Listen: e.relayListen(), MaxOpen: e.cfg.Descriptors / relayShare}, t, e.log)
	kv := ports.Store
	kv.BackOff, kv.MaxBackOff, kv.Seed = storeBackOff, storeMaxBackOff, randomSeed()
	kv.WatchWait, kv.WatchMargin, kv.WatchAttempts = watchWait(cfg.Drain.Std()), watchMargin(cfg.Drain.Std()), 1
	if cfg.StoreReads > 0 {
		kv.ReadsPerSecond = max(minStoreRate, cfg.StoreReads/storeInstances)
	}
	if cfg.StoreWrites > 0 {
		kv.WritesPerSecond = max(minStoreRate, cfg.StoreWrites/storeInstances)
	}
	e.client = keyvalue.New(kv, t)
	e.client.OnOverdueWatch = func() { e.recordStoreLost(errOverdueWatch) }
	e.store = e.client.Store()
	e.fleet = fleet.New(fleet.Settings{
		Self:   e.self,
		Domain: cfg.Domain,

		ByMemory: cfg.Admission.ByMemory, KeepShares: cfg.Admission.KeepShares,

		Health: health.Settings{BackOff: unit.Duration(healthBackOff), MaxBackOff: unit.Duration(maxHealthBackOff)},
	}, rand.Uint64, e.log)
	e.fleet.OnLost = e.upstreamLost
	var observePace func(ident.Upstream, int, time.Duration)
	if cfg.LearnPace {
		observePace = e.observePace
	}
	e.dispatcher = dispatch.New(dispatch.Settings{ByMemory: cfg.Admission.ByMemory}, dispatch.Dependencies{
		Protocol: ports.UpstreamPorts,
		Fleet:    e.fleet,
		Client:   e.exchange,
		Poison:   e.poison,
		Limits:   e.upstreamLimits,
		Rests:    e.rests,

		AskPermits:  e.askPermits,
		Builds:      e.builds,
		TellOrigin:  e.tellOrigin,
		PreferBuild: e.preferredBuild,
		FindOrigin:  e.findOrigin,
		CutOff:      e.doubt,
		Leaves:      e.recordLeaving,
		TellRest:    e.tellRest,
		ObservePace: observePace,
		Delivery:    e.dispatchDelivery(),

		Meters: e.meters,
		Budget: e.budget(),
		Timer:  t,
		Random: rand.Uint64,
		Log:    e.log,
	})
	e.server = ingress.New(ingress.Settings{Listen: cfg.Listen, MaxConnections: e.connections(), Bodies: e.bodies}, ingress.Ports{
		Handle:   e.handle,
		Limits:   e.limits,
		Rejected: e.recordRejected,
	}, t, e.log)
	e.setUpPeers(secret)
	return e
}

// The call rates that the store allows are shared by all instances.
const (
	storeInstances = 100 // number of instances assumed to share them
	minStoreRate   = 4   // calls per second, enough to start with
)

// Back-off times after failures of the store and of upstreams.
const (
	storeBackOff     = 100 * time.Millisecond // a changed configuration must be in force within two seconds
	storeMaxBackOff  = 700 * time.Millisecond
	healthBackOff    = 800 * time.Millisecond // a crashed engine is back after about a second
	maxHealthBackOff = 8 * time.Second
)

// Part of the retry budget of all instances that one instance uses.
const (
	budgetShare    = 0.5 // of the ratio of retries to requests
	slackInstances = 16  // least number of instances assumed to share the retry slack; a new instance knows few
)

// retryBurst returns the part of the retry slack that one of n instances may use. It is at least one
// retry, without which there would be none at all.
func (e *Edge) retryBurst(n int) float64 {
	return max(1, e.cfg.RetrySlack/float64(max(slackInstances, n)))
}

// budget returns the settings of the retry budget of this instance.
func (e *Edge) budget() retry.Settings {
	const attempts = 8 // the bound of the route is lower
	return retry.Settings{
		RetryRatio:  budgetShare * e.cfg.RetryShare,
		Burst:       e.retryBurst(1),
		MaxAttempts: attempts,
	}
}

// Start opens the listeners and starts serving requests.
func (e *Edge) Start() error {
	if err := e.link.Start(); err != nil {
		return errs.Wrap(err)
	}
	if err := e.relays.Start(); err != nil {
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
	e.tasks.Go(e.keepBuildRecords)
	e.every(tickInterval, e.tick)
	e.every(expireInterval, func(now time.Time) {
		e.exchange.Expire()
		e.updateFleetInstances(now)
		e.forgetSilentIssuers(now)
	})
	e.every(digestInterval, e.sendDigests)
	e.every(tickInterval, e.tryDirectly)
	if e.cfg.LearnPace {
		e.every(paceInterval, e.updatePaces)
	}
	e.every(helperInterval, e.findHelpers)
	e.log.Info().Str("Listen", e.cfg.Listen).Str("Peers", e.cfg.PeerListen).Str("Store", e.cfg.StoreAddress).Msg("started")
	return nil
}

// Intervals of the periodic tasks.
const (
	tickInterval   = 100 * time.Millisecond
	expireInterval = time.Second
	digestInterval = 250 * time.Millisecond
)

// every calls f each interval d until Stop.
func (e *Edge) every(d time.Duration, f func(now time.Time)) {
	e.subs = append(e.subs, e.timer.Every(d, f))
}

// tick updates the state of upstreams, waiting requests and crashes that changes with time.
func (e *Edge) tick(now time.Time) {
	e.recordTick()
	e.updateStoreAvailability(now)
	for _, id := range e.registry.Expire(now) {
		e.log.Info().Str("Upstream", string(id)).Msg("upstream did not register again after the outage")
		e.publish(now)
	}
	for _, id := range e.registry.ExpireRestarted(now) {
		e.log.Info().Str("Upstream", string(id)).Msg("upstream did not register after its restart")
		e.publish(now)
	}
	e.fleet.Tick(now)
	e.dispatcher.Tick(now)
	e.poison.Tick(now)
	e.logBans()
	e.logBuilds()
	e.tickDeliveries(now)
}

// sleep waits for d or until the instance ends.
func (e *Edge) sleep(d time.Duration) {
	done := make(chan struct{})
	sub := e.timer.After(d, func(time.Time) { close(done) })
	defer sub.Stop()
	select {
	case <-done:
	case <-e.ctx.Done():
	}
}

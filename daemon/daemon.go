package daemon

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
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"crocuslug/access"
	"crocuslug/admission"
	"crocuslug/background"
	"crocuslug/bodybudget"
	"crocuslug/claimstore"
	"crocuslug/configuration"
	"crocuslug/control"
	"crocuslug/estimate"
	"crocuslug/gateway"
	"crocuslug/health"
	"crocuslug/ident"
	"crocuslug/keyvalue"
	"crocuslug/line"
	"crocuslug/members"
	"crocuslug/membership"
	"crocuslug/operatorapi"
	"crocuslug/outbox"
	"crocuslug/owner"
	"crocuslug/peerlink"
	"crocuslug/quota"
	"crocuslug/replica"
	"crocuslug/retry"
	"crocuslug/revision"
	"crocuslug/rollout"
	"crocuslug/routing"
	"crocuslug/settings"
	"crocuslug/socket"
	"crocuslug/store"
	"crocuslug/suspect"
	"crocuslug/takeover"
	"crocuslug/throttle"
	"crocuslug/timer"
	"crocuslug/upstreamcontrol"
)

// Options configure a Daemon beyond its settings file. Only Timer is required.
type Options struct {
	Timer           *timer.Service
	Log             zerolog.Logger
	Tracer          trace.Tracer
	InitialDocument *configuration.Document // in force until the rollout delivers a newer one; may be nil
	Owner           owner.Settings
	Replica         replica.Settings
	Takeover        takeover.Settings
	Routing         routing.Settings
	Gateway         gateway.Settings
	Suspect         suspect.Settings
	Admission       admission.Settings
	Estimate        estimate.Settings
	Health          health.Settings
	// RoundRobin uses engines in turn and admits every request at once; a baseline for comparison.
	RoundRobin bool
	// FixedShares moves no quota shares between instances; a baseline for comparison.
	FixedShares bool
	// Seed of all random choices; 0 selects a random one.
	Seed       uint64
	Membership membership.Settings
	// DropTo and DropFrom report whether messages to and from a peer are dropped; may be nil.
	DropTo   func(to ident.Instance) bool
	DropFrom func(from ident.Instance) bool
	Claims   claimstore.Settings
	Orders   upstreamcontrol.Settings
	// Store is the platform's key-value service; if empty, a client of the address in the settings.
	Store store.Store
	// New sets HeadKey and Log.
	Rollout rollout.Settings
}

// Daemon is one instance of the system.
type Daemon struct {
	cfg settings.Settings
	opt Options
	id  ident.Instance
	log zerolog.Logger

	ctx    context.Context
	cancel context.CancelFunc
	tasks  background.Group

	loop            *control.Loop
	link            *peerlink.Link
	members         *members.Members
	outbox          *outbox.Outbox
	owner           *owner.Owner
	replicas        *replica.Store
	takeover        *takeover.Coordinator
	gateway         *gateway.Gateway
	engineChooser   *routing.Chooser
	suspects        *suspect.Tracker
	trials          *trials          // engines reserved for suspects of this instance
	serviceChooser  *routing.Chooser // chooses upstreams of plain services
	generationQueue *line.Queue      // generations that wait for an engine
	serviceQueue    *line.Queue      // calls to plain services that wait for admission
	throttle        *throttle.Throttle
	shares          *quota.Shares
	estimator       *estimate.Estimator
	retries         *retry.Budget
	poller          *poller
	trackers        map[ident.Service]*health.Tracker // accessed by the control loop only
	reservedEngines *reservations                     // engines of admitted generations that have not started
	// Engines of other failure domains used by generations of this instance.
	spilledOut *reservations
	// Engines here used by generations of other failure domains.
	spilledIn      *reservations
	remoteCapacity remoteCapacities
	// Rotates over the failure domains that get capacity messages; accessed by the timer only.
	capacityTurn int
	shareMembers []ident.Instance // members of the quota shares; accessed by the timer only
	// Unix time in ns; until then interrupted generations get engines before new ones.
	admissionPausedUntil atomic.Int64
	roundRobinNext       atomic.Uint64
	oddListed            atomic.Uint64 // version of the instance list whose odd entries were logged
	server               *fasthttp.Server
	listener             net.Listener
	conns                connections
	store                store.Store
	platformCalls        func() keyvalue.Calls // counts the calls to the platform's key-value service
	closers              []func()
	revisions            *revision.Store // for the rollout
	changes              *revision.Store // the same, for operators
	rollout              *rollout.Rollout
	operator             *operatorapi.API
	actions              *actions
	orders               *orders
	configurationBytes   atomic.Uint64 // of configurations received from other instances

	metrics          *instruments
	bootstrapKeyHash string // hash of the bootstrap operator's key, or "" if there is none
	seed             uint64
	// Live members of the failure domain at the last change; accessed by the control goroutine
	// of members only.
	lastLive      []ident.Instance
	keys          atomic.Pointer[access.Keys]
	doc           atomic.Pointer[document]
	leaving       atomic.Bool
	subscriptions []*timer.Subscription
}

// New builds an instance without starting it. It reads the secrets named in cfg and binds the
// address for callers, but accepts no connections yet. It returns an error if a secret cannot
// be read or the address cannot be bound.
func New(cfg settings.Settings, opt Options) (*Daemon, error) {
	secret, err := cfg.Secret.Value()
	if err != nil {
		return nil, errs.Wrap(err)
	}
	key, err := cfg.Operator.Value()
	if err != nil {
		return nil, errs.Wrap(err)
	}
	if opt.Tracer == nil {
		opt.Tracer = noop.NewTracerProvider().Tracer("")
	}
	d := &Daemon{cfg: cfg, opt: opt, id: ident.Instance(cfg.Name), loop: control.New()}
	d.loop.Now = opt.Timer.Now
	d.log = opt.Log.With().Str("Instance", string(d.id)).Str("Domain", string(cfg.Domain)).Logger()
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.conns.open = make(map[net.Conn]struct{})
	d.conns.timer = opt.Timer
	d.conns.limit = orDefault(cfg.Limits.Connections, defaultConnections)
	d.conns.bodies = bodybudget.New(bodybudget.Settings{Limit: int64(orDefault(cfg.Limits.BodyMemory, defaultBodyMemory)), Collected: true})
	d.conns.largestRequest = bodyGrowth * int64(orDefault(cfg.Limits.BodyBytes, defaultBodyBytes)+maxRequestHead)
	if d.listener, err = socket.Listen(cfg.Listen); err != nil {
		return nil, errs.Wrap(err)
	}
	if d.seed = opt.Seed; d.seed == 0 {
		d.seed = rand.Uint64()
	}
	d.buildLoad()
	d.buildPlatform()
	d.buildPeers(secret)
	d.buildSuspects()
	d.handleShares()
	d.handleSpill()
	d.buildGenerations()
	d.buildActions()
	d.buildOrders()
	d.buildConfiguration(key)
	d.buildRoutes()
	return d, nil
}

// Start starts the link to the other instances and the background tasks, and begins to serve
// callers. It returns an error if the link cannot listen.
func (d *Daemon) Start() error {
	if err := d.link.Start(); err != nil {
		_ = d.listener.Close()
		return errs.Wrap(err)
	}
	d.members.Start()
	d.tasks.Go(func() { d.loop.Run(d.ctx) })
	d.tasks.Go(func() { d.rollout.Run(d.ctx) })
	d.owner.Run()
	d.every(expireInterval, d.expireState)
	d.every(suspectReportInterval, d.reportSuspects)
	d.startLoad()
	d.startOrders()
	d.tasks.Go(func() {
		if err := d.server.Serve(d.conns.track(d.listener)); err != nil {
			d.log.Error().Err(err).Msg("HTTP server stopped with an error")
		}
	})
	d.log.Info().Str("Listen", d.Addr()).Str("PeerAddr", d.link.Addr()).Msg("started")
	return nil
}

// expireInterval is how often state past its retention is dropped.
const expireInterval = 5 * time.Second

// expireState drops replicas, suspects, trials and throttle state past their retention.
func (d *Daemon) expireState(now time.Time) {
	d.replicas.Expire(now)
	d.suspects.Expire(now)
	d.trials.forgetUnless(func(fp uint64) bool {
		t, _ := d.suspects.Restriction(now, fp)
		return t != suspect.Unrestricted
	})
	d.throttle.Expire(now)
}

func (d *Daemon) every(interval time.Duration, f func(now time.Time)) {
	d.subscriptions = append(d.subscriptions, d.opt.Timer.Every(interval, f))
}

// ID returns the instance's id.
func (d *Daemon) ID() ident.Instance {
	return d.id
}

// Domain returns the instance's failure domain.
func (d *Daemon) Domain() ident.Domain {
	return d.cfg.Domain
}

// Addr returns the address for callers.
func (d *Daemon) Addr() string {
	return d.listener.Addr().String()
}

// PeerAddr returns the address for other instances.
func (d *Daemon) PeerAddr() string {
	return d.link.Addr()
}

// Pause blocks the traffic of the instance with its peers, callers and engines until it is
// called with false. It simulates a process that a debugger has stopped.
func (d *Daemon) Pause(paused bool) {
	d.link.Pause(paused)
	d.owner.Pause(paused)
}

// EngineOf returns the engine on which the generation of a request runs. It returns false if
// this instance does not own the generation.
func (d *Daemon) EngineOf(w ident.Workspace, r ident.Request) (ident.Upstream, bool) {
	g, ok := d.owner.Find(replica.RequestKey{Workspace: w, Request: r})
	if !ok {
		return "", false
	}
	return g.Upstream(), true
}

// leaveNotice is the minimum duration of Leave. In this time the other instances learn that
// this one is leaving and move their replicas.
const leaveNotice = time.Second

// leavePoll is the interval at which Leave checks for work in progress.
const leavePoll = 50 * time.Millisecond

// leaveIdlePolls is the number of consecutive checks without work in progress after which the
// next such check makes Leave return. By then all answers count as written.
const leaveIdlePolls = 2

// Leave begins a graceful shutdown: it announces the departure and refuses new work. It returns
// nil when all work in progress is done, or an error if ctx ends first.
func (d *Daemon) Leave(ctx context.Context) error {
	if !d.leaving.Swap(true) {
		d.log.Info().Msg("leaving")
		d.members.Leave()
	}
	done := make(chan struct{})
	var once sync.Once
	earliest := d.opt.Timer.Now().Add(leaveNotice)
	idle := 0
	sub := d.opt.Timer.Every(leavePoll, func(now time.Time) {
		waiting, _ := d.generationQueue.Admission.Len()
		idle++
		if active, _, _ := d.owner.Usage(); active > 0 || waiting > 0 || d.actionsLeft() > 0 {
			idle = 0
		}
		if idle > leaveIdlePolls && now.After(earliest) {
			once.Do(func() { close(done) })
		}
	})
	defer sub.Stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errs.Wrap(ctx.Err())
	}
}

// connectionGrace is how long Stop keeps answering requests on open connections after a leaving
// instance has closed its listener.
const connectionGrace = 100 * time.Millisecond

// Stop ends the instance and closes the connections of its callers. A planned stop calls Leave
// first.
func (d *Daemon) Stop() {
	if d.leaving.Load() {
		_ = d.listener.Close()
		answered := make(chan struct{})
		d.opt.Timer.After(connectionGrace, func(time.Time) { close(answered) })
		<-answered
	}
	d.halt()
	d.members.Stop()
	d.link.Stop()
	d.tasks.Wait()
}

// Kill ends the instance as a crash would: it resets connections and announces nothing to the
// other instances.
func (d *Daemon) Kill() {
	d.conns.reset()
	d.link.Kill()
	d.halt()
	d.members.Stop()
	d.tasks.Wait()
}

// halt stops the background tasks and closes all connections of callers.
func (d *Daemon) halt() {
	d.tasks.Close()
	for _, s := range d.subscriptions {
		s.Stop()
	}
	_ = d.listener.Close()
	d.owner.Stop()
	d.conns.close()
	d.cancel()
	d.outbox.Stop()
	for _, c := range d.closers {
		c()
	}
}

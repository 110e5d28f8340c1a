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
	"crocuslug/store"
	"crocuslug/suspect"
	"crocuslug/takeover"
	"crocuslug/throttle"
	"crocuslug/timer"
	"crocuslug/upstreamcontrol"
)

// Options are what a Daemon needs beside its settings. Only Timer is required.
type Options struct {
	Timer       *timer.Service
	Log         zerolog.Logger
	Tracer      trace.Tracer
	Document    *configuration.Document // in force until the platform tells a newer one
	Owner       owner.Settings
	Replica     replica.Settings
	Takeover    takeover.Settings
	Routing     routing.Settings
	Gateway     gateway.Settings
	Suspect     suspect.Settings
	Admission   admission.Settings
	Estimate    estimate.Settings
	Health      health.Settings
	Naive       bool   // takes engines in turn and admits all at once; for comparison
	FixedShares bool   // moves no shares of limits among instances; for comparison
	Seed        uint64 // of all random choices; 0 draws one
	Membership  membership.Settings
	Cut         func(to ident.Instance) bool
	CutFrom     func(from ident.Instance) bool
	Actions     claimstore.Settings
	Orders      upstreamcontrol.Settings
	Store       store.Store      // the platform's key-value service; a client of the settings' address if empty
	Rollout     rollout.Settings // HeadKey and Log are filled in
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

	loop        *control.Loop
	link        *peerlink.Link
	members     *members.Members
	outbox      *outbox.Outbox
	owner       *owner.Owner
	replicas    *replica.Store
	taker       *takeover.Coordinator
	gateway     *gateway.Gateway
	chooser     *routing.Chooser
	suspects    *suspect.Tracker
	trials      *trials          // of suspects of this instance
	plain       *routing.Chooser // of plain services
	line        *line.Queue      // generations that wait
	services    *line.Queue      // calls to plain services that wait
	throttle    *throttle.Throttle
	shares      *quota.Shares
	estimator   *estimate.Estimator
	retries     *retry.Budget
	polls       *polls
	trackers    map[ident.Service]*health.Tracker // of the loop
	reserved    *reservations                     // engines for generations that are about to start
	away        *reservations                     // engines of other failure domains in use
	guests      *reservations                     // engines here in use from other failure domains
	neighbours  neighbours
	roomTurn    int              // failure domain whose turn it is to hear of free slots; of the timer
	shared      []ident.Instance // members of shares, of the timer
	heldBack    atomic.Int64     // time in Unix nanoseconds until which new work waits for lost answers
	turn        atomic.Uint64
	server      *fasthttp.Server
	listener    net.Listener
	conns       connections
	store       store.Store
	calls       func() keyvalue.Calls // to the platform's service
	closers     []func()
	ledger      *revision.Store
	rollout     *rollout.Rollout
	operator    *operatorapi.API
	actions     *actions
	orders      *orders
	configBytes atomic.Uint64 // of configuration taken from others

	metrics   *meters
	bootstrap string // hash of the first operator's key, or ""
	seed      uint64
	lastLive  []ident.Instance // live members of the failure domain at the last change; control state of members
	keys      atomic.Pointer[access.Keys]
	doc       atomic.Pointer[document]
	leaving   atomic.Bool
	subs      []*timer.Subscription
}

// New builds an instance that is not started. Secrets of cfg are read and the
// address for callers is taken, but nobody is answered yet. It returns an error
// if a secret cannot be read or the address is not free.
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
	d.conns.now = opt.Timer.Now
	d.conns.limit = orDefault(cfg.Limits.Connections, defaultConnections)
	if d.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
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

// Start opens the sockets and begins to serve.
func (d *Daemon) Start() error {
	if err := d.link.Start(); err != nil {
		_ = d.listener.Close()
		return errs.Wrap(err)
	}
	d.members.Start()
	d.tasks.Go(func() { d.loop.Run(d.ctx) })
	d.tasks.Go(func() { d.rollout.Run(d.ctx) })
	d.owner.Run()
	d.every(expireInterval, d.expire)
	d.every(suspectInterval, d.tellSuspects)
	d.startLoad()
	d.startOrders()
	d.tasks.Go(func() {
		if err := d.server.Serve(d.conns.wrap(d.listener)); err != nil {
			d.log.Error().Err(err).Msg("serving ended")
		}
	})
	d.log.Info().Str("Listen", d.Addr()).Str("PeerAddr", d.link.Addr()).Msg("started")
	return nil
}

// expireInterval is the interval in which copies past their retention are dropped.
const expireInterval = 5 * time.Second

// expire forgets what is past its retention.
func (d *Daemon) expire(now time.Time) {
	d.replicas.Expire(now)
	d.suspects.Expire(now)
	d.trials.forget(func(fp uint64) bool {
		t, _ := d.suspects.Restriction(now, fp)
		return t != suspect.Unrestricted
	})
	d.throttle.Expire(now)
}

func (d *Daemon) every(interval time.Duration, f func(now time.Time)) {
	d.subs = append(d.subs, d.opt.Timer.Every(interval, f))
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

// Pause stops the traffic of the instance with its peers, callers and engines
// until it is called with false, as when the process is stopped by a debugger.
func (d *Daemon) Pause(paused bool) {
	d.link.Pause(paused)
	d.owner.Pause(paused)
}

// Serving returns the engine that a generation of this instance runs on.
func (d *Daemon) Serving(w ident.Workspace, r ident.Request) (ident.Upstream, bool) {
	g, ok := d.owner.Find(replica.RequestKey{Workspace: w, Request: r})
	if !ok {
		return "", false
	}
	return g.Upstream(), true
}

// leaveNotice is the time in which the others hear that this instance leaves
// and move their copies.
const leaveNotice = time.Second

// leavePoll is the interval of asking whether all work is done.
const leavePoll = 50 * time.Millisecond

// leaveIdle is how often in a row no work is seen before all answers count as
// written.
const leaveIdle = 2

// Leave begins a graceful shutdown and returns when all work in progress is
// done or ctx has ended. New work is refused meanwhile.
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
		waiting, _ := d.line.Admission.Len()
		idle++
		if active, _, _ := d.owner.Usage(); active > 0 || waiting > 0 || d.actionsLeft() > 0 {
			idle = 0
		}
		if idle > leaveIdle && now.After(earliest) {
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

// stopGrace is how long a leaving instance answers what has reached it after it
// takes no more connections.
const stopGrace = 100 * time.Millisecond

// Stop ends the instance. Callers still connected are cut off, so Leave goes
// before it in a planned stop.
func (d *Daemon) Stop() {
	if d.leaving.Load() {
		_ = d.listener.Close()
		answered := make(chan struct{})
		d.opt.Timer.After(stopGrace, func(time.Time) { close(answered) })
		<-answered
	}
	d.halt()
	d.members.Stop()
	d.link.Stop()
	d.tasks.Wait()
}

// Kill ends the instance as a crash would: connections are reset and nobody is told.
func (d *Daemon) Kill() {
	d.conns.reset()
	d.link.Kill()
	d.halt()
	d.members.Stop()
	d.tasks.Wait()
}

func (d *Daemon) halt() {
	d.tasks.Close()
	for _, s := range d.subs {
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

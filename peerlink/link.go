package peerlink

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/trace"

	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/timer"
)

// dialRetry is the time after a failed dial in which a peer counts as down.
const dialRetry = 200 * time.Millisecond

// Link talks to the other instances. Its methods may be called from any
// goroutine; Handle, HandleFrame, OnUp, OnDown and the fields come before Start.
type Link struct {
	// Cut says, for tests and experiments, whether what this instance sends to
	// another is lost. A connection on which something was lost stays silent
	// in that direction for good, as when a middlebox has lost track of it.
	Cut func(to ident.Instance) bool
	// CutFrom says whether what this instance receives from another is lost.
	CutFrom func(from ident.Instance) bool
	// Tracer makes the spans of calls that belong to a trace; nil makes none.
	Tracer trace.Tracer

	cfg     Settings
	timer   *timer.Service
	log     zerolog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	addr    string
	methods map[string]Handler
	frames  [256]func(from ident.Instance, payload []byte)
	counts  counters
	gate    gate
	changes changes
	dialing sync.WaitGroup
	client  *gnet.Client
	server  gnet.Engine
	served  chan error
	ticks   *timer.Subscription

	mu      sync.Mutex
	stopped bool
	conns   map[*conn]struct{}
	peers   map[ident.Instance]*peer
}

// peer is what a link knows of another instance.
type peer struct {
	addr    string
	use     *conn              // the connection that this side sends on
	conns   map[*conn]struct{} // the established ones
	retryAt time.Time
}

// New returns a link that is not started.
func New(cfg Settings, t *timer.Service, log zerolog.Logger) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		cfg:     cfg.withDefaults(),
		timer:   t,
		log:     log,
		ctx:     ctx,
		cancel:  cancel,
		methods: make(map[string]Handler),
		conns:   make(map[*conn]struct{}),
		peers:   make(map[ident.Instance]*peer),
		served:  make(chan error, 1),
	}
	l.changes.init()
	return l
}

// Handle sets the handler of a method.
func (l *Link) Handle(method string, h Handler) {
	l.methods[method] = h
}

// HandleFrame sets the handler of a kind of binary frames. It runs on an event
// loop, must not block and must not keep payload. It panics if kind is below
// FirstDataKind.
func (l *Link) HandleFrame(kind FrameKind, h func(from ident.Instance, payload []byte)) {
	if kind < FirstDataKind {
		panic("peerlink: kind of frame belongs to the link")
	}
	l.frames[kind] = h
}

// Start listens and begins to serve. It returns an error if the address cannot
// be listened on.
func (l *Link) Start() error {
	opts := []gnet.Option{gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(engineLog{l.log})}
	boot := make(chan gnet.Engine, 1)
	serve := append(opts[:len(opts):len(opts)], gnet.WithReuseAddr(true)) // a restart takes the port at once
	go func() { l.served <- gnet.Run(&events{link: l, boot: boot}, "tcp://"+l.cfg.Listen, serve...) }()
	select {
	case l.server = <-boot:
	case err := <-l.served:
		return errs.New("listen on %s: %v", l.cfg.Listen, err)
	}
	addr, err := listenAddress(l.server)
	if err != nil {
		return errs.Wrap(err)
	}
	l.addr = addr
	if l.client, err = gnet.NewClient(&events{link: l}, opts...); err != nil {
		return errs.Wrap(err)
	}
	if err := l.client.Start(); err != nil {
		return errs.Wrap(err)
	}
	l.ticks = l.timer.Every(l.tick(), l.check)
	go l.changes.run()
	return nil
}

func listenAddress(eng gnet.Engine) (string, error) {
	fd, err := eng.Dup()
	if err != nil {
		return "", err
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = f.Close() }()
	ln, err := net.FileListener(f)
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}

// Addr returns the address that l listens on, after Start.
func (l *Link) Addr() string {
	return l.addr
}

// Stop closes all connections and returns when nothing runs any more, but for
// handlers of calls. It must be called once, or Kill, after Start.
func (l *Link) Stop() {
	l.end((*conn).close)
}

// Kill resets all connections, as the death of the process would.
func (l *Link) Kill() {
	l.end((*conn).reset)
}

func (c *conn) close() {
	c.shut(nil)
}

func (l *Link) end(each func(*conn)) {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	l.ticks.Stop()
	for _, c := range l.all() {
		each(c)
	}
	l.cancel()
	l.gate.open()
	l.dialing.Wait()
	_ = l.client.Stop()
	_ = l.server.Stop(l.ctx) // only signals, for the context has ended
	<-l.served
	l.changes.stop()
}

// Pause with true stops handling and sending, as if the process were frozen;
// with false it goes on where it stopped.
func (l *Link) Pause(paused bool) {
	if paused {
		l.gate.shut()
		return
	}
	l.gate.open()
	for _, c := range l.all() {
		c.flush()
	}
}

func (l *Link) tick() time.Duration {
	return l.cfg.IdlePing / 2
}

func (l *Link) check(now time.Time) {
	if l.gate.closed() {
		return
	}
	for _, c := range l.all() {
		c.check(now, l.tick())
	}
}

func (l *Link) all() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	cs := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		cs = append(cs, c)
	}
	return cs
}

// SendFrame queues a binary frame for a peer and returns at once. Frames
// arrive in order for as long as the connection lives; what was queued on a
// connection that is lost, or never came up, is lost with it and OnDown says
// so. It returns Overloaded if the queue is full, and PeerUnavailable if the
// peer is down.
func (l *Link) SendFrame(to ident.Instance, kind FrameKind, payload []byte) error {
	c, err := l.reach(to)
	if err != nil {
		return err
	}
	if err := c.enqueue(kind, payload); err != nil {
		return err
	}
	return nil
}

func (l *Link) logEnd(c *conn, cause *result.Error) {
	if cause == nil {
		return
	}
	e := l.log.Info()
	if cause.Code != result.PeerUnavailable {
		e = l.log.Warn()
	}
	e.Str("Peer", string(c.id())).Int("Code", int(cause.Code)).Str("Result", cause.Code.String()).
		Str("Detail", cause.Detail).Msg("peer connection ended")
}

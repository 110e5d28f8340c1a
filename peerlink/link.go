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

// dialRetryDelay is the time after a failed dial during which a peer counts as down.
const dialRetryDelay = 200 * time.Millisecond

// Link communicates with the other instances. Its methods are safe for concurrent
// use, except that Handle, HandleFrame, OnUp and OnDown must be called and the fields
// be set before Start.
type Link struct {
	// DropTo reports, for tests and experiments, whether messages that this instance
	// sends to another one are lost. After the first loss on a connection, all later
	// messages in that direction are lost too, as when a middlebox has dropped the
	// state of the connection. It may be nil.
	DropTo func(to ident.Instance) bool
	// DropFrom reports the same for messages that this instance receives.
	DropFrom func(from ident.Instance) bool
	// Tracer creates spans for calls that belong to a trace. It may be nil.
	Tracer trace.Tracer

	cfg         Settings
	timer       *timer.Service
	log         zerolog.Logger
	ctx         context.Context
	cancel      context.CancelFunc
	addr        string
	methods     map[string]Handler
	frames      [256]func(from ident.Instance, payload []byte)
	counts      counters
	gate        gate
	notifier    notifier
	dialing     sync.WaitGroup
	client      *gnet.Client
	server      gnet.Engine
	serveResult chan error
	checkTimer  *timer.Subscription

	mu      sync.Mutex
	stopped bool
	conns   map[*conn]struct{}
	peers   map[ident.Instance]*peer
}

// peer holds the address and the connections of another instance.
type peer struct {
	addr    string
	active  *conn              // connection on which this side sends, or nil
	conns   map[*conn]struct{} // established connections
	retryAt time.Time          // earliest time of the next dial
}

// New returns a link that has not been started.
func New(cfg Settings, t *timer.Service, log zerolog.Logger) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		cfg:         cfg.withDefaults(),
		timer:       t,
		log:         log,
		ctx:         ctx,
		cancel:      cancel,
		methods:     make(map[string]Handler),
		conns:       make(map[*conn]struct{}),
		peers:       make(map[ident.Instance]*peer),
		serveResult: make(chan error, 1),
	}
	l.notifier.init()
	return l
}

// Handle sets the handler for calls of method.
func (l *Link) Handle(method string, h Handler) {
	l.methods[method] = h
}

// HandleFrame sets the handler for binary frames of the given kind. The handler runs
// on an event loop, so it must not block, and it must not keep payload after it
// returns. HandleFrame panics if kind is below FirstDataKind.
func (l *Link) HandleFrame(kind FrameKind, h func(from ident.Instance, payload []byte)) {
	if kind < FirstDataKind {
		panic("peerlink: frame kinds below FirstDataKind are reserved")
	}
	l.frames[kind] = h
}

// Start listens for connections and serves them. It returns an error if it cannot
// listen on the configured address.
func (l *Link) Start() error {
	opts := []gnet.Option{gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(gnetLogger{l.log})}
	boot := make(chan gnet.Engine, 1)
	serve := append(opts[:len(opts):len(opts)], gnet.WithReuseAddr(true)) // allows a restart to bind the port immediately
	go func() {
		l.serveResult <- gnet.Run(&eventHandler{link: l, booted: boot}, "tcp://"+l.cfg.Listen, serve...)
	}()
	select {
	case l.server = <-boot:
	case err := <-l.serveResult:
		return errs.New("listen on %s: %v", l.cfg.Listen, err)
	}
	addr, err := listenAddress(l.server)
	if err != nil {
		return errs.Wrap(err)
	}
	l.addr = addr
	if l.client, err = gnet.NewClient(&eventHandler{link: l}, opts...); err != nil {
		return errs.Wrap(err)
	}
	if err := l.client.Start(); err != nil {
		return errs.Wrap(err)
	}
	l.checkTimer = l.timer.Every(l.checkInterval(), l.checkConns)
	go l.notifier.run()
	return nil
}

// listenAddress returns the address that eng listens on.
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

// Addr returns the address that l listens on. It is empty before Start.
func (l *Link) Addr() string {
	return l.addr
}

// Stop closes all connections and waits until all goroutines of the link have ended,
// except those of call handlers. Either Stop or Kill must be called once after Start.
func (l *Link) Stop() {
	l.shutdown((*conn).close)
}

// Kill stops the link and resets all connections, as if the process were killed.
func (l *Link) Kill() {
	l.shutdown((*conn).reset)
}

// close closes the connection without logging a cause.
func (c *conn) close() {
	c.closeWith(nil)
}

// shutdown applies each to all connections and stops the link.
func (l *Link) shutdown(each func(*conn)) {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	l.checkTimer.Stop()
	for _, c := range l.allConns() {
		each(c)
	}
	l.cancel()
	l.gate.open()
	l.dialing.Wait()
	_ = l.client.Stop()
	_ = l.server.Stop(l.ctx) // does not wait, because the context is cancelled
	<-l.serveResult
	l.notifier.stop()
}

// Pause stops handling and sending messages if paused is true, as if the process
// were suspended. It resumes both if paused is false.
func (l *Link) Pause(paused bool) {
	if paused {
		l.gate.close()
		return
	}
	l.gate.open()
	for _, c := range l.allConns() {
		c.flush()
	}
}

// checkInterval returns the time between two checks of the connections.
func (l *Link) checkInterval() time.Duration {
	return l.cfg.IdlePing / 2
}

// checkConns pings idle connections and closes silent or unused ones.
func (l *Link) checkConns(now time.Time) {
	if l.gate.closed() {
		return
	}
	for _, c := range l.allConns() {
		c.checkActivity(now, l.checkInterval())
	}
}

// allConns returns all connections, including those not yet established.
func (l *Link) allConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	cs := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		cs = append(cs, c)
	}
	return cs
}

// SendFrame queues a binary frame for a peer and returns immediately. Frames on one
// connection arrive in order. If the connection is lost or cannot be established,
// its queued frames are lost, and the functions registered with OnDown are called.
// SendFrame returns an error with the code Overloaded if the queue is full, TooLarge
// if the payload exceeds MaxFrameBytes, and PeerUnavailable if the peer is down.
func (l *Link) SendFrame(to ident.Instance, kind FrameKind, payload []byte) error {
	c, err := l.connTo(to)
	if err != nil {
		return err
	}
	if err := c.enqueue(kind, payload); err != nil {
		return err
	}
	return nil
}

// logClosed logs the end of a connection unless it was closed without a cause.
func (l *Link) logClosed(c *conn, cause *result.Error) {
	if cause == nil {
		return
	}
	e := l.log.Info()
	if cause.Code != result.PeerUnavailable {
		e = l.log.Warn()
	}
	e.Str("Peer", string(c.id())).Int("Code", int(cause.Code)).Str("Result", cause.Code.String()).
		Str("Detail", cause.Detail).Msg("peer connection closed")
}

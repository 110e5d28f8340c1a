package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"crocuslug/bodybudget"
	"crocuslug/connectionlimit"
	"crocuslug/directory"
	"crocuslug/socket"
	"crocuslug/timer"
)

// Settings of a Server. Zero values of all fields but Listen stand for the defaults.
type Settings struct {
	Listen         string        // address host:port
	BodyTimeout    time.Duration // from the start of a request to the end of its body; 0 means 15s
	WriteTimeout   time.Duration // limit of one write to a caller; 0 means 5s
	MaxConnections int           // number of open connections beyond which others give way or new ones are closed; 0 means 2000

	Bodies *bodybudget.Budget // memory of all bodies and answers in progress; nil means no bound
}

// Defaults of Settings.
const (
	defaultBodyTimeout    = 15 * time.Second
	defaultWriteTimeout   = 5 * time.Second
	defaultMaxConnections = 2000
)

// Ports are the functions that a Server calls.
type Ports struct {
	// Handle answers a request. If it returns without a complete answer, the connection is closed.
	Handle func(c *Call)
	// Limits returns the limits in force.
	Limits func() directory.Limits
	// Rejected reports a request that could not be read and was answered with status.
	Rejected func(caller string, status int, cause error)
}

// Server serves the connections of callers.
type Server struct {
	cfg   Settings
	ports Ports
	timer *timer.Service
	log   zerolog.Logger

	bodies *bodybudget.Budget
	limit  *connectionlimit.Limit

	listener net.Listener
	draining atomic.Bool // answers ask callers to close their connections
	closed   atomic.Bool // Close was called: connections end after the request in progress
	running  sync.WaitGroup

	mu   sync.Mutex
	open map[*connection]struct{}
}

// New returns a server that does not listen yet.
func New(cfg Settings, ports Ports, t *timer.Service, log zerolog.Logger) *Server {
	if cfg.BodyTimeout <= 0 {
		cfg.BodyTimeout = defaultBodyTimeout
	}
	if cfg.WriteTimeout <= 0 {
		cfg.WriteTimeout = defaultWriteTimeout
	}
	if cfg.MaxConnections <= 0 {
		cfg.MaxConnections = defaultMaxConnections
	}
	return &Server{
		cfg: cfg, ports: ports, timer: t, log: log, bodies: cfg.Bodies,
		limit: connectionlimit.New(connectionlimit.Settings{Most: cfg.MaxConnections}),
		open:  make(map[*connection]struct{}),
	}
}

// Start opens the listener and serves connections in the background.
func (s *Server) Start() error {
	l, err := socket.Listen(s.cfg.Listen)
	if err != nil {
		return errs.Wrap(err)
	}
	s.listener = l
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		s.accept()
	}()
	return nil
}

// Addr returns the address on which s listens. It is valid after Start.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// acceptRetryDelay is the wait after a failure to accept a connection, for example for lack of
// file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

func (s *Server) accept() {
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("could not accept a connection; trying again")
			s.pause(acceptRetryDelay)
			continue
		}
		c := &connection{Conn: nc, server: s, ctx: context.Background()}
		c.evict = c.giveWay
		c.head = headReader{Conn: nc}
		c.headLimit = &io.LimitedReader{R: &c.head, N: unlimited}
		c.br = bufio.NewReaderSize(c.headLimit, readBuffer)
		c.bw = bufio.NewWriterSize(nc, writeBuffer)
		now := s.timer.Now()
		c.setReadTimeout(now, s.ports.Limits().IdleTimeout) // stopReading overrides it
		if !s.add(c, now) {
			s.log.Warn().Int("Connections", s.cfg.MaxConnections).Str("Caller", nc.RemoteAddr().String()).Msg("too many open connections; closing a new one")
			_ = nc.Close() // nothing was read from it
			continue
		}
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			defer s.remove(c)
			c.serve()
		}()
	}
}

func (s *Server) pause(d time.Duration) {
	done := make(chan struct{})
	s.timer.After(d, func(time.Time) { close(done) })
	<-done
}

func (s *Server) add(c *connection, now time.Time) bool {
	c.place = s.limit.Open(now, c.stopReading)
	if c.place == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	return true
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	delete(s.open, c)
	s.mu.Unlock()
	_ = c.Conn.Close() // may already be closed
	c.place.Release()
}

func (s *Server) leaving() bool { return s.draining.Load() }

// Leave makes each further answer ask its caller to close the connection. New connections are
// still accepted, because the load balancer sends them for a while.
func (s *Server) Leave() { s.draining.Store(true) }

// Close stops accepting connections and closes those without a request in progress.
func (s *Server) Close() {
	s.draining.Store(true)
	s.closed.Store(true)
	_ = s.listener.Close() // may already be closed
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.closeIfIdle()
	}
}

// EndRequests ends the contexts of the requests in progress with the given cause. Their connections
// stay open, so that they can still be answered.
func (s *Server) EndRequests(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.endRequest(cause)
	}
}

// Wait waits until all connections have ended. If ctx ends first, it returns the error of ctx.
func (s *Server) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Connections returns the numbers of open connections, and of those that gave way or were refused.
func (s *Server) Connections() connectionlimit.Counts { return s.limit.Counts() }

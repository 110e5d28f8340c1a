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

	"crocuslug/directory"
	"crocuslug/timer"
)

// Settings of a Server. The zero value of all but Listen takes the defaults.
type Settings struct {
	Listen       string        // host:port
	BodyTimeout  time.Duration // from the start of a request to the end of its body; 0 means 15s
	WriteTimeout time.Duration // of one write to a caller; 0 means 5s
	Connections  int           // open at once; more are closed; 0 means 2000
}

// Defaults of Settings.
const (
	defaultBodyTimeout  = 15 * time.Second
	defaultWriteTimeout = 5 * time.Second
	defaultConnections  = 2000
)

// Ports are what a Server calls.
type Ports struct {
	// Handle answers a request. The connection is closed after it unless the
	// answer is whole.
	Handle func(c *Call)
	// Limits returns the limits in force.
	Limits func() directory.Limits
	// Rejected tells of a request that was answered with status and not handled.
	Rejected func(caller string, status int)
}

// Server serves the connections of callers.
type Server struct {
	cfg   Settings
	ports Ports
	timer *timer.Service
	log   zerolog.Logger

	listener net.Listener
	left     atomic.Bool
	closed   atomic.Bool
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
	if cfg.Connections <= 0 {
		cfg.Connections = defaultConnections
	}
	return &Server{cfg: cfg, ports: ports, timer: t, log: log, open: make(map[*connection]struct{})}
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	l, err := net.Listen("tcp", s.cfg.Listen)
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

// Addr returns the address that s listens on, after Start.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// acceptPause is the wait after a failure to accept, such as want of descriptors.
const acceptPause = 20 * time.Millisecond

func (s *Server) accept() {
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("cannot accept a connection")
			s.pause(acceptPause)
			continue
		}
		c := &connection{Conn: nc, server: s, ctx: context.Background()}
		c.in = &io.LimitedReader{R: nc, N: unlimited}
		c.br = bufio.NewReaderSize(c.in, readBuffer)
		c.bw = bufio.NewWriterSize(nc, writeBuffer)
		if !s.add(c) {
			s.log.Warn().Int("Connections", s.cfg.Connections).Str("Caller", nc.RemoteAddr().String()).Msg("connection refused: too many are open")
			_ = nc.Close() // nothing was read
			continue
		}
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			defer s.remove(c)
			c.readBy(s.timer.Now(), s.ports.Limits().IdleTimeout)
			c.serve()
		}()
	}
}

func (s *Server) pause(d time.Duration) {
	done := make(chan struct{})
	s.timer.After(d, func(time.Time) { close(done) })
	<-done
}

func (s *Server) add(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.open) >= s.cfg.Connections {
		return false
	}
	s.open[c] = struct{}{}
	return true
}

func (s *Server) remove(c *connection) {
	s.mu.Lock()
	delete(s.open, c)
	s.mu.Unlock()
	_ = c.Conn.Close() // may have been closed
}

func (s *Server) leaving() bool { return s.left.Load() }

// Leave tells callers to close with their next answer. New connections are
// still taken, since the balancer sends them for a while.
func (s *Server) Leave() { s.left.Store(true) }

// Close takes no more connections and closes those without a request in
// progress.
func (s *Server) Close() {
	s.left.Store(true)
	s.closed.Store(true)
	_ = s.listener.Close() // may have been closed
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.dismiss()
	}
}

// Wait waits until no request is in progress or ctx ends.
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

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

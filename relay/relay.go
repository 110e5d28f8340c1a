// Package relay passes connections to upstreams through another instance.
//
// An instance that is cut off from an upstream asks one that reaches it to open a connection there. The
// helper opens the connection, offers it under a token that can be used once, and copies bytes in both
// directions. What the bytes mean stays with the instance that asked: it decides on attempts, limits and
// retries as on a connection of its own, and closing its end closes the connection to the upstream.
//
// The bytes of the upstream are sent in frames, of which the last one is empty, because an answer may
// end with its connection: it must not look whole if the helper or its connection is lost.
//
// An instance that is cut off from its helper may go on elsewhere, and no close reaches the helper. The
// helper therefore sends frames without data, beats, while it has nothing to pass on, and closes the
// connection to the upstream soon after the kernel of the instance acknowledges nothing any more. The
// instance waits until the helper has closed their connection, or until the helper must have noticed,
// counted from the last data that it received. This needs clocks that run at the same rate, not equal ones.
package relay

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"crocuslug/background"
	"crocuslug/ident"
	"crocuslug/timer"
	"crocuslug/unit"
)

// Settings configures a Server. Zero fields take the defaults.
type Settings struct {
	Listen       string        // IP:port at which other instances claim connections; port 0 means any
	MaxOpen      int           // connections that are offered or passed on at once; 0 means 256
	ClaimTimeout time.Duration // after which an offered connection that nobody has claimed is closed; 0 means 1s
}

// Defaults of Settings.
const (
	defaultMaxOpen      = 256
	defaultClaimTimeout = time.Second
)

// Server passes connections on for other instances. Its methods are safe for concurrent use.
type Server struct {
	// Accepted, if it is not nil, is called with each connection of another instance. It may be set
	// before Start.
	Accepted func(c *net.TCPConn)

	cfg      Settings
	timer    *timer.Service
	log      zerolog.Logger
	tasks    background.Group
	listener net.Listener
	checks   *timer.Subscription

	mu      sync.Mutex
	stopped bool
	offered map[string]*passage   // by token
	open    map[*passage]struct{} // offered or passed on
}

// tokenBytes is the length of a token before its encoding.
const tokenBytes = 16

// New returns a server that is not started.
func New(cfg Settings, t *timer.Service, log zerolog.Logger) *Server {
	if cfg.MaxOpen <= 0 {
		cfg.MaxOpen = defaultMaxOpen
	}
	unit.SetDefault(&cfg.ClaimTimeout, defaultClaimTimeout)
	return &Server{cfg: cfg, timer: t, log: log, offered: make(map[string]*passage), open: make(map[*passage]struct{})}
}

// Start opens the listener. It returns an error if it cannot listen.
func (s *Server) Start() error {
	cfg := net.ListenConfig{KeepAliveConfig: keepAlive}
	l, err := cfg.Listen(context.Background(), "tcp", s.cfg.Listen)
	if err != nil {
		return errs.Wrap(err)
	}
	s.listener = l
	s.checks = s.timer.Every(checkInterval, s.check)
	s.tasks.Go(s.accept)
	return nil
}

// keepAlive makes the kernel detect within some seconds that the other instance is gone.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

// Addr returns the address at which connections are claimed.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Open returns the number of connections that are offered or passed on.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Full reports whether no more connections can be offered.
func (s *Server) Full() bool { return s.Open() >= s.cfg.MaxOpen }

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.mu.Lock()
	s.stopped = true
	for p := range s.open {
		_ = p.up.Close()
		if down := p.down.Load(); down != nil {
			reset(down) // a write to it may be blocked
		}
	}
	s.mu.Unlock()
	if s.listener != nil {
		s.checks.Stop()
		_ = s.listener.Close()
	}
	s.tasks.Close()
	s.tasks.Wait()
}

// Offer keeps a connection to an upstream for the instance peer, which is told its token. With beats, peer
// understands them. Offer closes the connection and returns false if there are too many.
func (s *Server) Offer(up net.Conn, upstream ident.Upstream, peer ident.Instance, beats bool) (token string, ok bool) {
	b := make([]byte, tokenBytes)
	_, _ = rand.Read(b) // never returns an error
	token = hex.EncodeToString(b)
	p := &passage{up: up, upstream: upstream, peer: peer, beats: beats}
	s.mu.Lock()
	ok = !s.stopped && len(s.open) < s.cfg.MaxOpen
	if ok {
		s.offered[token] = p
		s.open[p] = struct{}{}
	}
	s.mu.Unlock()
	if !ok {
		_ = up.Close()
		return "", false
	}
	s.timer.After(s.cfg.ClaimTimeout, func(time.Time) {
		if p := s.claim(token); p != nil {
			s.close(p)
			s.log.Info().Str("Peer", string(peer)).Str("Upstream", string(upstream)).Msg("offered connection was not claimed")
		}
	})
	return token, true
}

// claim returns the connection offered under a token, once, or nil.
func (s *Server) claim(token string) *passage {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.offered[token]
	delete(s.offered, token)
	return p
}

// accept serves the connections of other instances until Stop.
func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.log.Warn().Err(err).Msg("could not accept a connection that is to be relayed")
			s.pause()
			continue
		}
		down := c.(*net.TCPConn)
		if s.Accepted != nil {
			s.Accepted(down)
		}
		s.tasks.Go(func() { s.serve(down) })
	}
}

// pause waits a moment after a failure to accept, such as for lack of descriptors.
func (s *Server) pause() {
	const retryTime = 50 * time.Millisecond
	over := make(chan struct{})
	s.timer.After(retryTime, func(time.Time) { close(over) })
	<-over
}

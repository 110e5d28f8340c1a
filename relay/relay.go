// Package relay passes connections to upstreams through another instance.
//
// An instance that is cut off from an upstream asks one that reaches it to open a connection there. The
// helper opens the connection, offers it under a token that can be used once, and copies bytes in both
// directions. What the bytes mean stays with the instance that asked: it decides on attempts, limits and
// retries as on a connection of its own, and closing its end closes the connection to the upstream.
//
// The bytes of the upstream are sent in frames, of which the last one is empty, because an answer may
// end with its connection: it must not look whole if the helper or its connection is lost.
package relay

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
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

	mu      sync.Mutex
	stopped bool
	offered map[string]*passage   // by token
	open    map[*passage]struct{} // offered or passed on
}

// passage is a connection to an upstream that is offered or passed on.
type passage struct {
	up       net.Conn
	upstream ident.Upstream
	peer     ident.Instance // that asked for it
}

// tokenBytes is the length of a token before its encoding.
const tokenBytes = 16

// maxFrame is the largest number of bytes of one frame.
const maxFrame = 16 << 10

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
	}
	s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.tasks.Close()
	s.tasks.Wait()
}

// Offer keeps a connection to an upstream for the instance peer, which is told its token. It closes the
// connection and returns false if there are too many.
func (s *Server) Offer(up net.Conn, upstream ident.Upstream, peer ident.Instance) (token string, ok bool) {
	b := make([]byte, tokenBytes)
	_, _ = rand.Read(b) // never returns an error
	token = hex.EncodeToString(b)
	p := &passage{up: up, upstream: upstream, peer: peer}
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

// close closes a connection to an upstream.
func (s *Server) close(p *passage) {
	s.mu.Lock()
	delete(s.open, p)
	s.mu.Unlock()
	_ = p.up.Close()
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

// serve reads the token on a connection of another instance and passes the connection on.
func (s *Server) serve(down *net.TCPConn) {
	defer func() { _ = down.Close() }()
	_ = down.SetReadDeadline(s.timer.Now().Add(s.cfg.ClaimTimeout))
	token := make([]byte, hex.EncodedLen(tokenBytes))
	if _, err := io.ReadFull(down, token); err != nil {
		return // nothing was claimed
	}
	p := s.claim(string(token))
	if p == nil {
		return
	}
	defer s.close(p)
	_ = down.SetReadDeadline(time.Time{})
	began := s.timer.Now()
	sent := make(chan struct{})
	var left error // why the copy to the upstream ended; valid once sent is closed
	go func() {
		defer close(sent)
		_, left = io.Copy(p.up, down) // it ends when either side does
		_ = p.up.Close()              // the other instance has left the request, or cannot send it
	}()
	n, err := copyFrames(down, p.up)
	if err != nil {
		_ = down.SetLinger(0)
	}
	_ = down.Close()
	<-sent
	s.log.Info().Str("Peer", string(p.peer)).Str("Upstream", string(p.upstream)).Str("Connection", down.RemoteAddr().String()).
		Int64("Bytes", n).Dur("OpenMs", s.timer.Now().Sub(began)).AnErr("FromUpstream", err).AnErr("ToUpstream", left).Msg("relayed connection ended")
}

// copyFrames sends what an upstream writes in frames. It returns the number of bytes that the upstream
// wrote, and nil if the upstream ended the connection in order.
func copyFrames(down io.Writer, up io.Reader) (total int64, err error) {
	const header = 2 // bytes
	b := make([]byte, header+maxFrame)
	for {
		n, err := up.Read(b[header:])
		total += int64(n)
		if n > 0 {
			binary.BigEndian.PutUint16(b, uint16(n))
			if _, werr := down.Write(b[:header+n]); werr != nil {
				return total, werr
			}
		}
		if err == io.EOF {
			_, err = down.Write([]byte{0, 0})
			return total, err
		}
		if err != nil {
			return total, err
		}
	}
}

// Conn is a connection to an upstream through another instance.
type Conn struct {
	*net.TCPConn
	Helper ident.Instance // the instance that passes it on

	head  [2]byte // of the present frame
	have  int     // bytes of head that were read
	left  int     // bytes of the frame that were not read
	ended bool
}

// Dial claims the connection that a helper offers at an address under a token.
func Dial(ctx context.Context, helper ident.Instance, address, token string) (*Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	if _, err := io.WriteString(c, token); err != nil {
		_ = c.Close()
		return nil, errs.Wrap(err)
	}
	return &Conn{TCPConn: c.(*net.TCPConn), Helper: helper}, nil
}

// Read reads what the upstream wrote. It returns io.EOF only if the upstream ended the connection.
func (c *Conn) Read(b []byte) (int, error) {
	for c.left == 0 {
		if c.ended {
			return 0, io.EOF
		}
		n, err := c.TCPConn.Read(c.head[c.have:])
		c.have += n
		if c.have == len(c.head) {
			c.have, c.left = 0, int(binary.BigEndian.Uint16(c.head[:]))
			c.ended = c.left == 0
			continue
		}
		if err != nil {
			return 0, unexpected(err)
		}
	}
	n, err := c.TCPConn.Read(b[:min(len(b), c.left)])
	c.left -= n
	if n > 0 {
		return n, nil
	}
	return 0, unexpected(err)
}

// unexpected returns io.ErrUnexpectedEOF in place of io.EOF.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// WriteTo writes what the upstream wrote, unlike that of TCPConn, which would copy the frames.
func (c *Conn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

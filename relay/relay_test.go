package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/timer"
)

const waitLimit = 10 * time.Second

// pair is a connection of an instance to an upstream through a helper.
type pair struct {
	server   *Server
	upstream *net.TCPConn // the upstream's end
	conn     *Conn        // the instance's end
}

func newServer(t *testing.T, cfg Settings) *Server {
	t.Helper()
	return newServerWith(t, cfg, nil)
}

// newServerWith returns a server that passes its connections to accepted.
func newServerWith(t *testing.T, cfg Settings, accepted func(c *net.TCPConn)) *Server {
	t.Helper()
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go clock.Run(ctx)
	cfg.Listen = "127.0.0.1:0"
	s := New(cfg, clock, zerolog.Nop())
	s.Accepted = accepted
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// dialUpstream returns both ends of a connection of a helper to an upstream.
func dialUpstream(t testing.TB) (helper, upstream *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	u, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = u.Close() })
	_ = u.SetDeadline(time.Now().Add(waitLimit))
	return c.(*net.TCPConn), u.(*net.TCPConn)
}

func newPair(t *testing.T) *pair {
	t.Helper()
	return newPairAt(t, newServer(t, Settings{}), true)
}

// newPairAt returns a pair at a server. With beats the server sends them.
func newPairAt(t *testing.T, s *Server, beats bool) *pair {
	t.Helper()
	helper, upstream := dialUpstream(t)
	token, ok := s.Offer(helper, "upstream", "peer", beats)
	if !ok {
		t.Fatal("Offer: got false, want true")
	}
	conn, err := Dial(context.Background(), s.timer, "peer", s.Addr(), token, beats)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	return &pair{s, upstream, conn}
}

// TestBytes checks that bytes pass in both directions unchanged, also if read deadlines pass between
// them, and that the end of the upstream's connection is the end of the stream.
func TestBytes(t *testing.T) {
	p := newPair(t)
	if _, err := io.WriteString(p.conn, "request"); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len("request"))
	if _, err := io.ReadFull(p.upstream, got); err != nil || string(got) != "request" {
		t.Errorf("at the upstream: got %q, %v, want %q", got, err, "request")
	}
	want := bytes.Repeat([]byte("answer "), 100_000)
	go func() {
		for rest := want; len(rest) > 0; {
			n := min(len(rest), 99_991)
			_, _ = p.upstream.Write(rest[:n])
			rest = rest[n:]
		}
		_ = p.upstream.Close()
	}()
	var answer []byte
	b := make([]byte, 1013)
	for {
		_ = p.conn.SetReadDeadline(time.Now().Add(200 * time.Microsecond))
		n, err := p.conn.Read(b)
		answer = append(answer, b[:n]...)
		if err == io.EOF {
			break
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(answer, want) {
		t.Errorf("answer: got %d bytes, want the %d that were sent", len(answer), len(want))
	}
}

// TestBroken guards against an answer that looks whole although the upstream reset its connection or the
// helper ended.
func TestBroken(t *testing.T) {
	tests := map[string]func(p *pair){
		"upstream resets": func(p *pair) {
			_ = p.upstream.SetLinger(0)
			_ = p.upstream.Close()
		},
		"helper stops": func(p *pair) { p.server.Stop() },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			if _, err := io.WriteString(p.upstream, "part"); err != nil {
				t.Fatal(err)
			}
			b := make([]byte, len("part"))
			if _, err := io.ReadFull(p.conn, b); err != nil {
				t.Fatal(err)
			}
			end(p)
			if n, err := p.conn.Read(b); n > 0 || err == nil || err == io.EOF {
				t.Errorf("got %d bytes, %v, want an error other than EOF", n, err)
			}
		})
	}
}

// TestClosed guards against an upstream that works on although the instance has left the request.
func TestClosed(t *testing.T) {
	p := newPair(t)
	_ = p.conn.Close()
	if n, err := p.upstream.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Errorf("at the upstream: got %d bytes, %v, want its connection closed", n, err)
	}
	for end := time.Now().Add(waitLimit); p.server.Open() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("open connections: got %d, want none", p.server.Open())
		}
	}
}

// TestTokens guards against a connection that is claimed twice, or without its token, or that stays open
// though nobody claims it.
func TestTokens(t *testing.T) {
	s := newServer(t, Settings{ClaimTimeout: 200 * time.Millisecond, MaxOpen: 2})
	var ends []*net.TCPConn
	var tokens []string
	for range 2 {
		helper, upstream := dialUpstream(t)
		token, ok := s.Offer(helper, "upstream", "peer", true)
		if !ok {
			t.Fatal("Offer: got false, want true")
		}
		tokens, ends = append(tokens, token), append(ends, upstream)
	}
	helper, upstream := dialUpstream(t)
	if _, ok := s.Offer(helper, "upstream", "peer", true); ok || !s.Full() {
		t.Errorf("third connection: got %t, full %t, want it refused", ok, s.Full())
	}
	if _, err := upstream.Read(make([]byte, 1)); err == nil {
		t.Errorf("third connection: got it open, want it closed")
	}
	claim := func(token string) error {
		c, err := Dial(context.Background(), s.timer, "peer", s.Addr(), token, true)
		if err != nil {
			return err
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, err = c.Read(make([]byte, 1))
		return err
	}
	wrong := []byte(tokens[0])
	wrong[0] ^= 1
	if err := claim(string(wrong)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("wrong token: got %v, want the connection closed", err)
	}
	if err := claim(tokens[0]); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("token: got %v, want a connection without bytes yet", err)
	}
	if err := claim(tokens[0]); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("token used twice: got %v, want the connection closed", err)
	}
	if _, err := ends[1].Read(make([]byte, 1)); err == nil {
		t.Errorf("connection that nobody claimed: got it open, want it closed")
	}
}

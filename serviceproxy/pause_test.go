package serviceproxy

import (
	"net"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/health"
)

// pausedListener returns a listener whose queue of connections is full, so that new ones get
// no response until its server accepts them.
func pausedListener(t *testing.T) net.Listener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	const wait = 100 * time.Millisecond
	for {
		conn, err := net.DialTimeout("tcp", l.Addr().String(), wait)
		if err != nil {
			return l
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// pause makes the only upstream accept no connection for a time and then go on. Kinds
// receives the outcomes reported for its health.
func (b *fixture) pause(t *testing.T, d time.Duration) (kinds *[]health.Kind) {
	t.Helper()
	l := pausedListener(t)
	b.live, b.kinds = l.Addr().String(), nil
	s := &fasthttp.Server{Handler: b.serve}
	time.AfterFunc(d, func() { _ = s.Serve(l) })
	t.Cleanup(func() { _ = l.Close() })
	return &b.kinds
}

// TestPausedUpstreamIsNotDead guards against taking an upstream for dead that paused while it
// was being connected to.
func TestPausedUpstreamIsNotDead(t *testing.T) {
	for _, c := range []struct{ method, path, key string }{
		{"GET", "/records/x", "-"},
		{"POST", "/bookings", "k1"},
	} {
		t.Run(c.method, func(t *testing.T) {
			t.Parallel()
			b := newFixture(t)
			kinds := b.pause(t, 1500*time.Millisecond)
			b.send(c.method, c.path, c.key, "a", "only")
			if len(*kinds) == 0 || slices.Contains(*kinds, health.Refused) {
				t.Errorf("outcomes: got %v, want some and none that is Refused", *kinds)
			}
		})
	}
}

// TestUpstreamPausesBeforeConnection guards against requests that end because their only
// upstream paused while it was being connected to.
func TestUpstreamPausesBeforeConnection(t *testing.T) {
	for _, c := range []struct{ method, path, key, want string }{
		{"GET", "/records/x", "-", "200 0"},
		{"PUT", "/notes", "-", "200 0"},
		{"POST", "/bookings", "k1", "201 1"},
	} {
		t.Run(c.method, func(t *testing.T) {
			t.Parallel()
			b := newFixture(t)
			b.pause(t, 1500*time.Millisecond)
			if got := b.send(c.method, c.path, c.key, "a", "only"); got != c.want {
				t.Errorf("%s %s: got %q, want %q", c.method, c.path, got, c.want)
			}
		})
	}
}

// TestUpstreamPausesBeforeAnswer guards against requests that end because their upstream
// paused after it had read them, also those that must not be repeated.
func TestUpstreamPausesBeforeAnswer(t *testing.T) {
	b := newFixture(t)
	for _, c := range []struct{ method, path, key, want string }{
		{"GET", "/records/x", "-", "200 0"},
		{"PUT", "/notes", "-", "200 0"},
		{"POST", "/bookings", "k1", "201 1"},
	} {
		if got := b.send(c.method, c.path, c.key, "a", "pause"); got != c.want {
			t.Errorf("%s %s: got %q, want %q", c.method, c.path, got, c.want)
		}
	}
}

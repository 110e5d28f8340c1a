package loopback

import (
	"errors"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
)

// TestReserved guards against an address that somebody else gets while its owner is down, and
// against one that its owner cannot listen on again.
func TestReserved(t *testing.T) {
	a, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer a.Release()
	port := portOf(t, a)
	for start := range 3 {
		if _, err := bind(port); !errors.Is(err, syscall.EADDRINUSE) {
			t.Fatalf("bind while down before start %d: got error %v, want %v", start, err, syscall.EADDRINUSE)
		}
		if _, err := net.Dial("tcp", a.String()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("dial while down before start %d: got error %v, want %v", start, err, syscall.ECONNREFUSED)
		}
		listenOnce(t, a.String())
	}
	a.Release()
	f, err := bind(port)
	if err != nil {
		t.Fatalf("bind after Release: got error %v, want none", err)
	}
	_ = f.Close()
}

// listenOnce listens on address and ends a connection to it by a reset, as a killed program does.
func listenOnce(t *testing.T, address string) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// TestOutsideEphemeralRange guards against addresses that run out together with the ports of
// outgoing connections.
func TestOutsideEphemeralRange(t *testing.T) {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Fatal(err)
	}
	first, err := strconv.Atoi(strings.Fields(string(text))[0])
	if err != nil {
		t.Fatal(err)
	}
	if maxPort > first {
		t.Errorf("end of the reserved range: got %d, want at most %d", maxPort, first)
	}
}

// TestUnique guards against two parts with the same address. So many are reserved that random
// ports would collide.
func TestUnique(t *testing.T) {
	const count = 500
	seen := make(map[string]bool)
	for range count {
		a, err := Reserve()
		if err != nil {
			t.Fatal(err)
		}
		defer a.Release()
		if seen[a.String()] {
			t.Fatalf("address %s: got it twice, want it once", a)
		}
		seen[a.String()] = true
	}
}

func portOf(t *testing.T, a *Address) int {
	t.Helper()
	_, port, err := net.SplitHostPort(a.String())
	if err != nil {
		t.Fatal(err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

package standinsite

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"crocuslug/standinengine"
)

// TestAddressesOfKilled guards against parts of other sites that get the address of a killed
// engine or instance, which keeps the engine from its restart and answers callers of this site.
func TestAddressesOfKilled(t *testing.T) {
	s := New(Settings{Instances: 1, Engines: 1, Services: 1, Engine: standinengine.Settings{Slots: 1}})
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	addresses := map[string]string{
		"engine": s.Engines[0].Addr(), "service": s.Services[0].Addr(), "store": s.KeyValue["accra"].Addr(),
		"instance": s.Instances[0].Addr(), "peer link": s.Instances[0].PeerAddr(),
	}
	s.KillInstance(addresses["instance"])
	s.Engines[0].Kill()
	s.Services[0].Kill()
	s.KeyValue["accra"].Kill()
	for name, address := range addresses {
		if err := bindExclusively(t, address); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("bind to the address of the killed %s: got error %v, want %v", name, err, syscall.EADDRINUSE)
		}
	}
	for name, restart := range map[string]func() error{"engine": s.Engines[0].Restart, "service": s.Services[0].Restart, "store": s.KeyValue["accra"].Restart} {
		if err := restart(); err != nil {
			t.Errorf("restart of the %s: got error %v, want none", name, err)
		}
	}
	if got, want := s.Engines[0].Addr(), addresses["engine"]; got != want {
		t.Errorf("address of the engine after its restart: got %s, want %s", got, want)
	}
}

// bindExclusively binds a socket to a loopback address, as the kernel does for one that asks for
// any free port: a bound socket in any state keeps the port.
func bindExclusively(t *testing.T, address string) error {
	t.Helper()
	a, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	return syscall.Bind(fd, &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte{127, 0, 0, 1}})
}

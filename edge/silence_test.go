package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"crocuslug/directory"
	"crocuslug/nativewire"
	"crocuslug/standinkeyvalue"
	"crocuslug/standinregistered"
)

// Bounds of the users' platform: instances count as undisturbed stableTime after a disturbance of
// the store, and have drainTime to react to what the store has acknowledged.
const (
	stableTime = 3 * time.Second
	drainTime  = 2 * time.Second
)

// TestChangesSeenAfterSilentStore guards against watches that are never answered: all connections
// to the store become silent without being closed, and the instances must soon learn of a leaving
// upstream and a new configuration all the same.
func TestChangesSeenAfterSilentStore(t *testing.T) {
	for _, n := range []int{1, 5} {
		t.Run(fmt.Sprintf("%d instances", n), func(t *testing.T) {
			s := newSite(t)
			s.putConfiguration(3)
			undisturbed := standinkeyvalue.NewServer(s.store, "", nil)
			if err := undisturbed.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(undisturbed.Stop)
			leave := s.startServingUpstream(undisturbed.Addr())
			var listen []string
			var seeds []string
			for i := range n {
				_, cfg := s.startInstance(fmt.Sprintf("e%d", i+1), s.http.Addr(), seeds...)
				listen, seeds = append(listen, cfg.Listen), append(seeds, cfg.PeerListen)
			}
			for _, addr := range listen {
				s.waitForStatus(addr, "/unsafe/x", "k", http.StatusOK)
			}
			s.waitForPeers(listen)
			began := time.Now()
			s.http.Silence()
			leave()
			s.waitForDraining()
			s.doc.Workspaces[0].Keys = []string{"k2"}
			s.putConfiguration(5)
			for _, addr := range listen {
				s.waitForStatus(addr, "/unsafe/x", "k2", http.StatusServiceUnavailable)
			}
			if got, limit := time.Since(began), stableTime+drainTime; got > limit {
				t.Errorf("changes known everywhere after %v, want at most %v", got, limit)
			}
		})
	}
}

// startServingUpstream starts an upstream of the plain service. The function that it returns makes
// the upstream report that it is leaving, and serve on until the test ends.
func (s *site) startServingUpstream(storeAddress string) (leave func()) {
	s.t.Helper()
	u := standinregistered.New(standinregistered.Settings{
		Listen: reserveAddress(s.t), Store: storeAddress, Service: "plain", Domain: "a", Drain: waitLimit,
	}, s.clock)
	if err := u.Start(); err != nil {
		s.t.Fatal(err)
	}
	var running sync.WaitGroup
	s.t.Cleanup(func() {
		u.Kill()
		running.Wait()
	})
	return func() { running.Go(u.Stop) }
}

// waitForPeers waits until all instances have exchanged digests for a second, so that they agree on
// who watches the store.
func (s *site) waitForPeers(listen []string) {
	if len(listen) > 1 {
		time.Sleep(2500 * time.Millisecond)
	}
}

// waitForUpstreams waits until the store lists n upstreams.
func (s *site) waitForUpstreams(n int) {
	s.t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		entries, err := s.store.List(context.Background(), nativewire.UpstreamsPrefix)
		if err != nil {
			s.t.Fatal(err)
		}
		if len(entries) == n {
			return
		}
	}
	s.t.Fatalf("the store does not list %d upstreams", n)
}

// waitForDraining waits until the store lists an upstream that is leaving.
func (s *site) waitForDraining() {
	s.t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		entries, err := s.store.List(context.Background(), nativewire.UpstreamsPrefix)
		if err != nil {
			s.t.Fatal(err)
		}
		for _, entry := range entries {
			var u directory.Upstream
			if err := json.Unmarshal(entry.Value, &u); err != nil {
				s.t.Fatal(err)
			}
			if u.Draining {
				return
			}
		}
	}
	s.t.Fatal("no upstream reports that it is leaving")
}

package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
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

// TestLeavingSeenAfterSilentWatches guards against instances that learn later than they have to react to
// leaving upstreams that one leaves, because the watches of all watchers are never answered: a watch is
// under way everywhere when all connections to the store become silent, and the upstream leaves right
// after that. In the second case a failure domain loses its watcher at that moment as well.
func TestLeavingSeenAfterSilentWatches(t *testing.T) {
	for _, drain := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		for _, lost := range []bool{false, true} {
			t.Run(fmt.Sprintf("drain %v, watcher lost %v", drain, lost), func(t *testing.T) {
				s := newSite(t)
				s.drain = drain
				s.putConfiguration(3)
				undisturbed := standinkeyvalue.NewServer(s.store, "", nil)
				if err := undisturbed.Start(); err != nil {
					t.Fatal(err)
				}
				t.Cleanup(undisturbed.Stop)
				leave := s.startServingUpstream(undisturbed.Addr())
				const domains, each = 3, 3
				var listen, seeds []string
				stops, ready := make(map[string]func()), make(map[string]string)
				for i := range domains * each {
					e, cfg := s.startInstanceIn(ident.Domain(fmt.Sprintf("d%d", i%domains)), fmt.Sprintf("e%d", i), s.http.Addr(), nil, seeds...)
					listen, seeds = append(listen, cfg.Listen), append(seeds, cfg.PeerListen)
					stops[cfg.Listen], ready[cfg.Listen] = s.stops[e], cfg.ReadyListen
				}
				for _, addr := range listen {
					s.waitForStatus(addr, "/unsafe/x", "k", http.StatusOK)
				}
				s.waitForPeers(listen)
				s.doc.Workspaces[0].Keys = []string{"k", "k2"}
				s.putConfiguration(5) // ends all watches, and the next ones begin after a pause
				time.Sleep(max(250*time.Millisecond, drain/8) + 60*time.Millisecond)
				if lost {
					i := slices.IndexFunc(listen, func(addr string) bool { return metric(t, ready[addr], "Store.Watcher") == "true" })
					if i < 0 {
						t.Fatal("watchers: got none, want some")
					}
					stops[listen[i]]()
					listen = slices.Delete(listen, i, i+1)
				}
				s.http.Silence()
				began := time.Now()
				leave()
				for _, addr := range listen {
					s.waitForStatus(addr, "/unsafe/x", "k", http.StatusServiceUnavailable)
				}
				got := time.Since(began)
				t.Logf("known everywhere after %v", got)
				if got > drain {
					t.Errorf("leaving upstream known everywhere after %v, want at most %v", got, drain)
				}
			})
		}
	}
}

// metric returns the value of a metric of an instance, or "".
func metric(t *testing.T, address, name string) string {
	t.Helper()
	res, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if w := strings.Fields(line); len(w) == 2 && w[0] == name {
			return w[1]
		}
	}
	return ""
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

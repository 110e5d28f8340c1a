package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"crocuslug/ident"
)

// maxStoreCalls is the number of calls to the store a second and instance that a quiet fleet of 18
// instances in six failure domains may make.
const maxStoreCalls = 0.15

// TestStoreCallsOfQuietFleet guards against calls to the store that grow with the number of failure
// domains and instances though nothing changes there.
func TestStoreCallsOfQuietFleet(t *testing.T) {
	s := newSite(t)
	s.drain = 4 * time.Second
	s.putConfiguration(1)
	const domains, each = 6, 3
	var listen, seeds []string
	for i := range domains * each {
		domain := ident.Domain(fmt.Sprintf("d%d", i%domains))
		_, cfg := s.startInstanceIn(domain, fmt.Sprintf("e%d", i), s.http.Addr(), nil, seeds...)
		listen = append(listen, cfg.Listen)
		if len(seeds) < domains {
			seeds = append(seeds, cfg.PeerListen)
		}
	}
	for _, addr := range listen {
		s.waitForStatus(addr, "/unsafe/x", "k", http.StatusServiceUnavailable)
	}
	time.Sleep(stableTime) // all have heard of each other, and the watchers are chosen
	const window = 10 * time.Second
	before := s.store.Calls()
	time.Sleep(window)
	after := s.store.Calls()
	calls := after.Reads + after.Writes - before.Reads - before.Writes
	got := float64(calls) / window.Seconds() / float64(len(listen))
	t.Logf("%d reads, %d writes in %v", after.Reads-before.Reads, after.Writes-before.Writes, window)
	if got > maxStoreCalls {
		t.Errorf("calls to the store a second and instance: got %.3f, want at most %.3f", got, maxStoreCalls)
	}
}

// TestChangesSeenAfterLostWatcher guards against a failure domain that learns of nothing for long
// after its watcher was lost.
func TestChangesSeenAfterLostWatcher(t *testing.T) {
	s := newSite(t)
	s.drain = 4 * time.Second
	s.putConfiguration(1)
	const domains, each = 3, 3
	var listen, seeds []string
	stops := make(map[string]func())
	for i := range domains * each {
		e, cfg := s.startInstanceIn(ident.Domain(fmt.Sprintf("d%d", i%domains)), fmt.Sprintf("e%d", i), s.http.Addr(), nil, seeds...)
		listen, seeds = append(listen, cfg.Listen), append(seeds, cfg.PeerListen)
		stops[cfg.Listen] = s.stops[e]
	}
	for _, addr := range listen {
		s.waitForStatus(addr, "/unsafe/x", "k", http.StatusServiceUnavailable)
	}
	time.Sleep(stableTime)
	version := uint64(1)
	for lost := range domains * each { // one of them is the watcher of the first failure domain
		if lost%domains != 0 {
			continue
		}
		stops[listen[lost]]()
		version++
		s.doc.Workspaces[0].Keys = []string{fmt.Sprintf("k%d", version)}
		s.putConfiguration(version)
		began := time.Now()
		for i, addr := range listen {
			if i%domains == 0 && i <= lost {
				continue
			}
			s.waitForStatus(addr, "/unsafe/x", s.doc.Workspaces[0].Keys[0], http.StatusServiceUnavailable)
		}
		if got := time.Since(began); got > s.drain {
			t.Errorf("change known everywhere %v after the loss of instance %d, want at most %v", got, lost, s.drain)
		}
	}
}

// TestEntryWrittenAfterRestore guards against an instance that is not listed for as long as its lease
// lasts, because the store was restored from a copy that lacks its entry.
func TestEntryWrittenAfterRestore(t *testing.T) {
	s := newSite(t)
	s.putConfiguration(1)
	former := s.store.Copy()
	s.startInstance("e1", s.http.Addr())
	s.waitForInstances(1)
	s.store.Restore(former)
	s.waitForInstances(0)
	s.waitForInstances(1)
}

// waitForInstances waits until the store lists n instances.
func (s *site) waitForInstances(n int) {
	s.t.Helper()
	got := -1
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		entries, err := s.store.List(context.Background(), "crocuslug/instances/")
		if err != nil {
			s.t.Fatal(err)
		}
		if got = len(entries); got == n {
			return
		}
	}
	s.t.Fatalf("instances in the store: got %d, want %d", got, n)
}

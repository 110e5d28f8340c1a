package edge_test

import (
	"net/http"
	"testing"
	"time"

	"crocuslug/standinkeyvalue"
)

// TestStoreRestoredFromOlderCopy guards against instances that go back to what an older copy of the
// store says: an old configuration and an upstream that was leaving.
func TestStoreRestoredFromOlderCopy(t *testing.T) {
	s := newSite(t)
	s.putConfiguration(3)
	former := s.version
	ownServer := standinkeyvalue.NewServer(s.store, "", nil)
	if err := ownServer.Start(); err != nil {
		t.Fatal(err)
	}
	leave := s.startServingUpstream(ownServer.Addr())
	_, first := s.startInstance("e1", s.http.Addr())
	s.waitForStatus(first.Listen, "/unsafe/x", "k", http.StatusOK)
	older := s.store.Copy()

	s.doc.Workspaces[0].Keys = []string{"k2"}
	s.putConfiguration(5)
	s.startUpstream("engine", 1, reserveAddress(t)) // is missing in the copy
	s.waitForStatus(first.Listen, "/stream/x", "k2", http.StatusOK)
	leave()
	s.waitForStatus(first.Listen, "/unsafe/x", "k2", http.StatusServiceUnavailable)

	ownServer.Stop() // the leaving upstream does not write its entry again
	s.store.Restore(older)
	for end := time.Now().Add(stableTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if status, _, err := sendRequest(first.Listen, "r2", "/unsafe/x", "k2"); status == http.StatusOK {
			t.Fatalf("request after the restore: got %d, %v, want none at the leaving upstream", status, err)
		}
		if status, _, _ := sendRequest(first.Listen, "r3", "/unsafe/x", "k"); status != http.StatusUnauthorized {
			t.Fatalf("request with the former key after the restore: got %d, want %d", status, http.StatusUnauthorized)
		}
	}
	_, second := s.startInstance("e2", s.http.Addr(), first.PeerListen) // reads the former configuration
	s.waitForStatus(first.Listen, "/stream/x", "k2", http.StatusOK)
	s.waitForStatus(second.Listen, "/stream/x", "k2", http.StatusOK)

	// The next change is written to the restored store.
	s.version = former
	s.doc.Workspaces[0].Keys = []string{"k3"}
	s.putConfiguration(7)
	for _, addr := range []string{first.Listen, second.Listen} {
		s.waitForStatus(addr, "/stream/x", "k3", http.StatusOK)
	}
}

package edge_test

import (
	"net/http"
	"testing"

	"crocuslug/directory"
)

// TestLastWorkspaceRemoved guards against a configuration whose last workspace was removed and that lets any key in.
func TestLastWorkspaceRemoved(t *testing.T) {
	s := newSite(t)
	public := s.doc.Routes[2]
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	s.doc.Routes = append(s.doc.Routes, public)
	s.putConfiguration(3)
	s.startUpstream("plain", 0, reserveAddress(t))
	s.startUpstream("engine", 1, reserveAddress(t))
	_, first := s.startInstance("e1", s.http.Addr())
	_, second := s.startInstance("e2", s.http.Addr(), first.PeerListen)
	for _, addr := range []string{first.Listen, second.Listen} {
		s.waitForStatus(addr, "/unsafe/x", "k", http.StatusOK)
		s.waitForStatus(addr, "/unsafe/x", "other", http.StatusUnauthorized)
	}

	s.doc.Workspaces = []directory.Workspace{}
	s.putConfiguration(5)
	_, later := s.startInstance("e3", s.http.Addr())
	_, untold := s.startInstance("e4", reserveAddress(t), first.PeerListen) // has the configuration from its peers
	for _, addr := range []string{first.Listen, second.Listen, later.Listen, untold.Listen} {
		s.waitForStatus(addr, "/unsafe/x", "k", http.StatusUnauthorized)
		for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x"} {
			for _, key := range []string{"k", "other", ""} {
				if got, _, err := sendRequest(addr, "r1", path, key); got != http.StatusUnauthorized {
					t.Errorf("%s with key %q: got %d, %v, want %d", path, key, got, err, http.StatusUnauthorized)
				}
			}
		}
		s.waitForStatus(addr, "/public/x", "", http.StatusOK)
	}

	s.doc.Workspaces = nil
	s.putConfiguration(7)
	s.waitForStatus(first.Listen, "/unsafe/x", "", http.StatusOK)
}

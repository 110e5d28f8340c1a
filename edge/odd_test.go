package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"crocuslug/ident"
	"crocuslug/nativewire"
	"crocuslug/standinregistered"
	"crocuslug/store"
)

// oddEntries are the values of entries that name no upstream to use. ID stands for their id.
var oddEntries = []string{
	`{"ID":"ID","Service":"plain","Address":"127.0.0.1:99999","Domain":"a","Slots":64}`,
	`{"ID":"ID","Service":"plain","Address":"127.0.0.1:-1","Domain":"a","Slots":64}`,
	`{"ID":"ID","Service":"plain","Address":"127.0.0.1:0","Domain":"a","Slots":64}`,
	`{"ID":"ID","Service":"plain","Address":":80","Domain":"a","Slots":64}`,
	`{"ID":"ID","Service":"plain","Address":"localhost:http","Domain":"a","Slots":64}`,
	`{"ID":"ID","Service":"plain","Address":"127.0.0.1:9","Domain":"a","Slots":9000000000000000000}`,
	`{"ID":"ID","Service":"plain","Address":"127.0.0.1:9","Domain":"a","Slots":-5}`,
	`{"ID":"ID","Service":"plain","Address":"127.0.0.1:9","Domain":"a","Slots":1e999}`,
	strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
}

// putEntry writes the entry of an upstream.
func (s *site) putEntry(id ident.Upstream, value string) {
	s.t.Helper()
	key := nativewire.UpstreamsPrefix + string(id)
	var expect store.Version
	if old, err := s.store.Get(context.Background(), key); err == nil {
		expect = old.Version
	}
	if _, err := s.store.Put(context.Background(), key, []byte(strings.Replace(value, `"ID":"ID"`, fmt.Sprintf(`"ID":%q`, id), 1)), expect, 0); err != nil {
		s.t.Fatal(err)
	}
}

// putOddEntries writes one entry for each of oddEntries.
func (s *site) putOddEntries(name string) {
	s.t.Helper()
	for i, value := range oddEntries {
		s.putEntry(ident.Upstream(fmt.Sprintf("%s-%d", name, i)), value)
	}
}

// serveAll sends requests of both kinds and expects that all are served.
func (s *site) serveAll(address, when string) {
	s.t.Helper()
	const requests = 40
	failed := make(map[int]int) // by status
	for i := range requests {
		status, _, err := sendRequest(address, fmt.Sprintf("%s-%d", when, i), []string{"/safe/x", "/unsafe/x"}[i%2], "k")
		if err != nil || status != http.StatusOK {
			failed[status]++
		}
	}
	if len(failed) > 0 {
		s.t.Errorf("%s: got requests of %d that were not served, by status: %v, want none", when, requests, failed)
	}
}

// TestOddEntriesFollowed guards against instances that stop following the store, choose upstreams that cannot
// exist or ask whether they are cut off from them because of single entries that name no upstream to use.
func TestOddEntriesFollowed(t *testing.T) {
	s := newSite(t)
	s.putConfiguration(3)
	for range 2 {
		s.startUpstream("plain", 0, reserveAddress(t))
	}
	s.waitForUpstreams(2)
	s.putOddEntries("listed")
	_, first := s.startInstance("e1", s.http.Addr())
	_, second := s.startInstance("e2", s.http.Addr(), first.PeerListen)
	for _, cfg := range []string{first.Listen, second.Listen} {
		s.waitForStatus(cfg, "/unsafe/x", "k", http.StatusOK)
	}
	s.waitForPeers([]string{first.ReadyListen, second.ReadyListen})
	s.serveAll(first.Listen, "listed")
	s.putOddEntries("written")
	s.doc.Workspaces[0].Keys = []string{"k", "k2"}
	s.putConfiguration(5)
	for _, cfg := range []string{first.Listen, second.Listen} {
		s.waitForStatus(cfg, "/unsafe/x", "k2", http.StatusOK) // what was written before is known too
	}
	s.serveAll(first.Listen, "written")
	s.serveAll(second.Listen, "written")
	for _, address := range []string{first.ReadyListen, second.ReadyListen} {
		if got := metric(t, address, "Reach.Asked"); got != "" {
			t.Errorf("%s: got %s questions whether the instance is cut off, want none", address, got)
		}
	}
}

// TestEntryBecomesOdd guards against instances that go on with an upstream whose entry no longer names one to
// use, while those that read all entries do not.
func TestEntryBecomesOdd(t *testing.T) {
	for i, odd := range oddEntries {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.putConfiguration(3)
			u := standinregistered.New(standinregistered.Settings{Listen: reserveAddress(t), Store: s.http.Addr(), Service: "plain", Domain: "a"}, s.clock)
			if err := u.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(u.Stop)
			_, first := s.startInstance("e1", s.http.Addr())
			_, second := s.startInstance("e2", reserveAddress(t), first.PeerListen) // follows the first one
			both := []string{first.Listen, second.Listen}
			for _, address := range both {
				s.waitForStatus(address, "/unsafe/x", "k", http.StatusOK)
			}
			s.putEntry(u.ID(), odd)
			for _, address := range both {
				s.waitForStatus(address, "/unsafe/x", "k", http.StatusServiceUnavailable)
			}
			u.WriteEntry()
			for _, address := range both {
				s.waitForStatus(address, "/unsafe/x", "k", http.StatusOK)
			}
		})
	}
}

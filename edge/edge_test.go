package edge_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/edge"
	"crocuslug/ident"
	"crocuslug/nativewire"
	"crocuslug/settings"
	"crocuslug/standinkeyvalue"
	"crocuslug/standinregistered"
	"crocuslug/store"
	"crocuslug/timer"
	"crocuslug/unit"
)

// site is a store, upstreams and instances in one process, over loopback.
type site struct {
	t     *testing.T
	clock *timer.Service
	store *standinkeyvalue.Store
	http  *standinkeyvalue.Server
	doc   directory.Document
	at    store.Version
}

const patience = 20 * time.Second // for what must come, on a starved machine too

func newSite(t *testing.T) *site {
	t.Helper()
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go clock.Run(ctx)
	s := &site{t: t, clock: clock, store: standinkeyvalue.New(clock)}
	s.http = standinkeyvalue.NewServer(s.store, "", nil)
	if err := s.http.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.http.Stop)
	s.doc = directory.Document{
		Routes: []directory.Route{
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: directory.Streaming, Resumable: true, MaxAttempts: 4, TargetGap: 2 * time.Second, Services: []directory.Share{{Service: "engine", Weight: 1}}},
			{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: directory.Unsafe, MaxAttempts: 1, Services: []directory.Share{{Service: "plain", Weight: 1}}},
		},
		Services:   []directory.Service{{Name: "engine", Memory: 100000, Backups: true}, {Name: "plain"}},
		Workspaces: []directory.Workspace{{Name: "w", Keys: []string{"k"}}},
	}
	return s
}

// configure puts a version of the configuration into the store.
func (s *site) configure(version uint64) {
	s.t.Helper()
	s.doc.Version = version
	b, err := json.Marshal(s.doc)
	if err != nil {
		s.t.Fatal(err)
	}
	if s.at, err = s.store.Put(context.Background(), nativewire.ConfigurationKey, b, s.at, 0); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) upstream(service ident.Service, pieces int, listen string) *standinregistered.Server {
	s.t.Helper()
	u := standinregistered.New(standinregistered.Settings{
		Listen: listen, Store: s.http.Addr(), Service: service, Domain: "a", Pieces: pieces, Interval: 5 * time.Millisecond,
	}, s.clock)
	if err := u.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(u.Stop)
	return u
}

func free(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// instance starts an edge whose store is at an address.
func (s *site) instance(name, storeAddress string, seeds ...string) (*edge.Edge, settings.Edge) {
	s.t.Helper()
	cfg := settings.Edge{
		Name: name, Domain: "a", Listen: free(s.t), ReadyListen: free(s.t), PeerListen: free(s.t), StoreAddress: storeAddress,
		Seeds: seeds, Grace: unit.Duration(3 * time.Second), ReuseAfter: unit.Duration(patience),
	}
	e := edge.New(cfg, nativewire.Ports(storeAddress), []byte("secret"), s.clock, zerolog.Nop())
	if err := e.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(e.Stop)
	return e, cfg
}

// ask sends one request and returns the status and the body.
func ask(address, id, path, key string) (int, string, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(patience))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %s\r\nContent-Length: 2\r\n\r\nhi", path, nativewire.Request, id, nativewire.Key, key)
	if err != nil {
		return 0, "", err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}

// until asks again and again until the status is the one wanted.
func (s *site) until(address, path, key string, want int) string {
	s.t.Helper()
	var status int
	var body string
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status, body, _ = ask(address, "r1", path, key); status == want {
			return body
		}
	}
	s.t.Fatalf("%s%s: got %d %q, want %d", address, path, status, body, want)
	return ""
}

func TestWholePath(t *testing.T) {
	s := newSite(t)
	_, cfg := s.instance("e1", s.http.Addr())
	s.until(cfg.Listen, "/unsafe/x", "k", http.StatusServiceUnavailable)
	s.configure(3)
	s.upstream("plain", 0, "127.0.0.1:0")
	s.upstream("engine", 5, "127.0.0.1:0")
	if got, want := s.until(cfg.Listen, "/unsafe/x", "k", http.StatusOK), standinregistered.Answer("r1", "hi"); got != want {
		t.Errorf("answer: got %q, want %q", got, want)
	}
	var want strings.Builder
	for n := range 5 {
		want.WriteString(standinregistered.Piece("r1", n+1))
	}
	if got := s.until(cfg.Listen, "/stream/x", "k", http.StatusOK); got != want.String() {
		t.Errorf("stream: got %q, want %q", got, want.String())
	}
	s.until(cfg.Listen, "/unsafe/x", "stolen", http.StatusUnauthorized)
	s.until(cfg.Listen, "/none/x", "k", http.StatusNotFound)
}

// TestConfigurationThroughPeer starts an instance that cannot reach the store. It
// takes the configuration, its changes and the upstreams from a peer, and
// nothing older than it has.
func TestConfigurationThroughPeer(t *testing.T) {
	s := newSite(t)
	s.configure(3)
	s.upstream("plain", 0, "127.0.0.1:0")
	_, first := s.instance("e1", s.http.Addr())
	s.until(first.Listen, "/unsafe/x", "k", http.StatusOK)
	_, second := s.instance("e2", free(t), first.PeerListen)
	s.until(second.Listen, "/unsafe/x", "k", http.StatusOK)
	s.doc.Workspaces[0].Keys = []string{"k2"}
	s.configure(5)
	s.until(second.Listen, "/unsafe/x", "k2", http.StatusOK)
	s.until(second.Listen, "/unsafe/x", "k", http.StatusUnauthorized)
	s.doc.Workspaces[0].Keys = []string{"k"}
	s.configure(4) // older by its number, though written later
	s.doc.Workspaces[0].Keys = []string{"k", "k3"}
	s.configure(7)
	s.until(second.Listen, "/unsafe/x", "k3", http.StatusOK)
}

// TestLeave holds that a planned stop ends no stream and takes the instance out.
func TestLeave(t *testing.T) {
	s := newSite(t)
	s.configure(3)
	s.upstream("engine", 40, "127.0.0.1:0")
	e, cfg := s.instance("e1", s.http.Addr())
	s.until(cfg.Listen, "/stream/x", "k", http.StatusOK)
	type end struct {
		status int
		body   string
		err    error
	}
	ended := make(chan end)
	go func() {
		status, body, err := ask(cfg.Listen, "r2", "/stream/x", "k")
		ended <- end{status, body, err}
	}()
	left := make(chan struct{})
	go func() {
		time.Sleep(50 * time.Millisecond)
		e.Leave()
		close(left)
	}()
	got := <-ended
	if got.err != nil || got.status != http.StatusOK || !strings.HasSuffix(got.body, standinregistered.Piece("r2", 40)) {
		t.Errorf("stream during the stop: got %d, %v, want it whole", got.status, got.err)
	}
	<-left
	if _, _, err := ask(cfg.Listen, "r3", "/stream/x", "k"); err == nil {
		t.Errorf("after the stop: got an answer, want none")
	}
}

// TestRestartWithoutStore starts an engine again at its address under a new id
// while the store is away.
func TestRestartWithoutStore(t *testing.T) {
	s := newSite(t)
	s.configure(3)
	u := s.upstream("plain", 0, "127.0.0.1:0")
	addr := u.Addr()
	_, cfg := s.instance("e1", s.http.Addr())
	s.until(cfg.Listen, "/unsafe/x", "k", http.StatusOK)
	s.store.SetFaults(standinkeyvalue.Faults{Outage: true})
	u.Kill()
	again := standinregistered.New(standinregistered.Settings{Listen: addr, Store: s.http.Addr(), Service: "plain", Domain: "a"}, s.clock)
	if err := again.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(again.Kill)
	s.until(cfg.Listen, "/unsafe/x", "k", http.StatusOK)
}

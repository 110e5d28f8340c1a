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
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/edge"
	"crocuslug/ident"
	"crocuslug/loopback"
	"crocuslug/nativewire"
	"crocuslug/settings"
	"crocuslug/standinkeyvalue"
	"crocuslug/standinregistered"
	"crocuslug/store"
	"crocuslug/timer"
	"crocuslug/unit"
)

// site is a deployment in one process over loopback: a store, upstreams and instances.
type site struct {
	t       *testing.T
	clock   *timer.Service
	store   *standinkeyvalue.Store
	http    *standinkeyvalue.Server
	doc     directory.Document
	version store.Version
	stops   map[*edge.Edge]func() // stop each instance once
	drain   time.Duration         // time in which instances react to leaving upstreams; 0 means the default
	prepare func(e *edge.Edge)    // if it is not nil, called before each instance starts; instances deliver builds then
	slack   float64               // retries of all instances together beyond a share of the requests
}

const waitLimit = 20 * time.Second // for events that must happen, also on a machine under heavy load

func newSite(t *testing.T) *site {
	t.Helper()
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go clock.Run(ctx)
	s := &site{t: t, clock: clock, store: standinkeyvalue.New(clock), stops: make(map[*edge.Edge]func())}
	s.http = standinkeyvalue.NewServer(s.store, "", nil)
	if err := s.http.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.http.Stop)
	s.doc = directory.Document{
		Routes: []directory.Route{
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: directory.Streaming, Resumable: true, MaxAttempts: 4, TargetGap: 2 * time.Second, Services: []directory.Share{{Service: "engine", Weight: 1}}},
			{Name: "safe", Host: "h", Prefix: "/safe/", Kind: directory.Safe, MaxAttempts: 2, Services: []directory.Share{{Service: "plain", Weight: 1}}},
			{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: directory.Unsafe, MaxAttempts: 1, Services: []directory.Share{{Service: "plain", Weight: 1}}},
		},
		Services:   []directory.Service{{Name: "engine", Memory: 100000, Backups: true}, {Name: "plain"}},
		Workspaces: []directory.Workspace{{Name: "w", Keys: []string{"k"}}},
	}
	return s
}

// putConfiguration puts a version of the configuration into the store.
func (s *site) putConfiguration(version uint64) {
	s.t.Helper()
	s.doc.Version = version
	b, err := json.Marshal(s.doc)
	if err != nil {
		s.t.Fatal(err)
	}
	if s.version, err = s.store.Put(context.Background(), nativewire.ConfigurationKey, b, s.version, 0); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) startUpstream(service ident.Service, pieces int, listen string) *standinregistered.Server {
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

// reserveAddress returns an address that nobody else gets before the test ends.
func reserveAddress(t *testing.T) string {
	t.Helper()
	a, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Release)
	return a.String()
}

// startInstance starts an instance in failure domain a that uses the store at storeAddress.
func (s *site) startInstance(name, storeAddress string, seeds ...string) (*edge.Edge, settings.Edge) {
	s.t.Helper()
	return s.startInstanceIn("a", name, storeAddress, nil, seeds...)
}

// startInstanceIn starts an instance in a failure domain. It opens its connections to upstreams through
// links, if that is not nil.
func (s *site) startInstanceIn(domain ident.Domain, name, storeAddress string, links *upstreamLinks, seeds ...string) (*edge.Edge, settings.Edge) {
	s.t.Helper()
	cfg := settings.Edge{
		Name: name, Domain: domain, Listen: reserveAddress(s.t), ReadyListen: reserveAddress(s.t), PeerListen: reserveAddress(s.t), StoreAddress: storeAddress,
		Seeds: seeds, Grace: unit.Duration(3 * time.Second), ReuseAfter: unit.Duration(waitLimit), Drain: unit.Duration(s.drain),
		RetrySlack: s.slack,
	}
	if s.prepare != nil {
		cfg.Delivery = settings.Delivery{Share: 0.1, Slack: 50, RollbackWithin: unit.Duration(5 * time.Second)}
	}
	e := edge.New(cfg, nativewire.Ports(storeAddress), []byte("secret"), s.clock, zerolog.Nop())
	if links != nil {
		links.dial, e.DialUpstream = e.DialUpstream, links.open
	}
	if s.prepare != nil {
		s.prepare(e)
	}
	if err := e.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.stops[e] = sync.OnceFunc(e.Stop)
	s.t.Cleanup(s.stops[e])
	return e, cfg
}

// sendRequest sends one request and returns the status and the body of the answer.
func sendRequest(address, id, path, key string) (int, string, error) {
	return post(address, path, "hi", nativewire.RequestField, id, nativewire.KeyField, key)
}

// post sends a request with a body and header fields, each a name and its value, and returns the status
// and the body of the answer.
func post(address, path, body string, fields ...string) (int, string, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	var head strings.Builder
	for i := 0; i < len(fields); i += 2 {
		fmt.Fprintf(&head, "%s: %s\r\n", fields[i], fields[i+1])
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", path, head.String(), len(body), body)
	if err != nil {
		return 0, "", err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	answer, err := io.ReadAll(res.Body)
	return res.StatusCode, string(answer), err
}

// waitForStatus repeats a request until it gets the wanted status, and returns the body.
func (s *site) waitForStatus(address, path, key string, want int) string {
	s.t.Helper()
	var status int
	var body string
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status, body, _ = sendRequest(address, "r1", path, key); status == want {
			return body
		}
	}
	s.t.Fatalf("%s%s: got %d %q, want %d", address, path, status, body, want)
	return ""
}

func TestRequestsAnswered(t *testing.T) {
	s := newSite(t)
	_, cfg := s.startInstance("e1", s.http.Addr())
	s.waitForStatus(cfg.Listen, "/unsafe/x", "k", http.StatusServiceUnavailable)
	s.putConfiguration(3)
	s.startUpstream("plain", 0, reserveAddress(t))
	s.startUpstream("engine", 5, reserveAddress(t))
	if got, want := s.waitForStatus(cfg.Listen, "/unsafe/x", "k", http.StatusOK), standinregistered.Answer("r1", "hi"); got != want {
		t.Errorf("answer: got %q, want %q", got, want)
	}
	var want strings.Builder
	for n := range 5 {
		want.WriteString(standinregistered.Piece("r1", n+1))
	}
	if got := s.waitForStatus(cfg.Listen, "/stream/x", "k", http.StatusOK); got != want.String() {
		t.Errorf("stream: got %q, want %q", got, want.String())
	}
	s.waitForStatus(cfg.Listen, "/unsafe/x", "stolen", http.StatusUnauthorized)
	s.waitForStatus(cfg.Listen, "/none/x", "k", http.StatusNotFound)
}

// TestConfigurationThroughPeer starts an instance that cannot reach the store. It must get the
// configuration, later changes and the upstreams from a peer, and must not apply an older version.
func TestConfigurationThroughPeer(t *testing.T) {
	s := newSite(t)
	s.putConfiguration(3)
	s.startUpstream("plain", 0, reserveAddress(t))
	_, first := s.startInstance("e1", s.http.Addr())
	s.waitForStatus(first.Listen, "/unsafe/x", "k", http.StatusOK)
	_, second := s.startInstance("e2", reserveAddress(t), first.PeerListen)
	s.waitForStatus(second.Listen, "/unsafe/x", "k", http.StatusOK)
	s.doc.Workspaces[0].Keys = []string{"k2"}
	s.putConfiguration(5)
	s.waitForStatus(second.Listen, "/unsafe/x", "k2", http.StatusOK)
	s.waitForStatus(second.Listen, "/unsafe/x", "k", http.StatusUnauthorized)
	s.doc.Workspaces[0].Keys = []string{"k"}
	s.putConfiguration(4) // a lower version than 5, though written later
	s.doc.Workspaces[0].Keys = []string{"k", "k3"}
	s.putConfiguration(7)
	s.waitForStatus(second.Listen, "/unsafe/x", "k3", http.StatusOK)
}

// TestLeave checks that a planned shutdown lets a running stream end and then accepts no requests.
func TestLeave(t *testing.T) {
	s := newSite(t)
	s.putConfiguration(3)
	s.startUpstream("engine", 40, reserveAddress(t))
	e, cfg := s.startInstance("e1", s.http.Addr())
	s.waitForStatus(cfg.Listen, "/stream/x", "k", http.StatusOK)
	type end struct {
		status int
		body   string
		err    error
	}
	ended := make(chan end)
	go func() {
		status, body, err := sendRequest(cfg.Listen, "r2", "/stream/x", "k")
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
		t.Errorf("stream during the stop: got %d, %v, want the whole stream", got.status, got.err)
	}
	<-left
	if _, _, err := sendRequest(cfg.Listen, "r3", "/stream/x", "k"); err == nil {
		t.Errorf("after the stop: got an answer, want none")
	}
}

// TestLeaveAnswersAll guards against requests that get neither an answer nor a refusal because the
// grace period of their instance ends before their upstream answers.
func TestLeaveAnswersAll(t *testing.T) {
	s := newSite(t)
	s.putConfiguration(3)
	for service, pieces := range map[ident.Service]int{"engine": 1, "plain": 0} {
		u := standinregistered.New(standinregistered.Settings{
			Listen: "127.0.0.1:0", Store: s.http.Addr(), Service: service, Domain: "a", Pieces: pieces, Prefill: waitLimit,
		}, s.clock)
		if err := u.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(u.Kill)
	}
	s.waitForUpstreams(2)
	e, cfg := s.startInstance("e1", s.http.Addr())
	s.waitForStatus(cfg.Listen, "/none/x", "k", http.StatusNotFound)
	statuses := make(chan string, 2)
	for _, path := range []string{"/stream/x", "/unsafe/x"} {
		go func() {
			status, _, err := sendRequest(cfg.Listen, "r", path, "k")
			statuses <- fmt.Sprint(status, " ", err)
		}()
	}
	time.Sleep(100 * time.Millisecond)
	e.Leave()
	for range 2 {
		if got, want := <-statuses, "502 <nil>"; got != want {
			t.Errorf("request that its upstream does not answer during the stop: got %s, want %s", got, want)
		}
	}
}

// TestRestartWithoutStore restarts an upstream at its address under a new id while the store is
// unreachable. The instance must find it.
func TestRestartWithoutStore(t *testing.T) {
	s := newSite(t)
	s.putConfiguration(3)
	u := s.startUpstream("plain", 0, reserveAddress(t))
	addr := u.Addr()
	_, cfg := s.startInstance("e1", s.http.Addr())
	s.waitForStatus(cfg.Listen, "/unsafe/x", "k", http.StatusOK)
	s.store.SetFaults(standinkeyvalue.Faults{Outage: true})
	u.Kill()
	again := standinregistered.New(standinregistered.Settings{Listen: addr, Store: s.http.Addr(), Service: "plain", Domain: "a"}, s.clock)
	if err := again.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(again.Kill)
	s.waitForStatus(cfg.Listen, "/unsafe/x", "k", http.StatusOK)
}

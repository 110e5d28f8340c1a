package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/canary"
	"crocuslug/directory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/timer"
	"crocuslug/work"
)

// fakeDelivery moves a service to a build, and records what it is told.
type fakeDelivery struct {
	to    ident.Build
	ended bool

	mu         sync.Mutex
	choice     canary.Choice
	rolledBack bool
	sent       []string
	observed   []string
}

func newDelivery(t *testing.T, phase string, to ident.Build) *fakeDelivery {
	t.Helper()
	d := &fakeDelivery{to: to}
	switch phase {
	case "former":
		d.choice = canary.FormerBuilds
	case "new":
		d.choice = canary.NewBuild
	case "ended":
		d.ended = true
	case "rolled-back":
		d.choice, d.rolledBack = canary.FormerBuilds, true
	default:
		t.Fatalf("unknown phase %q", phase)
	}
	return d
}

func (d *fakeDelivery) rollBack() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.choice, d.rolledBack = canary.FormerBuilds, true
}

func (d *fakeDelivery) functions() Delivery {
	return Delivery{
		InProgress: func(ident.Service) bool { return true },
		Choose: func(ident.Service, time.Time) (canary.Choice, ident.Build) {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.choice, d.to
		},
		Ended: func(ident.Service) (ident.Build, bool) { return d.to, d.ended },
		Allowed: func(_ ident.Service, b ident.Build, _ time.Time) bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return b != d.to || !d.rolledBack
		},
		Sent: func(_ ident.Service, b ident.Build, _ time.Time) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.sent = append(d.sent, string(b))
		},
		Observe: func(_ ident.Service, _ string, b ident.Build, bad bool, _ time.Duration, _ time.Time) {
			d.mu.Lock()
			defer d.mu.Unlock()
			quality := map[bool]string{false: "ok", true: "bad"}[bad]
			d.observed = append(d.observed, string(b)+":"+quality)
		},
	}
}

// check checks what was recorded. The last answers may be recorded after the request has ended.
func (d *fakeDelivery) check(t *testing.T, wantSent, wantObserved string) {
	t.Helper()
	records := func() (sent, observed string) {
		d.mu.Lock()
		defer d.mu.Unlock()
		return strings.Join(d.sent, " "), strings.Join(slices.Sorted(slices.Values(d.observed)), " ")
	}
	sent, observed := records()
	for end := time.Now().Add(probeTimeout + time.Second); wantObserved != "any" && observed != wantObserved && time.Now().Before(end); sent, observed = records() {
		time.Sleep(time.Millisecond)
	}
	if wantSent != "any" && sent != wantSent {
		t.Errorf("recorded attempts: got %q, want %q", sent, wantSent)
	}
	if wantObserved != "any" && observed != wantObserved {
		t.Errorf("recorded answers: got %q, want %q", observed, wantObserved)
	}
}

// TestQueuedChoice guards against a queued stream that is placed at a build which was rolled back while it waited.
func TestQueuedChoice(t *testing.T) {
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go clock.Run(ctx)
	f := fleet.New(fleet.Settings{}, func() uint64 { return 0 }, zerolog.Nop())
	engines := make(map[ident.Build]*readingEngine)
	var list []directory.Upstream
	for _, build := range []ident.Build{"v1", "v2"} {
		e := &readingEngine{release: make(chan struct{}, 1), arrived: make(chan struct{}, 9)}
		s := httptest.NewServer(e)
		t.Cleanup(s.Close)
		engines[build] = e
		list = append(list, directory.Upstream{ID: ident.Upstream(build), Service: "s", Address: s.Listener.Addr().String(), Build: build, Slots: 64})
	}
	f.SetUpstreams(list, func(ident.Service) int { return 0 }, clock.Now())
	client := exchange.New(exchange.Settings{}, clock)
	t.Cleanup(client.Close)
	delivery := newDelivery(t, "new", "v2")
	dependencies := testDependencies(testProtocol(), f, client, clock, zerolog.Nop())
	dependencies.Delivery = delivery.functions()
	dependencies.Protocol.ProbePath = "" // a readingEngine takes a probe for a prompt
	d := New(Settings{MaxBacklog: time.Millisecond}, dependencies)
	clock.Every(10*time.Millisecond, d.Tick)
	var all sync.WaitGroup
	send := func(id string) {
		all.Go(func() {
			_, _, refusal := d.Stream(ctx, &work.Work{
				ID: ident.Request(id), Route: &directory.Route{Kind: directory.Streaming, Target: time.Minute}, Service: &directory.Service{Name: "s"},
				PromptTokens: 5000, Tokens: 5500, Deadline: clock.Now().Add(time.Minute), Method: http.MethodPost, Target: "/x", Header: http.Header{},
			}, (&receivedStream{}).sink())
			if refusal != nil {
				t.Errorf("stream %s: got %v, want an answer", id, refusal)
			}
		})
	}
	send("r1")
	<-engines["v2"].arrived
	send("r2") // v2 is busy, so that v1 takes it
	<-engines["v1"].arrived
	send("r3")
	for end := time.Now().Add(waitLimit); d.Waiting("s") < 1; <-time.After(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("third stream: got it placed, want it queued")
		}
	}
	delivery.rollBack()
	engines["v2"].release <- struct{}{}
	<-time.After(idleTime)
	if got := d.Waiting("s"); got != 1 {
		t.Errorf("streams queued while the former build is busy: got %d, want 1", got)
	}
	engines["v1"].release <- struct{}{}
	engines["v1"].release <- struct{}{}
	all.Wait()
	delivery.mu.Lock()
	defer delivery.mu.Unlock()
	if want := []string{"v2", "v1", "v1"}; !slices.Equal(delivery.sent, want) {
		t.Errorf("recorded attempts: got %v, want %v", delivery.sent, want)
	}
}

// idleTime is more than the time after which an engine that has read its prompts counts as idle.
const idleTime = 700 * time.Millisecond

// TestPreferenceYields guards against new streams that stay at the former build, which is preferred while holders
// cannot be told, after the delivery has moved them to the new one, and against the opposite.
func TestPreferenceYields(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(1000, 0))
	list := []directory.Upstream{
		{ID: "a", Service: "s", Address: "1:1", Build: "v1", Slots: 64},
		{ID: "b", Service: "s", Address: "1:2", Build: "v2", Slots: 64},
	}
	tests := []struct {
		phase  string
		prefer ident.Build
		want   ident.Upstream
	}{
		{"new", "v1", "b"},
		{"ended", "v1", "b"},
		{"former", "v2", "a"},
		{"rolled-back", "v2", "a"},
	}
	for _, tc := range tests {
		f := fleet.New(fleet.Settings{}, func() uint64 { return 0 }, zerolog.Nop())
		f.SetUpstreams(list, func(ident.Service) int { return 0 }, clock.Now())
		dependencies := testDependencies(testProtocol(), f, exchange.New(exchange.Settings{}, clock), clock, zerolog.Nop())
		dependencies.PreferBuild = func(ident.Service) *ident.Build { return &tc.prefer }
		dependencies.Delivery = newDelivery(t, tc.phase, "v2").functions()
		d := New(Settings{}, dependencies)
		w := &work.Work{Route: &directory.Route{Kind: directory.Streaming}, Service: &directory.Service{Name: "s"}, Deadline: clock.Now().Add(time.Minute)}
		a := &attempts{w: w}
		a.side = d.sideOf(w, nil, clock.Now())
		if u, refusal := d.pick(a, clock.Now()); refusal != nil || u.ID != tc.want {
			t.Errorf("%s, prefer %s: got %q, %v, want %q", tc.phase, tc.prefer, u.ID, refusal, tc.want)
		}
	}
}

// TestRolledBackWhileConnecting guards against a request that is sent to a build which was rolled back while the
// connection was opened, and against probes and copies there.
func TestRolledBackWhileConnecting(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(1000, 0))
	u := directory.Upstream{ID: "b", Service: "s", Address: "127.0.0.1:1", Build: "v2", Slots: 64}
	f := fleet.New(fleet.Settings{}, func() uint64 { return 0 }, zerolog.Nop())
	f.SetUpstreams([]directory.Upstream{u, {ID: "c", Service: "s", Address: "127.0.0.1:2", Build: "v2", Domain: "far", Slots: 64}}, func(ident.Service) int { return 0 }, clock.Now())
	delivery := newDelivery(t, "new", "v2")
	dependencies := testDependencies(testProtocol(), f, exchange.New(exchange.Settings{}, clock), clock, zerolog.Nop())
	dependencies.Delivery = delivery.functions()
	dependencies.Protocol.CopyRequest = func(work.Move) (string, []byte) { return "/copies", nil }
	d := New(Settings{}, dependencies)
	k := newCopyManager(d, &work.Work{Service: &directory.Service{Name: "s", Backups: true}, Route: &directory.Route{Kind: directory.Streaming, Resumable: true}})
	uses := func() string {
		_, copyErr := k.requestCopy(t.Context(), u, "127.0.0.1:3", clock.Now())
		return fmt.Sprint("open ", d.checkOpen(u) == nil, ", probe ", d.probe(t.Context(), u, clock.Now()) != errNoBuild,
			", holder ", k.start(u, nil, clock.Now()) != "", ", copy ", copyErr != errNoBuild)
	}
	if got, want := uses(), "open true, probe true, holder true, copy true"; got != want {
		t.Errorf("new build: got %s, want %s", got, want)
	}
	delivery.rollBack()
	if got, want := uses(), "open false, probe false, holder false, copy false"; got != want {
		t.Errorf("rolled back: got %s, want %s", got, want)
	}
}

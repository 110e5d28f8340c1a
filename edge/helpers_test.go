package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/peerlink"
	"crocuslug/reach"
	"crocuslug/result"
	"crocuslug/settings"
	"crocuslug/timer"
)

// refusingHelper is an instance that passes no connection on, once all requests wait for it.
type refusingHelper struct {
	link   *peerlink.Link
	calls  atomic.Int32
	params atomic.Pointer[json.RawMessage] // of the last call
}

func startRefusingHelper(t *testing.T, clock *timer.Service, n int, release <-chan struct{}) *refusingHelper {
	t.Helper()
	h := &refusingHelper{}
	h.link = peerlink.New(peerlink.Settings{
		Instance: ident.Instance(fmt.Sprint("helper-", n)), Domain: "a", Listen: "127.0.0.1:0", Secret: []byte("s"),
	}, clock, zerolog.Nop())
	h.link.Handle(relayMethod, func(_ context.Context, _ ident.Instance, params json.RawMessage) (any, error) {
		h.calls.Add(1)
		h.params.Store(&params)
		<-release
		return nil, result.New(result.PeerUnavailable, "this instance cannot pass connections on")
	})
	if err := h.link.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.link.Stop)
	return h
}

// lines counts lines of a log.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// newCutInstance returns an instance that cannot open a connection to an upstream, and the question that it
// asks others about it.
func newCutInstance(t *testing.T, log io.Writer) (*Edge, directory.Upstream, reach.Question) {
	t.Helper()
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go clock.Run(ctx)
	e := New(settings.Edge{Name: "i", Domain: "a", PeerListen: "127.0.0.1:0"}, Ports{}, []byte("s"), clock, zerolog.New(log))
	t.Cleanup(e.exchange.Close)
	if err := e.link.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.link.Stop)
	u := directory.Upstream{ID: "u1", Domain: "a"}
	e.reach.SetUpstreams([]directory.Upstream{u})
	e.reach.Dialed(u.ID, u.Domain, false, clock.Now())
	q, _ := e.reach.Ask(u.Domain, clock.Now())
	return e, u, q
}

// TestBeatsAgreed guards against an instance that asks for no beats, without which its helper notices
// too late that the instance is lost, and against beats to an instance that does not know them.
func TestBeatsAgreed(t *testing.T) {
	e, u, _ := newCutInstance(t, io.Discard)
	release := make(chan struct{})
	close(release)
	h := startRefusingHelper(t, e.timer, 0, release)
	e.link.SetAddress("helper-0", h.link.Addr())
	if _, err := e.dialThrough(t.Context(), "helper-0", u); err == nil {
		t.Error("connection through a helper that refuses: got one, want an error")
	}
	asked := *h.params.Load()
	if !strings.Contains(string(asked), `"Beats":true`) {
		t.Errorf("question: got %s, want one for beats", asked)
	}
	e.fleet.SetUpstreams([]directory.Upstream{u}, func(ident.Service) int { return 0 }, e.timer.Now())
	if err := e.relays.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.relays.Stop)
	e.DialUpstream = func(context.Context, string) (net.Conn, error) {
		up, _ := net.Pipe()
		return up, nil
	}
	for params, want := range map[string]bool{string(asked): true, `{"Upstream":"u1"}`: false} {
		answer, err := e.handleRelay(t.Context(), "peer", json.RawMessage(params))
		if err != nil {
			t.Fatal(err)
		}
		if got := answer.(relayOffer).Beats; got != want {
			t.Errorf("offer to the question %s: got beats %t, want %t", params, got, want)
		}
	}
}

// TestHelpersInVain guards against lines of the log for each request when the helpers of an instance that
// is cut off from upstreams pass nothing on any more.
func TestHelpersInVain(t *testing.T) {
	const requests, helpers = 40, 3
	var log lines
	e, u, q := newCutInstance(t, &log)
	release := make(chan struct{})
	var peers []*refusingHelper
	for n := range helpers {
		h := startRefusingHelper(t, e.timer, n, release)
		id := ident.Instance(fmt.Sprint("helper-", n))
		e.link.SetAddress(id, h.link.Addr())
		e.reach.Answered(id, true, u.Domain, q, reach.Answer{Reached: []ident.Upstream{u.ID}}, e.timer.Now())
		peers = append(peers, h)
	}
	sum := func() (n int) {
		for _, h := range peers {
			n += int(h.calls.Load())
		}
		return n
	}
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			if _, err := e.dialThroughPeer(t.Context(), u); err == nil {
				t.Error("connection through a helper that refuses: got one, want an error")
			}
		})
	}
	for end := time.Now().Add(400 * time.Millisecond); sum() < requests && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	close(release)
	all.Wait()
	log.mu.Lock()
	defer log.mu.Unlock()
	if got := strings.Count(log.text.String(), "instance did not pass a connection on"); got > helpers {
		t.Errorf("lines of the log: got %d, want one for each of %d helpers at most", got, helpers)
	}
}

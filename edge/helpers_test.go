package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
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
	link  *peerlink.Link
	calls atomic.Int32
}

func startRefusingHelper(t *testing.T, clock *timer.Service, n int, release <-chan struct{}) *refusingHelper {
	t.Helper()
	h := &refusingHelper{}
	h.link = peerlink.New(peerlink.Settings{
		Instance: ident.Instance(fmt.Sprint("helper-", n)), Domain: "a", Listen: "127.0.0.1:0", Secret: []byte("s"),
	}, clock, zerolog.Nop())
	h.link.Handle(relayMethod, func(context.Context, ident.Instance, json.RawMessage) (any, error) {
		h.calls.Add(1)
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

// TestHelpersInVain guards against lines of the log for each request when the helpers of an instance that
// is cut off from upstreams pass nothing on any more.
func TestHelpersInVain(t *testing.T) {
	const requests, helpers = 40, 3
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go clock.Run(ctx)
	var log lines
	e := New(settings.Edge{Name: "i", Domain: "a", PeerListen: "127.0.0.1:0"}, Ports{}, []byte("s"), clock, zerolog.New(&log))
	defer e.exchange.Close()
	if err := e.link.Start(); err != nil {
		t.Fatal(err)
	}
	defer e.link.Stop()
	u := directory.Upstream{ID: "u1", Domain: "a"}
	e.reach.SetUpstreams([]directory.Upstream{u})
	e.reach.Dialed(u.ID, u.Domain, false, clock.Now())
	q, _ := e.reach.Ask(u.Domain, clock.Now())
	release := make(chan struct{})
	var peers []*refusingHelper
	for n := range helpers {
		h := startRefusingHelper(t, clock, n, release)
		id := ident.Instance(fmt.Sprint("helper-", n))
		e.link.SetAddress(id, h.link.Addr())
		e.reach.Answered(id, true, u.Domain, q, reach.Answer{Reached: []ident.Upstream{u.ID}}, clock.Now())
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
			if _, err := e.dialThroughPeer(ctx, u); err == nil {
				t.Error("connection through a helper that refuses: got one, want an error")
			}
		})
	}
	for end := time.Now().Add(400 * time.Millisecond); sum() < requests && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	waiting := sum()
	close(release)
	all.Wait()
	log.mu.Lock()
	defer log.mu.Unlock()
	if got := strings.Count(log.text.String(), "instance did not pass a connection on"); got > helpers {
		t.Errorf("lines of the log: got %d, want one for each of %d helpers at most", got, helpers)
	}
	t.Logf("%d calls waited, %d in all", waiting, sum())
}

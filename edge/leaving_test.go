package edge_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"crocuslug/nativewire"
	"crocuslug/standinregistered"
)

// sentRequest is a request of a caller.
type sentRequest struct {
	instance int
	at       time.Time
	ended    time.Time
	status   int
	header   http.Header
}

// load sends requests to some of the instances in random order until a time, and returns them by id.
func (l *limited) load(until time.Time, perSecond float64, instances ...int) map[string]sentRequest {
	var mu sync.Mutex
	out := make(map[string]sentRequest)
	random := rand.New(rand.NewPCG(1, 2))
	for n := 0; time.Now().Before(until); n++ {
		r := sentRequest{instance: instances[random.IntN(len(instances))], at: time.Now()}
		id, path := fmt.Sprintf("%d-%d-%d", r.instance, n, r.at.UnixNano()), l.paths[n%len(l.paths)]
		l.callers.Go(func() {
			r.status, r.header = l.post(l.listen[r.instance], path, id)
			r.ended = time.Now()
			mu.Lock()
			defer mu.Unlock()
			out[id] = r
		})
		time.Sleep(time.Duration((0.5 + random.Float64()) / perSecond * float64(time.Second)))
	}
	l.callers.Wait()
	return out
}

// checkServed checks that all requests were served.
func checkServed(t *testing.T, sent map[string]sentRequest) {
	t.Helper()
	served := 0
	for _, r := range sent {
		if r.status == http.StatusOK {
			served++
		}
	}
	if served < len(sent) {
		t.Errorf("served: got %d of %d requests, want all", served, len(sent))
	}
}

// TestLeavingNamedInAnswers guards against requests that an instance sends to an upstream later than the
// time to react to leaving upstreams after it has passed on an answer that says that the upstream leaves,
// while the entry in the store does not say so.
func TestLeavingNamedInAnswers(t *testing.T) {
	tests := []struct {
		name     string
		upstream standinregistered.Settings
		paths    []string
		again    bool // the entry is written again, and still does not say so
	}{
		{"calls", standinregistered.Settings{Service: "plain", Prefill: 5 * time.Millisecond}, []string{"/unsafe/x", "/safe/x"}, false},
		{"streams", standinregistered.Settings{Service: "engine", Prefill: 5 * time.Millisecond, Pieces: 3}, []string{"/stream/x"}, false},
		{"entry written again", standinregistered.Settings{Service: "plain", Prefill: 5 * time.Millisecond}, []string{"/unsafe/x", "/safe/x"}, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			l := newLimited(t, 4, 4, tc.upstream, tc.paths)
			leaving := l.upstreams[0]
			leaving.SayLeaving()
			if tc.again {
				go func() {
					time.Sleep(drainTime)
					leaving.WriteEntry()
				}()
			}
			sent := l.load(time.Now().Add(drainTime+3*time.Second), 80, 0, 1, 2, 3)
			passed := make(map[int]time.Time) // when each instance passed on the first such answer
			for _, r := range sent {
				if r.header.Get(nativewire.LeavingField) == "" {
					continue
				}
				if at, ok := passed[r.instance]; !ok || r.ended.Before(at) {
					passed[r.instance] = r.ended
				}
			}
			if len(passed) == 0 {
				t.Fatal("instances that passed on an answer of the leaving upstream: got none, want some")
			}
			late := 0
			for _, a := range l.arrivals {
				r := sent[a.request]
				if at, ok := passed[r.instance]; a.upstream == string(leaving.ID()) && ok && r.at.After(at.Add(drainTime)) {
					late++
				}
			}
			if late > 0 {
				t.Errorf("requests sent later than %v after their instance passed on that the upstream leaves: got %d at it, want none", drainTime, late)
			}
			checkServed(t, sent)
		})
	}
}

// TestLeavingToldToPeers guards against an instance that goes on to use an upstream of which another one
// has long learned from an answer that it leaves.
func TestLeavingToldToPeers(t *testing.T) {
	l := newLimited(t, 4, 4, standinregistered.Settings{Service: "plain", Prefill: 5 * time.Millisecond}, []string{"/unsafe/x", "/safe/x"})
	leaving := l.upstreams[0]
	leaving.SayLeaving()
	l.load(time.Now().Add(drainTime), 80, 0)
	sent := l.load(time.Now().Add(2*time.Second), 80, 1, 2, 3)
	late := 0
	for _, a := range l.arrivals {
		if _, ok := sent[a.request]; ok && a.upstream == string(leaving.ID()) && !strings.HasPrefix(a.request, "0-") {
			late++
		}
	}
	if late > 0 {
		t.Errorf("requests of other instances at the leaving upstream %v after it said so: got %d, want none", drainTime, late)
	}
	checkServed(t, sent)
}

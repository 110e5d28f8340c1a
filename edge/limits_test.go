package edge_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"crocuslug/edge"
	"crocuslug/nativewire"
	"crocuslug/standinregistered"
)

// Bounds of the users' platform for upstreams that name a limit, from stableTime after the first
// answer that does.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5 // times what the limit allows in limitWindow
	limitSlack  = 5   // requests
)

// limited is a site of one service whose upstreams name limits.
type limited struct {
	*site
	paths     []string // of the requests, in turn
	instances []*edge.Edge
	upstreams []*standinregistered.Server
	listen    []string // of the instances
	callers   sync.WaitGroup

	mu       sync.Mutex
	sends    map[string][]time.Time // arrivals at upstreams, by upstream id
	arrivals []arrival
	answers  []limitedAnswer
}

// arrival is a request that reached an upstream.
type arrival struct {
	upstream string
	request  string
	at       time.Time
}

// limitedAnswer is how one request ended.
type limitedAnswer struct {
	sent       time.Time
	took       time.Duration
	status     int           // 0 if there was no answer
	retryAfter time.Duration // 0 if none was given
}

func newLimited(t *testing.T, instances, upstreams int, cfg standinregistered.Settings, paths []string) *limited {
	t.Helper()
	return newLimitedAt(newSite(t), instances, upstreams, cfg, paths)
}

func newLimitedAt(s *site, instances, upstreams int, cfg standinregistered.Settings, paths []string) *limited {
	t := s.t
	t.Helper()
	l := &limited{site: s, paths: paths, sends: make(map[string][]time.Time)}
	recorder := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		id := r.URL.Query().Get("upstream")
		l.sends[id] = append(l.sends[id], time.Now())
		l.arrivals = append(l.arrivals, arrival{id, r.URL.Query().Get("id"), time.Now()})
	}))
	t.Cleanup(recorder.Close)
	l.putConfiguration(3)
	for range upstreams {
		cfg.Listen, cfg.Store, cfg.Recorder, cfg.Domain = reserveAddress(t), l.http.Addr(), recorder.Listener.Addr().String(), "a"
		u := standinregistered.New(cfg, l.clock)
		if err := u.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(u.Kill)
		l.upstreams = append(l.upstreams, u)
	}
	var seeds []string
	for i := range instances {
		e, cfg := l.startInstance(fmt.Sprintf("e%d", i+1), l.http.Addr(), seeds...)
		l.instances, l.listen, seeds = append(l.instances, e), append(l.listen, cfg.Listen), append(seeds, cfg.PeerListen)
	}
	for _, addr := range l.listen {
		l.waitForStatus(addr, paths[0], "k", http.StatusOK)
	}
	l.waitForPeers(l.listen)
	return l
}

// run sends requests to instances in random order until a time.
func (l *limited) run(until time.Time, perSecond float64) {
	random := rand.New(rand.NewPCG(1, 2))
	for n := 0; time.Now().Before(until); n++ {
		address, path := l.listen[random.IntN(len(l.listen))], l.paths[n%len(l.paths)]
		l.callers.Go(func() {
			a := limitedAnswer{sent: time.Now()}
			var h http.Header
			a.status, h = l.post(address, path, fmt.Sprint("r", n))
			a.took = time.Since(a.sent)
			if s, err := strconv.ParseFloat(h.Get("Retry-After"), 64); err == nil {
				a.retryAfter = time.Duration(s * float64(time.Second))
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			l.answers = append(l.answers, a)
		})
		time.Sleep(time.Duration((0.5 + random.Float64()) / perSecond * float64(time.Second)))
	}
	l.callers.Wait()
}

// stop stops some instances, which get no more requests.
func (l *limited) stop(n int) {
	for _, e := range l.instances[:n] {
		l.stops[e]()
	}
	l.instances, l.listen = l.instances[n:], l.listen[n:]
}

// post sends one request and returns the status and the header of the answer.
func (l *limited) post(address, path, id string) (int, http.Header) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, nil)
	if err != nil {
		l.t.Error(err)
		return 0, nil
	}
	req.Host = "h"
	req.Header.Set(nativewire.RequestField, id)
	req.Header.Set(nativewire.KeyField, "k")
	req.Header.Set(nativewire.TimeoutField, "5s")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0, nil
	}
	return res.StatusCode, res.Header
}

// most returns the largest number of requests that an upstream got in a window that begins at or
// after from.
func (l *limited) most(u *standinregistered.Server, from time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.sends[string(u.ID())]
	most := 0
	for i := range at {
		n := 0
		for _, other := range at[i:] {
			if other.Sub(at[i]) <= limitWindow {
				n++
			}
		}
		if !at[i].Before(from) {
			most = max(most, n)
		}
	}
	return most
}

// count returns the number of requests that an upstream got between two times.
func (l *limited) count(u *standinregistered.Server, from, to time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, at := range l.sends[string(u.ID())] {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// TestNamedLimit guards against upstreams that get more requests from all instances together than
// they have named, against requests that are refused though other upstreams are free, and against
// limits that outlast what the upstream says.
func TestNamedLimit(t *testing.T) {
	plain, engine := standinregistered.Settings{Service: "plain", Prefill: 5 * time.Millisecond}, standinregistered.Settings{Service: "engine", Prefill: 5 * time.Millisecond, Pieces: 3}
	calls, streams := []string{"/unsafe/x", "/safe/x"}, []string{"/stream/x"}
	some, all := []string{"1.1", "2.8", "", ""}, []string{"2.5", "2.5", "2.5", "2.5"}
	tests := []struct {
		name      string
		upstream  standinregistered.Settings
		paths     []string
		instances int
		stopped   int      // instances that stop while the limits are in force
		perSecond float64  // requests
		limits    []string // of the upstreams, "" for none
		served    float64  // least share of requests that are answered
	}{
		{"two of four upstreams", plain, calls, 8, 0, 30, some, 1},
		{"streams", engine, streams, 8, 0, 30, some, 1},
		{"instances that stop", plain, calls, 8, 4, 30, some, 1},
		{"many instances", plain, calls, 40, 0, 40, some, 1},
		{"all upstreams", plain, calls, 8, 0, 30, all, 0.2},
		{"all upstreams, streams", engine, streams, 8, 0, 30, all, 0.2},
		{"all upstreams, many instances", plain, calls, 40, 0, 30, all, 0.2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			l := newLimited(t, tc.instances, len(tc.limits), tc.upstream, tc.paths)
			l.run(time.Now().Add(2*time.Second), tc.perSecond)
			for i, u := range l.upstreams {
				u.SetLimit(tc.limits[i])
			}
			named := time.Now()
			l.run(named.Add(stableTime+4*time.Second), tc.perSecond)
			l.stop(tc.stopped)
			l.run(named.Add(stableTime+8*time.Second), tc.perSecond)
			for i, u := range l.upstreams {
				limit, err := strconv.ParseFloat(tc.limits[i], 64)
				if err != nil {
					continue
				}
				allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
				got := l.most(u, named.Add(stableTime))
				t.Logf("limit %v: %d requests in %v", limit, got, limitWindow)
				if float64(got) > allowed {
					t.Errorf("requests in %v at an upstream that takes %v a second: got %d, want at most %.1f", limitWindow, limit, got, allowed)
				}
			}
			l.checkAnswers(named.Add(stableTime), tc.served)
			for _, u := range l.upstreams {
				u.SetLimit("")
			}
			l.awaitEnd(tc.perSecond)
		})
	}
}

// awaitEnd sends requests until each upstream gets more of them than its limit allowed.
func (l *limited) awaitEnd(perSecond float64) {
	l.t.Helper()
	const span, least = time.Second, 4 // requests in the span
	var free int
	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		began := time.Now()
		l.run(began.Add(span), perSecond)
		free = 0
		for _, u := range l.upstreams {
			if l.count(u, began, time.Now()) >= least {
				free++
			}
		}
		if free == len(l.upstreams) {
			return
		}
	}
	l.t.Errorf("upstreams that get more than the limits that have ended: got %d, want %d", free, len(l.upstreams))
}

// checkAnswers checks that a share of the requests sent from a time on was answered, and that the
// others were refused at once with the time to come back.
func (l *limited) checkAnswers(from time.Time, share float64) {
	l.t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	served, n, late := 0, 0, 0
	for _, a := range l.answers {
		if a.sent.Before(from) {
			continue
		}
		n++
		switch {
		case a.status == http.StatusOK:
			served++
		case a.status != http.StatusServiceUnavailable || a.retryAfter <= 0:
			l.t.Errorf("refused request: got status %d, Retry-After %v, want 503 with a time", a.status, a.retryAfter)
		case a.took > 500*time.Millisecond:
			late++
		}
	}
	l.t.Logf("%d of %d requests answered, %d refused later than after 500 ms", served, n, late)
	if float64(served) < share*float64(n) || late > n/20 {
		l.t.Errorf("got %d of %d requests answered, %d refused late, want a share of %.2f and few late", served, n, late, share)
	}
}

package edge_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"crocuslug/edge"
	"crocuslug/nativewire"
	"crocuslug/standinregistered"
)

// Targets of the users' platform while some instances are cut off from all upstreams, from stableTime
// after the cut began.
const (
	minCutShare   = 2.0 / 3 // of the share of first tries that the other instances serve
	cutSlack      = 10      // failed first tries at the instances that are cut off
	cutSlackShare = 0.02    // of all first tries, which may fail there beside cutSlack
)

// Sizes of the site.
const (
	cutInstances = 8
	cutUpstreams = 6
	cutPieces    = 20
	cutPerSecond = 50 // requests
)

// cutting is a site of instances that are cut off from upstreams.
type cutting struct {
	*site
	links  []*upstreamLinks // of the instances
	listen []string
	ready  []string // addresses of readiness checks and metrics
	random *rand.Rand
	next   int // number of the next request

	mu      sync.Mutex
	runs    map[string]int // by request
	results []cutResult
	callers sync.WaitGroup
	stop    []func() // of the upstreams
}

// cutResult is how a first try ended.
type cutResult struct {
	instance int
	id, path string
	sent     time.Time
	status   int // 0 if there was no whole answer
}

func newCutting(t *testing.T) *cutting {
	t.Helper()
	c := &cutting{site: newSite(t), random: rand.New(rand.NewPCG(1, 2)), runs: make(map[string]int)}
	recorder := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.runs[r.URL.Query().Get("id")]++
	}))
	t.Cleanup(recorder.Close)
	c.putConfiguration(3)
	for i := range cutUpstreams {
		for _, cfg := range []standinregistered.Settings{
			{Service: "plain", Prefill: 20 * time.Millisecond},
			{Service: "engine", Prefill: 50 * time.Millisecond, Interval: 20 * time.Millisecond, Pieces: cutPieces},
		} {
			cfg.Listen, cfg.Store, cfg.Recorder, cfg.Domain = reserveAddress(t), c.http.Addr(), recorder.Listener.Addr().String(), engineDomains[i%2]
			u := standinregistered.New(cfg, c.clock)
			if err := u.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(u.Kill)
			c.stop = append(c.stop, u.Kill)
		}
	}
	var seeds []string
	for i := range cutInstances {
		l := &upstreamLinks{}
		_, cfg := c.startInstanceIn(engineDomains[i%2], fmt.Sprintf("e%d", i+1), c.http.Addr(), l, seeds...)
		c.links, c.listen, seeds = append(c.links, l), append(c.listen, cfg.Listen), append(seeds, cfg.PeerListen)
		c.ready = append(c.ready, cfg.ReadyListen)
	}
	for _, addr := range c.listen {
		c.waitForStatus(addr, "/unsafe/x", "k", http.StatusOK)
	}
	c.waitForPeers(c.listen)
	return c
}

// run sends first tries to random instances for a time.
func (c *cutting) run(d time.Duration) {
	paths := []string{"/unsafe/x", "/safe/x", "/unsafe/x", "/stream/x"}
	for end := time.Now().Add(d); time.Now().Before(end); c.next++ {
		r := cutResult{instance: c.random.IntN(cutInstances), id: fmt.Sprint("r", c.next), path: paths[c.next%len(paths)], sent: time.Now()}
		limit := "1s"
		if r.path == "/stream/x" {
			limit = "10s"
		}
		c.callers.Go(func() {
			status, body, err := post(c.listen[r.instance], r.path, "hi", nativewire.RequestField, r.id, nativewire.KeyField, "k", nativewire.TimeoutField, limit)
			if r.status = status; err != nil || r.path == "/stream/x" && status == http.StatusOK && body != wholeStream(r.id) {
				r.status = 0
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.results = append(c.results, r)
		})
		time.Sleep(time.Second / cutPerSecond)
	}
}

// wholeStream returns the body of the whole answer to a stream.
func wholeStream(id string) string {
	var body string
	for n := range cutPieces {
		body += standinregistered.Piece(id, n+1)
	}
	return body
}

// share returns how many first tries that were sent between two times at the instances from low to
// high-1 were served, and how many there were.
func (c *cutting) share(low, high int, from, to time.Time) (served, sent int) {
	c.callers.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.results {
		if r.instance < low || r.instance >= high || r.sent.Before(from) || r.sent.After(to) {
			continue
		}
		sent++
		if r.status == http.StatusOK {
			served++
		}
	}
	return served, sent
}

// checkRuns checks that no request ran twice that may not.
func (c *cutting) checkRuns() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.results {
		if n := c.runs[r.id]; r.path == "/unsafe/x" && (n > 1 || n > 0 && r.status == http.StatusServiceUnavailable) {
			c.t.Errorf("%s: got %d runs and status %d, want one run at most and none if it was refused as not run", r.id, n, r.status)
		}
	}
}

// TestCutOffInstancesServe guards against callers that are served far worse because their instance has
// lost its links to all upstreams, and against instances that go on without them afterwards.
func TestCutOffInstancesServe(t *testing.T) {
	tests := []struct {
		name string
		kind cutKind
		cut  int // number of instances, the first ones
	}{
		{"silent", cutSilent, 4},
		{"reset", cutReset, 4},
		{"new connections refused", cutRefused, 4},
		{"most instances", cutReset, 7},
		{"most instances, silent", cutSilent, 7},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCutting(t)
			c.run(time.Second)
			for _, l := range c.links[:tc.cut] {
				l.cut(tc.kind)
			}
			began := time.Now()
			c.run(stableTime + 4*time.Second)
			ended := time.Now()
			for _, l := range c.links[:tc.cut] {
				l.mend()
			}
			c.run(stableTime + time.Second)
			from := began.Add(stableTime)
			served, sent := c.share(0, tc.cut, from, ended)
			othersServed, othersSent := c.share(tc.cut, cutInstances, from, ended)
			t.Logf("first tries served: %d of %d at instances that are cut off, %d of %d at others", served, sent, othersServed, othersSent)
			least := minCutShare * float64(othersServed) / float64(othersSent) * float64(sent)
			allowed := cutSlack + cutSlackShare*float64(sent+othersSent)
			if float64(served) < least && float64(sent-served) > allowed {
				t.Errorf("first tries at instances that are cut off: got %d of %d served, want at least %.0f, or at most %.0f that fail", served, sent, least, allowed)
			}
			if served, sent := c.share(0, cutInstances, ended.Add(stableTime), time.Now()); served < sent {
				t.Errorf("first tries after the cut: got %d of %d served, want all", served, sent)
			}
			c.checkRuns()
			for i := range cutInstances {
				if got := c.metric(i, "EngineCrashes"); got != 0 {
					t.Errorf("instance %d: got %d crashes of upstreams counted, want none", i+1, got)
				}
			}
		})
	}
}

// metric returns a metric of an instance, or 0 if it is not written.
func (c *cutting) metric(instance int, name string) int {
	return readMetric(c.t, c.ready[instance], name)
}

// readMetric returns a metric of the instance with a readiness address, or 0 if it is not written.
func readMetric(t *testing.T, ready, name string) int {
	t.Helper()
	res, err := http.Get("http://" + ready + edge.MetricsPath)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	for sc := bufio.NewScanner(res.Body); sc.Scan(); {
		if w := strings.Fields(sc.Text()); len(w) == 2 && w[0] == name {
			n, err := strconv.Atoi(w[1])
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
	}
	return 0
}

// Bound of the questions that one instance asks in a real outage: in outageTime about ten for each of
// two failure domains, at growing intervals.
const (
	outageTime   = 6 * time.Second
	maxQuestions = 20
)

// TestOutageMakesNoStorm guards against instances that take the loss of all upstreams for a cut of their
// own and load each other with it.
func TestOutageMakesNoStorm(t *testing.T) {
	c := newCutting(t)
	c.run(time.Second)
	for _, stop := range c.stop {
		stop()
	}
	c.run(outageTime)
	c.callers.Wait()
	for i := range cutInstances {
		asked, cuts, used := c.metric(i, "Reach.Asked"), c.metric(i, "Reach.Cuts"), c.metric(i, "Relays.Used")
		t.Logf("instance %d: %d questions", i+1, asked)
		if asked > maxQuestions || cuts > 0 || used > 0 {
			t.Errorf("instance %d: got %d questions, %d cuts and %d relayed connections, want at most %d, none and none", i+1, asked, cuts, used, maxQuestions)
		}
	}
	c.checkRuns()
}

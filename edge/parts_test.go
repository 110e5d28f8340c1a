package edge_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"crocuslug/ident"
	"crocuslug/nativewire"
	"crocuslug/settings"
	"crocuslug/standinregistered"
)

// Targets of the users' platform for requests with a part of their prompts that crashes engines.
const (
	crashesKnown   = 5          // crashes after which the part has to be known
	blameTime      = stableTime // from then until requests with the part must not be sent on
	maxSendsAfter  = 3          // requests with the part that may be sent on later
	recoveryTime   = 2 * stableTime
	minSoundShare  = 0.5 // of the share of sound requests that began before
	minSoundSample = 20
	troubleTime    = 5 * time.Second // in which requests with the part crash as many engines as they can
)

// crashing is a site whose engines crash on a part of prompts.
type crashing struct {
	*site
	upstream  standinregistered.Settings // of each upstream that crashes
	downTime  time.Duration              // least time for which it is down; it may be a second longer
	instances int
	// request sends one of several requests of a kind with a content.
	request func(address, kind, content string, n int) (status int, err error)

	listen []string // of the instances
	seeds  []string
	random *rand.Rand

	mu      sync.Mutex
	ended   bool
	engines map[string]*standinregistered.Server // by address
	domains map[string]ident.Domain              // by address
	crashes []time.Time
	sends   map[string][]time.Time // arrivals at engines, by kind of request
	results []promptResult
	callers sync.WaitGroup
}

// promptResult is how one request ended.
type promptResult struct {
	kind   string
	sent   time.Time
	status int // 0 if there was no answer
}

// Sizes of the site.
const (
	crashingInstances = 5
	enginesPerDomain  = 3
	badPart           = "bad"
)

var engineDomains = []ident.Domain{"a", "b", "c", "d"}

// newCrashing returns a site of engines that crash on badPart and start again after 1 to 2 s.
func newCrashing(t *testing.T, instances int) *crashing {
	t.Helper()
	c := &crashing{
		upstream: standinregistered.Settings{Service: "engine", CrashPart: badPart, Prefill: 100 * time.Millisecond, Interval: 30 * time.Millisecond, Pieces: 45},
		downTime: time.Second, instances: instances,
		request: func(address, kind, prompt string, n int) (int, error) {
			return sendPrompt(address, fmt.Sprintf("%s-%d", kind, n), fmt.Sprintf("%s,own%d:100", prompt, n))
		},
	}
	c.start(t, enginesPerDomain)
	return c
}

// start starts the site with some upstreams in each failure domain.
func (c *crashing) start(t *testing.T, upstreams int) {
	t.Helper()
	c.site, c.random = newSite(t), rand.New(rand.NewPCG(1, 2))
	c.engines, c.domains, c.sends = make(map[string]*standinregistered.Server), make(map[string]ident.Domain), make(map[string][]time.Time)
	recorder := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		kind, _, _ := strings.Cut(r.URL.Query().Get("id"), "-")
		c.recordSend(kind)
	}))
	t.Cleanup(recorder.Close)
	c.putConfiguration(3)
	for _, domain := range engineDomains {
		for range upstreams {
			c.startEngine(reserveAddress(t), domain, recorder.Listener.Addr().String())
		}
	}
	t.Cleanup(c.stopEngines)
	if c.upstream.Service != "plain" {
		c.startUpstream("plain", 0, "127.0.0.1:0")
	}
	for i := range c.instances {
		c.startPeer(fmt.Sprintf("e%d", i+1))
	}
	for _, addr := range c.listen {
		c.waitForStatus(addr, "/unsafe/x", "k", http.StatusOK)
	}
	c.waitForPeers(c.listen)
}

// startPeer starts one more instance.
func (c *crashing) startPeer(name string) settings.Edge {
	c.t.Helper()
	_, cfg := c.startInstance(name, c.http.Addr(), c.seeds...)
	c.listen, c.seeds = append(c.listen, cfg.Listen), append(c.seeds, cfg.PeerListen)
	return cfg
}

// startEngine starts an upstream that starts again after it has crashed.
func (c *crashing) startEngine(address string, domain ident.Domain, recorder string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	const downSpread = 1000 // ms
	down := c.downTime + time.Duration(c.random.IntN(downSpread))*time.Millisecond
	cfg := c.upstream
	cfg.Listen, cfg.Store, cfg.Recorder, cfg.Domain = address, c.http.Addr(), recorder, domain
	cfg.OnCrash = func() {
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		c.mu.Unlock()
		time.AfterFunc(down, func() { c.startEngine(address, domain, recorder) }) // under a new id
	}
	u := standinregistered.New(cfg, c.clock)
	if err := u.Start(); err != nil { // the port has been taken meanwhile
		time.AfterFunc(time.Millisecond, func() { c.startEngine("127.0.0.1:0", domain, recorder) })
		return
	}
	c.engines[u.Addr()], c.domains[u.Addr()] = u, domain
}

func (c *crashing) stopEngines() {
	c.callers.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, u := range c.engines {
		u.Kill()
	}
}

func (c *crashing) recordSend(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends[kind] = append(c.sends[kind], time.Now())
}

// crashCount returns the number of engines that have crashed.
func (c *crashing) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes)
}

// send sends a request of a kind with a content to an instance, from a caller of its own.
func (c *crashing) send(kind, address, content string, n int) {
	c.callers.Go(func() {
		r := promptResult{kind: kind, sent: time.Now()}
		r.status, _ = c.request(address, kind, content, n)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.results = append(c.results, r)
	})
}

// sendPrompt sends a stream request with a prompt and returns the status of the answer.
func sendPrompt(address, id, parts string) (int, error) {
	status, _, err := post(address, "/stream/x", id, nativewire.RequestField, id, nativewire.KeyField, "k", nativewire.PartsField, parts, nativewire.TimeoutField, "10s")
	return status, err
}

// traffic sends requests of several kinds at any instance until a time.
type traffic struct {
	kind     string
	contents []string      // all parts of prompts but the last, or paths and bodies of calls
	interval time.Duration // mean time between requests
	atOnce   int           // requests sent to different instances at each time; 0 means 1
}

func (c *crashing) run(until time.Time, list ...traffic) {
	next := make([]time.Time, len(list))
	for n := 0; time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for i, f := range list {
			if time.Now().Before(next[i]) {
				continue
			}
			c.mu.Lock()
			wait := time.Duration((0.5 + c.random.Float64()) * float64(f.interval))
			first, content := c.random.IntN(len(c.listen)), f.contents[c.random.IntN(len(f.contents))]
			c.mu.Unlock()
			next[i] = time.Now().Add(wait)
			for k := range max(1, f.atOnce) {
				n++
				c.send(f.kind, c.listen[(first+k)%len(c.listen)], content, c.serial(n))
			}
		}
	}
}

// serial returns a number that no other request has.
func (c *crashing) serial(n int) int { return int(time.Now().UnixNano()/1000)*1000 + n%1000 }

// begun returns the share of the requests of a kind, sent between two times, that were answered, and
// their number.
func (c *crashing) begun(kind string, from, to time.Time) (share float64, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := 0
	for _, r := range c.results {
		if r.kind != kind || r.sent.Before(from) || !r.sent.Before(to) {
			continue
		}
		n++
		if r.status == http.StatusOK {
			ok++
		}
	}
	return float64(ok) / float64(max(1, n)), n
}

// sendsAfter returns the number of requests of a kind that reached an engine after a time.
func (c *crashing) sendsAfter(kind string, from time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, at := range c.sends[kind] {
		if at.After(from) {
			n++
		}
	}
	return n
}

// TestPartThatCrashesEngines guards against requests that share one part of their prompts and crash
// engines one after the other, while sound requests share their key and their other parts.
func TestPartThatCrashesEngines(t *testing.T) {
	tests := []struct {
		name       string
		bad, sound []string
	}{
		{"part alone", []string{"common:200," + badPart + ":300"}, []string{"common:200,x:300", "common:200,y:300", "common:200"}},
		{"always with another part", []string{"common:200,other:300," + badPart + ":300"}, []string{"common:200,other:300", "common:200,x:300", "other:300"}},
		{"at any place", []string{badPart + ":300", "x:300," + badPart + ":300", "common:200,y:300," + badPart + ":300"}, []string{"common:200,x:300", "y:300", "x:300"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCrashing(t, crashingInstances)
			sound := traffic{kind: "sound", contents: tc.sound, interval: 50 * time.Millisecond}
			bad := traffic{kind: "bad", contents: tc.bad, interval: 300 * time.Millisecond}
			began := time.Now()
			c.run(began.Add(2*time.Second), sound)
			troubled := time.Now()
			for end := troubled.Add(troubleTime); c.crashCount() < crashesKnown && time.Now().Before(end); {
				c.run(time.Now().Add(100*time.Millisecond), sound, bad)
			}
			fifth := c.crashTime(crashesKnown) // or the last, if the requests are refused before
			c.run(fifth.Add(recoveryTime+2*time.Second), sound, bad)
			last := time.Now()
			c.callers.Wait()
			if got := c.sendsAfter("bad", fifth.Add(blameTime)); got > maxSendsAfter {
				t.Errorf("requests with the part sent to engines after %v: got %d, want at most %d; %d engines crashed", blameTime, got, maxSendsAfter, c.crashCount())
			}
			before, _ := c.begun("sound", began, troubled)
			after, n := c.begun("sound", fifth.Add(recoveryTime), last)
			t.Logf("%d engines crashed, the last after %v; %d requests with the part sent later than %v after the fifth; sound requests that began: %.2f before, %.2f after",
				c.crashCount(), c.crashTime(c.crashCount()).Sub(troubled), c.sendsAfter("bad", fifth.Add(blameTime)), blameTime, before, after)
			if after < minSoundShare*before || n < minSoundSample {
				t.Errorf("sound requests that began: got a share of %.2f of %d, want at least half of %.2f", after, n, before)
			}
			c.checkLateInstance()
		})
	}
}

// crashTime returns the time of the nth crash, or of the last if there were fewer.
func (c *crashing) crashTime(n int) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) == 0 {
		return time.Now()
	}
	return c.crashes[min(n, len(c.crashes))-1]
}

// checkLateInstance starts an instance and checks that it soon refuses requests with the part, and
// serves sound ones.
func (c *crashing) checkLateInstance() {
	c.t.Helper()
	cfg := c.startPeer("late")
	c.waitForStatus(cfg.Listen, "/unsafe/x", "k", http.StatusOK)
	time.Sleep(blameTime)
	sent := c.sendsAfter("bad", time.Time{})
	const tries = 5
	for i := range tries {
		if got, err := sendPrompt(cfg.Listen, fmt.Sprintf("bad-late%d", i), fmt.Sprintf("common:200,other:300,%s:300,late%d:100", badPart, i)); got != http.StatusServiceUnavailable {
			c.t.Errorf("late instance, request with the part: got %d, %v, want %d", got, err, http.StatusServiceUnavailable)
		}
	}
	if got := c.sendsAfter("bad", time.Time{}) - sent; got > 0 {
		c.t.Errorf("late instance, requests with the part sent to engines: got %d, want none", got)
	}
	if got, err := sendPrompt(cfg.Listen, "sound-late", "common:200,x:300,late:100"); got != http.StatusOK {
		c.t.Errorf("late instance, sound request: got %d, %v, want %d", got, err, http.StatusOK)
	}
}

// TestLostDomainBlamesNobody checks that no request is refused after the engines of three failure
// domains have been lost, those of each at the same moment, though the same parts were on all of them.
func TestLostDomainBlamesNobody(t *testing.T) {
	t.Parallel()
	c := newCrashing(t, crashingInstances)
	sound := traffic{kind: "sound", contents: []string{"common:200,x:300", "common:200,y:300"}, interval: 30 * time.Millisecond}
	began := time.Now()
	c.run(began.Add(time.Second), sound)
	for _, domain := range engineDomains[:3] {
		c.killDomain(domain)
		c.run(time.Now().Add(2*time.Second), sound)
	}
	last := time.Now()
	c.run(last.Add(2*time.Second), sound)
	c.callers.Wait()
	if share, n := c.begun("sound", last, time.Now()); share < 1 {
		t.Errorf("sound requests that began: got a share of %.2f of %d, want all", share, n)
	}
}

// killDomain ends the engines of a failure domain at once. They do not come back.
func (c *crashing) killDomain(domain ident.Domain) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, u := range c.engines {
		if c.domains[address] == domain {
			u.Kill()
		}
	}
}

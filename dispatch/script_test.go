package dispatch

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/retry"
)

// engine is an upstream that executes one command of its script per request. The last
// command applies to all later requests.
type engine struct {
	name    string
	script  []string
	http    *httptest.Server
	cluster *cluster
	still   sync.RWMutex // locked while the engine answers nobody
}

// cluster is a set of engines and the configuration of the dispatcher that uses them.
type cluster struct {
	mu       sync.Mutex
	engines  []*engine
	list     []directory.Upstream
	received []string // requests as received, "ENGINE after=N from=NAME copy=ENGINE"
	route    directory.Route
	service  directory.Service
	budget   retry.Settings
	deadline time.Duration
	first    time.Duration  // dispatch.Settings.FirstPieceTimeout
	tokens   int            // greatest number of tokens of the answer; 0 if it is not stated
	told     []string       // builds that were told to other instances
	origin   *ident.Build   // build of the stream that the caller takes up; nil if it takes none up, "" if it is not known
	publish  func()         // passes list to the dispatcher
	memory   int64          // bound on answers in memory in bytes; 0 means the default
	relayed  string         // engine to which connections pass through another instance; "" for none
	relays   []*net.TCPConn // both ends of the connections between the instances
	delivery *fakeDelivery  // nil for none
	byMemory bool           // the memory of engines is counted

	memoryUsed float64 // share of the memory that counts as used after the request

	departs string // engine that registers as leaving while a connection to it is opened; "" for none
}

// TestScripts runs the scripts in testdata/*.txt. The near failure domain is that of the
// instance, so its engine is chosen first. Each line is one of
//
//	route KIND [resumable] [attempts=N] [budget=RETRIES] [deadline=DURATION] [tokens=N] [first=DURATION]
//	                   the budget, if it is set, grows by other requests up to RETRIES; an engine is
//	                   left if its first piece takes longer than first
//	memory BYTES           the bound on answers in memory
//	engine NAME DOMAIN[/BUILD] COMMAND ...
//	connecting NAME        the engine registers as leaving while a connection to it is opened
//	relayed NAME           connections to the engine pass through another instance
//	told BUILD ...         the builds told to other instances, in order; - for none
//	origin BUILD           the caller takes up a stream after piece 3 that began at a build; - if that is not known
//	delivery PHASE BUILD   the service is being moved to a build: former, new, ended or rolled-back
//	sent BUILD ...         the builds whose attempts were recorded, in order; - for none
//	observed BUILD:ok|bad ...  the answers that were recorded, sorted; - for none
//	want RESULT        "200 BODY", "pieces 1-5", "cut 1-3", "refused NotRun" or "refused Unknown"
//	request ENGINE ...     a request received by an engine, or "ENGINE left" (see cut), in order
//
// The commands of an engine are ok:BODY, late:BODY (after pauseTime), status:N, refuse, rest:SECONDS,
// replaced[:NAME] (421 of another upstream, or of NAME), drop, unsigned, still:N-M (the engine answers nobody for pauseTime, then streams),
// and stream:N-M:END, where END is whole, rollback (the build of the delivery is rolled back, then drop), drop, drop-late (after minRunTime), hang, pause-K
// (silence for pauseTime, then the pieces up to K), rollout-BUILD (after minRunTime an engine of that build
// registers; one more piece after pauseTime), cut (after minRunTime this instance
// is cut off from the one that passes the connection on; the engine records when its connection is closed), leave (it registers as leaving) or crash (after minRunTime the engine is
// gone); bare, head and invalid, see engine.bare, engine.cutHead and engine.invalid; flood, see engine.flood; and long:BYTES for a stream of one
// event of that size.
func TestScripts(t *testing.T) { runScripts(t, "testdata/*.txt") }

// TestDeliveries guards against requests to a build that is being delivered beyond its share, or after it was
// rolled back, and against answers that are recorded wrongly.
func TestDeliveries(t *testing.T) { runScripts(t, "testdata/delivery/*.txt") }

// TestPauses guards against answers that are cut because a sound engine paused.
func TestPauses(t *testing.T) { runScripts(t, "testdata/pauses/*.txt") }

// TestRelayedStreams guards against a stream that goes on at a second engine while the first one still
// works on it, because the instance that passed the stream on does not know that this one is cut off.
func TestRelayedStreams(t *testing.T) { runScripts(t, "testdata/relayed/*.txt") }

// While a script sets the retry budget, other requests let it grow.
const (
	otherRequestInterval = 100 * time.Millisecond
	retriesPerRequest    = 0.5
)

// takenUpAfter is the last piece that the caller has of a stream that it takes up.
const takenUpAfter = 3

// pauseTime is how long a sound engine pauses.
const pauseTime = 1200 * time.Millisecond

func runScripts(t *testing.T, pattern string) {
	t.Helper()
	names, err := filepath.Glob(pattern)
	if err != nil || len(names) == 0 {
		t.Fatalf("scripts: got %v, %v, want some", names, err)
	}
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			t.Parallel()
			runScript(t, name)
		})
	}
}

func runScript(t *testing.T, name string) { runScriptOn(t, name, &cluster{}) }

// runScriptOn runs a script on a cluster.
func runScriptOn(t *testing.T, name string, wd *cluster) {
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	wd.service, wd.budget, wd.deadline = directory.Service{Name: "s", Memory: 55000, Backups: true}, retry.Settings{Burst: 100, MaxAttempts: 8}, 20*time.Second
	var want string
	var wantSeen []string
	wantTold, wantSent, wantObserved := "any", "any", "any"
	for n, line := range strings.Split(string(text), "\n") {
		w := strings.Fields(line)
		if len(w) == 0 || w[0] == "#" {
			continue
		}
		switch w[0] {
		case "route":
			wd.setRoute(t, w[1:])
		case "memory":
			wd.memory, _ = strconv.ParseInt(w[1], 10, 64)
		case "engine":
			domain, build, _ := strings.Cut(w[2], "/")
			wd.add(t, w[1], ident.Domain(domain), ident.Build(build), w[3:])
		case "connecting":
			wd.departs = w[1]
		case "relayed":
			wd.relayed = w[1]
		case "told":
			wantTold = strings.TrimPrefix(strings.Join(w[1:], " "), "-")
		case "delivery":
			wd.delivery = newDelivery(t, w[1], ident.Build(w[2]))
		case "sent":
			wantSent = strings.TrimPrefix(strings.Join(w[1:], " "), "-")
		case "observed":
			wantObserved = strings.TrimPrefix(strings.Join(w[1:], " "), "-")
		case "origin":
			build := ident.Build(strings.TrimPrefix(w[1], "-"))
			wd.origin = &build
		case "want":
			want = strings.Join(w[1:], " ")
		case "request":
			wantSeen = append(wantSeen, strings.Join(w[1:], " "))
		default:
			t.Fatalf("line %d: unknown command %q", n+1, w[0])
		}
	}
	if got := wd.run(t); got != want {
		t.Errorf("result: got %q, want %q", got, want)
	}
	if wd.delivery != nil {
		wd.delivery.check(t, wantSent, wantObserved)
	}
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if got := strings.Join(wd.told, " "); got != wantTold && wantTold != "any" {
		t.Errorf("told to other instances: got %q, want %q", got, wantTold)
	}
	if got, want := strings.Join(wd.received, "\n"), strings.Join(wantSeen, "\n"); got != want {
		t.Errorf("requests: got:\n%s\nwant:\n%s", got, want)
	}
}

func (wd *cluster) setRoute(t *testing.T, words []string) {
	kinds := map[string]directory.Kind{"safe": directory.Safe, "unsafe": directory.Unsafe, "streaming": directory.Streaming}
	kind, ok := kinds[words[0]]
	if !ok {
		t.Fatalf("unknown kind %q", words[0])
	}
	wd.route = directory.Route{Kind: kind, MaxAttempts: 5}
	for _, w := range words[1:] {
		switch name, value, _ := strings.Cut(w, "="); name {
		case "resumable":
			wd.route.Resumable = true
			continue
		case "budget":
			retries, err := strconv.ParseFloat(value, 64)
			if err != nil {
				t.Fatal(err)
			}
			wd.budget.Burst, wd.budget.RetryRatio = retries, retriesPerRequest
			continue
		case "deadline", "first":
			limit, err := time.ParseDuration(value)
			if err != nil {
				t.Fatal(err)
			}
			if name == "first" {
				wd.first = limit
			} else {
				wd.deadline = limit
			}
			continue
		case "tokens":
			wd.tokens, _ = strconv.Atoi(value)
			continue
		}
		n, err := strconv.Atoi(strings.TrimPrefix(w, "attempts="))
		if err != nil {
			t.Fatal(err)
		}
		wd.route.MaxAttempts = n
	}
}

func (wd *cluster) add(t *testing.T, name string, domain ident.Domain, build ident.Build, words []string) {
	e := &engine{name: name, script: words, cluster: wd}
	e.http = httptest.NewServer(http.HandlerFunc(e.serve))
	t.Cleanup(func() {
		e.http.CloseClientConnections()
		e.http.Close()
	})
	wd.engines = append(wd.engines, e)
	wd.list = append(wd.list, directory.Upstream{
		ID:      ident.Upstream(name),
		Service: "s",
		Address: e.http.Listener.Addr().String(),
		Domain:  domain,
		Build:   build,
		Slots:   64,
	})
}

// leave registers an engine as leaving.
func (wd *cluster) leave(name string) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	for i := range wd.list {
		wd.list[i].Draining = wd.list[i].Draining || string(wd.list[i].ID) == name
	}
	wd.publish()
}

// rollOut registers another engine of the service with a build.
func (wd *cluster) rollOut(build string) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.list = append(wd.list, directory.Upstream{ID: "new", Service: "s", Address: "127.0.0.1:1", Domain: "far", Build: ident.Build(build), Slots: 64})
	wd.publish()
}

// nameOf returns the name of the engine at an address, or "-".
func (wd *cluster) nameOf(address string) string {
	for _, u := range wd.list {
		if u.Address == address {
			return string(u.ID)
		}
	}
	return "-"
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	e.awaitStill()
	if r.URL.Path != "/x" {
		w.WriteHeader(http.StatusNotFound) // a probe or a copy
		return
	}
	wd := e.cluster
	wd.mu.Lock()
	owner, _, _ := strings.Cut(r.Header.Get("From-Copy"), "/")
	wd.received = append(wd.received, fmt.Sprintf("%s after=%s from=%s copy=%s", e.name, dash(r.Header.Get("After")), wd.nameOf(owner), wd.nameOf(r.Header.Get("Copy-To"))))
	word := e.script[0]
	if len(e.script) > 1 {
		e.script = e.script[1:]
	}
	wd.mu.Unlock()
	kind, rest, _ := strings.Cut(word, ":")
	w.Header().Set("Id", r.Header.Get("Id"))
	if kind != "unsigned" {
		w.Header().Set("Signed", "1")
	}
	switch kind {
	case "ok", "unsigned":
		_, _ = fmt.Fprint(w, rest)
	case "late":
		<-time.After(pauseTime)
		_, _ = fmt.Fprint(w, rest)
	case "status":
		code, _ := strconv.Atoi(rest)
		w.WriteHeader(code)
	case "refuse":
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "rest":
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Rest", rest)
		w.WriteHeader(http.StatusServiceUnavailable)
	case "replaced":
		w.Header().Set("Upstream", cmp.Or(rest, "other"))
		w.WriteHeader(http.StatusMisdirectedRequest)
	case "drop":
		panic(http.ErrAbortHandler)
	case "still":
		e.still.Lock()
		<-time.After(pauseTime)
		e.still.Unlock()
		e.stream(w, r, rest+":whole")
	case "stream":
		e.stream(w, r, rest)
	case "bare":
		e.bare(w, r, rest)
	case "head":
		e.cutHead(w, r, rest)
	case "invalid":
		e.invalid(w, r, rest)
	case "flood":
		e.flood(w, rest)
	case "text":
		e.text(w, rest)
	case "long":
		size, _ := strconv.Atoi(rest)
		_, _ = fmt.Fprintf(w, "id: 1\ndata: %s\n\n", strings.Repeat("x", size))
	}
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, script string) {
	w.Header().Set("Content-Type", "text/event-stream")
	span, end, _ := strings.Cut(script, ":")
	first, last, _ := strings.Cut(span, "-")
	from, _ := strconv.Atoi(first)
	to, _ := strconv.Atoi(last)
	e.writePieces(w, from, to)
	kind, pause, _ := strings.Cut(end, "-")
	switch kind {
	case "pause":
		<-time.After(pauseTime)
		last, _ := strconv.Atoi(pause)
		e.writePieces(w, to+1, last)
	case "rollout":
		<-time.After(minRunTime) // the pieces have arrived
		e.cluster.rollOut(pause)
		<-time.After(pauseTime)
		e.writePieces(w, to+1, to+1)
	case "cut":
		<-time.After(minRunTime) // the pieces have arrived
		e.cluster.cutRelays()
		<-r.Context().Done()
		e.cluster.record(e.name + " left")
	case "rollback":
		<-time.After(minRunTime) // the pieces have arrived
		e.cluster.delivery.rollBack()
		panic(http.ErrAbortHandler)
	case "leave":
		e.cluster.leave(e.name)
		panic(http.ErrAbortHandler)
	case "crash":
		<-time.After(minRunTime)
		_ = e.http.Listener.Close()
		panic(http.ErrAbortHandler)
	case "drop":
		if pause == "late" {
			<-time.After(minRunTime)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprint(w, "id: 99\nda")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "hang":
		<-r.Context().Done()
	}
}

// awaitStill waits until the engine answers again.
func (e *engine) awaitStill() {
	e.still.RLock()
	defer e.still.RUnlock()
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/meter"
	"crocuslug/retry"
	"crocuslug/suspect"
	"crocuslug/timer"
	"crocuslug/work"
)

// engine is an upstream that does what its script says, one word a request; the
// last word holds for all later ones.
type engine struct {
	name  string
	words []string
	http  *httptest.Server
	world *world
}

// world is a set of engines and a dispatcher before them.
type world struct {
	mu      sync.Mutex
	engines []*engine
	list    []directory.Upstream
	seen    []string // requests as they came, "ENGINE after=N from=NAME copy=ENGINE"
	route   directory.Route
	service directory.Service
}

// TestScripts plays testdata/*.txt. The near failure domain is that of the
// instance, so its engine is taken first. A line is one of
//
//	route KIND [resumable] [attempts=N]
//	engine NAME DOMAIN WORD ...
//	want RESULT        "200 BODY", "pieces 1-5", "cut 1-3", "refused NotRun" or "refused Unknown"
//	seen ENGINE WORD ...   the requests that came, in order
//
// The words of an engine are ok:BODY, status:N, refuse, replaced, drop,
// unsigned, and stream:N-M:END with the end whole, drop, late (dropped
// after a while) or hang.
func TestScripts(t *testing.T) {
	names, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(names) == 0 {
		t.Fatalf("scripts: got %v, %v, want some", names, err)
	}
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			t.Parallel()
			play(t, name)
		})
	}
}

func play(t *testing.T, name string) {
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	wd := &world{service: directory.Service{Name: "s", Memory: 55000, Backups: true}}
	var want string
	var wantSeen []string
	for n, line := range strings.Split(string(text), "\n") {
		w := strings.Fields(line)
		if len(w) == 0 || w[0] == "#" {
			continue
		}
		switch w[0] {
		case "route":
			wd.setRoute(t, w[1:])
		case "engine":
			wd.add(t, w[1], ident.Domain(w[2]), w[3:])
		case "want":
			want = strings.Join(w[1:], " ")
		case "seen":
			wantSeen = append(wantSeen, strings.Join(w[1:], " "))
		default:
			t.Fatalf("line %d: unknown word %q", n+1, w[0])
		}
	}
	if got := wd.run(t); got != want {
		t.Errorf("result: got %q, want %q", got, want)
	}
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if got, want := strings.Join(wd.seen, "\n"), strings.Join(wantSeen, "\n"); got != want {
		t.Errorf("requests: got:\n%s\nwant:\n%s", got, want)
	}
}

func (wd *world) setRoute(t *testing.T, words []string) {
	kinds := map[string]directory.Kind{"safe": directory.Safe, "unsafe": directory.Unsafe, "streaming": directory.Streaming}
	kind, ok := kinds[words[0]]
	if !ok {
		t.Fatalf("unknown kind %q", words[0])
	}
	wd.route = directory.Route{Kind: kind, MaxAttempts: 5}
	for _, w := range words[1:] {
		if w == "resumable" {
			wd.route.Resumable = true
			continue
		}
		n, err := strconv.Atoi(strings.TrimPrefix(w, "attempts="))
		if err != nil {
			t.Fatal(err)
		}
		wd.route.MaxAttempts = n
	}
}

func (wd *world) add(t *testing.T, name string, domain ident.Domain, words []string) {
	e := &engine{name: name, words: words, world: wd}
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
		Slots:   64,
	})
}

// nameOf returns the engine at an address.
func (wd *world) nameOf(address string) string {
	for _, u := range wd.list {
		if u.Address == address {
			return string(u.ID)
		}
	}
	return "-"
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/x" {
		w.WriteHeader(http.StatusNotFound) // a probe or a copy
		return
	}
	wd := e.world
	wd.mu.Lock()
	owner, _, _ := strings.Cut(r.Header.Get("From-Copy"), "/")
	wd.seen = append(wd.seen, fmt.Sprintf("%s after=%s from=%s copy=%s", e.name, dash(r.Header.Get("After")), wd.nameOf(owner), wd.nameOf(r.Header.Get("Copy-To"))))
	word := e.words[0]
	if len(e.words) > 1 {
		e.words = e.words[1:]
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
	case "status":
		code, _ := strconv.Atoi(rest)
		w.WriteHeader(code)
	case "refuse":
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "replaced":
		w.WriteHeader(http.StatusMisdirectedRequest)
	case "drop":
		panic(http.ErrAbortHandler)
	case "stream":
		e.stream(w, r, rest)
	}
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, script string) {
	span, end, _ := strings.Cut(script, ":")
	first, last, _ := strings.Cut(span, "-")
	from, _ := strconv.Atoi(first)
	to, _ := strconv.Atoi(last)
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, e.name)
		_ = http.NewResponseController(w).Flush()
	}
	switch end {
	case "late":
		<-time.After(leastRun)
		panic(http.ErrAbortHandler)
	case "drop":
		_, _ = fmt.Fprint(w, "id: 99\nda")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "hang":
		<-r.Context().Done()
	}
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func ports() work.Ports {
	return work.Ports{
		Header: func(w *work.Work, leg *work.Leg) http.Header {
			h := http.Header{"Id": {string(w.ID)}}
			if leg.Resumes {
				h.Set("After", strconv.FormatUint(leg.After, 10))
			}
			if leg.CopyTo != "" {
				h.Set("Copy-To", leg.CopyTo)
			}
			if leg.From != nil {
				h.Set("From-Copy", leg.From.Owner+"/"+leg.From.Name)
			}
			return h
		},
		Belongs:  func(w *work.Work, h http.Header) bool { return h.Get("Id") == string(w.ID) },
		NotRun:   func(_ int, h http.Header) bool { return h.Get("Not-Run") != "" },
		Replaced: func(status int, _ http.Header) bool { return status == http.StatusMisdirectedRequest },
		Genuine:  func(h http.Header) bool { return h.Get("Signed") != "" },
	}
}

// parts returns the parts of a dispatcher whose choices are not random.
func parts(p work.Ports, f *fleet.Fleet, c *exchange.Client, clock *timer.Service, log zerolog.Logger) Parts {
	return Parts{
		Ports:    p,
		Fleet:    f,
		Client:   c,
		Suspects: suspect.New(suspect.Settings{}),
		Meters:   meter.New(clock),
		Budget:   retry.Settings{Burst: 100, MaxAttempts: 8},
		Timer:    clock,
		Random:   func() uint64 { return 0 },
		Log:      log,
	}
}

// run sends one request and returns what became of it.
func (wd *world) run(t *testing.T) string {
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go clock.Run(ctx)
	random := func() uint64 { return 0 }
	f := fleet.New(fleet.Settings{Domain: "near"}, random, zerolog.Nop())
	f.SetUpstreams(wd.list, func(ident.Service) int { return wd.service.Memory }, clock.Now())
	client := exchange.New(exchange.Settings{}, clock)
	defer client.Close()
	d := New(Settings{Gap: 300 * time.Millisecond, ResumeWait: time.Second}, parts(ports(), f, client, clock, zerolog.Nop()))
	w := &work.Work{
		ID:       "r1",
		Route:    &wd.route,
		Service:  &wd.service,
		Deadline: clock.Now().Add(20 * time.Second),
		Method:   http.MethodPost,
		Target:   "/x",
		Host:     "h",
		Header:   http.Header{},
	}
	if wd.route.Kind != directory.Streaming {
		reply, refusal := d.Call(ctx, w)
		if refusal != nil {
			return "refused " + string(refusal.Run)
		}
		return strings.TrimSpace(fmt.Sprintf("%d %s", reply.Status, reply.Body))
	}
	got := &taken{}
	reply, begun, refusal := d.Stream(ctx, w, got.sink())
	switch {
	case reply != nil:
		return strings.TrimSpace(fmt.Sprintf("%d %s", reply.Status, reply.Body))
	case refusal != nil && begun:
		return "cut " + got.span()
	case refusal != nil:
		return "refused " + string(refusal.Run)
	case !got.ended:
		return "open " + got.span()
	}
	return "pieces " + got.span()
}

// taken is what a caller has got of a stream.
type taken struct {
	numbers []string
	ended   bool
}

func (g *taken) sink() Sink {
	return Sink{
		Begin: func(int, http.Header) error { return nil },
		Piece: func(raw []byte) error {
			id, _, _ := strings.Cut(strings.TrimPrefix(string(raw), "id: "), "\n")
			g.numbers = append(g.numbers, id)
			return nil
		},
		End: func() error { g.ended = true; return nil },
	}
}

// span returns "N-M" if all numbers are there once and in order.
func (g *taken) span() string {
	if len(g.numbers) == 0 {
		return "none"
	}
	first, _ := strconv.Atoi(g.numbers[0])
	for i, s := range g.numbers {
		if s != strconv.Itoa(first+i) {
			return strings.Join(g.numbers, ",")
		}
	}
	return g.numbers[0] + "-" + g.numbers[len(g.numbers)-1]
}

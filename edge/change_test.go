package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/nativewire"
	"crocuslug/settings"
	"crocuslug/standinregistered"
)

// Load of TestChangesCutNothing. The pieces of one stream take longer than a change needs to be in
// force, so that each change meets streams at all stages.
const (
	changePieces   = 60
	changeInterval = 10 * time.Millisecond
	changePrefill  = 150 * time.Millisecond
	changeCallers  = 6 // of each kind of request
	changeSeed     = 7
	manyRoutes     = 350
	refusalPause   = 20 * time.Millisecond // after a refusal, which may close the connection and occupy its port for a minute
	longPrompt     = 20000                 // tokens; streams with such prompts wait for each other in the queue of their service
)

// configurationChanges lists the kinds of changes, in the order in which they are made.
var configurationChanges = []struct {
	name   string
	change func(doc *directory.Document)
}{
	{"timeouts set", func(doc *directory.Document) { setTimeouts(doc, 20*time.Second) }},
	{"timeouts shorter than what the requests have taken", func(doc *directory.Document) { setTimeouts(doc, 50*time.Millisecond) }},
	{"timeouts longer", func(doc *directory.Document) { setTimeouts(doc, 30*time.Second) }},
	{"idle time shorter than a request", func(doc *directory.Document) { doc.Limits.IdleTimeout = 60 * time.Millisecond }},
	{"idle time longer", func(doc *directory.Document) { doc.Limits.IdleTimeout = 10 * time.Second }},
	{"body limit below the bodies", func(doc *directory.Document) { doc.Limits.BodyBytes = 1 }},
	{"body limit above the bodies", func(doc *directory.Document) { doc.Limits.BodyBytes = 1 << 20 }},
	{"header limit below the headers", func(doc *directory.Document) { doc.Limits.HeaderBytes = 10 }},
	{"header limit above the headers", func(doc *directory.Document) { doc.Limits.HeaderBytes = 16 << 10 }},
	{"header time shorter than a request", func(doc *directory.Document) { doc.Limits.HeaderTimeout = 30 * time.Millisecond }},
	{"split over two services", func(doc *directory.Document) {
		for i := range callerRoutes {
			doc.Routes[i].Services = append(doc.Routes[i].Services, directory.Share{Service: doc.Routes[i].Services[0].Service + "-2", Weight: 1})
		}
	}},
	{"moved to the second service", func(doc *directory.Document) {
		for i := range callerRoutes {
			doc.Routes[i].Services = doc.Routes[i].Services[1:]
		}
	}},
	{"former services removed", func(doc *directory.Document) { doc.Services = nil }},
	{"moved back and services added", func(doc *directory.Document) {
		for i, name := range []ident.Service{"engine", "plain", "plain"} {
			doc.Routes[i].Services = []directory.Share{{Service: name, Weight: 1}}
		}
		doc.Services = []directory.Service{{Name: "engine", Memory: 50000, Backups: true}, {Name: "plain", MaxConnections: 100}}
	}},
	{"kind, attempts and pauses", func(doc *directory.Document) {
		doc.Routes[0].MaxAttempts, doc.Routes[0].TargetGap, doc.Routes[0].Resumable = 1, 3*time.Second, false
		doc.Routes[1].Kind, doc.Routes[2].Kind = directory.Safe, directory.Unsafe
	}},
	{"many routes added", func(doc *directory.Document) {
		for n := range manyRoutes {
			r := doc.Routes[0]
			r.Prefix = fmt.Sprintf("/stream/%d/", n)
			doc.Routes = append(doc.Routes, r)
		}
	}},
	{"workspace added", func(doc *directory.Document) {
		doc.Workspaces = append(doc.Workspaces, directory.Workspace{Name: "w2", Keys: []string{"k2"}})
	}},
	{"workspace of the callers removed", func(doc *directory.Document) { doc.Workspaces = doc.Workspaces[1:] }},
	{"workspace of the callers added again", func(doc *directory.Document) {
		doc.Workspaces = append(doc.Workspaces, directory.Workspace{Name: "w", Keys: []string{"k"}, Priority: 2, HasPriority: true})
	}},
	{"routes of the callers removed", func(doc *directory.Document) { doc.Routes = doc.Routes[:0] }},
}

// callerRoutes is the number of routes that the callers use. They are the first of the document.
const callerRoutes = 3

func setTimeouts(doc *directory.Document, d time.Duration) {
	for i := range callerRoutes {
		doc.Routes[i].Timeout = d
	}
}

// changeLoad is the load during changes of the configuration.
type changeLoad struct {
	t       *testing.T
	address string
	change  atomic.Value // name of the last change that was written
	stopped atomic.Bool
	whole   atomic.Int64 // complete answers with status 200
	refused atomic.Int64 // complete answers with another status
}

// TestChangesCutNothing guards against requests that end without a complete answer because the
// configuration changes while they are under way, before them or between two of them on a kept
// connection.
func TestChangesCutNothing(t *testing.T) {
	s := newSite(t)
	s.doc.Routes = append(s.doc.Routes, directory.Route{
		Name: "safe", Host: "h", Prefix: "/safe/", Kind: directory.Safe, MaxAttempts: 2, Services: []directory.Share{{Service: "plain", Weight: 1}},
	})
	s.putConfiguration(3)
	for _, service := range []ident.Service{"engine", "engine-2", "plain", "plain-2"} {
		s.startSlowUpstream(service)
	}
	e, cfg := s.startInstance("e1", s.http.Addr())
	s.waitForStatus(cfg.Listen, "/unsafe/x", "k", http.StatusOK)
	s.waitForStatus(cfg.Listen, "/stream/x", "k", http.StatusOK)
	load := &changeLoad{t: t, address: cfg.Listen}
	load.change.Store("none")
	var callers sync.WaitGroup
	for n := range changeCallers {
		for _, path := range []string{"/stream/x", "/unsafe/x", "/safe/x"} {
			callers.Go(func() { load.call(fmt.Sprintf("%s%d", path[1:2], n), path, n%2 == 1) })
		}
	}
	random := rand.New(rand.NewPCG(changeSeed, 0))
	for i, c := range configurationChanges {
		load.change.Store(c.name)
		c.change(&s.doc)
		s.putChange(cfg.Listen, uint64(5+2*i))
		e.Reload(settings.Edge{Seeds: []string{reserveAddress(t)}}, nil)
		time.Sleep(time.Duration(random.Int64N(int64(changePrefill))))
	}
	load.stopped.Store(true)
	callers.Wait()
	t.Logf("%d whole answers, %d refusals", load.whole.Load(), load.refused.Load())
	if load.whole.Load() == 0 || load.refused.Load() == 0 {
		t.Errorf("got %d whole answers and %d refusals, want some of both", load.whole.Load(), load.refused.Load())
	}
}

// startSlowUpstream starts an upstream whose answers take longer than a change needs.
func (s *site) startSlowUpstream(service ident.Service) {
	s.t.Helper()
	cfg := standinregistered.Settings{Listen: reserveAddress(s.t), Store: s.http.Addr(), Service: service, Domain: "a", Prefill: changePrefill}
	if strings.HasPrefix(string(service), "engine") {
		cfg.Pieces, cfg.Interval = changePieces, changeInterval
	}
	u := standinregistered.New(cfg, s.clock)
	if err := u.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(u.Kill)
}

// putChange writes the document twice in a row, the second time with a public route, and waits until
// that is in force.
func (s *site) putChange(address string, version uint64) {
	s.t.Helper()
	s.putConfiguration(version)
	limits, routes := s.doc.Limits, s.doc.Routes
	prefix := fmt.Sprintf("/v%d/", version)
	s.doc.Routes = append(append([]directory.Route{}, routes...), directory.Route{
		Host: "h", Prefix: prefix, Public: true, Services: []directory.Share{{Service: "none", Weight: 1}},
	})
	s.putConfiguration(version + 1)
	s.doc.Routes, s.doc.Limits = routes, limits
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		// A request that the limits reject shows as well that the change is in force.
		if status, _, err := sendRequest(address, "r1", prefix+"x", ""); err == nil && status != http.StatusNotFound {
			return
		}
	}
	s.t.Fatalf("version %d is not in force after %v", version, waitLimit)
}

// call sends requests on a connection as long as it is kept. A caller that pipelines sends the next
// request before it reads the answer.
func (l *changeLoad) call(name, path string, pipelining bool) {
	for n := 0; !l.stopped.Load(); n++ {
		conn, err := net.Dial("tcp", l.address)
		if err != nil {
			l.t.Errorf("dial: %v", err)
			return
		}
		l.callOn(conn, fmt.Sprintf("%s-%d", name, n), path, pipelining)
		_ = conn.Close()
	}
}

// callOn sends requests until the instance closes the connection. Callers that pipeline send long
// prompts.
func (l *changeLoad) callOn(conn net.Conn, name, path string, pipelining bool) {
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	reader := bufio.NewReader(conn)
	var sent []time.Time
	tokens := 0
	if pipelining {
		tokens = longPrompt
	}
	for answered := 0; !l.stopped.Load() || answered < len(sent); answered++ {
		for !l.stopped.Load() && (len(sent) == answered || pipelining && len(sent) == answered+1) {
			if _, err := io.WriteString(conn, changeRequest(fmt.Sprintf("%s-%d", name, len(sent)), path, tokens)); err != nil {
				return // a kept connection was closed between two requests
			}
			sent = append(sent, time.Now())
		}
		id, change := fmt.Sprintf("%s-%d", name, answered), l.change.Load()
		res, err := http.ReadResponse(reader, nil)
		if err != nil && answered > 0 && time.Since(sent[answered]) < closeRace {
			return // the request and the close of a kept connection crossed
		}
		if err == nil {
			err = l.checkAnswer(res, id, path)
		}
		if err != nil {
			l.t.Errorf("%s: got %v %v after it was sent, want a complete answer; changes meanwhile: from %q to %q", id, err, time.Since(sent[answered]), change, l.change.Load())
			return
		}
		if res.Close {
			return
		}
	}
}

// closeRace is the time within which a request and the close of a kept connection may cross,
// lost_slack_ms of the users' data sheets.
const closeRace = 200 * time.Millisecond

// changeRequest returns a request with a prompt of the given length.
func changeRequest(id, path string, tokens int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: k\r\n%s: %d\r\nContent-Length: 2\r\n\r\nhi",
		path, nativewire.RequestField, id, nativewire.KeyField, nativewire.PromptField, tokens)
}

// checkAnswer reads the body of an answer and returns an error if it is not complete.
func (l *changeLoad) checkAnswer(res *http.Response, id, path string) error {
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Errorf("status %d, then %w after %d bytes", res.StatusCode, err, len(body))
	}
	if res.StatusCode != http.StatusOK {
		l.refused.Add(1)
		time.Sleep(refusalPause)
		return nil
	}
	l.whole.Add(1)
	want := standinregistered.Answer(id, "hi")
	if path == "/stream/x" {
		want = standinregistered.Piece(id, changePieces)
	}
	if !strings.HasSuffix(string(body), want) {
		return fmt.Errorf("an answer that ends with %q, want %q", body[max(0, len(body)-len(want)):], want)
	}
	return nil
}

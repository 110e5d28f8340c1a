package standinsite

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"crocuslug/access"
	"crocuslug/caller"
	"crocuslug/configuration"
	"crocuslug/daemon"
	"crocuslug/ident"
	"crocuslug/routing"
	"crocuslug/settings"
	"crocuslug/standinengine"
	"crocuslug/unit"
)

// loadScript runs the lines of one data file of testdata/load:
//
//	site domains=1 instances=1 engines=1 slots=2 queue=4   starts the site
//	workspace NAME priority=Urgent deadline=2s rate=100 concurrent=1   before the site
//	ask NAME WORKSPACE COUNT TOKENS [INSTANCE]    sends requests to an instance, or the first, and goes on
//	leave NAME                         lets the callers close their connections
//	running COUNT                      waits until so many streams decode
//	waiting COUNT                      waits until so many requests wait for admission
//	engine NUMBER kill|restart|slow|leave   acts on an engine; leave tells the instances
//	settle ENGINE out|in               waits until no new work goes to an engine, or some does
//	whole NAME                         waits for the answers and wants all whole
//	refused NAME CODE COUNT            waits and wants so many refused with the code and a RetryAfter
//	order NAME NAME                    wants all of the first to begin, or to go on after a gap, before the second begin
//	wait DURATION                      lets time pass
//	nothing ENGINE                     wants no stream started on the engine since the last mark
//	mark                               notes the counters of the engines
//	spilled FROM TO                    wants streams started in failure domain TO since the mark, FROM any
//	idle                               wants nothing to wait or run in the end
type loadScript struct {
	t      *testing.T
	cfg    Settings
	site   *Site
	groups map[string]*group
	marks  []standinengine.Counters
	asked  int
}

// group is the requests of one ask line.
type group struct {
	wg      sync.WaitGroup
	cancel  context.CancelFunc
	answers []caller.Answer
	mu      sync.Mutex
	first   []time.Time // when answers began or went on
}

func TestLoad(t *testing.T) {
	files, err := filepath.Glob("testdata/load/*.script")
	if err != nil || len(files) == 0 {
		t.Fatalf("scripts: got %d files, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".script"), func(t *testing.T) {
			t.Parallel()
			f, err := os.Open(file)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			s := &loadScript{t: t, groups: make(map[string]*group)}
			defer func() {
				if s.site != nil {
					s.site.Stop()
				}
			}()
			for in := bufio.NewScanner(f); in.Scan(); {
				line, _, _ := strings.Cut(in.Text(), "#")
				if words := strings.Fields(line); len(words) > 0 {
					s.line(words)
				}
			}
		})
	}
}

func (s *loadScript) line(w []string) {
	switch w[0] {
	case "workspace":
		s.workspace(w[1], w[2:])
	case "site":
		s.start(w[1:])
	case "ask":
		s.ask(w[1], w[2], number(w[3]), number(w[4]), number(append(w, "0")[5]))
	case "running", "waiting", "idle":
		s.reach(w)
	case "engine":
		s.engine(number(w[1]), w[2])
	case "settle":
		s.settle(number(w[1]), w[2] == "out")
	case "whole", "refused":
		s.answers(w)
	case "order":
		s.order(s.groups[w[1]], s.groups[w[2]])
	case "wait":
		d, _ := time.ParseDuration(w[1])
		time.Sleep(d)
	case "leave":
		s.groups[w[1]].cancel()
	case "mark":
		s.mark()
	case "nothing", "spilled":
		s.counted(w)
	default:
		s.t.Fatalf("script: unknown line %v", w)
	}
}

func number(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}

func (s *loadScript) workspace(name string, words []string) {
	ws := configuration.Workspace{Name: ident.Workspace(name), KeyHashes: []string{access.Hash([]byte("key-" + name))}}
	rule := configuration.Rule{Name: name, Workspace: ws.Name}
	for _, w := range words {
		field, value, _ := strings.Cut(w, "=")
		switch field {
		case "priority":
			rule.Priority = configuration.Priority(value)
		case "deadline":
			d, _ := time.ParseDuration(value)
			rule.Deadline = unit.Duration(d)
		case "rate":
			ws.TokensPerSecond = float64(number(value))
		case "concurrent":
			ws.MaxConcurrent = number(value)
		}
	}
	s.cfg.Document.Workspaces = append(s.cfg.Document.Workspaces, ws)
	s.cfg.Document.Rules = append(s.cfg.Document.Rules, rule)
}

func (s *loadScript) start(words []string) {
	s.cfg.Engine = standinengine.Settings{TokenInterval: 5 * time.Millisecond, LoadLag: 50 * time.Millisecond}
	s.cfg.Seed = 1
	s.cfg.Instances, s.cfg.Engines = 1, 1
	s.cfg.Daemon.Load = settings.Load{PollInterval: unit.Duration(50 * time.Millisecond), PollBytesPerSecond: 1 << 20}
	for _, w := range words {
		name, value, _ := strings.Cut(w, "=")
		n := number(value)
		switch name {
		case "domains":
			for i := range n {
				s.cfg.Domains = append(s.cfg.Domains, ident.Domain(fmt.Sprintf("d%d", i)))
			}
		case "instances":
			s.cfg.Instances = n
		case "engines":
			s.cfg.Engines = n
		case "slots":
			s.cfg.Engine.Slots = n
		case "queue":
			s.cfg.Daemon.Load.QueueLength = n
		}
	}
	s.cfg.Options = daemon.Options{Routing: routing.Settings{SlownessHalfLife: unit.Duration(200 * time.Millisecond)}}
	s.site = New(s.cfg)
	if err := s.site.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.mark()
}

func (s *loadScript) ask(name, workspace string, n, tokens, instance int) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	s.t.Cleanup(cancel)
	g := &group{answers: make([]caller.Answer, n), cancel: cancel}
	s.groups[name] = g
	c := s.site.Caller(caller.Settings{Key: "key-" + workspace, Silence: 10 * time.Second})
	for i := range n {
		s.asked++
		r := caller.Request{ID: ident.Request(fmt.Sprintf("r%d", s.asked)), Model: Model, Prompt: fmt.Sprint("debrief ", s.asked), MaxTokens: tokens, First: instance}
		r.OnToken = g.onToken()
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			g.answers[i] = c.Do(ctx, r)
		}()
	}
}

// onToken returns a function that notes when one answer began, and when it went
// on after a gap.
func (g *group) onToken() func(index int, text string) {
	const gap = 300 * time.Millisecond
	var last time.Time
	return func(index int, _ string) {
		now := time.Now()
		if index == 0 || now.Sub(last) > gap {
			g.mu.Lock()
			g.first = append(g.first, now)
			g.mu.Unlock()
		}
		last = now
	}
}

// until waits until f holds.
func (s *loadScript) until(what string, f func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("script: %s did not come", what)
		}
	}
}

func (s *loadScript) reach(w []string) {
	s.until(strings.Join(w, " "), func() bool {
		waiting, running := 0, 0
		for _, d := range s.site.Instances {
			a, b := d.AdmissionCounts()
			waiting, running = waiting+a, running+b
		}
		switch w[0] {
		case "running":
			return running == number(w[1])
		case "waiting":
			return waiting == number(w[1])
		}
		return waiting+running == 0
	})
}

func (s *loadScript) engine(n int, what string) {
	e := s.site.Engines[n]
	switch what {
	case "kill":
		e.Kill()
	case "restart":
		if err := e.Restart(); err != nil {
			s.t.Errorf("restart of engine %d: got error %v, want none", n, err)
		}
	case "slow":
		e.Slow(20)
	case "fast":
		e.Slow(1)
	case "leave":
		s.site.Instances[0].AnnounceUpstreamLeaving(s.site.doc.Upstreams[n].Name, true)
	}
}

// settle sends short requests until a round of them avoids an engine, or does not.
func (s *loadScript) settle(n int, out bool) {
	s.until(fmt.Sprintf("engine %d out %v", n, out), func() bool {
		const round = 12
		before := s.site.Engines[n].Counters().Started
		c := s.site.Caller(caller.Settings{})
		for range round {
			s.asked++
			c.Do(context.Background(), caller.Request{ID: ident.Request(fmt.Sprintf("r%d", s.asked)), Model: Model, Prompt: fmt.Sprint(s.asked), MaxTokens: 20})
		}
		return (s.site.Engines[n].Counters().Started == before) == out
	})
}

func (s *loadScript) answers(w []string) {
	g := s.groups[w[1]]
	g.wg.Wait()
	refused := 0
	for i, a := range g.answers {
		switch {
		case a.Err == nil && a.Whole:
			checkWhole(s.t, a)
		case w[0] == "refused" && a.Err != nil && int(a.Err.Code) == number(w[2]) && a.Err.RetryAfter > 0:
			refused++
		default:
			s.t.Errorf("%v: answer %d: got whole %t, %+v", w, i, a.Whole, a.Err)
		}
	}
	if w[0] == "refused" && refused != number(w[3]) {
		s.t.Errorf("%v: got %d refused, want %s", w, refused, w[3])
	}
}

func checkWhole(t *testing.T, a caller.Answer) {
	nonce, _, _ := strings.Cut(a.Tokens[0], ".")
	for i, got := range a.Tokens {
		if want := fmt.Sprintf("%s.%d ", nonce, i); got != want {
			t.Errorf("token %d: got %q, want %q", i, got, want)
			return
		}
	}
}

func (s *loadScript) order(a, b *group) {
	for _, x := range a.first {
		for _, y := range b.first {
			if x.After(y) {
				s.t.Errorf("order: got a later request to begin %v before an earlier one, want none", x.Sub(y))
				return
			}
		}
	}
}

func (s *loadScript) mark() {
	s.marks = nil
	for _, e := range s.site.Engines {
		s.marks = append(s.marks, e.Counters())
	}
}

func (s *loadScript) counted(w []string) {
	for i, e := range s.site.Engines {
		started := e.Counters().Started - s.marks[i].Started
		if w[0] == "nothing" && i == number(w[1]) && started > 0 {
			s.t.Errorf("engine %d: got %d streams started, want none", i, started)
		}
		if w[0] == "spilled" && i == number(w[1]) && started == 0 {
			s.t.Errorf("engine %d: got no stream started, want some", i)
		}
	}
}

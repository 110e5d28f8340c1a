package standinsite

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"crocuslug/caller"
	"crocuslug/ident"
	"crocuslug/membership"
	"crocuslug/standinengine"
)

// script runs the lines of one data file against a site:
//
//	site instances=2 engines=3 tokens=40      starts the site
//	ask COUNT                                  sends COUNT requests
//	at TOKEN DO WHAT                           does so when the first answer has TOKEN tokens
//	want whole [uncut]                         waits for the answers and checks them
//	want code NUMBER                           the same, where they end with a code
//	ask COUNT DOMAIN                           sends them to two instances of a failure domain
//	ask COUNT DOMAIN DOMAIN                    sends them to one instance of each in turn
//	cut DOMAIN DOMAIN | heal                   between failure domains d0, d1 and so on
//	prompt TEXT                                of the requests from now on
//	refuses DOMAIN                             waits until all instances there have heard of a verdict
//	sees DOMAIN STATE DOMAIN                   waits until all of the first are so to all of the second
//	pause engine WHAT DURATION                 freezes an engine for a time, also as DO
//
// DO is one of the cases of do; WHAT is "serving" for the engine, instance or
// replica of the first answer, "all" for all engines, or a number.
type script struct {
	t       *testing.T
	site    *Site
	tokens  int
	prompt  string
	hooks   map[int][]string
	answers []caller.Answer
	asked   int // times
	wg      sync.WaitGroup
}

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.script")
	if err != nil || len(files) == 0 {
		t.Fatalf("scripts: got %d files, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".script"), func(t *testing.T) {
			t.Parallel()
			runScript(t, file)
		})
	}
}

func runScript(t *testing.T, file string) {
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s := &script{t: t, prompt: "debrief", hooks: make(map[int][]string)}
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
}

func (s *script) line(words []string) {
	switch words[0] {
	case "site":
		s.start(words[1:])
	case "at":
		n, _ := strconv.Atoi(words[1])
		s.hooks[n] = append(s.hooks[n], strings.Join(words[2:], " "))
	case "ask":
		n, _ := strconv.Atoi(words[1])
		s.ask(n, words[2:])
	case "prompt":
		s.prompt = strings.Join(words[1:], " ")
	case "refuses":
		s.refuses(ident.Domain(words[1]))
	case "cut":
		s.site.CutBetween(ident.Domain(words[1]), ident.Domain(words[2]))
	case "heal":
		s.site.HealBetween()
	case "sees":
		s.sees(ident.Domain(words[1]), membership.State(words[2]), ident.Domain(words[3]))
	case "pause":
		s.pause(words)
	case "want":
		s.want(words[1:])
	default:
		s.t.Fatalf("script: unknown line %v", words)
	}
}

func (s *script) start(words []string) {
	cfg := Settings{Engine: standinengine.Settings{TokenInterval: 5 * time.Millisecond}, Seed: 1}
	for _, w := range words {
		name, value, _ := strings.Cut(w, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "instances":
			cfg.Instances = n
		case "engines":
			cfg.Engines = n
		case "domains":
			cfg.Options.Membership.ForeignProbePeriods = 1 // to see a cut sooner
			for i := range n {
				cfg.Domains = append(cfg.Domains, ident.Domain(fmt.Sprintf("d%d", i)))
			}
		case "tokens":
			s.tokens = n
		case "cannotcontinue":
			cfg.Engine.CannotContinue = n == 1
		}
	}
	s.site = New(cfg)
	if err := s.site.Start(); err != nil {
		s.t.Fatal(err)
	}
}

// refuses waits until a verdict has reached all instances of a failure domain.
func (s *script) refuses(domain ident.Domain) {
	const limit = 20 * time.Second
	for deadline := time.Now().Add(limit); ; time.Sleep(10 * time.Millisecond) {
		heard := true
		for _, d := range s.site.Instances {
			heard = heard && (d.Domain() != domain || slices.ContainsFunc(d.Members().Notices, func(n membership.Notice) bool {
				return strings.HasPrefix(n.Key, "refused/")
			}))
		}
		if heard {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("verdict: got none at some instance of %s, want one at each", domain)
		}
	}
}

// sees waits until all instances of a failure domain believe that all of
// another are in a state.
func (s *script) sees(of ident.Domain, want membership.State, by ident.Domain) {
	const limit = 20 * time.Second
	for deadline := time.Now().Add(limit); ; time.Sleep(10 * time.Millisecond) {
		got := s.disagrees(of, want, by)
		if got == "" {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("%s to %s: got %s, want %s", of, by, got, want)
		}
	}
}

func (s *script) disagrees(of ident.Domain, want membership.State, by ident.Domain) string {
	for _, d := range s.site.Instances {
		for _, o := range s.site.Instances {
			if d.Domain() != by || o.Domain() != of {
				continue
			}
			if m, _ := d.Members().Find(o.ID()); m.State != want {
				return fmt.Sprintf("%s %q at %s", o.ID(), m.State, d.ID())
			}
		}
	}
	return ""
}

func (s *script) ask(n int, domain []string) {
	cfg := caller.Settings{Silence: 2 * time.Second}
	for _, d := range domain {
		cfg.Addresses = append(cfg.Addresses, s.site.AddressesIn(ident.Domain(d))[:3-len(domain)]...)
	}
	c := s.site.Caller(cfg)
	again := strings.Repeat("again-", s.asked) // a new request each time
	s.asked++
	s.answers = make([]caller.Answer, n)
	for i := range n {
		r := caller.Request{ID: ident.Request(fmt.Sprintf("%sr%d", again, i)), Model: Model, Prompt: fmt.Sprintf("%s %d", s.prompt, i), MaxTokens: s.tokens, First: i}
		if i == 0 {
			r.OnToken = s.onToken
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			s.answers[i] = c.Do(ctx, r)
		}()
	}
}

// onToken carries out the faults that are due. A fault on what serves the answer
// waits for the next token while nothing does, as between a kill and the
// caller's reconnect.
func (s *script) onToken(index int, _ string) {
	for _, h := range s.hooks[index] {
		if !s.do(strings.Fields(h)) {
			s.hooks[index+1] = append(s.hooks[index+1], h)
		}
	}
	delete(s.hooks, index)
}

// do carries out a fault and reports whether it could. It runs on the goroutine
// that reads the first answer.
func (s *script) do(words []string) bool {
	if words[0] == "cut" {
		s.site.CutBetween(ident.Domain(words[1]), ident.Domain(words[2]))
		return true
	}
	if words[0] == "pause" && words[1] == "engine" {
		return s.pause(words)
	}
	n := s.serving(words)
	if n < 0 {
		return false
	}
	switch words[0] + " " + words[1] {
	case "kill engine":
		s.site.Engines[n].Kill()
	case "freeze engine":
		s.site.Engines[n].Freeze()
	case "silence engine":
		s.site.Engines[n].Silence()
	case "restart engine":
		s.site.Engines[n].Kill()
		if err := s.site.Engines[n].Restart(); err != nil {
			s.t.Errorf("restart of engine %d: got error %v, want none", n, err)
		}
	case "kill instance":
		s.site.KillInstance(s.site.Instances[n].Addr())
	case "kill replica":
		s.site.KillInstance(s.site.Instances[n].Addr())
	case "leave instance":
		s.wg.Go(func() { s.leave(n) })
	case "leave engine":
		s.site.Engines[n].Leave()
	case "pause instance":
		s.site.Instances[n].Pause(true)
	case "resume instance":
		s.site.Instances[n].Pause(false)
	default:
		s.t.Errorf("script: unknown fault %v", words)
	}
	return true
}

// pause freezes the engines that words name for a time, and reports whether there was one.
func (s *script) pause(words []string) bool {
	d, err := time.ParseDuration(words[3])
	if err != nil {
		s.t.Errorf("script: pause: got %v, want a duration", err)
	}
	engines := s.site.Engines
	if words[2] != "all" {
		n := s.serving(words)
		if n < 0 {
			return false
		}
		engines = engines[n : n+1]
	}
	for _, e := range engines {
		e.Freeze()
		time.AfterFunc(d, e.Thaw)
	}
	return true
}

// serving returns the number of the engine or instance that words name, or -1.
func (s *script) serving(words []string) int {
	if n, err := strconv.Atoi(words[2]); err == nil {
		return n
	}
	if words[1] == "replica" {
		return s.site.holder(Workspace, "r0")
	}
	if words[1] == "instance" {
		return s.site.owner(Workspace, "r0")
	}
	return slices.Index(s.site.Engines, s.site.Engine(Workspace, "r0"))
}

// leave stops an instance gracefully. Nothing may be cut by it.
func (s *script) leave(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := s.site.Instances[n].Leave(ctx); err != nil {
		s.t.Errorf("leave instance %d: got %v, want nil", n, err)
	}
	s.site.StopInstance(n)
}

func (s *script) want(words []string) {
	s.wg.Wait()
	if len(s.hooks) > 0 {
		s.t.Errorf("script: got faults left over %v, want none", s.hooks)
	}
	for i, a := range s.answers {
		if words[0] == "code" {
			if a.Err == nil || strconv.Itoa(int(a.Err.Code)) != words[1] {
				s.t.Errorf("answer %d: got %v, want code %s", i, a.Err, words[1])
			}
			continue
		}
		if slices.Contains(words, "uncut") && a.Reconnects > 0 {
			s.t.Errorf("answer %d: got %d reconnects, want 0", i, a.Reconnects)
		}
		if a.Err != nil || !a.Whole {
			s.t.Errorf("answer %d: got whole %t, %v, want a whole answer", i, a.Whole, a.Err)
		}
		s.checkTokens(i, a.Tokens, true)
	}
}

// checkTokens holds an answer against what one undisturbed engine would give.
func (s *script) checkTokens(i int, tokens []string, whole bool) {
	if len(tokens) == 0 {
		return
	}
	nonce, _, _ := strings.Cut(tokens[0], ".")
	for j, got := range tokens {
		if want := fmt.Sprintf("%s.%d ", nonce, j); got != want {
			s.t.Errorf("answer %d, token %d: got %q, want %q", i, j, got, want)
			return
		}
	}
	if got, want := len(tokens), s.tokens; whole && got != want {
		s.t.Errorf("answer %d: got %d tokens, want %d", i, got, want)
	}
}

package enginememory

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocuslug/ident"
	"crocuslug/work"
)

// script is a Ledger under test and its virtual time.
type script struct {
	t      *testing.T
	ledger *Ledger
	now    time.Time
	memory int
	share  Share
	out    string // engine that is not usable
	where  string
}

// TestScripts guards against engines that are filled beyond their memory or stay empty because the
// count of tokens is wrong. Each line of testdata/*.txt is one of
//
//	memory TOKENS                   of each engine
//	engines NAME[:share|:near] ...       replaces the list
//	share HOLDERS INSTANCES RANK    from the next engines on
//	size TOKENS TIMES               records the size of requests
//	take CLAIM ENGINE TOKENS
//	release CLAIM
//	after DURATION
//	site live=N heard=N age=DURATION started=TOKENS [urgent=TOKENS] [waiting=TOKENS]
//	peers ENGINE:REQUESTS/TOKENS ...  tokens 0: of an instance that does not count them
//	fits ENGINE TOKENS new|continue|copy yes|no
//	used ENGINE TOKENS              of this instance and its peers
//	turns ENGINE N                  requests that may start there in the next 3 s, each ending at once
//	urgent TOKENS N                 arrivals of urgent requests whose prompts take 1 s to read
//	waiting TOKENS                  of urgent requests at this instance
//	out ENGINE                      is not usable
//	spare TOKENS yes|no             a less urgent request may start
func TestScripts(t *testing.T) {
	names, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(names) == 0 {
		t.Fatalf("scripts: got %v, %v, want some", names, err)
	}
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			s := &script{t: t, ledger: NewLedger(true), now: time.Unix(1000, 0)}
			for n, line := range strings.Split(string(text), "\n") {
				if w := strings.Fields(line); len(w) > 0 && w[0] != "#" {
					s.where = "line " + strconv.Itoa(n+1)
					s.run(w)
				}
			}
		})
	}
}

func (s *script) run(w []string) {
	switch w[0] {
	case "memory":
		s.memory = s.number(w[1])
	case "engines":
		var list []Engine
		for _, e := range w[1:] {
			name, share, _ := strings.Cut(e, ":")
			list = append(list, Engine{Upstream: ident.Upstream(name), InShare: share == "share", Near: share != ""})
		}
		s.ledger.SetEngines(s.memory, list, s.share)
	case "size":
		for range s.number(w[2]) {
			s.ledger.RecordSize(s.number(w[1]))
		}
	case "take":
		s.ledger.Take(Claim(s.number(w[1])), ident.Upstream(w[2]), s.number(w[3]), s.now)
	case "release":
		s.ledger.Release(Claim(s.number(w[1])), s.now)
	case "after":
		s.now = s.now.Add(s.duration(w[1]))
	case "site":
		v := s.values(w[1:])
		s.ledger.SetSite(Site{
			Live: s.number(v["live"]), Heard: s.number(v["heard"]), ReportAge: s.duration(v["age"]), NearAge: s.duration(v["age"]),
			Demand: work.Demand{Started: s.number(v["started"]), Urgent: s.optional(v["urgent"]), Waiting: s.optional(v["waiting"])},
		}, s.now)
	case "peers":
		loads := make(map[ident.Upstream]work.Load)
		for _, e := range w[1:] {
			name, n, _ := strings.Cut(e, ":")
			requests, tokens, _ := strings.Cut(n, "/")
			loads[ident.Upstream(name)] = work.Load{}.Plus(work.Load{Requests: s.number(requests), Tokens: s.number(tokens)})
		}
		s.ledger.ReportPeers(loads, s.now)
	case "fits":
		kind := map[string]Kind{"new": New, "continue": Continue, "copy": Backup}[w[3]]
		if got, want := s.ledger.Fits(ident.Upstream(w[1]), s.number(w[2]), kind, s.now), w[4] == "yes"; got != want {
			s.t.Errorf("%s: %s: got %t, want %t", s.where, strings.Join(w, " "), got, want)
		}
	case "used":
		e := s.ledger.engines[ident.Upstream(w[1])]
		if got, want := e.own+e.peers, s.number(w[2]); got != want {
			s.t.Errorf("%s: %s: got %d, want %d", s.where, strings.Join(w, " "), got, want)
		}
	case "share":
		s.share = Share{Holders: s.number(w[1]), Instances: s.number(w[2]), Rank: s.number(w[3])}
	case "urgent":
		for range s.number(w[2]) {
			s.ledger.UrgentArrived(s.number(w[1]), time.Second, s.now)
		}
	case "waiting":
		s.ledger.SetUrgentWaiting(s.number(w[1]))
	case "spare":
		usable := func(u ident.Upstream) bool { return string(u) != s.out }
		if got, want := s.ledger.Spare(s.number(w[1]), usable, s.now), w[2] == "yes"; got != want {
			s.t.Errorf("%s: %s: got %t, want %t", s.where, strings.Join(w, " "), got, want)
		}
	case "out":
		s.out = w[1]
	case "turns":
		if got, want := s.turns(w[1]), s.number(w[2]); got != want {
			s.t.Errorf("%s: %s: got %d, want %d", s.where, strings.Join(w, " "), got, want)
		}
	default:
		s.t.Fatalf("%s: unknown command %q", s.where, w[0])
	}
}

// turns returns how many requests may start at an engine in the next 3 s.
func (s *script) turns(engine string) int {
	const claim, size = 1 << 20, 100
	n := 0
	for range 300 {
		s.now = s.now.Add(10 * time.Millisecond)
		if s.ledger.Fits(ident.Upstream(engine), size, New, s.now) {
			s.ledger.Take(claim, ident.Upstream(engine), size, s.now)
			s.ledger.Release(claim, s.now)
			n++
		}
	}
	return n
}

// optional returns a number, or 0 if the text is empty.
func (s *script) optional(text string) int {
	if text == "" {
		return 0
	}
	return s.number(text)
}

// values returns the values of words of the form NAME=VALUE.
func (s *script) values(words []string) map[string]string {
	out := make(map[string]string)
	for _, w := range words {
		name, v, _ := strings.Cut(w, "=")
		out[name] = v
	}
	return out
}

func (s *script) number(text string) int {
	s.t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		s.t.Fatalf("%s: %v", s.where, err)
	}
	return n
}

func (s *script) duration(text string) time.Duration {
	s.t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatalf("%s: %v", s.where, err)
	}
	return d
}

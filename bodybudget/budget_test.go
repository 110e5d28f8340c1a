package bodybudget

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestScripts runs the scripts in testdata/*.txt. Each line is a command, "=>" and what it led to: its
// result, the requests that gave way, those that were woken, and the bytes in use. The commands are
//
//	budget LIMIT SMALL   makes a budget with a patience of 500 ms
//	garbage              lets the memory of large claims be free after a garbage collection only
//	collected            ends a garbage collection
//	at MS                sets the time
//	open ID LARGEST      begins a request
//	take ID N            asks for N bytes
//	hold ID              ends the reading of a body, or the writing of a part
//	write ID             begins the writing of a part of an answer
//	give ID N            returns N bytes
//	release ID           ends a request
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
			s := script{claims: map[string]*Claim{}}
			for n, line := range strings.Split(string(text), "\n") {
				command, want, ok := strings.Cut(line, "=>")
				if !ok {
					continue
				}
				if got := s.run(strings.Fields(command)); got != strings.TrimSpace(want) {
					t.Errorf("line %d: %s: got %q, want %q", n+1, command, got, strings.TrimSpace(want))
				}
			}
		})
	}
}

// script is the state of a script.
type script struct {
	budget *Budget
	now    time.Time
	claims map[string]*Claim
	order  []string // ids of claims
	events []string // of the line that is run
}

func (s *script) run(f []string) string {
	s.events = nil
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(f[i], 10, 64) // the line fails if the script is wrong
		return n
	}
	switch f[0] {
	case "budget":
		s.budget = New(Settings{Limit: number(1), Small: number(2), Patience: 500 * time.Millisecond})
	case "garbage":
		s.budget.cfg.Collected = true
	case "collected":
		s.budget.Collected()
	case "at":
		s.now = time.UnixMilli(number(1))
	case "open":
		c := &Claim{}
		c.Attach(s.budget, func(writing bool) {
			s.events = append(s.events, fmt.Sprintf("evicted %s %s", roleOf(writing), s.idOf(c)))
		})
		s.claims[f[1]], s.order = c, append(s.order, f[1])
		c.Open(s.now, number(2))
	default:
		s.request(f, s.claims[f[1]], number)
	}
	for _, id := range s.order {
		select {
		case <-s.claims[id].Ready():
			s.events = append(s.events, "woken "+id)
		default:
		}
	}
	s.events = append(s.events, fmt.Sprint("used ", s.budget.Counts().Bytes))
	return strings.Join(s.events, ", ")
}

func (s *script) request(f []string, c *Claim, number func(i int) int64) {
	switch f[0] {
	case "take":
		v := c.Take(s.now, number(2))
		text := [...]string{"granted", "waiting", "refused", "too large"}[v.State]
		if v.State == Waiting {
			text += fmt.Sprint(" ", v.Wait.Milliseconds())
		}
		if v.Collect {
			text += " collect"
		}
		s.events = append(s.events, text)
	case "hold":
		s.events = append(s.events, fmt.Sprint(c.Hold()))
	case "write":
		s.events = append(s.events, fmt.Sprint(c.Write(s.now)))
	case "give":
		c.Give(number(2))
	case "release":
		c.Release()
	}
}

func (s *script) idOf(c *Claim) string {
	for id, other := range s.claims {
		if other == c {
			return id
		}
	}
	return ""
}

// roleOf names what a claim does.
func roleOf(writing bool) string {
	if writing {
		return "writer"
	}
	return "reader"
}

// TestNoBudget guards against claims that need a budget.
func TestNoBudget(t *testing.T) {
	var c Claim
	c.Attach(nil, nil)
	c.Open(time.Time{}, 1)
	if v := c.Take(time.Time{}, 1<<40); v.State != Granted || !c.Hold() || !c.Write(time.Time{}) {
		t.Errorf("claim without a budget: got %v, want everything granted", v)
	}
	c.Give(1)
	c.Release()
}

// TestSums runs random requests and guards against bytes that are counted twice or lost, against more bytes of
// bodies than the limit, and against waiting claims that nobody wakes.
func TestSums(t *testing.T) {
	const limit, largest, requests, steps = 1000, 300, 20, 20000
	rng := rand.New(rand.NewPCG(1, 1))
	b := New(Settings{Limit: limit, Small: 50})
	now := time.UnixMilli(0)
	claims := make([]*Claim, requests)
	open := func(i int) {
		c := &Claim{}
		c.Attach(b, func(bool) {})
		c.Open(now, largest)
		claims[i] = c
	}
	for i := range claims {
		open(i)
	}
	for range steps {
		now = now.Add(time.Duration(rng.IntN(40)) * time.Millisecond)
		i := rng.IntN(requests)
		c := claims[i]
		switch {
		case c.evicted || rng.IntN(8) == 0:
			c.Release()
			open(i)
		case c.phase == reading && c.size >= largest/2:
			c.Hold()
		case c.phase == held && rng.IntN(2) == 0:
			c.Write(now)
		case c.phase == reading:
			c.Take(now, 1+rng.Int64N(largest/4))
		}
		var used, leaving int64
		for _, c := range claims {
			used += c.size
			if c.evicted {
				leaving += c.size
			}
		}
		if used != b.used || leaving != b.leaving || used > limit {
			t.Fatalf("got %d bytes, %d leaving, want %d, %d, and at most %d", b.used, b.leaving, used, leaving, limit)
		}
		if len(b.waiting) > requests {
			t.Fatalf("got %d waiting, want at most %d", len(b.waiting), requests)
		}
	}
	if c := b.Counts(); c.Waited == 0 || c.GaveWay == 0 || c.Refused == 0 || c.Exceeded != 0 {
		t.Errorf("got %+v, want some that waited, gave way and were refused, and none beyond the limit", c)
	}
	for _, c := range claims {
		c.Release()
	}
	if b.used != 0 || b.leaving != 0 || b.stalled.first != nil || len(b.waiting) > 0 {
		t.Errorf("after the end: got %d bytes, %d leaving, %d waiting, want none", b.used, b.leaving, len(b.waiting))
	}
}

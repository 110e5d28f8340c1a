package connectionlimit

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestScript runs testdata/limit.txt. Each line is a command, "=>" and what it led to: whether the connection was
// refused or gave way, which one was evicted, and the number of open connections. The commands are
//
//	limit N      makes a limit
//	at MS        sets the time
//	open ID      opens a connection
//	read ID      a request begins, or a part of it was read
//	hold ID      the whole request was read
//	idle ID      the request was answered
//	close ID     closes a connection
func TestScript(t *testing.T) {
	text, err := os.ReadFile("testdata/limit.txt")
	if err != nil {
		t.Fatal(err)
	}
	var l *Limit
	var now time.Time
	var events []string // of the line that is run
	places := make(map[string]*Place)
	for n, line := range strings.Split(string(text), "\n") {
		command, want, ok := strings.Cut(line, "=>")
		if !ok || line[0] == '#' {
			continue
		}
		events = nil
		f := strings.Fields(command)
		p, kept := places[f[1]], true
		switch f[0] {
		case "limit":
			most, _ := strconv.Atoi(f[1]) // the line fails if the script is wrong
			l = New(Settings{Most: most})
		case "at":
			ms, _ := strconv.Atoi(f[1]) // the same
			now = time.UnixMilli(int64(ms))
			continue
		case "open":
			p = l.Open(now, func() { events = append(events, "evicted "+f[1]) })
			if places[f[1]] = p; p == nil {
				events = append(events, "refused")
			}
		case "read":
			kept = p.Read(now)
		case "hold":
			kept = p.Hold()
		case "idle":
			p.Idle(now)
		case "close":
			p.Release()
		}
		if !kept {
			events = append(events, "gave way")
		}
		events = append(events, fmt.Sprint("open ", l.Counts().Open))
		if got := strings.Join(events, ", "); got != strings.TrimSpace(want) {
			t.Errorf("line %d: %s: got %q, want %q", n+1, command, got, strings.TrimSpace(want))
		}
	}
}

// TestBounds runs random connections and guards against more open ones than the limit and those that leave, and
// against places that are lost.
func TestBounds(t *testing.T) {
	const most, callers, steps = 64, 200, 100000
	rng := rand.New(rand.NewPCG(1, 1))
	l := New(Settings{Most: most})
	now := time.UnixMilli(0)
	places := make([]*Place, callers)
	for range steps {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		i := rng.IntN(callers)
		p := places[i]
		switch {
		case p == nil:
			places[i] = l.Open(now, func() {})
		case p.evicted || rng.IntN(16) == 0:
			p.Release()
			places[i] = nil
		case rng.IntN(2) == 0:
			p.Read(now)
		case rng.IntN(2) == 0:
			p.Hold()
		default:
			p.Idle(now)
		}
		if got := l.Counts().Open; got > most+most/leavingShare {
			t.Fatalf("open connections: got %d, want at most %d", got, most+most/leavingShare)
		}
	}
	for _, p := range places {
		if p != nil {
			p.Release()
		}
	}
	if got := l.Counts(); got.Open != 0 || l.leaving != 0 || l.reading.Len() != 0 || l.idle.Len() != 0 {
		t.Errorf("after the end of all: got %+v, %d leaving, %d reading, %d idle, want none", got, l.leaving, l.reading.Len(), l.idle.Len())
	}
	if got := l.Counts(); got.GaveWay == 0 || got.Refused == 0 {
		t.Errorf("got %+v, want some that gave way and some refused", got)
	}
}

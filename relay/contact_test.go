package relay

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// TestContact runs the script in testdata/contact.txt. A line "case NAME" begins a new connection. Each other
// line is
//
//	FROM TO heard=N inflight=SEGMENTS queued=BYTES probes=N WANT
//
// the state of the connection at the checks from one time to another, in ms, each checkInterval, and what
// follows from it: "beat", "lost", or "-" for nothing.
func TestContact(t *testing.T) {
	f, err := os.Open("testdata/contact.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var c contact
	var name string
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line := lines.Text()
		if rest, ok := strings.CutPrefix(line, "case "); ok {
			name, c = rest, contact{}
			continue
		}
		if line == "" || line[0] == '#' {
			continue
		}
		var from, to int
		var s tcpState
		var want string
		if _, err := fmt.Sscanf(line, "%d %d heard=%d inflight=%d queued=%d probes=%d %s", &from, &to, &s.Heard, &s.InFlight, &s.Queued, &s.Probes, &want); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		for at := time.UnixMilli(int64(from)); !at.After(time.UnixMilli(int64(to))); at = at.Add(checkInterval) {
			got := "-"
			switch beat, lost := c.observe(s, at); {
			case lost:
				got = "lost"
			case beat:
				got = "beat"
			}
			if got != want {
				t.Errorf("%s: at %d ms: got %s, want %s", name, at.UnixMilli(), got, want)
			}
		}
	}
}

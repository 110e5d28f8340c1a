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
//	MS heard=N inflight=SEGMENTS queued=BYTES probes=N WANT
//
// the state of the connection at a check, and what follows from it: "beat", "lost", or "-" for nothing.
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
		var ms int
		var s tcpState
		var want string
		if _, err := fmt.Sscanf(line, "%d heard=%d inflight=%d queued=%d probes=%d %s", &ms, &s.Heard, &s.InFlight, &s.Queued, &s.Probes, &want); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		got := "-"
		switch beat, lost := c.observe(s, time.UnixMilli(int64(ms))); {
		case lost:
			got = "lost"
		case beat:
			got = "beat"
		}
		if got != want {
			t.Errorf("%s: at %d ms: got %s, want %s", name, ms, got, want)
		}
	}
}

package cooldown

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
)

// TestScripts runs the scripts in testdata/*.txt. Each line is one of
//
//	at MS                       sets the time
//	upstreams [ID:BORN ...]     sets the registered upstreams
//	asked ID BORN MS yes|no     a rest that the upstream asks for, and whether that is news
//	take ID yes|no              a request that was chosen for the upstream
//	probe ID yes|no             a request on behalf of no caller
//	answered ID SENT_MS         an answer that asks for no rest
//	closed [ID ...]             checks which upstreams get no requests
//	left ID MS                  checks the time until the end of the rest
func TestScripts(t *testing.T) {
	names, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(names) == 0 {
		t.Fatalf("scripts: got %v, %v, want some", names, err)
	}
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) { runScript(t, name) })
	}
}

func runScript(t *testing.T, name string) {
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	tracker := New(func() uint64 { return 0 })
	start := time.Unix(1000, 0)
	at := func(ms string) time.Time { return start.Add(milliseconds(t, ms)) }
	now := start
	for n, line := range strings.Split(string(text), "\n") {
		w := strings.Fields(line)
		if len(w) == 0 || w[0] == "#" {
			continue
		}
		check := func(what string, got bool, want string) {
			if got != (want == "yes") {
				t.Errorf("line %d: %s: got %v, want %s", n+1, what, got, want)
			}
		}
		switch w[0] {
		case "at":
			now = at(w[1])
		case "upstreams":
			var list []directory.Upstream
			for _, word := range w[1:] {
				id, born, _ := strings.Cut(word, ":")
				list = append(list, directory.Upstream{ID: ident.Upstream(id), Service: "s", Born: number(t, born)})
			}
			tracker.SetUpstreams(list)
		case "asked":
			check("Asked", tracker.Asked(ident.Upstream(w[1]), number(t, w[2]), milliseconds(t, w[3]), now), w[4])
		case "take":
			check("Take", tracker.Take(ident.Upstream(w[1]), now), w[2])
		case "probe":
			check("TakeProbe", tracker.TakeProbe(ident.Upstream(w[1]), now), w[2])
		case "answered":
			tracker.Answered(ident.Upstream(w[1]), at(w[2]))
		case "closed":
			var got []string
			for _, id := range tracker.Closed("s", now) {
				got = append(got, string(id))
			}
			if got, want := strings.Join(got, " "), strings.Join(w[1:], " "); got != want {
				t.Errorf("line %d: Closed: got %q, want %q", n+1, got, want)
			}
		case "left":
			if got, want := tracker.Left(ident.Upstream(w[1]), now), milliseconds(t, w[2]); got != want {
				t.Errorf("line %d: Left: got %v, want %v", n+1, got, want)
			}
		default:
			t.Fatalf("line %d: unknown command %q", n+1, w[0])
		}
	}
}

func number(t *testing.T, s string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func milliseconds(t *testing.T, s string) time.Duration {
	t.Helper()
	return time.Duration(number(t, s)) * time.Millisecond
}

func TestParse(t *testing.T) {
	tests := []struct {
		text string
		want time.Duration
		cut  bool
		ok   bool
	}{
		{"3", 3 * time.Second, false, true},
		{"0.25", 250 * time.Millisecond, false, true},
		{"86400", maxRest, true, true},
		{"1" + strings.Repeat("0", 30), maxRest, true, true},
		{"0", 0, false, false},
		{"-1", 0, false, false},
		{"", 0, false, false},
		{"soon", 0, false, false},
		{"NaN", 0, false, false},
		{"Inf", 0, false, false},
		{"1e3", 0, false, false},
		{"3,4", 0, false, false},
		{"Fri, 04 Dec 2026 20:00:00 GMT", 0, false, false},
	}
	for _, tc := range tests {
		got, cut, err := Parse(tc.text)
		if got != tc.want || cut != tc.cut || (err == nil) != tc.ok {
			t.Errorf("%q: got %v, %v, %v, want %v, %v", tc.text, got, cut, err, tc.want, tc.cut)
		}
	}
}

// TestSpread checks that a rest ends at a random time that is not before its end.
func TestSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	var random uint64
	tracker := New(func() uint64 { random += 7919 * uint64(time.Microsecond); return random })
	tracker.SetUpstreams([]directory.Upstream{{ID: "a", Service: "s"}})
	ends := make(map[time.Duration]bool)
	for range 20 {
		now = now.Add(time.Hour)
		tracker.Asked("a", 0, 2*time.Second, now)
		got := tracker.Left("a", now)
		if least, most := 2*time.Second, 2200*time.Millisecond; got < least || got > most {
			t.Errorf("rest of 2s: got %v, want between %v and %v", got, least, most)
		}
		ends[got] = true
	}
	if len(ends) < 10 {
		t.Errorf("ends of 20 rests: got %d different ones, want at least 10", len(ends))
	}
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{"3", "0.5", "-1", "1e9", "Inf", ""} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if got, _, err := Parse(text); err == nil && (got < 0 || got > maxRest) {
			t.Errorf("%q: got %v, want at most %v", text, got, maxRest)
		}
	})
}

package daemon

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/ident"
)

// TestOddReportAges guards against a load report from the future, after which all later ones count as older.
func TestOddReportAges(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tests := []struct {
		ageMs int64
		ok    bool
	}{{0, true}, {250, true}, {3_600_000, true}, {3_600_001, false}, {-1, false}, {math.MaxInt64, false}, {math.MinInt64, false}}
	for _, tc := range tests {
		r := loadReport{Running: 3, AgeMs: tc.ageMs}
		got, err := r.of("a", now)
		if (err == nil) != tc.ok {
			t.Errorf("age %d ms: got %+v, %v, want it accepted: %v", tc.ageMs, got, err, tc.ok)
		}
		if age := now.Sub(got.At); err == nil && age != time.Duration(tc.ageMs)*time.Millisecond {
			t.Errorf("age %d ms: got %v", tc.ageMs, age)
		}
	}
}

// TestOddReportsLoggedOnce guards against a log line each time that an engine is polled.
func TestOddReportsLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	d := &Daemon{log: zerolog.New(&log), poller: &poller{}}
	odd := errors.New("odd")
	for _, err := range []error{nil, odd, odd, odd, nil, nil, odd, odd} {
		d.noteReport("a", err)
	}
	if got := strings.Count(log.String(), "\n"); got != 2 {
		t.Errorf("lines: got %d, want 2; log:\n%s", got, &log)
	}
	d.poller.setTargets([]ident.Upstream{"b"}, func(u ident.Upstream) (string, bool) { return string(u), true })
	if got := len(d.poller.odd); got != 0 {
		t.Errorf("engines remembered that are not polled any more: got %d, want none", got)
	}
}

// FuzzParseLoad checks that a load of an answer that was accepted has three numbers.
func FuzzParseLoad(f *testing.F) {
	f.Add("1/0/64")
	f.Add("9000000000000000000/-1/0")
	f.Add("1e999/0/64")
	f.Fuzz(func(t *testing.T, load string) {
		if _, _, _, ok := parseLoad(load); ok && strings.Count(load, "/") != 2 {
			t.Errorf("%q: got it accepted, want three numbers", load)
		}
	})
}

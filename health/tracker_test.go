package health

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"crocuslug/ident"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

func names(n int) []ident.Upstream {
	var us []ident.Upstream
	for i := range n {
		us = append(us, ident.Upstream(fmt.Sprintf("e%02d", i)))
	}
	return us
}

// TestInvariants applies the changes that follow from random events and compares them with a
// simple model: an upstream that refused a connection is dead until a trial succeeds.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "upstreams")
		us := names(n)
		tr := New(Settings{})
		now := start
		out := map[ident.Upstream]bool{}
		refused := map[ident.Upstream]bool{}
		trial := map[ident.Upstream]time.Time{}
		apply := func(cs []Change) {
			for _, c := range cs {
				if c.State != Trial {
					out[c.Upstream] = c.State == Out
					continue
				}
				if at, ok := trial[c.Upstream]; ok && now.Sub(at) < defaultTrialTimeout {
					t.Fatalf("second trial of %s while one runs", c.Upstream)
				}
				trial[c.Upstream] = now
			}
		}
		apply(tr.SetUpstreams(us, now))
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "dt")) * time.Millisecond)
			u := rapid.SampledFrom(us).Draw(t, "u")
			switch op := rapid.IntRange(0, 9).Draw(t, "op"); {
			case op < 3:
				apply(tr.Tick(now))
			case op < 6:
				for range rapid.IntRange(1, 6).Draw(t, "failures") {
					apply(tr.Observe(Outcome{Upstream: u, Kind: Failed}, now))
				}
			case op < 7:
				refused[u] = true
				apply(tr.Observe(Outcome{Upstream: u, Kind: Refused}, now))
			case op < 8:
				apply(tr.Observe(Outcome{Upstream: u, Latency: time.Millisecond}, now))
			default:
				if _, ok := trial[u]; !ok || !tr.upstreams[u].onTrial {
					continue
				}
				delete(trial, u)
				k := rapid.SampledFrom([]Kind{OK, Failed, Refused}).Draw(t, "kind")
				if k != Failed {
					refused[u] = k == Refused
				}
				apply(tr.Observe(Outcome{Upstream: u, Kind: k, Trial: true}, now))
			}
			compareOut(t, us, out, refused)
		}
	})
}

func compareOut(t *rapid.T, us []ident.Upstream, out, refused map[ident.Upstream]bool) {
	dead, others := 0, 0
	for _, u := range us {
		if refused[u] {
			dead++
		}
		if out[u] && !refused[u] {
			others++
		}
	}
	for _, u := range us {
		if got, want := out[u], dead < len(us); refused[u] && got != want {
			t.Fatalf("%s refuses connections, %d of %d dead: got out %v, want %v", u, dead, len(us), got, want)
		}
	}
	if limit := max(1, len(us)*3/10); others > 0 && dead+others > limit {
		t.Fatalf("%d dead and %d ejected of %d: want at most %d", dead, others, len(us), limit)
	}
}

func TestBackOffGrows(t *testing.T) {
	tr := New(Settings{})
	tr.SetUpstreams(names(5), start)
	tr.Observe(Outcome{Upstream: "e00", Kind: Refused}, start)
	var got []int
	last := 0
	for s := 1; s < 200; s++ {
		now := start.Add(time.Duration(s) * time.Second)
		for _, c := range tr.Tick(now) {
			if c.State != Trial {
				continue
			}
			got = append(got, s-last)
			last = s
			tr.Observe(Outcome{Upstream: "e00", Kind: Refused, Trial: true}, now)
		}
	}
	want := []int{1, 2, 4, 8, 16, 32, 60, 60}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("seconds between trials: got %v, want %v", got, want)
	}
}

func TestSlowUpstreamEjected(t *testing.T) {
	tr := New(Settings{})
	us := names(8)
	tr.SetUpstreams(us, start)
	for i, u := range us {
		latency := time.Duration(100+i) * time.Millisecond
		if i == 3 {
			latency = time.Second
		}
		for range defaultMinRequests {
			tr.Observe(Outcome{Upstream: u, Latency: latency}, start)
		}
	}
	got := tr.Tick(start)
	want := []Change{{"e03", Out}}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("changes: got %v, want %v", got, want)
	}
	if got := tr.Tick(start); len(got) != 0 {
		t.Errorf("changes of a second tick: got %v, want none", got)
	}
}

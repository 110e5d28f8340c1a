package pace

import (
	"testing"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTracker(ids ...ident.Upstream) *Tracker {
	t := New(Settings{})
	var list []directory.Upstream
	for _, id := range ids {
		list = append(list, directory.Upstream{ID: id, Service: "s", Slots: 16})
	}
	t.SetUpstreams(list)
	return t
}

// feed gives the time for a unit of each upstream for one second and ticks once.
func feed(tr *Tracker, second int, load float64, unit map[ident.Upstream]time.Duration) map[ident.Upstream]Estimate {
	now := start.Add(time.Duration(second) * time.Second)
	for id, d := range unit {
		tr.Observe(id, 20, 20*d, load, now)
	}
	return tr.Tick(now)
}

const ms = time.Millisecond

// TestLimitFollowsCapacity guards against an upstream that slows down under load keeping its declared slots, and against a
// limit that stays low after the upstream has recovered.
func TestLimitFollowsCapacity(t *testing.T) {
	tr := newTracker("a", "b", "c")
	var got map[ident.Upstream]Estimate
	for s := range 3 {
		got = feed(tr, s, 4, map[ident.Upstream]time.Duration{"a": 30 * ms, "b": 30 * ms, "c": 30 * ms})
	}
	if l := got["a"].Limit; l != 0 {
		t.Errorf("limit without slowness: got %d, want 0 for the declared slots", l)
	}
	for s := 3; s < 7; s++ {
		got = feed(tr, s, 12, map[ident.Upstream]time.Duration{"a": 100 * ms, "b": 35 * ms, "c": 35 * ms})
	}
	if l := got["a"].Limit; l == 0 || l > 12 {
		t.Errorf("limit of an upstream that takes three times as long at 12 requests: got %d, want 1 to 12", l)
	}
	if l := got["b"].Limit; l != 0 {
		t.Errorf("limit of a sound upstream: got %d, want 0", l)
	}
	for s := 7; s < 30; s++ {
		got = feed(tr, s, 4, map[ident.Upstream]time.Duration{"a": 30 * ms, "b": 30 * ms, "c": 30 * ms})
	}
	if l := got["a"].Limit; l != 0 {
		t.Errorf("limit 23 s after the recovery: got %d, want 0", l)
	}
}

// TestSlowUpstreamKeepsLimit guards against a limit for an upstream that is slow at any load, which would cost capacity.
func TestSlowUpstreamKeepsLimit(t *testing.T) {
	tr := newTracker("a", "b", "c")
	var got map[ident.Upstream]Estimate
	for s := range 10 {
		got = feed(tr, s, 12, map[ident.Upstream]time.Duration{"a": 90 * ms, "b": 30 * ms, "c": 30 * ms})
	}
	if l, f := got["a"].Limit, got["a"].Factor; l != 0 || f < 2.9 || f > 3.1 {
		t.Errorf("limit and factor: got %d and %.2f, want 0 and 3", l, f)
	}
}

// TestGeneralSlownessKeepsLimits guards against refusals in a burst that slows all upstreams alike.
func TestGeneralSlownessKeepsLimits(t *testing.T) {
	tr := newTracker("a", "b", "c")
	feed(tr, 0, 2, map[ident.Upstream]time.Duration{"a": 30 * ms, "b": 30 * ms, "c": 30 * ms})
	got := feed(tr, 1, 16, map[ident.Upstream]time.Duration{"a": 90 * ms, "b": 90 * ms, "c": 90 * ms})
	for id, e := range got {
		if e.Limit != 0 {
			t.Errorf("limit of %s: got %d, want 0", id, e.Limit)
		}
	}
}

// TestFactorFades guards against an upstream that is never tried again since it was slow once.
func TestFactorFades(t *testing.T) {
	tr := newTracker("a", "b", "c")
	feed(tr, 0, 4, map[ident.Upstream]time.Duration{"a": 150 * ms, "b": 30 * ms, "c": 30 * ms})
	got := tr.Tick(start.Add(40 * time.Second))
	if f := got["a"].Factor; f > 1.5 {
		t.Errorf("factor after 40 s without samples: got %.2f, want at most 1.5", f)
	}
}

// TestMerge guards against samples of peers that count twice, that are older than what is known, or that cannot be.
func TestMerge(t *testing.T) {
	tr := newTracker("a", "b")
	merge := func(unit, units, age int) {
		tr.Merge([]Sample{{Upstream: "a", Unit: unit, Units: units, Load: 3, Age: age}}, "i", start)
	}
	merge(50_000, 10, 0)
	merge(90_000, 10, 2000)
	merge(-1, 10, 0)
	merge(90_000, 0, 0)
	merge(90_000, 10, -5)
	tr.Merge([]Sample{{Upstream: "gone", Unit: 1, Units: 1}}, "i", start)
	tr.Tick(start)
	seconds, load, ok := tr.upstreams["a"].combine(defaultExpiry, start)
	if !ok || seconds != 0.05 || load != 3 {
		t.Errorf("time for a unit, load and whether known: got %v, %v, %v, want 0.05, 3, true", seconds, load, ok)
	}
	if _, _, ok := tr.upstreams["a"].combine(defaultExpiry, start.Add(6*time.Second)); ok {
		t.Error("samples count after their expiry")
	}
}

// TestRestartForgets guards against limits that outlast the process they were learned of.
func TestRestartForgets(t *testing.T) {
	tr := newTracker("a", "b", "c")
	for s := range 4 {
		feed(tr, s, 12, map[ident.Upstream]time.Duration{"a": time.Duration(30+100*min(s, 1)) * ms, "b": 30 * ms, "c": 30 * ms})
	}
	if l := tr.Tick(start.Add(4 * time.Second))["a"].Limit; l == 0 {
		t.Fatal("limit before the restart: got 0, want one")
	}
	tr.SetUpstreams([]directory.Upstream{{ID: "a", Service: "s", Slots: 16, Born: 1}})
	if l := tr.Tick(start.Add(5 * time.Second))["a"].Limit; l != 0 {
		t.Errorf("limit after the restart: got %d, want 0", l)
	}
}

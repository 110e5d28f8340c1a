package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocuslug/ident"
)

// fleet is a number of instances whose requests run on shared engines. Engines crash when they
// begin to answer a request with the bad part.
type fleet struct {
	t         *rapid.T
	instances []*Tracker
	now       time.Time
	crashes   int
	serial    int
}

const bad = "bad"

// draw returns a request of its own content with some sound parts.
func (f *fleet) draw(parts ...string) Run {
	f.serial++
	for _, p := range []string{"p", "q", "r"} {
		if rapid.Bool().Draw(f.t, p) {
			parts = append(parts, p)
		}
	}
	return run(fmt.Sprint("request", f.serial), parts)
}

// serve runs requests on one engine, each of a drawn instance, if none is refused. The first
// request has the bad part if poisoned is true.
func (f *fleet) serve(poisoned bool) {
	var runs []Run
	if poisoned {
		runs = append(runs, f.draw(bad))
	}
	for range rapid.IntRange(0, 4).Draw(f.t, "neighbours") {
		runs = append(runs, f.draw())
	}
	at := make([]*Tracker, len(runs))
	for i, r := range runs {
		at[i] = rapid.SampledFrom(f.instances).Draw(f.t, "instance")
		if _, refused := at[i].Refused(r, f.now); refused {
			if poisoned && i == 0 {
				return
			}
			f.t.Fatalf("sound request with %d parts was refused after %d crashes", len(r.Parts), f.crashes)
		}
	}
	if poisoned {
		f.crashes++
	}
	for i, r := range runs {
		switch {
		case poisoned:
			at[i].EngineCrashed(Engine{ID: ident.Upstream(fmt.Sprint("engine", f.crashes))}, r, f.now, f.now)
		case rapid.Bool().Draw(f.t, "answered"):
			at[i].Answered(r, f.now)
		}
	}
}

// step passes time. Each instance tells all others what it knows.
func (f *fleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	reports := make([]Report, len(f.instances))
	for i, t := range f.instances {
		reports[i] = t.Report(f.now)
	}
	for i, t := range f.instances {
		for k, r := range reports {
			if k != i {
				t.Merge(r, f.now)
			}
		}
		t.Tick(f.now)
	}
}

// TestBlame sends sound and bad requests at drawn times. No request without the bad part may be
// refused, whether or not its parts are ever answered, and the bad ones must be refused after few
// crashes: those that prove the part, those in the time before the last of these counts, and one
// for each sound part that was in all of them.
func TestBlame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, now: time.Unix(1000, 0)}
		for range rapid.IntRange(1, 4).Draw(t, "instances") {
			f.instances = append(f.instances, New())
		}
		for range 30 {
			f.serve(rapid.Bool().Draw(t, "poisoned"))
			f.step(250 * time.Millisecond)
		}
		const soundParts, stepsToSettle = 3, int(settleTime / (250 * time.Millisecond))
		// A sound part that was in all crashes may stay in the set, and each crash that shows it
		// has to settle.
		limit := minMoments + stepsToSettle + soundParts*(1+stepsToSettle)
		if f.crashes > limit {
			t.Fatalf("got %d crashes, want at most %d", f.crashes, limit)
		}
	})
}

// TestBlameOfAnsweredParts is TestBlame for sound parts that are answered all the time, which leaves
// the bad part alone.
func TestBlameOfAnsweredParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, now: time.Unix(1000, 0)}
		for range rapid.IntRange(1, 4).Draw(t, "instances") {
			f.instances = append(f.instances, New())
		}
		for range 20 {
			rapid.SampledFrom(f.instances).Draw(t, "answers").Answered(run("sound", []string{"p", "q", "r"}), f.now)
			f.step(250 * time.Millisecond)
			f.serve(true)
			f.step(settleTime)
		}
		if f.crashes != minMoments {
			t.Fatalf("got %d crashes, want %d", f.crashes, minMoments)
		}
		for i, tr := range f.instances {
			if got := tr.bans; len(got) != 1 || !slices.Equal(got[0].parts, []Part{part(bad)}) {
				t.Fatalf("instance %d: got bans %v, want the bad part alone", i, got)
			}
		}
	})
}

// TestBounds fills a tracker with what callers can make up.
func TestBounds(t *testing.T) {
	tr, now := New(), time.Unix(1000, 0)
	for i := range 3 * maxCleared {
		now = now.Add(time.Millisecond)
		tr.Answered(Run{Content: Part(i + 1<<50)}, now)
		if i%10 > 0 {
			continue
		}
		parts := make([]Part, 2*maxRunParts)
		for k := range parts {
			parts[k] = Part(i*100 + k)
		}
		tr.EngineCrashed(Engine{ID: ident.Upstream(fmt.Sprint(i / 200))}, Run{Content: Part(i + 1<<40), Parts: parts}, now, now)
		tr.Answered(Run{Content: Part(i + 1<<50), Parts: parts[:1]}, now)
		if i%100 == 0 {
			tr.Tick(now)
		}
	}
	r := tr.Report(now)
	n := 0
	for _, c := range r.Crashes {
		for _, run := range c.Runs {
			n += 1 + len(run.Parts)
		}
	}
	if len(tr.crashes) > maxCrashes || len(tr.cleared.recent) > maxCleared || len(tr.cleared.former) > maxCleared || len(tr.telling) > maxTold || n > maxReportedParts {
		t.Errorf("got %d crashes, %d and %d cleared, %d told, %d reported, want at most %d, %d, %d, %d, %d", len(tr.crashes), len(tr.cleared.recent),
			len(tr.cleared.former), len(tr.telling), n, maxCrashes, maxCleared, maxCleared, maxTold, maxReportedParts)
	}
}

package daemon

import (
	"testing"
	"time"

	"crocuslug/affinity"
	"crocuslug/generation"
	"crocuslug/ident"
	"crocuslug/routing"
	"crocuslug/suspect"
	"crocuslug/timer"
)

// TestPauseCountsOnce guards against avoiding an engine the longer, the more streams it
// carried when it paused.
func TestPauseCountsOnce(t *testing.T) {
	const (
		paused, other = ident.Upstream("paused"), ident.Upstream("other")
		streams       = 16
		avoided       = 8 * time.Second // four half-lives of the penalty of one failure
	)
	model := routing.Model{Name: "m"}
	d := &Daemon{
		opt:           Options{Timer: timer.New(), RoundRobin: true},
		suspects:      suspect.New(suspect.Settings{}),
		trials:        newTrials(),
		spilledOut:    newReservations(),
		engineChooser: routing.New(routing.Settings{}, "accra", func() uint64 { return 0 }, affinity.New(affinity.Settings{})),
	}
	d.engineChooser.SetCandidates([]routing.Candidate{
		{Upstream: paused, Slots: streams, Models: []routing.Model{model}, Near: true},
		{Upstream: other, Slots: streams, Models: []routing.Model{model}, Near: true},
	})
	choose := func(only ident.Upstream, at time.Time) ident.Upstream {
		return d.engineChooser.Choose(routing.Request{Model: model, Only: only}, at).Upstream
	}
	now := d.opt.Timer.Now()
	for range streams {
		choose(paused, now)
	}
	for range streams {
		d.releaseEngine(paused, generation.Spec{}, generation.ResponseTimeout)
	}
	for range streams / 2 {
		choose(other, now)
	}
	if got := choose("", d.opt.Timer.Now().Add(avoided)); got != paused {
		t.Errorf("engine chosen %v after the pause: got %q, want %q", avoided, got, paused)
	}
}

package generation

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocuslug/replica"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// step does one arbitrary thing.
func (w *world) step(cfg Settings) {
	kind := rapid.IntRange(0, 19).Draw(w.t, "step")
	switch {
	case kind < 12 && len(w.bag) > 0:
		// Early messages are likelier, so that streams make progress.
		i := min(rapid.IntRange(0, 5).Draw(w.t, "message"), len(w.bag)-1)
		w.deliver(i, rapid.IntRange(0, 5).Draw(w.t, "twice") == 0)
	case kind == 12 && len(w.bag) > 0:
		i := rapid.IntRange(0, len(w.bag)-1).Draw(w.t, "drop")
		w.bag = append(w.bag[:i:i], w.bag[i+1:]...)
	case kind == 13:
		o := rapid.IntRange(0, len(w.owners)-1).Draw(w.t, "owner")
		c := rapid.SampledFrom([]Cause{Refused, Reset, Silence, TimedOut, UnknownStream, Full, CannotContinue}).Draw(w.t, "cause")
		w.lose(o, w.owners[o].machine.Log().Attempt(), c)
	case kind == 18:
		o := rapid.IntRange(0, len(w.owners)-1).Draw(w.t, "owner")
		a := w.owners[o].machine.Log().Attempt()
		w.later(o, "move", func(m *Machine) []Action { return m.Move(w.now, a) })
	case kind == 14:
		for _, s := range w.streams {
			s.dead = true
		}
	case kind == 15 && len(w.owners) < 4:
		w.takeOver(cfg)
	case kind == 16:
		o := rapid.IntRange(0, len(w.owners)-1).Draw(w.t, "owner")
		w.owners[o].paused = !w.owners[o].paused
	default:
		w.tick(time.Duration(rapid.IntRange(1, 300).Draw(w.t, "ms")) * time.Millisecond)
	}
	w.check()
}

// finishes delivers all in order without faults until the answer ends.
func (w *world) finishes() {
	w.owners[len(w.owners)-1].paused = false
	for range 400 {
		for len(w.bag) > 0 {
			w.deliver(0, false)
			w.check()
		}
		if w.caller.done || w.caller.result != nil {
			return
		}
		w.tick(100 * time.Millisecond)
		w.check()
	}
	w.t.Fatalf("answer did not end: got %d tokens in phase %d", len(w.caller.tokens), w.owners[len(w.owners)-1].machine.phase)
}

func property(cfg Settings, rcfg replica.Settings) func(t *rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t, cfg, rcfg)
		for range rapid.IntRange(0, 160).Draw(t, "steps") {
			w.step(cfg)
		}
		w.finishes()
	}
}

// TestExactlyOnce drives one generation through arbitrary events and compares
// what the caller got with the naive answer.
func TestExactlyOnce(t *testing.T) {
	rapid.Check(t, property(Settings{}, replica.Settings{}))
}

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

// step performs one random event.
func (w *simulation) step(cfg Settings) {
	kind := rapid.IntRange(0, 19).Draw(w.t, "step")
	switch {
	case kind < 12 && len(w.pending) > 0:
		// Older messages are chosen more often, so that streams make progress.
		i := min(rapid.IntRange(0, 5).Draw(w.t, "message"), len(w.pending)-1)
		w.deliver(i, rapid.IntRange(0, 5).Draw(w.t, "twice") == 0)
	case kind == 12 && len(w.pending) > 0:
		i := rapid.IntRange(0, len(w.pending)-1).Draw(w.t, "drop")
		w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
	case kind == 13:
		o := rapid.IntRange(0, len(w.owners)-1).Draw(w.t, "owner")
		c := rapid.SampledFrom([]LossCause{ConnectionRefused, ConnectionReset, TokenTimeout, ResponseTimeout, UnknownStream, EngineFull, CannotContinue}).Draw(w.t, "cause")
		w.enqueueLoss(o, w.owners[o].machine.Log().Attempt(), c)
	case kind == 18:
		o := rapid.IntRange(0, len(w.owners)-1).Draw(w.t, "owner")
		a := w.owners[o].machine.Log().Attempt()
		w.enqueue(o, "move", func(m *Machine) []Action { return m.Move(w.now, a) })
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
	w.checkDelivered()
}

// runToEnd delivers all messages in order and without faults until the answer ends.
func (w *simulation) runToEnd() {
	w.owners[len(w.owners)-1].paused = false
	for range 400 {
		for len(w.pending) > 0 {
			w.deliver(0, false)
			w.checkDelivered()
		}
		if w.caller.done || w.caller.result != nil {
			return
		}
		w.tick(100 * time.Millisecond)
		w.checkDelivered()
	}
	w.t.Fatalf("answer did not end: got %d tokens in phase %d", len(w.caller.tokens), w.owners[len(w.owners)-1].machine.phase)
}

// checkExactlyOnce returns a property that runs random events and then lets the answer end.
func checkExactlyOnce(cfg Settings, rcfg replica.Settings) func(t *rapid.T) {
	return func(t *rapid.T) {
		w := newSimulation(t, cfg, rcfg)
		for range rapid.IntRange(0, 160).Draw(t, "steps") {
			w.step(cfg)
		}
		w.runToEnd()
	}
}

// TestExactlyOnce guards against missing, repeated or mixed tokens: it drives one generation
// through random losses, takeovers and reordered messages and compares what the caller
// received with the expected answer.
func TestExactlyOnce(t *testing.T) {
	rapid.Check(t, checkExactlyOnce(Settings{}, replica.Settings{}))
}

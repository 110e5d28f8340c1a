package claimwriter

import (
	"context"
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocuslug/claim"
	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/timer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "4217"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// simulationsPerCheck is the number of simulations that each check draws.
const simulationsPerCheck = 3

// TestAtMostOnce requires that no key is run twice, and that replayed answers are
// correct, under interleaved store calls, lost answers, delayed writes, pauses,
// restarts and outages.
func TestAtMostOnce(t *testing.T) {
	runs, replays := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		length := rapid.IntRange(50, 2000).Draw(t, "length")
		for i := range uint64(simulationsPerCheck) {
			s := newSimulation(expandSeed(seed+i, length))
			s.run()
			for _, f := range s.violations {
				t.Error(f)
			}
			for _, n := range s.runs {
				runs += n
			}
			replays += len(s.replayed)
		}
	})
	if runs == 0 || replays == 0 {
		t.Errorf("runs and keys replayed: got %d, %d, want some", runs, replays)
	}
}

// TestLateGrantIsReleased delays the answer to a claim past its start limit, and
// requires that the claim is released and not reported as granted.
func TestLateGrantIsReleased(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(0, 0))
	var states []claim.State
	w := New(Settings{}, Dependencies{
		PreferredWriter: func(int) ident.Instance { return "" },
		Spawn:           func(f func()) { f() },
		ApplyLocal: func(_ context.Context, op claim.Operation) (claim.Decision, error) {
			states = append(states, op.State)
			clock.Advance(defaultStartLimit)
			return claim.Decision{Granted: op.State == claim.Running}, nil
		},
	}, clock, "i")
	_, v := w.Claim(context.Background(), Request{})
	if v.Granted || v.Err == nil || v.Err.Code != result.ActionNotRun {
		t.Errorf("decision: got %+v, want ActionNotRun", v)
	}
	if want := []claim.State{claim.Running, claim.NotRun}; !slices.Equal(states, want) {
		t.Errorf("operations: got %v, want %v", states, want)
	}
}

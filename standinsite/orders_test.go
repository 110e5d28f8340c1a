package standinsite

import (
	"context"
	"testing"
	"time"

	"crocuslug/caller"
	"crocuslug/configuration"
	"crocuslug/lease"
	"crocuslug/placement"
	"crocuslug/standinengine"
	"crocuslug/unit"
	"crocuslug/upstreamcontrol"
)

// TestPlacement places a model that no engine has loaded, asks for it until an
// answer is whole, and kills the instance that orders the engines and then the
// engine that was ordered.
func TestPlacement(t *testing.T) {
	t.Parallel()
	cfg := Settings{Instances: 2, Engines: 2, Seed: 1, Models: []string{"n"}, Engine: standinengine.Settings{TokenInterval: time.Millisecond, ChecksFencing: true}}
	cfg.Document.Placements = []configuration.Placement{{Model: "n", Copies: 1}}
	cfg.Options.Orders = upstreamcontrol.Settings{
		Lease:     lease.Settings{TTL: unit.Duration(2 * time.Second), SafetyMargin: unit.Duration(500 * time.Millisecond)},
		Placement: placement.Settings{Window: unit.Duration(time.Second), LoadTimeout: unit.Duration(2 * time.Second)},
	}
	s := New(cfg)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	askUntilWhole(t, s, "placed")
	for _, d := range s.Instances {
		if d.HoldsOrderLease() {
			s.KillInstance(d.Addr())
			break
		}
	}
	for _, e := range s.Engines {
		if e.Counters().OrdersTaken > 0 {
			e.Kill()
		}
	}
	askUntilWhole(t, s, "placed again")
}

func askUntilWhole(t *testing.T, s *Site, when string) {
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		a := s.Caller(caller.Settings{}).Do(ctx, caller.Request{Model: "n", Prompt: "x", MaxTokens: 5})
		if a.Whole && a.Err == nil {
			return
		}
	}
	t.Fatalf("answer when %s: got none, want a whole one", when)
}

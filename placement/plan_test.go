package placement

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"crocuslug/configuration"
	"crocuslug/ident"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "4217"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestPlansObeyLimitsAndConverge applies, loses and undoes orders at random. It
// checks each order against the limits, and requires that the wanted number of
// copies is reached in the end.
func TestPlansObeyLimitsAndConverge(t *testing.T) {
	names := []string{"a", "b"}
	rapid.Check(t, func(t *rapid.T) {
		p := New(Settings{}, "d")
		now := time.Unix(0, 0)
		engines := make([]Engine, 5)
		for i := range engines {
			engines[i] = Engine{Name: ident.Upstream(fmt.Sprint(i)), Servable: names, StateKnown: true}
		}
		var loads []time.Time
		wanted := []configuration.Placement{{Model: "a", Copies: 2}, {Model: "b", Copies: 2}, {Model: "b", Domain: "other", Copies: 9}}
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "advance")) * time.Second)
			wanted[0].Copies = rapid.IntRange(0, 3).Draw(t, "copies")
			drawModelsInUse(t, engines, names)
			e := &engines[rapid.IntRange(0, 4).Draw(t, "restarted")]
			if rapid.IntRange(0, 9).Draw(t, "restarts") == 0 {
				e.Loaded, e.InUse = nil, nil
			}
			for _, o := range p.Plan(wanted, engines, now) {
				loads = checkOrder(t, o, engines, loads, now)
				if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
					applyOrder(engines, o)
				}
			}
		}
		for i := range engines {
			engines[i].InUse = nil
		}
		for range 20 {
			now = now.Add(time.Minute)
			for _, o := range p.Plan(wanted, engines, now) {
				loads = checkOrder(t, o, engines, loads, now)
				applyOrder(engines, o)
			}
		}
		for _, w := range wanted[:2] {
			if got := countCopies(engines, Model{Name: w.Model}); got != w.Copies {
				t.Fatalf("copies of %s: got %d, want %d", w.Model, got, w.Copies)
			}
		}
	})
}

// drawModelsInUse draws the model that each engine uses, if any.
func drawModelsInUse(t *rapid.T, engines []Engine, names []string) {
	for i := range engines {
		engines[i].InUse = nil
		m := Model{Name: rapid.SampledFrom(names).Draw(t, "used")}
		if rapid.Bool().Draw(t, "busy") {
			engines[i].InUse = []Model{m}
		}
	}
}

// checkOrder checks an order against the rate of loads and the rule that the
// last copy of a model in use is not unloaded. It returns the start times of all
// loads.
func checkOrder(t *rapid.T, o Order, engines []Engine, loads []time.Time, now time.Time) []time.Time {
	if o.Kind == Load {
		loads = append(loads, now)
		recent := 0
		for _, at := range loads {
			if now.Sub(at) < defaultWindow {
				recent++
			}
		}
		if recent > defaultMaxLoads {
			t.Fatalf("loads within %v: got %d, want at most %d", defaultWindow, recent, defaultMaxLoads)
		}
		return loads
	}
	used := false
	for _, e := range engines {
		used = used || slices.Contains(e.InUse, o.Model)
	}
	if got := countCopies(engines, o.Model); used && got < 2 {
		t.Fatalf("copies before unload of %s, which is in use: got %d, want at least 2", o.Model.Name, got)
	}
	return loads
}

func applyOrder(engines []Engine, o Order) {
	for i := range engines {
		e := &engines[i]
		if e.Name != o.Upstream {
			continue
		}
		if o.Kind == Unload {
			e.Loaded = slices.DeleteFunc(slices.Clone(e.Loaded), func(m Model) bool { return m == o.Model })
			continue
		}
		if !slices.Contains(e.Loaded, o.Model) {
			e.Loaded = append(slices.Clone(e.Loaded), o.Model)
		}
	}
}

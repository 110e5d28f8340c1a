package upstreamcontrol

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/placement"
	"crocuslug/standinkeyvalue"
	"crocuslug/store"
	"crocuslug/timer"
)

// engine is an engine with loaded models by name, which may check fencing
// numbers.
type engine struct {
	mu             sync.Mutex
	checksFencing  bool
	highest        store.Version
	loaded         []string
	fencingNumbers []store.Version
	refused        int
	delay          func() // before the next order takes effect
}

func (e *engine) serve(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if string(ctx.Path()) == "/v1/state" {
		var s state
		for _, m := range e.loaded {
			s.Models = append(s.Models, struct {
				Model    string   `json:"model"`
				Version  string   `json:"version"`
				Adapters []string `json:"adapters"`
			}{Model: m})
		}
		_ = json.NewEncoder(ctx).Encode(s)
		return
	}
	var o order
	_ = json.Unmarshal(ctx.PostBody(), &o)
	if f := e.delay; f != nil {
		e.delay = nil
		e.mu.Unlock()
		f()
		e.mu.Lock()
	}
	if e.checksFencing && o.Fencing < e.highest {
		e.refused++
		ctx.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	e.highest = max(e.highest, o.Fencing)
	e.fencingNumbers = append(e.fencingNumbers, o.Fencing)
	e.loaded = slices.DeleteFunc(e.loaded, func(m string) bool { return m == o.Model })
	if o.Kind != placement.Unload {
		e.loaded = append(e.loaded, o.Model)
	}
}

func (e *engine) hasLoaded(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.loaded, model)
}

// TestTakeover disconnects the holder of the lease from the platform's store and
// checks that a second instance takes over with a higher fencing number, and
// that it loads the model again after the engine has lost it.
func TestTakeover(t *testing.T) {
	for _, checks := range []bool{true, false} {
		clock := timer.NewVirtual(time.Unix(0, 0))
		store := standinkeyvalue.New(clock)
		e := &engine{checksFencing: checks}
		doc := &configuration.Document{
			Upstreams:  []configuration.Upstream{{Name: "e", Address: listen(t, e.serve), Domain: "d", Models: []string{"m"}, ChecksFencing: checks}},
			Placements: []configuration.Placement{{Model: "m", Copies: 1}},
		}
		cut := false
		first := newTestControl(clock, doc, store.Port(), "i1", &cut)
		second := newTestControl(clock, doc, store.Port(), "i2", new(bool))
		store.SetFaults(standinkeyvalue.Faults{LoseAnswers: 1})
		runRounds(clock, 90, first, second)
		if !first.HoldsLease() && !second.HoldsLease() || first.HoldsLease() && second.HoldsLease() {
			t.Fatalf("checks %v: holders: got %v, %v, want one", checks, first.HoldsLease(), second.HoldsLease())
		}
		if !e.hasLoaded("m") {
			t.Fatalf("checks %v: model after 90 s: got none, want m", checks)
		}
		cut = true
		runRounds(clock, 90, first, second)
		if !second.HoldsLease() || first.HoldsLease() {
			t.Fatalf("checks %v: second after the first was cut off: got no lease, want it", checks)
		}
		e.mu.Lock()
		e.loaded = nil
		e.mu.Unlock()
		runRounds(clock, 150, first, second)
		if !e.hasLoaded("m") {
			t.Errorf("checks %v: model after the engine forgot it: got none, want m", checks)
		}
		if !slices.IsSorted(e.fencingNumbers) || len(e.fencingNumbers) != 2 {
			t.Errorf("checks %v: fencing numbers: got %v, want two rising", checks, e.fencingNumbers)
		}
	}
}

func runRounds(clock *timer.Service, seconds int, cs ...*Control) {
	for range seconds {
		clock.Advance(time.Second)
		for _, c := range cs {
			c.Round(context.Background())
		}
	}
}

func newTestControl(clock *timer.Service, doc *configuration.Document, p store.Store, self ident.Instance, cut *bool) *Control {
	renew, grant := p.Renew, p.Grant
	p.Renew = func(ctx context.Context, l store.Lease) error {
		if *cut {
			return store.Unavailable.New("cut off")
		}
		return renew(ctx, l)
	}
	p.Grant = func(ctx context.Context, ttl time.Duration) (store.Lease, error) {
		if *cut {
			return 0, store.Unavailable.New("cut off")
		}
		return grant(ctx, ttl)
	}
	return New(Settings{}, Ports{
		Configuration: func() *configuration.Document { return doc },
		InUse:         func(ident.Upstream) []placement.Model { return nil },
	}, p, clock, self, "d")
}

func listen(t *testing.T, h fasthttp.RequestHandler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return l.Addr().String()
}

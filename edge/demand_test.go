package edge

import (
	"math"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/routing"
	"crocuslug/settings"
	"crocuslug/timer"
)

// TestTokensInDigests guards against requests of other instances that do not count against the memory of
// an engine, also if the other instance is of an earlier build and tells no tokens, and against tokens in
// digests of an instance that does not count the memory.
func TestTokensInDigests(t *testing.T) {
	for _, byMemory := range []bool{false, true} {
		cfg := settings.Edge{Name: "i", Domain: "a", PeerListen: "127.0.0.1:1", Admission: settings.EdgeAdmission{ByMemory: byMemory}}
		e := New(cfg, Ports{}, []byte("s"), timer.New(), zerolog.Nop())
		defer e.exchange.Close()
		now := e.timer.Now()
		list := []directory.Upstream{{ID: "u", Service: "s", Domain: "a", Slots: 48}}
		e.fleet.SetUpstreams(list, func(ident.Service) int { return 50_000 }, now)
		if _, kind := e.fleet.Pick(fleet.PickRequest{Service: "s", Tokens: 5000, Claim: 1}, now); kind != routing.Send {
			t.Fatalf("pick: got %v, want Send", kind)
		}
		d := e.newDigest(now)
		want := 0
		if byMemory {
			want = 5000
		}
		if got := d.InFlight["u"].Tokens; got != want || (len(d.Demand) > 0) != byMemory {
			t.Errorf("counting %t: own digest: got %d tokens and demand %v, want %d", byMemory, got, d.Demand, want)
		}
		for _, v := range []struct{ peer, digest string }{
			{"127.0.0.1:2", `{"Domain":"a","InFlight":{"u":{"Requests":2,"Tokens":20000}},"Demand":{"s":{"Started":5000}}}`},
			{"127.0.0.1:3", `{"Domain":"a","InFlight":{"u":{"Requests":2}}}`}, // of the mean size, 5000
		} {
			if err := e.applyDigest(ident.Instance(v.peer), []byte(v.digest)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond) // the least time between two sums of loads, for each peer
		}
		used, counted := e.fleet.MemoryUsed("s")
		if want := (5000.0 + 20000 + 2*5000) / 50000; counted != byMemory || counted && math.Abs(used-want) > 1e-9 {
			t.Errorf("counting %t: memory used: got %v, %t, want %v", byMemory, used, counted, want)
		}
	}
}

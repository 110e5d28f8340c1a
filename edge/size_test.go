package edge

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/settings"
	"crocuslug/store"
	"crocuslug/timer"
	"crocuslug/work"
)

// sizes are numbers of instances; there are ten engines to each, as on the
// grown deployments' sweep.
var sizesOfFleet = []int{8, 30, 85, 300}

// ofSize returns an instance that is not started and knows a fleet of n
// instances, with the digest that another of them sends.
func ofSize(tb testing.TB, n int) (*Edge, []byte) {
	tb.Helper()
	e := New(settings.Edge{Name: "i", Domain: "a", PeerListen: "127.0.0.1:1"}, Ports{}, []byte("s"), timer.New(), zerolog.Nop())
	tb.Cleanup(e.exchange.Close)
	now := e.timer.Now()
	var list []directory.Upstream
	domains := []ident.Domain{"a", "b", "c", "d"}
	const each = 10
	for i := range each * n {
		list = append(list, directory.Upstream{
			ID: ident.Upstream(fmt.Sprintf("i-%010x", i)), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			Domain: domains[i%len(domains)], Slots: 24, Revision: store.Version(i + 1),
		})
	}
	e.registry.ReplaceAll(list, store.Version(each*n), now)
	e.publish(now)
	var told []byte
	for i := range n {
		d := digest{Domain: domains[i%len(domains)], InFlight: make(map[ident.Upstream]work.Load)}
		const streams = 9 // with their copies
		for k := range streams {
			d.InFlight[list[(i*31+k*7)%len(list)].ID] = work.Load{Requests: 1, Reading: 5200 * (k % 2)}
		}
		b, err := json.Marshal(d)
		if err != nil {
			tb.Fatal(err)
		}
		told = b
		if err := e.takeDigest(ident.Instance(fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250)), b); err != nil {
			tb.Fatal(err)
		}
	}
	return e, told
}

// BenchmarkFleetSize measures what an instance does again and again in fleets of
// several sizes: each digest taken, each tick, each change of an upstream.
func BenchmarkFleetSize(b *testing.B) {
	for _, n := range sizesOfFleet {
		e, told := ofSize(b, n)
		now := e.timer.Now()
		b.Run(fmt.Sprintf("digest/%d", n), func(b *testing.B) {
			for b.Loop() {
				if err := e.takeDigest("10.1.0.1:7000", told); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("tick/%d", n), func(b *testing.B) {
			for b.Loop() {
				now = now.Add(tickInterval)
				e.tick(now)
			}
		})
		b.Run(fmt.Sprintf("publish/%d", n), func(b *testing.B) {
			for b.Loop() {
				e.publish(now)
			}
		})
		b.Run(fmt.Sprintf("digests/%d", n), func(b *testing.B) {
			for b.Loop() {
				_ = e.digest(now)
			}
		})
	}
}

// TestInTurn holds that all peers are told again and again, and that in a large
// fleet a peer is told several times in a row.
func TestInTurn(t *testing.T) {
	tests := []struct {
		peers, n int
		turns    int // in which all are told
		row      int // turns in a row for each
	}{
		{3, 4, 1, 1},
		{21, 4, 6, 1},
		{48, 4, 12, 1},
		{64, 4, 16, 1},
		{96, 4, 24, 1},
		{225, 4, 228, 4},
	}
	for _, tc := range tests {
		var ids []ident.Instance
		for i := range tc.peers {
			ids = append(ids, ident.Instance(fmt.Sprintf("10.0.0.%d:1", i)))
		}
		told := make(map[ident.Instance]int)
		for turn := range tc.turns {
			for _, id := range inTurn(ids, tc.n, turn) {
				told[id]++
			}
		}
		if len(told) != tc.peers {
			t.Errorf("%d peers, %d a turn: got %d told in %d turns, want all", tc.peers, tc.n, len(told), tc.turns)
		}
		if tc.peers <= tc.n {
			continue
		}
		first := inTurn(ids, tc.n, 0)[0]
		row := 0
		for slices.Contains(inTurn(ids, tc.n, row), first) {
			row++
		}
		if row != tc.row {
			t.Errorf("%d peers, %d a turn: got %d turns in a row, want %d", tc.peers, tc.n, row, tc.row)
		}
	}
}

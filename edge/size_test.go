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

// fleetSizes are numbers of instances, as in the sweep over deployment sizes. There are ten
// engines for each.
var fleetSizes = []int{8, 30, 85, 300}

// newWithFleet returns an instance that is not started and knows a fleet of n instances, and the
// encoded digest of one of them.
func newWithFleet(tb testing.TB, n int) (*Edge, []byte) {
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
	var encoded []byte
	for i := range n {
		d := digest{Domain: domains[i%len(domains)], InFlight: make(map[ident.Upstream]work.Load)}
		const streams = 9 // including backup copies
		for k := range streams {
			d.InFlight[list[(i*31+k*7)%len(list)].ID] = work.Load{Requests: 1, Reading: 5200 * (k % 2)}
		}
		b, err := json.Marshal(d)
		if err != nil {
			tb.Fatal(err)
		}
		encoded = b
		if err := e.applyDigest(ident.Instance(fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250)), b); err != nil {
			tb.Fatal(err)
		}
	}
	return e, encoded
}

// BenchmarkFleetSize measures the periodic work of an instance in fleets of several sizes:
// applying a digest, a tick, publishing a change of upstreams, and building a digest.
func BenchmarkFleetSize(b *testing.B) {
	for _, n := range fleetSizes {
		e, encoded := newWithFleet(b, n)
		now := e.timer.Now()
		b.Run(fmt.Sprintf("digest/%d", n), func(b *testing.B) {
			for b.Loop() {
				if err := e.applyDigest("10.1.0.1:7000", encoded); err != nil {
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
				_ = e.newDigest(now)
			}
		})
	}
}

// TestDigestTargets checks that every peer gets digests regularly, and that in a large fleet a
// peer gets several in a row.
func TestDigestTargets(t *testing.T) {
	tests := []struct {
		peers, n int
		rounds   int // rounds within which all peers get one
		inRow    int // consecutive rounds for each peer
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
		digests := make(map[ident.Instance]int)
		for turn := range tc.rounds {
			for _, id := range digestTargets(ids, tc.n, turn) {
				digests[id]++
			}
		}
		if len(digests) != tc.peers {
			t.Errorf("%d peers, %d a round: got digests to %d in %d rounds, want to all", tc.peers, tc.n, len(digests), tc.rounds)
		}
		if tc.peers <= tc.n {
			continue
		}
		first := digestTargets(ids, tc.n, 0)[0]
		row := 0
		for slices.Contains(digestTargets(ids, tc.n, row), first) {
			row++
		}
		if row != tc.inRow {
			t.Errorf("%d peers, %d a round: got %d rounds in a row, want %d", tc.peers, tc.n, row, tc.inRow)
		}
	}
}

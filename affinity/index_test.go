package affinity

import (
	"flag"
	"os"
	"testing"
	"time"

	"crocuslug/ident"
	"crocuslug/prefix"
	"crocuslug/unit"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7")
	os.Exit(m.Run())
}

// TestAgainstReference compares the index, while nothing is dropped or expired, with a map of
// last uses per upstream and block.
func TestAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := New(Settings{Holders: 3, Lag: unit.Duration(2 * time.Second)})
		used := map[ident.Upstream]map[prefix.Block]time.Time{"a": {}, "b": {}, "c": {}}
		names := rapid.SampledFrom([]ident.Upstream{"a", "b", "c"})
		now := time.Unix(1000, 0)
		seq := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "dt")) * time.Second)
			u := names.Draw(t, "u")
			b := prefix.Block(rapid.IntRange(0, 4).Draw(t, "b"))
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				x.RecordPrompt(u, []prefix.Block{b}, now)
				used[u][b] = now
			case 1:
				x.ApplyEvents(u, []Event{{Seq: seq, Stored: true, Block: b}}, now)
				used[u][b] = now
				x.streams[u].lastGap = time.Time{}
			case 2:
				x.ApplyEvents(u, []Event{{Seq: seq, Block: b}}, now)
				x.streams[u].lastGap = time.Time{}
				if now.Sub(used[u][b]) > 2*time.Second {
					delete(used[u], b)
				}
			}
			seq++
		}
		got := map[ident.Upstream]float64{}
		for _, h := range x.Holders([]prefix.Block{0, 1, 2, 3, 4}, now) {
			got[h.Upstream] = h.Blocks
		}
		for u, blocks := range used {
			want := 0.0
			for b := prefix.Block(0); b < 5; b++ {
				if _, ok := blocks[b]; !ok {
					break
				}
				want++
			}
			if got[u] != want {
				t.Fatalf("blocks at %s: got %v, want %v", u, got[u], want)
			}
		}
	})
}

func TestGapBoundAndExpiry(t *testing.T) {
	now := time.Unix(1000, 0)
	x := New(Settings{Blocks: 10})
	x.ApplyEvents("a", []Event{{Seq: 5, Stored: true, Block: 1}}, now)
	x.ApplyEvents("a", []Event{{Seq: 9, Stored: true, Block: 2}}, now.Add(time.Second))
	hs := x.Holders([]prefix.Block{1}, now.Add(time.Second))
	if len(hs) != 1 || hs[0].Blocks != gapWeight {
		t.Errorf("after a gap: got %v, want one holder with %v", hs, gapWeight)
	}
	for b := range prefix.Block(100) {
		x.RecordPrompt("b", []prefix.Block{b}, now)
	}
	if got, want := x.Len(), 10; got != want {
		t.Errorf("blocks: got %d, want %d", got, want)
	}
	if hs := x.Holders([]prefix.Block{99}, now.Add(time.Hour)); len(hs) != 1 || hs[0].Blocks != 0 {
		t.Errorf("after expiry: got %v, want weight 0", hs)
	}
}

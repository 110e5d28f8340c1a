package edge_test

import (
	"fmt"
	"net/http"
	"testing"
)

// TestStreamKeepsBuildAfterLossOfAll guards against streams that go on at another software version than the
// one that began them because all instances that knew it were lost at the same moment.
func TestStreamKeepsBuildAfterLossOfAll(t *testing.T) {
	for _, left := range []bool{false, true} {
		t.Run(fmt.Sprintf("first build left %v", left), func(t *testing.T) {
			t.Parallel()
			b := newBuilding(t, "v1", "v2")
			list := began(b.begin(midway, nil), "")
			b.stop(len(b.instances))
			if left {
				for _, u := range b.engines["v1"] {
					go u.Stop()
				}
				b.waitForUpstreams(enginesPerBuild + 1)
			}
			for i := range buildInstances {
				e, cfg := b.startInstance(fmt.Sprintf("e%d", i+1), b.http.Addr())
				b.instances, b.listen = append(b.instances, e), append(b.listen, cfg.Listen)
			}
			b.takeUp(list, 2) // some come back before their instance is ready
			for _, addr := range b.listen {
				b.waitForStatus(addr, "/unsafe/x", "k", http.StatusOK)
			}
			b.takeUp(list, 3)
			b.check(list, 0)
			if got := len(began(list, "v1")); got < minTakenUp {
				t.Errorf("streams of the first build: got %d, want at least %d", got, minTakenUp)
			}
		})
	}
}

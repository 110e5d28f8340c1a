package edge

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/settings"
	"crocuslug/store"
	"crocuslug/timer"
)

// TestPublishedChangesStay guards against an upstream that is chosen although the instance knows that it
// leaves, because the list that another goroutine passes to the fleet was made before that became known.
func TestPublishedChangesStay(t *testing.T) {
	const upstreams, changes, publishers, checks = 200, 300, 3, 20
	e := New(settings.Edge{Name: "i", Domain: "a", PeerListen: "127.0.0.1:1"}, Ports{}, []byte("s"), timer.New(), zerolog.Nop())
	t.Cleanup(e.exchange.Close)
	entry := func(n int, revision int, leaving bool) directory.Upstream {
		return directory.Upstream{
			ID: ident.Upstream(fmt.Sprintf("u%d", n)), Service: "s", Address: fmt.Sprintf("10.0.0.1:%d", n+1), Domain: "a",
			Draining: leaving, Revision: store.Version(revision),
		}
	}
	for n := range upstreams {
		e.registry.Set(entry(n, n+1, false))
	}
	var others sync.WaitGroup // goroutines that publish other changes
	done := make(chan struct{})
	for range publishers {
		others.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					e.publish(time.Now())
				}
			}
		})
	}
	lost := 0
	for n := range changes {
		u := entry(n%upstreams, upstreams+n+1, n/upstreams%2 == 0)
		e.registry.Set(u)
		e.publish(time.Now())
		for range checks {
			runtime.Gosched()
			if got, ok := e.fleet.Upstream(u.ID); !ok || got.Draining != u.Draining {
				lost++
				break
			}
		}
	}
	close(done)
	others.Wait()
	if lost > 0 {
		t.Errorf("changes that the fleet does not know after they were published: got %d of %d, want none", lost, changes)
	}
}

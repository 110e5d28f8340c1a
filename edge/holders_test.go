package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/builds"
	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/loopback"
	"crocuslug/settings"
	"crocuslug/timer"
	"crocuslug/unit"
	"crocuslug/work"
)

// newHolder returns an instance that can be called by others and has known build v1 alone of service s for a minute.
// A call to another address than that of a holder fails.
func newHolder(t *testing.T, clock *timer.Service) *Edge {
	t.Helper()
	address, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(address.Release)
	e := New(settings.Edge{Name: "i", Domain: "a", PeerListen: address.String()}, Ports{}, []byte("s"), clock, zerolog.Nop())
	t.Cleanup(e.exchange.Close)
	if err := e.link.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.link.Stop)
	e.builds.SetUpstreams([]directory.Upstream{{ID: "u1", Service: "s", Address: "1:1", Build: "v1"}}, clock.Now().Add(-time.Minute))
	return e
}

// meet makes instances know each other and some that are lost, whose last digests came a time ago.
func meet(instances []*Edge, lost int, ago time.Duration) {
	for _, e := range instances {
		now := e.timer.Now()
		for _, other := range instances {
			e.addPeer(presence{Instance: other.self, Domain: "a"}, now)
		}
		for _, p := range e.peers {
			p.lastDigest = now
		}
		for n := range lost {
			id := ident.Instance(fmt.Sprintf("127.0.0.1:%d", n+1))
			e.addPeer(presence{Instance: id, Domain: "a"}, now)
			e.peers[id].lastDigest = now.Add(-ago)
		}
	}
}

// learn makes instances know for a time that service s has a second build.
func learn(instances []*Edge, since time.Duration) {
	for _, e := range instances {
		e.builds.Merge([]builds.State{{Service: "s", Since: unit.Duration(since)}}, e.timer.Now())
	}
}

// takenUp is a stream that its caller takes up.
func takenUp() *work.Work {
	return &work.Work{ID: "r2", Service: &directory.Service{Name: "s"}, Resumes: true, LastPiece: 3, Origin: "r1"}
}

// TestUntoldIsNoKnowledge guards against streams that go on at another software version because instances that were
// not told of them state the only one that there was before.
func TestUntoldIsNoKnowledge(t *testing.T) {
	tests := []struct {
		name      string
		instances int // reachable, the one that is asked for included
		lost      int
		ago       time.Duration // since the last digests of those that are lost
		since     time.Duration // of the second build
		found     bool
	}{
		{"alone among those that are lost", 1, 5, time.Minute, time.Second, false},
		{"two that are cut off together", 2, 4, 0, time.Second, false},
		{"most holders answer", 5, 1, 0, time.Second, true},
		{"only instance", 1, 0, 0, time.Second, true},
		{"stream is younger than the second build", 5, 0, 0, 2 * defaultTimeout, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			clock := timer.New()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go clock.Run(ctx)
			var list []*Edge
			for range tc.instances {
				list = append(list, newHolder(t, clock))
			}
			meet(list, tc.lost, tc.ago)
			learn(list, tc.since)
			build, found := list[0].findOrigin(ctx, takenUp())
			if found != tc.found || found && *build != "v1" {
				t.Errorf("origin of a stream that nobody was told of: got %v, %t, want %t", build, found, tc.found)
			}
		})
	}
}

// TestPausedInstanceAsks guards against streams that go on at another software version at an instance that was paused
// while the second one came into use.
func TestPausedInstanceAsks(t *testing.T) {
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go clock.Run(ctx)
	list := []*Edge{newHolder(t, clock), newHolder(t, clock), newHolder(t, clock)}
	meet(list, 0, 0)
	paused, others := list[0], list[1:]
	paused.view.Confirm(1, clock.Uptime())
	paused.tick(clock.Now())
	learn(others, 0)
	others[0].builds.Record(builds.Record{Origin: "r1", Service: "s", Build: "v2"}, clock.Now())
	paused.sleep(700 * time.Millisecond)
	build, found := paused.findOrigin(ctx, takenUp())
	if !found || build == nil || *build != "v2" {
		t.Errorf("origin of a stream after a pause: got %v, %t, want v2", build, found)
	}
}

// TestOthersToldInPlace guards against a stream that nobody knows though most instances can be told: others are told
// in place of holders that do not answer.
func TestOthersToldInPlace(t *testing.T) {
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go clock.Run(ctx)
	var list []*Edge
	for range holdersTold + 1 {
		list = append(list, newHolder(t, clock))
	}
	meet(list, 2, 0)
	learn(list, time.Second)
	const streams = 20
	for n := range streams {
		list[0].tellOrigin(builds.Record{Origin: ident.Request(fmt.Sprint(n)), Service: "s", Build: "v2"})
	}
	const limit = 10 * time.Second
	for began := clock.Now(); clock.Now().Sub(began) < limit; list[0].sleep(10 * time.Millisecond) {
		known := 0
		for _, e := range list[1:] {
			known += e.builds.Records()
		}
		if known == streams*holdersTold {
			return
		}
	}
	for _, e := range list[1:] {
		t.Errorf("streams known at %s: got %d, want %d", e.self, e.builds.Records(), streams)
	}
}

// TestFormerBuildWhileUntellable guards against streams that begin at a new software version at an instance that can
// tell nobody of it: others would state the former one.
func TestFormerBuildWhileUntellable(t *testing.T) {
	tests := []struct {
		name   string
		ago    time.Duration // since the last digests of the other instances
		untold bool          // holders did not answer lately
		want   bool
	}{
		{"in touch", 0, false, false},
		{"no digests", time.Minute, false, true},
		{"holders do not answer", 0, true, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			list := []*Edge{newHolder(t, timer.New())}
			meet(list, 5, tc.ago)
			if got := list[0].preferredBuild("s"); got != nil {
				t.Errorf("with one build: got %q, want none", *got)
			}
			learn(list, time.Second)
			if tc.untold {
				list[0].recordUntold()
			}
			got := list[0].preferredBuild("s")
			if (got != nil) != tc.want || got != nil && *got != "v1" {
				t.Errorf("build of new streams: got %v, want v1: %t", got, tc.want)
			}
		})
	}
}

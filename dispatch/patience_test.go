package dispatch

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/cooldown"
	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/timer"
	"crocuslug/upstreamlimit"
	"crocuslug/work"
)

// TestPatience guards against attempts that leave a silent engine though the stream cannot go on
// elsewhere, and against streams that stay at a silent engine though they can.
func TestPatience(t *testing.T) {
	const longest = 1500 * time.Millisecond
	yes, no := func() bool { return true }, func() bool { return false }
	tests := []struct {
		name                string
		patience            patience
		silent              time.Duration
		beforeStart, midway bool
	}{
		{"two attempts, a copy, short silence", patience{true, true, longest, yes, yes}, 0, true, true},
		{"two attempts, no copy, short silence", patience{true, true, longest, yes, no}, longest - 1, true, false},
		{"two attempts, no copy, long silence", patience{true, true, longest, yes, no}, longest, true, true},
		{"one attempt, a copy, short silence", patience{true, false, longest, yes, yes}, longest - 1, false, false},
		{"one attempt, a copy, long silence", patience{true, false, longest, yes, yes}, longest, true, true},
		{"one attempt, no copy, long silence", patience{true, false, longest, yes, no}, longest, true, true},
		{"no other upstream, long silence", patience{true, true, longest, no, yes}, longest, false, false},
		{"no attempt, long silence", patience{false, false, longest, yes, yes}, longest, false, false},
	}
	for _, tc := range tests {
		if got := tc.patience.beforeStart(tc.silent); got != tc.beforeStart {
			t.Errorf("%s: before the first piece: got %t, want %t", tc.name, got, tc.beforeStart)
		}
		if got := tc.patience.midway(tc.silent); got != tc.midway {
			t.Errorf("%s: after a piece: got %t, want %t", tc.name, got, tc.midway)
		}
	}
}

// TestNewPatience guards against attempts that are counted wrongly when a silent engine is left.
// The state is that during an attempt, which sends includes and runs does not.
func TestNewPatience(t *testing.T) {
	f := fleet.New(fleet.Settings{}, func() uint64 { return 0 }, zerolog.Nop())
	f.SetUpstreams([]directory.Upstream{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "s", Draining: true}},
		func(ident.Service) int { return 0 }, time.Unix(0, 0))
	d := &Dispatcher{cfg: Settings{MaxSends: 4}.withDefaults(), fleet: f, limits: upstreamlimit.New("e1"), rests: cooldown.New(func() uint64 { return 0 }), timer: timer.New()}
	resumable := directory.Route{Kind: directory.Streaming, Resumable: true}
	tests := []struct {
		name                     string
		route                    directory.Route
		maxAttempts              int
		state                    attempts
		mayMove, early, hasOther bool
	}{
		{"first of three attempts", resumable, 3, attempts{sends: 1}, true, true, true},
		{"second of three attempts", resumable, 3, attempts{sends: 2, runs: 1}, true, false, true},
		{"last of three attempts", resumable, 3, attempts{sends: 3, runs: 2}, false, false, true},
		{"declined sendings are no attempts", resumable, 3, attempts{sends: 2}, true, true, true},
		{"last sending but one", resumable, 0, attempts{sends: 3}, true, false, true},
		{"last sending", resumable, 0, attempts{sends: 4}, false, false, true},
		{"sendings before a wait", resumable, 0, attempts{sends: 4, uncounted: 3}, true, true, true},
		{"not resumable", directory.Route{Kind: directory.Streaming}, 2, attempts{sends: 1}, false, false, true},
		{"other upstream failed", resumable, 3, attempts{sends: 2, runs: 1, exclude: []ident.Upstream{"b"}}, true, false, false},
		{"other upstream declined", resumable, 3, attempts{sends: 2, declined: []ident.Upstream{"b"}}, true, true, true},
		{"other upstream was silent", resumable, 3, attempts{sends: 2, runs: 1, silent: []ident.Upstream{"b"}}, true, false, true},
	}
	for _, tc := range tests {
		tc.route.MaxAttempts = tc.maxAttempts
		w := &work.Work{Route: &tc.route, Service: &directory.Service{Name: "s"}}
		tc.state.w = w
		p := d.newPatience(&stream{attempts: tc.state, copies: newCopyManager(d, w)}, "a")
		if p.mayMove != tc.mayMove || p.early != tc.early || p.hasOther() != tc.hasOther {
			t.Errorf("%s: got mayMove %t, early %t, hasOther %t, want %t, %t, %t", tc.name, p.mayMove, p.early, p.hasOther(), tc.mayMove, tc.early, tc.hasOther)
		}
	}
}

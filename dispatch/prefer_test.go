package dispatch

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/timer"
	"crocuslug/work"
)

// TestPreferredBuild guards against a new stream that begins at another build than the preferred one, and against one
// that is refused because that build has no upstream.
func TestPreferredBuild(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(1000, 0))
	list := []directory.Upstream{
		{ID: "a", Service: "s", Address: "1:1", Build: "v1", Domain: "far", Slots: 1},
		{ID: "b", Service: "s", Address: "1:2", Build: "v2", Domain: "near", Slots: 64},
	}
	v1, v2, v3 := ident.Build("v1"), ident.Build("v2"), ident.Build("v3")
	tests := []struct {
		prefer, kept *ident.Build
		want         ident.Upstream
	}{
		{nil, nil, "b"},
		{&v1, nil, "a"},
		{&v1, &v2, "b"},
		{&v3, nil, "b"},
	}
	for _, tc := range tests {
		f := fleet.New(fleet.Settings{Domain: "near"}, func() uint64 { return 0 }, zerolog.Nop())
		f.SetUpstreams(list, func(ident.Service) int { return 0 }, clock.Now())
		client := exchange.New(exchange.Settings{}, clock)
		dependencies := testDependencies(testProtocol(), f, client, clock, zerolog.Nop())
		dependencies.PreferBuild = func(ident.Service) *ident.Build { return tc.prefer }
		d := New(Settings{}, dependencies)
		w := &work.Work{Route: &directory.Route{Kind: directory.Streaming}, Service: &directory.Service{Name: "s"}, Deadline: clock.Now().Add(time.Minute)}
		if u, refusal := d.pick(&attempts{w: w, build: tc.kept}, clock.Now()); refusal != nil || u.ID != tc.want {
			t.Errorf("prefer %v, keep %v: got %q, %v, want %q", tc.prefer, tc.kept, u.ID, refusal, tc.want)
		}
	}
}

package dispatch

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/result"
	"crocuslug/timer"
	"crocuslug/upstreamlimit"
	"crocuslug/work"
)

// newLimitedDispatcher returns a dispatcher with two upstreams of which answers may name limits. The
// instance that issues permits answers as ask does.
func newLimitedDispatcher(t *testing.T, ask func(r upstreamlimit.Request) upstreamlimit.Answer) *Dispatcher {
	t.Helper()
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go clock.Run(ctx)
	list := []directory.Upstream{{ID: "a", Service: "s", Slots: 8}, {ID: "b", Service: "s", Slots: 8}}
	f := fleet.New(fleet.Settings{}, func() uint64 { return 0 }, zerolog.Nop())
	f.SetUpstreams(list, func(ident.Service) int { return 0 }, clock.Now())
	p := testProtocol()
	p.Limit = func(h http.Header) string { return h.Get("Limit") }
	deps := testDependencies(p, f, nil, clock, zerolog.Nop())
	deps.Limits.SetUpstreams(list)
	deps.AskPermits = func(_ context.Context, r upstreamlimit.Request) (upstreamlimit.Answer, error) { return ask(r), nil }
	return New(Settings{}, deps)
}

// TestReadLimit guards against limits that are set by values that are no rate, or ended by answers
// that no upstream has signed or that were asked for before the limit was named.
func TestReadLimit(t *testing.T) {
	d := newLimitedDispatcher(t, nil)
	began := d.timer.Now()
	u := directory.Upstream{ID: "a"}
	for i, step := range []struct {
		text   string
		signed bool
		early  bool // the request was sent before the limit was named
		want   float64
	}{
		{"0", true, false, 0},
		{"2.5", true, false, 2.5},
		{"-1", true, false, 2.5},
		{"NaN", true, false, 2.5},
		{"", false, false, 2.5},
		{"", true, true, 2.5},
		{"1", false, false, 1},
		{"", true, false, 0},
	} {
		sent := d.timer.Now()
		if step.early {
			sent = began
		}
		h := http.Header{}
		if step.text != "" {
			h.Set("Limit", step.text)
		}
		if step.signed {
			h.Set("Signed", "1")
		}
		d.readLimit("r", u, h, sent)
		if got, _ := d.limits.Statement("a", sent); got.Rate != step.want {
			t.Errorf("step %d, %q: got a limit of %v, want %v", i+1, step.text, got.Rate, step.want)
		}
	}
}

// TestPermits guards against requests that are sent without a permit, that are refused though another
// upstream is free, or that are refused without the time at which a permit is due.
func TestPermits(t *testing.T) {
	const due = 3 * time.Second
	var issue atomic.Int64
	d := newLimitedDispatcher(t, func(upstreamlimit.Request) upstreamlimit.Answer {
		if issue.Add(-1) < 0 {
			return upstreamlimit.Answer{Wait: due}
		}
		return upstreamlimit.Answer{Issued: 1}
	})
	now := d.timer.Now()
	send := func(exclude ...ident.Upstream) (ident.Upstream, *result.Error) {
		a := &attempts{w: &work.Work{Route: &directory.Route{}, Service: &directory.Service{Name: "s"}, Deadline: now.Add(time.Minute)}, exclude: exclude}
		if refusal := d.ensurePermit(context.Background(), a, now); refusal != nil {
			return "", refusal
		}
		u, refusal := d.pick(a, now)
		return u.ID, refusal
	}
	d.limits.Named("a", 1, now)
	for range 5 {
		if got, refusal := send(); got != "b" || refusal != nil {
			t.Errorf("one of two upstreams at its limit: got %q, %v, want the other one", got, refusal)
		}
	}
	if _, refusal := send("b"); refusal == nil || refusal.Code != result.UpstreamLimit || refusal.Run != result.RunNot || refusal.RetryAfter < due/2 || refusal.RetryAfter > 2*due {
		t.Errorf("the only upstream at its limit: got %v, want UpstreamLimit, not run, with a time to retry of about %v", refusal, due)
	}
	d.limits.Named("b", 1, now)
	issue.Store(1)
	if got, refusal := send(); got != "b" || refusal != nil {
		t.Errorf("permit issued for one of two upstreams at their limits: got %q, %v, want it", got, refusal)
	}
	if _, refusal := send(); refusal == nil || refusal.Code != result.UpstreamLimit {
		t.Errorf("both upstreams at their limits: got %v, want UpstreamLimit", refusal)
	}
}

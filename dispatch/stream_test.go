package dispatch

import (
	"context"
	"net/http"
	"strings"
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

// newStreamTest returns a dispatcher of the cluster's engines, which it does not probe, and a
// resumable stream.
func newStreamTest(t *testing.T, wd *cluster, cfg Settings) (*Dispatcher, *work.Work) {
	t.Helper()
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go clock.Run(ctx)
	f := fleet.New(fleet.Settings{Domain: "near"}, func() uint64 { return 0 }, zerolog.Nop())
	f.SetUpstreams(wd.list, func(ident.Service) int { return 0 }, clock.Now())
	client := exchange.New(exchange.Settings{}, clock)
	t.Cleanup(client.Close)
	w := &work.Work{
		ID: "r1", Route: &directory.Route{Kind: directory.Streaming, Resumable: true, MaxAttempts: 5}, Service: &directory.Service{Name: "s"},
		Deadline: clock.Now().Add(20 * time.Second), Method: http.MethodPost, Target: "/x", Header: http.Header{},
	}
	protocol := testProtocol()
	protocol.ProbePath = ""
	return New(cfg, testDependencies(protocol, f, client, clock, zerolog.Nop())), w
}

// TestExtend guards against the limits of an engine that has sent nothing being applied to one
// that has sent pieces, and the reverse. Without a copy only the former is left at once.
func TestExtend(t *testing.T) {
	t.Parallel()
	d, w := newStreamTest(t, &cluster{}, Settings{})
	p := patience{mayMove: true, early: true, longest: time.Hour, hasOther: func() bool { return true }, hasCopy: func() bool { return false }}
	tests := []struct {
		name           string
		gotPiece, want bool
	}{
		{"before the first piece", false, false},
		{"after a piece", true, true},
	}
	for _, tc := range tests {
		s := &stream{attempts: attempts{w: w}, gotPiece: tc.gotPiece, lastPieceAt: d.timer.Now()}
		if got := !d.extend(s, p).IsZero(); got != tc.want {
			t.Errorf("%s: stream stays at its engine: got %t, want %t", tc.name, got, tc.want)
		}
	}
}

// TestAttemptReset guards against an attempt that starts with the silence and the pieces of the
// attempt before it.
func TestAttemptReset(t *testing.T) {
	t.Parallel()
	wd := &cluster{}
	wd.add(t, "a", "near", "", []string{"drop"})
	d, w := newStreamTest(t, wd, Settings{})
	s := &stream{attempts: attempts{w: w, sends: 2, runs: 1}, copies: newCopyManager(d, w), gotPiece: true, pausing: true}
	s.gaps, s.maxGap = d.silenceDetector(w)
	now := d.timer.Now()
	if _, done := d.attempt(context.Background(), s, wd.list[0], nil, now); done {
		t.Fatal("attempt whose connection ends: got done, want a failure")
	}
	if s.gotPiece || s.pausing || !s.lastPieceAt.Equal(now) {
		t.Errorf("state of the attempt: got gotPiece %t, pausing %t, last piece at %v, want false, false, %v", s.gotPiece, s.pausing, s.lastPieceAt, now)
	}
}

// TestCauseOfSilence guards against streams that leave a silent engine under the name of another
// failure: a broken connection would make their contents suspect of a crash, and the engine would
// not be tried again.
func TestCauseOfSilence(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name              string
		first             string // what the engine does that is left
		firstPieceTimeout time.Duration
		want              cause
	}{
		{"after a piece", "stream:1-1:hang", waitLimit, silent},
		{"before the head", "stream:2-1:hang", 100 * time.Millisecond, timedOut},
	}
	for _, tc := range tests {
		wd := &cluster{}
		wd.add(t, "a", "near", "", []string{tc.first})
		wd.add(t, "b", "far", "", []string{"stream:1-3:whole"})
		d, w := newStreamTest(t, wd, Settings{DefaultGap: 100 * time.Millisecond, FirstPieceTimeout: tc.firstPieceTimeout, MaxPause: 200 * time.Millisecond})
		w.Route.MaxAttempts = 2 // the second engine is not left, however slow it is
		_, _, _ = d.Stream(context.Background(), w, (&receivedStream{}).sink())
		var page strings.Builder
		d.meters.WriteText(&page)
		var got []string
		for line := range strings.Lines(page.String()) {
			if strings.Contains(line, "Failed.") {
				got = append(got, strings.TrimSpace(line))
			}
		}
		if want := "Failed." + string(tc.want) + " 1"; len(got) != 1 || got[0] != want {
			t.Errorf("%s: failures: got %q, want %q", tc.name, got, want)
		}
	}
}

package keyvalue

import (
	"bytes"
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/zeebo/errs"

	"crocuslug/standinkeyvalue"
	"crocuslug/store"
	"crocuslug/timer"
)

// fixture is a client with a stand-in of the service, on a virtual clock.
type fixture struct {
	clock *timer.Service
	store *standinkeyvalue.Store
	srv   *standinkeyvalue.Server
	c     *Client
}

func newFixture(t *testing.T, cfg Settings) *fixture {
	t.Helper()
	clock := timer.NewVirtual(time.Unix(1000, 0))
	store := standinkeyvalue.New(clock)
	srv := standinkeyvalue.NewServer(store, "", nil)
	if err := srv.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Stop)
	cfg.Address = srv.Addr()
	if cfg.Burst == 0 {
		cfg.Burst = 100000
	}
	c := New(cfg, clock)
	t.Cleanup(c.Close)
	return &fixture{clock, store, srv, c}
}

// errorClass returns the name of the class of err, or "" if err is nil.
func errorClass(err error) string {
	for _, c := range []*errs.Class{
		&store.Unknown, &store.Absent, &store.Conflict,
		&store.TooLarge, &store.Trimmed, &store.Unavailable,
	} {
		if c.Has(err) {
			return string(*c)
		}
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

func TestWriteOutcome(t *testing.T) {
	const timeout = 200 * time.Millisecond
	tests := []struct {
		name    string
		prepare func(r *fixture)
		value   []byte
		expect  store.Version
		want    string
		applied bool
	}{
		{"applied", func(*fixture) {}, nil, 0, "", true},
		{"version differs", func(*fixture) {}, nil, 7, "conflict", false},
		{"too large", func(*fixture) {}, make([]byte, 1<<20+1), 0, "too large", false},
		{"outage", func(r *fixture) { r.store.SetFaults(standinkeyvalue.Faults{Outage: true}) }, nil, 0, "unavailable", false},
		{"above the rate", func(r *fixture) {
			r.store.SetFaults(standinkeyvalue.Faults{WritesPerSec: 1})
			_, _ = r.store.Grant(context.Background(), time.Second)
		}, nil, 0, "unavailable", false},
		{"refused connection", func(r *fixture) { r.srv.Kill() }, nil, 0, "unavailable", false},
		{"answer lost", func(r *fixture) { r.store.SetFaults(standinkeyvalue.Faults{LoseAnswers: 1}) }, nil, 0, "unknown outcome", true},
		{"frozen", func(r *fixture) { r.srv.Freeze() }, nil, 0, "unknown outcome", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := Settings{}
			if tt.name == "frozen" {
				cfg.Timeout = timeout
			}
			r := newFixture(t, cfg)
			tt.prepare(r)
			before := r.store.Calls().Writes
			_, err := r.c.Put(context.Background(), "a/b c?%", tt.value, tt.expect, 0)
			if got := errorClass(err); got != tt.want {
				t.Errorf("error: got %q (%v), want %q", got, err, tt.want)
			}
			if got := r.store.Calls().Writes - before; got > 1 {
				t.Errorf("writes sent: got %d, want at most 1", got)
			}
			r.store.SetFaults(standinkeyvalue.Faults{})
			e, err := r.store.Get(context.Background(), "a/b c?%")
			if got := err == nil && bytes.Equal(e.Value, tt.value); got != tt.applied {
				t.Errorf("applied: got %v, want %v", got, tt.applied)
			}
		})
	}
}

func TestWriteEndsWithItsContext(t *testing.T) {
	r := newFixture(t, Settings{})
	r.srv.Freeze()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for r.c.Calls().Writes == 0 {
			runtime.Gosched()
		}
		cancel()
	}()
	_, err := r.c.Put(ctx, "k", nil, 0, 0)
	if got, want := errorClass(err), "unknown outcome"; got != want {
		t.Errorf("context ended while the write was in progress: got %q, want %q", got, want)
	}
	_, err = r.c.Put(ctx, "k", nil, 0, 0)
	if got, want := errorClass(err), "unavailable"; got != want {
		t.Errorf("context ended before the write: got %q, want %q", got, want)
	}
	if got, want := r.c.Calls().Writes, uint64(1); got != want {
		t.Errorf("writes sent: got %d, want %d", got, want)
	}
}

// TestClassify covers the statuses that the stand-in does not return.
func TestClassify(t *testing.T) {
	for _, tt := range []struct {
		kind   kind
		status int
		want   string
	}{
		{write, 500, "unknown outcome"},
		{write, 502, "unknown outcome"},
		{write, 504, "unknown outcome"},
		{write, 400, "unavailable"},
		{read, 500, "unavailable"},
		{read, 404, "absent"},
		{watch, 410, "history trimmed"},
		{write, 204, ""},
	} {
		if got := errorClass(classify(tt.kind, reply{status: tt.status}, nil)); got != tt.want {
			t.Errorf("kind %d status %d: got %q, want %q", tt.kind, tt.status, got, tt.want)
		}
	}
}

func TestOneProbeAtATimeInOutage(t *testing.T) {
	r := newFixture(t, Settings{Seed: 1})
	ctx := context.Background()
	r.store.SetFaults(standinkeyvalue.Faults{Outage: true})
	const calls = 500
	for range calls {
		_, _ = r.c.Get(ctx, "k")
	}
	if got, want := r.store.Calls().Reads, failureThreshold; got != want {
		t.Errorf("reads that reached the service in an outage: got %d, want %d", got, want)
	}
	r.clock.Advance(time.Second)
	for range calls {
		_, _ = r.c.Put(ctx, "k", nil, 0, 0)
	}
	if got, want := r.store.Calls().Writes, 1; got != want {
		t.Errorf("probes after one wait: got %d, want %d", got, want)
	}
	r.store.SetFaults(standinkeyvalue.Faults{})
	r.clock.Advance(time.Second)
	if _, err := r.c.Put(ctx, "k", nil, 0, 0); err != nil {
		t.Errorf("write after the outage: got %v, want none", err)
	}
	if _, err := r.c.Get(ctx, "k"); err != nil {
		t.Errorf("read after the outage: got %v, want none", err)
	}
}

func TestCallsStayWithinBudget(t *testing.T) {
	r := newFixture(t, Settings{Burst: 5, WritesPerSecond: 1})
	for range 50 {
		_, _ = r.c.Grant(context.Background(), time.Minute)
	}
	r.clock.Advance(2 * time.Second)
	for range 50 {
		_, _ = r.c.Grant(context.Background(), time.Minute)
	}
	if got, want := r.store.Calls().Writes, 5+2; got != want {
		t.Errorf("writes sent: got %d, want %d", got, want)
	}
	if got, want := r.c.Calls().OverBudget, uint64(100-7); got != want {
		t.Errorf("calls over budget: got %d, want %d", got, want)
	}
}

func TestSilentWatchIsReplaced(t *testing.T) {
	r := newFixture(t, Settings{WatchWait: 500 * time.Millisecond, Timeout: time.Second})
	ctx := context.Background()
	type found struct {
		entries []store.Entry
		err     error
	}
	done := make(chan found, 1)
	go func() {
		entries, _, err := r.c.Watch(ctx, "k", 0)
		done <- found{entries, err}
	}()
	for r.store.Calls().WaitingNow == 0 {
		runtime.Gosched()
	}
	r.srv.Silence()
	if _, err := r.store.Put(ctx, "k1", []byte("v"), 0, 0); err != nil {
		t.Fatal(err)
	}
	f := <-done
	if f.err != nil || len(f.entries) != 1 {
		t.Errorf("watch: got %v, %v, want one entry", f.entries, f.err)
	}
	if got, want := r.c.Calls().SilentWatches, uint64(1); got != want {
		t.Errorf("silent watches: got %d, want %d", got, want)
	}
	if _, err := r.c.Get(ctx, "k1"); err != nil {
		t.Errorf("read afterwards: got %v, want none", err)
	}
}

// TestOverdueWatchIsSentAgain guards against a watch without an answer that is given up only at its time
// limit, which has to allow for a slow service.
func TestOverdueWatchIsSentAgain(t *testing.T) {
	cfg := Settings{WatchWait: 500 * time.Millisecond, WatchMargin: 100 * time.Millisecond, Timeout: time.Minute, WatchAttempts: 1}
	r := newFixture(t, cfg)
	ctx := context.Background()
	overdue := 0
	if _, err := r.c.Get(ctx, "other"); !store.Absent.Has(err) { // leaves an idle connection
		t.Fatal(err)
	}
	r.c.OnOverdueWatch = func() { overdue++ }
	done := make(chan int, 1)
	go func() {
		entries, _, err := r.c.Watch(ctx, "k", 0)
		if err != nil {
			t.Errorf("watch: got %v, want none", err)
		}
		done <- len(entries)
	}()
	for r.store.Calls().WaitingNow == 0 {
		runtime.Gosched()
	}
	r.srv.Silence()
	if _, err := r.store.Put(ctx, "k1", []byte("v"), 0, 0); err != nil {
		t.Fatal(err)
	}
	r.clock.Advance(cfg.WatchWait + cfg.WatchMargin)
	if got := <-done; got != 1 {
		t.Errorf("watch: got %d entries, want 1", got)
	}
	if got, want := r.c.Calls().OverdueWatches, uint64(1); got != want || overdue != 1 {
		t.Errorf("overdue watches: got %d counted and %d reported, want 1", got, overdue)
	}
}

func TestWatchResumesAfterOutage(t *testing.T) {
	r := newFixture(t, Settings{})
	ctx := context.Background()
	r.store.SetFaults(standinkeyvalue.Faults{Outage: true, HistoryLimit: 1})
	for range 10 {
		_, _ = r.c.Get(ctx, "k")
	}
	r.store.SetFaults(standinkeyvalue.Faults{HistoryLimit: 1})
	_, _ = r.store.Put(ctx, "k1", nil, 0, 0)
	_, _ = r.store.Put(ctx, "k2", nil, 0, 0)
	r.clock.Advance(time.Minute)
	_, now, err := r.c.Watch(ctx, "k", 0)
	if got, want := errorClass(err), "history trimmed"; got != want || now != 2 {
		t.Errorf("watch from too far back: got %q at %d, want %q at 2", got, now, want)
	}
	entries, _, err := r.c.Watch(ctx, "k", 1)
	if err != nil || len(entries) != 1 {
		t.Errorf("watch: got %v, %v, want one entry", entries, err)
	}
}

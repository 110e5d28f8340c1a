package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/exchange"
	"crocuslug/fleet"
	"crocuslug/ident"
	"crocuslug/poison"
	"crocuslug/result"
	"crocuslug/timer"
	"crocuslug/work"
)

// readingEngine is an engine that reads prompts until the test releases them.
type readingEngine struct {
	reading, maxReading atomic.Int32
	release             chan struct{} // each value releases one prompt
	arrived             chan struct{}
}

func (e *readingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if n := e.reading.Add(1); n > e.maxReading.Load() {
		e.maxReading.Store(n)
	}
	e.arrived <- struct{}{}
	<-e.release
	e.reading.Add(-1)
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "1")
	_, _ = fmt.Fprint(w, "id: 1\ndata: a\n\n")
}

// queueTest is a dispatcher with one readingEngine.
type queueTest struct {
	engine *readingEngine
	d      *Dispatcher
	clock  *timer.Service
}

func newQueueTest(t *testing.T) *queueTest {
	e := &readingEngine{release: make(chan struct{}), arrived: make(chan struct{}, 100)}
	s := httptest.NewServer(e)
	t.Cleanup(s.Close)
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go clock.Run(ctx)
	f := fleet.New(fleet.Settings{}, func() uint64 { return 0 }, zerolog.Nop())
	f.SetUpstreams([]directory.Upstream{{ID: "a", Service: "s", Address: s.Listener.Addr().String(), Slots: 64}}, func(ident.Service) int { return 0 }, clock.Now())
	client := exchange.New(exchange.Settings{}, clock)
	t.Cleanup(client.Close)
	return &queueTest{e, New(Settings{MaxBacklog: time.Millisecond}, testDependencies(testProtocol(), f, client, clock, zerolog.Nop())), clock}
}

func (tt *queueTest) send(ctx context.Context, id string, objective time.Duration, parts ...poison.Part) *result.Error {
	_, _, refusal := tt.d.Stream(ctx, &work.Work{
		ID: ident.Request(id), Route: &directory.Route{Kind: directory.Streaming, Target: objective}, Service: &directory.Service{Name: "s"},
		PromptTokens: 5000, Tokens: 5500, Deadline: tt.clock.Now().Add(time.Minute), Method: http.MethodPost, Target: "/x", Header: http.Header{}, Shared: parts,
	}, (&receivedStream{}).sink())
	return refusal
}

// TestQueueOrder sends streams with the same id to an engine that reads a prompt. They must
// reach it one after another, and one whose caller disconnects while queued must not.
func TestQueueOrder(t *testing.T) {
	tt := newQueueTest(t)
	ctx, leave := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for n := range 4 {
		all.Go(func() {
			if refusal := tt.send(context.Background(), "same", time.Minute); refusal != nil {
				t.Errorf("stream %d: got %v, want an answer", n, refusal)
			}
		})
	}
	<-tt.engine.arrived
	gone := make(chan *result.Error)
	go func() { gone <- tt.send(ctx, "left", time.Minute) }()
	for tt.d.Waiting("s") < 4 {
		<-time.After(time.Millisecond)
	}
	leave()
	if refusal := <-gone; refusal != nil {
		t.Errorf("caller disconnected: got %v, want nothing", refusal)
	}
	for range 3 {
		tt.engine.release <- struct{}{}
		<-tt.engine.arrived
	}
	tt.engine.release <- struct{}{}
	all.Wait()
	if got := tt.engine.maxReading.Load(); got != 1 || len(tt.engine.arrived) > 0 {
		t.Errorf("got %d prompts read at once and %d more requests, want 1 and 0", got, len(tt.engine.arrived))
	}
}

// TestQueueTooLong has a stream wait for longer than its objective allows. It must be refused
// as not run, with a retry time.
func TestQueueTooLong(t *testing.T) {
	tt := newQueueTest(t)
	done := make(chan struct{})
	go func() {
		_ = tt.send(context.Background(), "first", time.Minute)
		close(done)
	}()
	<-tt.engine.arrived
	late := make(chan *result.Error)
	go func() { late <- tt.send(context.Background(), "second", 10*time.Millisecond) }()
	var got *result.Error
	for got == nil {
		select {
		case got = <-late:
		case <-time.After(time.Millisecond):
			tt.d.Tick(tt.clock.Now())
		}
	}
	if got.Run != result.RunNot || got.RetryAfter <= 0 {
		t.Errorf("got %v, run %v, retry after %v, want not run and a retry time", got, got.Run, got.RetryAfter)
	}
	close(tt.engine.release)
	<-done
}

// TestQueuedThenRefused has a stream wait while a part of its prompt is found to crash engines. It
// must be refused as not run and its place given back.
func TestQueuedThenRefused(t *testing.T) {
	const bad poison.Part = 9
	tt := newQueueTest(t)
	var all sync.WaitGroup
	all.Go(func() {
		if refusal := tt.send(context.Background(), "first", time.Minute); refusal != nil {
			t.Errorf("first stream: got %v, want an answer", refusal)
		}
	})
	<-tt.engine.arrived
	all.Go(func() {
		got := tt.send(context.Background(), "bad", time.Minute, bad)
		if got == nil || got.Code != result.RequestCrashes || got.Run != result.RunNot || got.RetryAfter <= 0 {
			t.Errorf("queued stream: got %v, want RequestCrashes that has not run, with a retry time", got)
		}
	})
	for tt.d.Waiting("s") < 1 {
		<-time.After(time.Millisecond)
	}
	now := tt.clock.Now()
	for i, name := range []ident.Upstream{"x", "y", "z"} {
		at := now.Add(time.Duration(i) * time.Second)
		tt.d.poison.EngineCrashed(poison.Engine{ID: name}, poison.Run{Content: poison.Part(100 + i), Parts: []poison.Part{bad}}, at, at)
	}
	const later = 10 * time.Second
	tt.d.poison.Tick(now.Add(later))
	tt.engine.release <- struct{}{}
	all.Wait()
	if got := len(tt.engine.arrived); got > 0 {
		t.Errorf("requests that reached the engine after the first: got %d, want none", got)
	}
	if n := tt.d.fleet.Count("s"); n.InFlight != 0 || n.UnreadTokens != 0 {
		t.Errorf("load of the engine at the end: got %d requests and %d tokens, want none", n.InFlight, n.UnreadTokens)
	}
}

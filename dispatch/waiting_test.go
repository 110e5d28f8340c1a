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
	"crocuslug/result"
	"crocuslug/timer"
	"crocuslug/work"
)

// reader is an engine that reads prompts until it is told to begin.
type reader struct {
	reading, most atomic.Int32
	begin         chan struct{} // a prompt is read with each value
	came          chan struct{}
}

func (e *reader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if n := e.reading.Add(1); n > e.most.Load() {
		e.most.Store(n)
	}
	e.came <- struct{}{}
	<-e.begin
	e.reading.Add(-1)
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "1")
	_, _ = fmt.Fprint(w, "id: 1\ndata: a\n\n")
}

// turns is a dispatcher before one reader.
type turns struct {
	engine *reader
	d      *Dispatcher
	clock  *timer.Service
}

func newTurns(t *testing.T) *turns {
	e := &reader{begin: make(chan struct{}), came: make(chan struct{}, 100)}
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
	return &turns{e, New(Settings{MostBacklog: time.Millisecond}, parts(ports(), f, client, clock, zerolog.Nop())), clock}
}

func (tt *turns) send(ctx context.Context, id string, objective time.Duration) *result.Error {
	_, _, refusal := tt.d.Stream(ctx, &work.Work{
		ID: ident.Request(id), Route: &directory.Route{Kind: directory.Streaming, Target: objective}, Service: &directory.Service{Name: "s"},
		Prompt: 5000, Tokens: 5500, Deadline: tt.clock.Now().Add(time.Minute), Method: http.MethodPost, Target: "/x", Header: http.Header{},
	}, (&taken{}).sink())
	return refusal
}

// TestTurns sends streams, under one id, to an engine that reads a prompt. They
// come to it one after another, and one whose caller leaves while it waits does
// not come.
func TestTurns(t *testing.T) {
	tt := newTurns(t)
	ctx, leave := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for n := range 4 {
		all.Go(func() {
			if refusal := tt.send(context.Background(), "same", time.Minute); refusal != nil {
				t.Errorf("stream %d: got %v, want an answer", n, refusal)
			}
		})
	}
	<-tt.engine.came
	gone := make(chan *result.Error)
	go func() { gone <- tt.send(ctx, "left", time.Minute) }()
	for tt.d.Waiting("s") < 4 {
		<-time.After(time.Millisecond)
	}
	leave()
	if refusal := <-gone; refusal != nil {
		t.Errorf("caller left: got %v, want nothing", refusal)
	}
	for range 3 {
		tt.engine.begin <- struct{}{}
		<-tt.engine.came
	}
	tt.engine.begin <- struct{}{}
	all.Wait()
	if got := tt.engine.most.Load(); got != 1 || len(tt.engine.came) > 0 {
		t.Errorf("got %d prompts read at once and %d more requests, want 1 and 0", got, len(tt.engine.came))
	}
}

// TestTurnTooLate has a stream wait for longer than its objective allows. It is
// refused as not run, and told when to come back.
func TestTurnTooLate(t *testing.T) {
	tt := newTurns(t)
	done := make(chan struct{})
	go func() {
		_ = tt.send(context.Background(), "first", time.Minute)
		close(done)
	}()
	<-tt.engine.came
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
		t.Errorf("got %v, run %v, back after %v, want not run and a time", got, got.Run, got.RetryAfter)
	}
	close(tt.engine.begin)
	<-done
}

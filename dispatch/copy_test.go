package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
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

// logWatcher is a log writer that signals when a line contains a text.
type logWatcher struct {
	text string
	seen chan struct{}
}

func (w *logWatcher) Write(b []byte) (int, error) {
	if strings.Contains(string(b), w.text) {
		select {
		case w.seen <- struct{}{}:
		default:
		}
	}
	return len(b), nil
}

// TestHolderReplaced removes the holder of a copy while the run continues. The run must be
// copied to a third engine and resumed there after its engine crashes.
func TestHolderReplaced(t *testing.T) {
	log := &logWatcher{"run copied to a new holder", make(chan struct{}, 1)}
	gone := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/x", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "1")
		for i, copied := 1, false; !copied; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: a\n\n", i)
			_ = http.NewResponseController(w).Flush()
			if i == 1 {
				close(gone)
			}
			select {
			case <-log.seen:
				copied = true
			case <-time.After(10 * time.Millisecond):
			}
		}
		panic(http.ErrAbortHandler)
	})
	mux.HandleFunc("/move", func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, "copy-1")
	})
	a := httptest.NewServer(mux)
	var from string
	c := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from = r.Header.Get("From-Copy")
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "1")
		var after int
		_, _ = fmt.Sscan(r.Header.Get("After"), &after)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: c\n\n", after+1)
	}))
	defer a.Close()
	defer c.Close()
	at := func(s *httptest.Server) string { return s.Listener.Addr().String() }
	list := []directory.Upstream{
		{ID: "a", Service: "s", Address: at(a), Domain: "near", Slots: 64},
		{ID: "b", Service: "s", Address: "127.0.0.1:1", Domain: "far", Slots: 64},
	}
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go clock.Run(ctx)
	random := func() uint64 { return 0 }
	f := fleet.New(fleet.Settings{Domain: "near"}, random, zerolog.Nop())
	memory := func(ident.Service) int { return 55000 }
	f.SetUpstreams(list, memory, clock.Now())
	go func() {
		<-gone
		list[1] = directory.Upstream{ID: "c", Service: "s", Address: at(c), Domain: "far", Slots: 64}
		f.SetUpstreams(list, memory, clock.Now())
	}()
	p := testProtocol()
	p.CopyRequest = func(m work.Move) (string, []byte) {
		b, _ := json.Marshal(m)
		return "/move", b
	}
	p.CopyName = func(status int, body []byte) (string, bool) { return string(body), status == http.StatusOK }
	p.DropTarget = func(name string) string { return "/drop/" + name }
	client := exchange.New(exchange.Settings{}, clock)
	defer client.Close()
	d := New(Settings{DefaultGap: 5 * time.Second}, testDependencies(p, f, client, clock, zerolog.New(log)))
	got := &receivedStream{}
	_, _, refusal := d.Stream(ctx, &work.Work{
		ID:       "r1",
		Route:    &directory.Route{Kind: directory.Streaming, Resumable: true, MaxAttempts: 5},
		Service:  &directory.Service{Name: "s", Backups: true},
		Deadline: clock.Now().Add(20 * time.Second),
		Method:   http.MethodPost,
		Target:   "/x",
		Header:   http.Header{},
	}, got.sink())
	if refusal != nil || !got.ended || strings.Contains(got.span(), ",") {
		t.Errorf("got %s, ended %v, %v, want one whole stream", got.span(), got.ended, refusal)
	}
	if want := at(a) + "/copy-1"; from != want {
		t.Errorf("resumed from %q, want %q", from, want)
	}
}

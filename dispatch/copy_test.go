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

// watcher is a log that tells when a line has a text.
type watcher struct {
	text string
	seen chan struct{}
}

func (w *watcher) Write(b []byte) (int, error) {
	if strings.Contains(string(b), w.text) {
		select {
		case w.seen <- struct{}{}:
		default:
		}
	}
	return len(b), nil
}

// TestCopiedAnew has the holder of a copy leave while the run goes on. The run
// is copied to a third engine, and goes on there after its engine dies.
func TestCopiedAnew(t *testing.T) {
	log := &watcher{"run copied anew", make(chan struct{}, 1)}
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
	p := ports()
	p.Move = func(m work.Move) (string, []byte) {
		b, _ := json.Marshal(m)
		return "/move", b
	}
	p.Moved = func(status int, body []byte) (string, bool) { return string(body), status == http.StatusOK }
	p.Drop = func(name string) string { return "/drop/" + name }
	client := exchange.New(exchange.Settings{}, clock)
	defer client.Close()
	d := New(Settings{Gap: 5 * time.Second}, parts(p, f, client, clock, zerolog.New(log)))
	got := &taken{}
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
		t.Errorf("went on from %q, want %q", from, want)
	}
}

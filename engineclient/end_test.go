package engineclient

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestEndOfStream guards against an answer that is no whole stream and that ends one, or that leaves it
// without an end or a loss until it counts as silent.
func TestEndOfStream(t *testing.T) {
	const (
		token  = "id: 0\ndata: {\"id\":\"s\",\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n"
		finish = "data: {\"id\":\"s\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
		end    = "data: [DONE]\n\n"
	)
	tests := []struct {
		name, body string
		finished   bool
		lost       bool
	}{
		{"whole", token + finish + end, true, false},
		{"empty", "", false, true},
		{"text", "Internal Server Error\n\n", false, true},
		{"head", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", false, true},
		{"failure in an event", "data: {\"error\":\"failed\"}\n\n" + end, false, true},
		{"text after a token", token + "Internal Server Error\n\n", false, true},
		{"end without the reason", end, false, true},
		{"end without the reason after a token", token + end, false, true},
		{"whole stream of another name", "data: {\"id\":\"t\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n" + end, false, true},
	}
	for _, tc := range tests {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, tc.body) }))
		c := New(Settings{})
		s := c.NewStream()
		finished := false
		err := c.Resume(s, Request{Address: server.Listener.Addr().String(), Stream: "s"}, 0)
		if err == nil {
			err = s.Read(func(t Token) bool {
				finished = finished || t.Finish != ""
				return true
			})
		}
		s.Close()
		server.Close()
		var lost *StreamError
		if got := errors.As(err, &lost); got != tc.lost || finished != tc.finished {
			t.Errorf("%s: got lost %t, finished %t (%v), want %t, %t", tc.name, got, finished, err, tc.lost, tc.finished)
		}
	}
}

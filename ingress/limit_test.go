package ingress

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/directory"
	"crocuslug/timer"
)

// TestConnectionsGiveWay guards against connections without a whole request that keep all others out, and against
// an answer to them that does not say that they never ran.
func TestConnectionsGiveWay(t *testing.T) {
	const most = 4
	tests := []struct {
		name, sent, want string // what each connection sends, and the status and Retry-After that it gets
		gives            bool
	}{
		{"silent", "", "closed", true},
		{"head", "POST /a HTTP/1.1\r\nHost: h\r\nA: ", "503 1", true},
		{"body in chunks", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", "503 1", true},
		{"body with a length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx", "503 1", true},
		{"large body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 400000\r\n\r\n" + strings.Repeat("x", 300000), "503 1", true},
		{"idle after a request", "GET /short HTTP/1.1\r\nHost: h\r\n\r\n", "200", true},
		{"being answered", "GET /long HTTP/1.1\r\nHost: h\r\n\r\n", "", false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			clock := timer.New()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go clock.Run(ctx)
			ended := make(chan struct{})
			s := New(Settings{Listen: "127.0.0.1:0", MaxConnections: most, BodyTimeout: time.Hour}, Ports{
				Handle: func(c *Call) {
					if c.Request.URL.Path == "/long" {
						<-ended
					}
					_ = c.Answer(http.StatusOK, http.Header{}, []byte("whole")) // fails for those that the test has left
				},
				Limits:   func() directory.Limits { return directory.Limits{HeaderTimeout: time.Hour, IdleTimeout: time.Hour} },
				Rejected: func(string, int, error) {},
			}, clock, zerolog.Nop())
			if err := s.Start(); err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			defer close(ended)
			answers := make(chan string, most)
			for range most {
				conn := dialServer(t, s)
				_, _ = io.WriteString(conn, tc.sent) // the answer shows whether this failed
				go func() {
					res, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil {
						answers <- "closed"
						return
					}
					answers <- strings.TrimSpace(res.Status[:3] + " " + res.Header.Get("Retry-After"))
				}()
			}
			for s.Connections().Open < most {
				time.Sleep(time.Millisecond)
			}
			const tries = 100 // twice the time after which a connection gives way
			got := ""
			for range tries {
				if got = post(s.Addr(), nil); got == "200 whole" {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if answered := got == "200 whole"; answered != tc.gives {
				t.Fatalf("request on a new connection: got %q, want it answered: %v", got, tc.gives)
			}
			if !tc.gives {
				return
			}
			if got := <-answers; got != tc.want {
				t.Errorf("connection that gave way: got %q, want %q", got, tc.want)
			}
		})
	}
}

package exchange

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"crocuslug/timer"
)

// TestClosed guards against an exchange through another instance that ends early and does not say when
// the upstream is left, and against one that says so of a connection that is kept.
func TestClosed(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\n"
	tests := []struct {
		name, answer string
		want         bool
	}{
		{"no head", "", true},
		{"part of the body", head + "bo", true},
		{"whole body", head + "body", false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			clock := timer.New()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go clock.Run(ctx)
			left := make(chan struct{})
			u := startUpstream(t, func(_ int, c *net.TCPConn) {
				br := bufio.NewReader(c)
				_, _ = readRequest(c, br)
				_, _ = fmt.Fprint(c, tc.answer)
				_, _ = br.ReadByte()
				close(left)
			})
			c := New(Settings{}, clock)
			defer c.Close()
			startRelay(ctx, t, c, clock)
			r := newRequest("1")
			r.AnswerBy = time.Now().Add(300 * time.Millisecond)
			var settled <-chan struct{}
			r.Closed = func(s <-chan struct{}) { settled = s }
			if ans, err := c.Do(ctx, u.Addr().String(), r); err == nil {
				_, _ = ans.ReadBody()
				ans.Close()
			}
			if got := settled != nil; got != tc.want {
				t.Fatalf("Closed called: got %t, want %t", got, tc.want)
			}
			if settled == nil {
				return
			}
			<-settled
			select {
			case <-left:
			case <-time.After(time.Second):
				t.Error("settled: got the upstream's connection open, want it closed")
			}
		})
	}
}

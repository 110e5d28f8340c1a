package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"crocuslug/timer"
)

// TestExtend guards against answers that are lost when a read deadline is extended in the middle
// of a head or of a chunk.
func TestExtend(t *testing.T) {
	const step = 30 * time.Millisecond
	parts := []string{"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Enc", "oding: chunked\r\n\r\n5\r\nfi", "rst\r\n", "6\r\nsecond\r\n0\r\n\r\n"}
	u := startUpstream(t, func(_ int, c *net.TCPConn) {
		defer c.Close()
		if _, err := readRequest(c, bufio.NewReader(c)); err != nil {
			return
		}
		for _, part := range parts {
			<-time.After(2 * step)
			_, _ = io.WriteString(c, part)
		}
	})
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go clock.Run(ctx)
	client := New(Settings{}, clock)
	defer client.Close()
	extensions := 0
	r := newRequest("a")
	r.AnswerBy = clock.Now().Add(step)
	r.Extend = func() time.Time { extensions++; return clock.Now().Add(step) }
	ans, err := client.Do(ctx, u.Addr().String(), r)
	if err != nil {
		t.Fatal(err)
	}
	defer ans.Close()
	ans.SetReadDeadline(clock.Now().Add(step))
	if got, err := ans.ReadBody(); err != nil || string(got) != "firstsecond" {
		t.Errorf("body: got %q, %v, want %q", got, err, "firstsecond")
	}
	if extensions < 2 {
		t.Errorf("extensions: got %d, want 2 or more", extensions)
	}

	r = newRequest("a")
	r.AnswerBy = clock.Now().Add(step)
	r.Extend = func() time.Time { return time.Time{} }
	if _, err := client.Do(ctx, u.Addr().String(), r); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("deadline that is not extended: got error %v, want %v", err, os.ErrDeadlineExceeded)
	}
}

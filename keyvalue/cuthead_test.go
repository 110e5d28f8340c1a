package keyvalue

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"crocuslug/store"
	"crocuslug/timer"
)

// TestCutHead guards against an answer of the service whose head is cut being taken for an entry, or for a change
// that was made or refused.
func TestCutHead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const head = "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n"
	cuts := make(chan string)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				if cut, ok := <-cuts; ok {
					_, _ = io.WriteString(conn, cut)
				}
			}
			_ = conn.Close()
		}
	}()
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go clock.Run(ctx)
	for n := range len(head) + 1 {
		c := New(Settings{Address: l.Addr().String(), Timeout: 10 * time.Second, Burst: 100}, clock)
		done := make(chan error, 1)
		go func() {
			_, err := c.Put(ctx, "k", nil, 0, 0)
			done <- err
		}()
		cuts <- head[:n]
		if err := <-done; !store.Unknown.Has(err) {
			t.Errorf("%q: got %v, want an unknown outcome", head[:n], err)
		}
		c.Close()
	}
	close(cuts)
}

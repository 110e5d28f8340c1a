package dispatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"crocuslug/directory"
	"crocuslug/work"
)

// TestResetDuringUpload guards against calls and streams that are passed on as complete after a part of their
// answer, if the answer has no length and its connection is reset while the request is being written.
func TestResetDuringUpload(t *testing.T) {
	const (
		runs    = 40       // the fault is a race
		upload  = 16 << 20 // bytes, more than socket buffers hold
		resetAt = 1 << 20  // bytes of the request that the upstream reads
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, undelimitedHead+"data: a\n\n")
					_, _ = io.CopyN(io.Discard, r.Body, resetAt)
				}
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	body := make([]byte, upload)
	for _, kind := range []directory.Kind{directory.Unsafe, directory.Streaming} {
		t.Run(kind.String(), func(t *testing.T) {
			whole := 0
			for range runs {
				d, clock := startDispatcher(t, l.Addr().String())
				w := &work.Work{
					ID: "r1", Route: &directory.Route{Kind: kind, MaxAttempts: 1, TargetGap: 2 * time.Second}, Service: &directory.Service{Name: "s"},
					Deadline: clock.Now().Add(20 * time.Second), Method: http.MethodPost, Target: "/x", Header: http.Header{}, Body: body,
				}
				if kind == directory.Unsafe {
					if reply, _ := d.Call(context.Background(), w); reply != nil {
						whole++
					}
					continue
				}
				var got receivedStream
				if reply, _, refusal := d.Stream(context.Background(), w, got.sink()); reply != nil || refusal == nil || got.ended {
					whole++
				}
			}
			if whole > 0 {
				t.Errorf("parts passed on as complete: got %d of %d, want none", whole, runs)
			}
		})
	}
}

package serviceproxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// startRaw starts a service that answers each request, once its head was read, with raw bytes. It ends the
// connection in order after the request, or, if it is to reset, as soon as resetAfter bytes of its body were read.
func startRaw(t *testing.T, answer string, resetAfter int64) (address string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				_ = c.Close()
				continue
			}
			requests.Add(1)
			_, _ = io.WriteString(c, answer)
			if resetAfter > 0 {
				_, _ = io.CopyN(io.Discard, r.Body, resetAfter)
				_ = c.(*net.TCPConn).SetLinger(0)
			} else {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String(), requests
}

// TestResetDuringUpload guards against a part of an answer without a length being returned as the whole, if
// the service resets the connection while the request is being written.
func TestResetDuringUpload(t *testing.T) {
	const (
		runs   = 40
		upload = 16 << 20 // bytes, more than socket buffers hold
	)
	address, _ := startRaw(t, rawHead+"\r\npart", 1<<20)
	body := make([]byte, upload)
	for range runs {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		var req fasthttp.Request
		var resp fasthttp.Response
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("http://" + address + "/")
		req.SetBodyRaw(body)
		const limit = 10 * time.Second
		err = roundTrip(conn, &req, &resp, time.Now().Add(limit), defaultMaxBody)
		_ = conn.Close()
		if err == nil {
			t.Fatalf("got %q as the whole answer, want an error", resp.Body())
		}
	}
}

// TestInvalidStatus guards against statuses that HTTP does not define being taken for answers, and against a
// request being sent again after one although it may have run.
func TestInvalidStatus(t *testing.T) {
	requests := []struct {
		method, path, key, want string
		sends                   int64
	}{
		{"GET", "/records/x", "-", "UpstreamFailed/Unknown 0", 2},
		{"PUT", "/notes", "-", "UpstreamFailed/Unknown 0", 1},
		{"POST", "/bookings", "k", "ActionUnknown/Unknown 0", 1},
	}
	for _, status := range []string{"000", "042", "099", "600", "999"} {
		for _, r := range requests {
			b := newFixture(t)
			var sends *atomic.Int64
			b.live, sends = startRaw(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nhi", 0)
			if got := b.send(r.method, r.path, r.key, "a", "answer"); got != r.want || sends.Load() != r.sends {
				t.Errorf("status %s, %s %s: got %s, sent %d times, want %s, sent %d times", status, r.method, r.path, got, sends.Load(), r.want, r.sends)
			}
		}
	}
}

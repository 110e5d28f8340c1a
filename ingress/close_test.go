package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// dialServer opens a connection to s that is closed at the end of the test.
func dialServer(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// TestPipelinedRequestAnsweredAtStop guards against requests that were read during the answer to the
// one before, and dropped because a planned stop began meanwhile.
func TestPipelinedRequestAnsweredAtStop(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	s := startServer(t, func(c *Call) {
		if c.Request.RequestURI != "/stream" {
			_ = c.Answer(http.StatusOK, http.Header{}, []byte("second"))
			return
		}
		_ = c.Begin(http.StatusOK, http.Header{})
		_ = c.Piece([]byte("first"))
		close(begun)
		<-release
		_ = c.End()
	})
	c := dialServer(t, s)
	_, _ = io.WriteString(c, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	<-begun
	s.Leave()
	s.Close()
	close(release)
	reader := bufio.NewReader(c)
	for _, want := range []string{"first", "second"} {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("%s answer: got %v, want an answer", want, err)
		}
		body, err := io.ReadAll(res.Body)
		if err != nil || string(body) != want {
			t.Errorf("%s answer: got %q, %v, want %q", want, body, err, want)
		}
		if res.Close != (want == "second") {
			t.Errorf("%s answer: got Connection: close %v, want %v", want, res.Close, !res.Close)
		}
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("after the last answer: got %v, want EOF", err)
	}
	if err := s.Wait(context.Background()); err != nil {
		t.Error(err)
	}
}

// Requests of TestRequestAtIdleLimit.
const (
	idleCallers  = 16
	idleRequests = 6                    // of each caller, each at about the end of the idle limit
	idleSpread   = 4 * time.Millisecond // around that end
	idleSeed     = 3
)

// TestRequestAtIdleLimit guards against requests that arrive as the idle limit of their connection
// ends, reach the handler and get no answer.
func TestRequestAtIdleLimit(t *testing.T) {
	var handled sync.Map // targets of the requests that the handler received
	s := startServer(t, func(c *Call) {
		handled.Store(c.Request.RequestURI, true)
		_ = c.Answer(http.StatusOK, http.Header{}, nil)
	})
	var answered, closed atomic.Int64
	call := func(n int) {
		random := rand.New(rand.NewPCG(idleSeed, uint64(n)))
		for i := range idleRequests {
			c, err := net.Dial("tcp", s.Addr())
			if err != nil {
				t.Error(err)
				return
			}
			reader := bufio.NewReader(c)
			send := func(target string) error {
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				if _, err := io.WriteString(c, "GET "+target+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					return err
				}
				_, err := http.ReadResponse(reader, nil)
				return err
			}
			if err := send(fmt.Sprintf("/first-%d-%d", n, i)); err != nil {
				t.Errorf("first request: got %v, want an answer", err)
			}
			time.Sleep(limits.IdleTimeout + time.Duration(random.Int64N(int64(2*idleSpread))) - idleSpread)
			target := fmt.Sprintf("/late-%d-%d", n, i)
			err = send(target)
			if _, ok := handled.Load(target); ok && err != nil {
				t.Errorf("%s: reached the handler and got %v, want an answer", target, err)
			}
			if err == nil {
				answered.Add(1)
			} else {
				closed.Add(1)
			}
			_ = c.Close()
		}
	}
	var callers sync.WaitGroup
	for n := range idleCallers {
		callers.Go(func() { call(n) })
	}
	callers.Wait()
	t.Logf("%d requests answered, %d after the connection had been closed", answered.Load(), closed.Load())
}

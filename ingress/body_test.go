package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/bodybudget"
	"crocuslug/directory"
	"crocuslug/timer"
)

// bodyLimit is the limit of bodies in the tests of the budget.
const bodyLimit = 1 << 20

// startBounded runs a server whose bodies and answers share a budget of bodyLimit and an eighth.
func startBounded(t testing.TB, handle func(c *Call)) (*Server, *bodybudget.Budget) {
	t.Helper()
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go clock.Run(ctx)
	b := bodybudget.New(bodybudget.Settings{Limit: bodyLimit, Patience: 50 * time.Millisecond})
	s := New(Settings{Listen: "127.0.0.1:0", Bodies: b}, Ports{
		Handle:   handle,
		Limits:   func() directory.Limits { return directory.Limits{HeaderBytes: 1000, BodyBytes: bodyLimit} },
		Rejected: func(string, int, error) {},
	}, clock, zerolog.Nop())
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, b
}

// post sends a request with a body and returns the status and body of its answer.
func post(address string, body io.Reader) string {
	res, err := http.Post("http://"+address+"/", "", body)
	if err != nil {
		return err.Error()
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", res.StatusCode, b)
}

// TestStalledBodyGivesWay guards against bodies without an end that keep others from being read, and against an
// answer to them that does not say that they never ran.
func TestStalledBodyGivesWay(t *testing.T) {
	var handled atomic.Int64
	s, b := startBounded(t, func(c *Call) {
		handled.Add(1)
		_ = c.Answer(http.StatusOK, http.Header{}, []byte("whole"))
	})
	const size = 900 << 10
	stalled := dialServer(t, s)
	if _, err := fmt.Fprintf(stalled, "POST /stalled HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", size, strings.Repeat("x", size-1)); err != nil {
		t.Fatal(err)
	}
	for b.Counts().Bytes < size {
		time.Sleep(time.Millisecond)
	}
	if got, want := post(s.Addr(), bytes.NewReader(make([]byte, size))), "200 whole"; got != want {
		t.Errorf("whole body: got %s, want %s", got, want)
	}
	res, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	if err != nil {
		t.Fatalf("stalled body: got %v, want an answer", err)
	}
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || !res.Close {
		t.Errorf("stalled body: got %d, %v, want 503 with Retry-After and Connection: close", res.StatusCode, res.Header)
	}
	if got := handled.Load(); got != 1 {
		t.Errorf("got %d requests handled, want 1", got)
	}
}

// TestSlowReaderGivesWay guards against answers that callers do not read and that keep others from theirs.
func TestSlowReaderGivesWay(t *testing.T) {
	const size = 20 << 20 // more than the buffers of the kernel hold
	ended := make(chan error, 2)
	s, b := startBounded(t, func(c *Call) {
		const taken = 900 << 10 // the kernel may hold the rest
		if err := c.Take(taken); err != nil {
			t.Errorf("%s: got %v, want memory", c.Request.RequestURI, err)
		}
		n := taken
		if c.Request.RequestURI == "/slow" {
			n = size
		}
		ended <- c.Answer(http.StatusOK, http.Header{}, make([]byte, n))
	})
	slow := dialServer(t, s)
	if err := slow.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	for b.Counts().Bytes == 0 {
		time.Sleep(time.Millisecond)
	}
	res, err := http.Get("http://" + s.Addr() + "/")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if n, err := io.Copy(io.Discard, res.Body); err != nil || n != 900<<10 {
		t.Errorf("got %d bytes, %v, want all", n, err)
	}
	if got := []error{<-ended, <-ended}; !slices.Contains(got, errGaveWay) || !slices.Contains(got, nil) {
		t.Errorf("got %v, want one answer that gave way", got)
	}
	if _, err := io.Copy(io.Discard, slow); err == nil {
		t.Error("slow reader: got the end of its answer, want a reset")
	}
}

// TestBodiesAreWhole sends bodies of many sizes in chunks of many sizes and guards against bytes that are lost,
// repeated or left for the next request where parts end, and against memory that is not returned.
func TestBodiesAreWhole(t *testing.T) {
	s, b := startBounded(t, func(c *Call) {
		body := slices.Concat(append([][]byte{c.Body}, c.More...)...)
		_ = c.Answer(http.StatusOK, http.Header{}, body[:len(body)/2], body[len(body)/2:])
	})
	rng := rand.New(rand.NewPCG(1, 1))
	c := dialServer(t, s)
	br := bufio.NewReader(c)
	for _, size := range []int{1, 100, firstPart - 1, firstPart, firstPart + 1, trustedPart, trustedPart + 1, 100 << 10, bodyLimit - 1, bodyLimit} {
		for _, chunk := range []int{0, 1, 1 + rng.IntN(100), 1 + rng.IntN(100<<10)} {
			if chunk == 1 && size > 100<<10 {
				continue // slow
			}
			body := make([]byte, size)
			for i := range body {
				body[i] = byte(rng.Uint32())
			}
			go sendBody(c, body, chunk)
			res, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(res.Body)
			if err != nil || res.StatusCode != http.StatusOK || !bytes.Equal(got, body) {
				t.Fatalf("%d bytes in chunks of %d: got %d, %d bytes, %v, want the same", size, chunk, res.StatusCode, len(got), err)
			}
		}
	}
	_ = c.Close()
	for deadline := time.Now().Add(10 * time.Second); b.Counts().Bytes > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got %d bytes in use, want 0", b.Counts().Bytes)
		}
	}
}

// sendBody sends a request with a body in chunks, or with its length if chunk is 0.
func sendBody(c net.Conn, body []byte, chunk int) {
	w := bufio.NewWriter(c)
	defer w.Flush()
	if chunk == 0 {
		_, _ = fmt.Fprintf(w, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return
	}
	_, _ = io.WriteString(w, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	for part := range slices.Chunk(body, chunk) {
		_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(part), part)
	}
	_, _ = io.WriteString(w, "0\r\n\r\n")
}

// TestPartsHoldLittleMore guards against parts that hold much more than the body, and against a body of the largest
// size that takes more than it may.
func TestPartsHoldLittleMore(t *testing.T) {
	const limit = 4 << 20
	for _, length := range []int64{-1, limit} {
		var size int64
		for size < limit {
			n := nextPart(size, length, limit)
			if most := max(size/growth, trustedPart); n > most || n <= 0 {
				t.Fatalf("after %d bytes: got a part of %d, want at most %d", size, n, most)
			}
			size += n
		}
		if size > limit+1 {
			t.Errorf("length %d: got parts of %d bytes, want at most %d", length, size, limit+1)
		}
	}
}

// TestHeadTakesMemory guards against heads of many fields that take memory uncounted, and against a head within
// the limits that is refused though nothing else is in progress.
func TestHeadTakesMemory(t *testing.T) {
	handled := make(chan int64, 1)
	var b *bodybudget.Budget
	var s *Server
	s, b = startBounded(t, func(c *Call) {
		handled <- b.Counts().Bytes
		_ = c.Answer(http.StatusOK, http.Header{}, nil)
	})
	c := dialServer(t, s)
	const fields = 150
	if _, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n%s\r\n", strings.Repeat("A:1\r\n", fields)); err != nil {
		t.Fatal(err)
	}
	if got, want := <-handled, int64(fields*fieldCost-freeHead); got < want {
		t.Errorf("got %d bytes, want at least %d", got, want)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("got %v, %v, want 200", res, err)
	}
}

package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"crocuslug/timer"
)

// flood is an answer that begins with some bytes and goes on with others until its reader closes
// the connection.
type flood struct {
	name  string
	begin string
	unit  string // repeated without end
	want  string
}

// floodHead is the head of an answer to request 1, without the fields for framing.
const floodHead = "HTTP/1.1 200 OK\r\nId: 1\r\n"

var headFloods = []flood{
	{"line", "HTTP/1.1 200 ", "x", "broken"},
	{"no line of HTTP", "", "x", "broken"},
	{"lines that are no HTTP", "", "x\r\n", "broken"},
	{"long lines that are no HTTP", "", strings.Repeat("x", 60000) + "\r\n", "broken"},
	{"long lines that are no fields", floodHead, strings.Repeat("x", 60000) + "\r\n", "broken"},
	{"field", floodHead + "A: ", "x", "broken"},
	{"fields", floodHead, "A: b\r\n", "broken"},
	{"folded field", floodHead + "A: b\r\n", " x\r\n", "broken"},
	{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", "broken"},
	{"answers to other requests", "", "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 3\r\n\r\none", "broken"},
	{"answer to another request", "HTTP/1.1 200 OK\r\nId: 9\r\n\r\n", "x", "broken"},
}

var bodyFloods = []flood{
	{"body without length", floodHead + "\r\n", "x", "broken"},
	{"body with a length", floodHead + "Content-Length: 99999999999\r\n\r\n", "x", "broken"},
	{"chunk", floodHead + "Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFF\r\n", "x", "broken"},
	{"chunks", floodHead + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n", "broken"},
	{"chunk size", floodHead + "Transfer-Encoding: chunked\r\n\r\n", "0", "broken"},
	{"chunk extension", floodHead + "Transfer-Encoding: chunked\r\n\r\n3;", "x", "broken"},
	{"chunk extensions", floodHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1000) + "\r\na\r\n", "broken"},
	{"trailer", floodHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", "x", "broken"},
	{"trailers", floodHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", "broken"},
	{"bytes after the answer", floodHead + "Content-Length: 3\r\n\r\none", "x", `200 "one"`},
	{"answers after the answer", floodHead + "Content-Length: 3\r\n\r\none", floodHead + "Content-Length: 3\r\n\r\ntwo", `200 "one"`},
}

// start serves the flood to each request. Each connection reports on the channel when its reader has
// closed it.
func (f flood) start(t *testing.T) (address string, closed chan struct{}) {
	closed = make(chan struct{}, 100)
	u := startUpstream(t, func(_ int, c *net.TCPConn) {
		defer c.Close()
		if _, err := readRequest(c, bufio.NewReader(c)); err != nil {
			return
		}
		const block = 64 << 10 // bytes
		units := strings.Repeat(f.unit, block/len(f.unit))
		// One write, so that bytes after a complete answer arrive with it.
		_, err := c.Write([]byte(f.begin + units))
		for err == nil {
			_, err = c.Write([]byte(units))
		}
		closed <- struct{}{}
	})
	return u.Addr().String(), closed
}

// closeLimit is the time within which connections open and close. The default limit for opening one
// passes on a busy machine while many upstreams send at once.
const closeLimit = 30 * time.Second

// awaitClosed waits until one connection has been closed by its reader.
func awaitClosed(t *testing.T, closed chan struct{}) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(closeLimit):
		t.Fatalf("connection not closed within %v", closeLimit)
	}
}

// TestEndless guards against exchanges that go on as long as an upstream sends bytes.
func TestEndless(t *testing.T) {
	for _, f := range append(append([]flood(nil), headFloods...), bodyFloods...) {
		t.Run(f.name, func(t *testing.T) {
			address, closed := f.start(t)
			c := New(Settings{MaxBody: 1 << 20, DialTimeout: closeLimit}, timer.New())
			const exchanges = 2
			for range exchanges {
				r := newRequest("1") // without a time limit
				if got := result(context.Background(), c, address, r); got != f.want {
					t.Errorf("got %s, want %s", got, f.want)
				}
			}
			if got := c.Dials(); got != exchanges {
				t.Errorf("connections: got %d, want %d", got, exchanges)
			}
			c.Close()
			for range exchanges {
				awaitClosed(t, closed)
			}
		})
	}
}

// Memory in bytes that bytes without end may cost: half of that of a small instance. As in the
// program, the garbage collector keeps to a limit, which is lower.
const (
	maxEndlessHeap = 142 << 20
	collectorLimit = 100 << 20
)

// TestEndlessTogether guards against instances that run out of memory when several upstreams send
// bytes without end at once.
func TestEndlessTogether(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(collectorLimit))
	for _, f := range append(append([]flood(nil), headFloods...), bodyFloods...) {
		t.Run(f.name, func(t *testing.T) {
			address, closed := f.start(t)
			c := New(Settings{DialTimeout: closeLimit}, timer.New())
			runtime.GC()
			stop := make(chan struct{})
			peak := peakHeap(stop)
			var wg sync.WaitGroup
			const together = 24
			for range together {
				wg.Add(1)
				go func() {
					defer wg.Done()
					if got := result(context.Background(), c, address, newRequest("1")); got != f.want {
						t.Errorf("got %s, want %s", got, f.want)
					}
				}()
			}
			wg.Wait()
			close(stop)
			c.Close()
			for range together {
				awaitClosed(t, closed)
			}
			got := <-peak
			t.Logf("heap: %d MiB", got>>20)
			if got > maxEndlessHeap {
				t.Errorf("heap: got %d MiB, want at most %d MiB", got>>20, maxEndlessHeap>>20)
			}
		})
	}
}

// peakHeap returns a channel with the greatest size of the heap in bytes until stop is closed.
func peakHeap(stop chan struct{}) chan uint64 {
	peak := make(chan uint64, 1)
	go func() {
		sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
		var most uint64
		for {
			metrics.Read(sample)
			most = max(most, sample[0].Value.Uint64())
			select {
			case <-stop:
				peak <- most
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	return peak
}

// TestClaimedLength guards against memory that is taken for a length before the body has arrived.
func TestClaimedLength(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(collectorLimit))
	const together = 24
	u := startUpstream(t, func(_ int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		if _, err := readRequest(c, br); err != nil {
			return
		}
		_, _ = c.Write([]byte(floodHead + "Content-Length: 60000000\r\n\r\nx"))
		_, _ = br.ReadByte() // until the reader closes the connection
	})
	c := New(Settings{DialTimeout: closeLimit}, timer.New())
	ctx, cancel := context.WithCancel(context.Background())
	stop := make(chan struct{})
	peak := peakHeap(stop)
	var wg sync.WaitGroup
	for range together {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ans, err := c.Do(ctx, u.Addr().String(), newRequest("1"))
			if err != nil {
				t.Error(err)
				return
			}
			defer ans.Close()
			ans.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			if _, err := ans.ReadBody(); !Broken.Has(err) {
				t.Errorf("got %v, want an error of class %v", err, Broken)
			}
		}()
	}
	wg.Wait()
	cancel()
	close(stop)
	if got := <-peak; got > maxEndlessHeap {
		t.Errorf("heap: got %d MiB, want at most %d MiB", got>>20, maxEndlessHeap>>20)
	}
}

// TestErrorLength guards against log lines as long as the head that an upstream sent.
func TestErrorLength(t *testing.T) {
	for _, f := range append(append([]flood(nil), headFloods...), bodyFloods...) {
		address, _ := f.start(t)
		c := New(Settings{MaxBody: 1 << 20, DialTimeout: closeLimit}, timer.New())
		ans, err := c.Do(context.Background(), address, newRequest("1"))
		if err == nil {
			_, err = ans.ReadBody()
			ans.Close()
		}
		const most = 400 // bytes
		if err != nil && len(err.Error()) > most {
			t.Errorf("%s: got an error of %d bytes, %.80s, want at most %d", f.name, len(err.Error()), err.Error(), most)
		}
		c.Close()
	}
}

// TestMaxBody guards against small calls whose answers may be as long as those to callers.
func TestMaxBody(t *testing.T) {
	tests := []struct {
		framing string
		max     int64
		want    string
	}{
		{"", 0, `200 "four"`},
		{"", 4, `200 "four"`},
		{"", 3, "broken"},
		{"Content-Length: 4\r\n", 4, `200 "four"`},
		{"Content-Length: 4\r\n", 3, "broken"},
	}
	for _, tc := range tests {
		u := startUpstream(t, func(_ int, c *net.TCPConn) {
			defer c.Close()
			if _, err := readRequest(c, bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte(floodHead + tc.framing + "\r\nfour"))
			}
		})
		r := newRequest("1")
		r.MaxBody = tc.max
		if got := result(context.Background(), New(Settings{}, timer.New()), u.Addr().String(), r); got != tc.want {
			t.Errorf("%q, at most %d: got %s, want %s", tc.framing, tc.max, got, tc.want)
		}
	}
}

// TestHead guards against answers to HEAD that fail for the length of a body that they do not have.
func TestHead(t *testing.T) {
	u := startUpstream(t, func(_ int, c *net.TCPConn) {
		defer c.Close()
		if _, err := readRequest(c, bufio.NewReader(c)); err == nil {
			_, _ = c.Write([]byte(floodHead + "Content-Length: 99999999999\r\n\r\n"))
		}
	})
	r := newRequest("1")
	r.Method, r.Body = http.MethodHead, nil
	if got, want := result(context.Background(), New(Settings{}, timer.New()), u.Addr().String(), r), `200 ""`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

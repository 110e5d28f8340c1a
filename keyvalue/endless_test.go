package keyvalue

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"crocuslug/timer"
)

// maxEndlessHeap is the memory in bytes by which calls that are answered by bytes without end may grow the heap.
const maxEndlessHeap = 32 << 20

// TestEndlessAnswer guards against an instance that runs out of memory because what answers at the address of the
// service sends bytes without end.
func TestEndlessAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := []struct{ name, begin, unit string }{
		{"line", "HTTP/1.1 200 ", "x"},
		{"no line of HTTP", "", "x\r\n"},
		{"field", head + "A: ", "x"},
		{"fields", head, "A: b\r\n"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"body without length", head + "\r\n", "x"},
		{"body with a length", head + "Content-Length: 99999999999\r\n\r\n", "x"},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
		{"chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n3;", "x"},
		{"trailers", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go flood(c, tc.begin, tc.unit)
				}
			}()
			clock := timer.New()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go clock.Run(ctx)
			c := New(Settings{Address: l.Addr().String(), Timeout: time.Second, MaxBytes: 1 << 20, Burst: 100}, clock)
			defer c.Close()
			before := heap()
			var calls sync.WaitGroup
			for range 4 {
				calls.Go(func() {
					if _, err := c.Get(ctx, "k"); err == nil {
						t.Error("answer without end: got an entry, want an error")
					}
				})
			}
			calls.Wait()
			if got := heap(); got > before+maxEndlessHeap {
				t.Errorf("heap after the calls: got %d MiB more, want at most %d", (got-before)>>20, maxEndlessHeap>>20)
			}
		})
	}
}

// flood sends begin and then unit without end, until the reader closes the connection.
func flood(c net.Conn, begin, unit string) {
	defer c.Close()
	const block = 64 << 10 // bytes
	units := strings.Repeat(unit, block/len(unit))
	_, err := io.WriteString(c, begin)
	for err == nil {
		_, err = io.WriteString(c, units)
	}
}

// heap returns the size in bytes of all that was taken from the system for the heap.
func heap() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapSys
}

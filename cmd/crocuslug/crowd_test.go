package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"crocuslug/settings"
)

// Crowd and bound of TestCrowdAtServe. The limit of bodies is the default.
const (
	crowdCallers    = 60
	crowdBody       = 4 << 20 // bytes of a body at its limit
	crowdOverLimit  = 4 * crowdBody
	crowdTinyBody   = 1 << 20
	crowdBodyMemory = 32 << 20  // of the settings
	crowdMemory     = 128 << 20 // greatest resident memory of the instance
	crowdWait       = 30 * time.Second
)

// TestCrowdAtServe guards against an instance that runs out of memory because callers send bodies without an end, in
// large or very small chunks or announced, or far over the limit.
func TestCrowdAtServe(t *testing.T) {
	chunks := func(size, chunk int) func(c net.Conn) {
		one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
		const least = 32 << 10 // bytes of one write
		text := strings.Repeat(one, max(1, least/chunk))
		return func(c net.Conn) {
			_, err := io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
			for sent := 0; err == nil && sent < size; sent += len(text) / len(one) * chunk {
				_, err = io.WriteString(c, text)
			}
		}
	}
	announced := func(c net.Conn) {
		_, err := fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", crowdBody)
		if err == nil {
			_, _ = c.Write(make([]byte, crowdBody-1)) // the instance may close the connection
		}
	}
	const large = 64 << 10 // bytes of a chunk
	tests := []struct {
		name string
		send func(c net.Conn)
	}{
		{"large chunks", chunks(crowdBody-large, large)},
		{"chunks of one byte", chunks(crowdTinyBody, 1)},
		{"over the limit", chunks(crowdOverLimit, large)},
		{"announced", announced},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := startSystem(t, settings.Limits{BodyMemory: crowdBodyMemory})
			s.configure()
			p := s.daemons[0]
			var callers sync.WaitGroup
			for range crowdCallers {
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = c.Close() })
				_ = c.SetDeadline(time.Now().Add(crowdWait))
				callers.Go(func() { tc.send(c) })
			}
			callers.Wait()
			s.daemons = s.daemons[:1]
			s.runRound("ordinary", processTokens, nil, nil)
			select {
			case <-p.ended:
				t.Error("instance: got its end, want it alive")
			default:
				if got := peakMemory(t, p.cmd.Process.Pid); got > crowdMemory {
					t.Errorf("greatest resident memory: got %d MiB, want at most %d", got>>20, crowdMemory>>20)
				} else {
					t.Logf("greatest resident memory: %d MiB", got>>20)
				}
			}
		})
	}
}

// peakMemory returns the greatest resident memory that a process has had, in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "VmHWM:" {
			kib, err := strconv.ParseInt(f[1], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kib << 10
		}
	}
	t.Fatalf("got no VmHWM in %s", b)
	return 0
}

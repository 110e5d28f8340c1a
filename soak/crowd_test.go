package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"crocuslug/nativewire"
)

// TestCrowdOfLargeChunks guards against memory that grows with the number of bodies that stop one byte
// short of their end.
func TestCrowdOfLargeChunks(t *testing.T) {
	s := startCrowdSite(t, crowdHeader)
	s.crowd(func(_ int, c *net.TCPConn) {
		const chunk = 64 << 10
		sendChunks(c, crowdBody-chunk, chunk)
		_, _ = fmt.Fprintf(c, "%x\r\n%s", chunk, strings.Repeat("x", chunk-1)) // the instance may have closed the connection
	})
	s.check()
}

// TestCrowdOfTinyChunks guards against chunks that cost more than their bytes.
func TestCrowdOfTinyChunks(t *testing.T) {
	s := startCrowdSite(t, crowdHeader)
	s.crowd(func(_ int, c *net.TCPConn) { sendChunks(c, crowdTinyBody, 1) })
	s.check()
}

// TestCrowdOverLimit guards against memory for bodies that are refused as too large, announced or not.
func TestCrowdOverLimit(t *testing.T) {
	s := startCrowdSite(t, crowdHeader)
	s.crowd(func(i int, c *net.TCPConn) {
		const chunk = 64 << 10
		if i%2 == 0 {
			sendChunks(c, crowdLongBody, chunk)
			return
		}
		_, err := fmt.Fprintf(c, "POST /safe/long HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", host, crowdLongBody)
		for sent := 0; err == nil && sent < crowdLongBody; sent += chunk {
			_, err = c.Write(make([]byte, chunk))
		}
	})
	s.check()
}

// TestCrowdThatDoesNotRead guards against memory that grows with the number of answers that callers do not
// read.
func TestCrowdThatDoesNotRead(t *testing.T) {
	s := startCrowdSite(t, crowdHeader)
	s.crowd(func(i int, c *net.TCPConn) {
		const buffer = 4 << 10
		_ = c.SetReadBuffer(buffer) // fails only on a closed connection
		// The check fails if the instance does not take the requests.
		_, _ = fmt.Fprintf(c, "GET /safe/large HTTP/1.1\r\nHost: %s\r\n%s: large-%d\r\n\r\n", host, nativewire.RequestField, i)
	})
	// Some requests may be refused and never reach the upstream.
	for deadline := s.cluster.clock.Now().Add(crowdWait / 3); s.answered.Load() < crowdCallers && s.cluster.clock.Now().Before(deadline); {
		s.cluster.clock.sleep(shortDelay)
	}
	s.check()
}

// TestCrowdOfHeads guards against memory that grows with the number of fields in heads that do not end. A field
// of a few bytes takes many times as much once it is parsed.
func TestCrowdOfHeads(t *testing.T) {
	s := startCrowdSite(t, crowdLongHeader)
	s.crowd(func(_ int, c *net.TCPConn) {
		var b strings.Builder
		b.WriteString("GET /safe/head HTTP/1.1\r\nHost: " + host + "\r\n")
		for i := 0; b.Len() < crowdLongHeader; i++ {
			fmt.Fprintf(&b, "%x:\n", i)
		}
		_, _ = io.WriteString(c, b.String()) // the instance may have closed the connection
	})
	s.check()
}

// TestCrowdOfConnections guards against unfinished bodies that keep ordinary callers out for as long as they may
// last, although there is memory: they take all connections that the instance allows.
func TestCrowdOfConnections(t *testing.T) {
	s := startCrowdSite(t, crowdHeader)
	var open atomic.Int64
	for range crowdConnections {
		c := s.dial(s.instance)
		open.Add(1)
		go func() {
			defer open.Add(-1)
			sendChunks(c, 1, 1)
			_, _ = io.Copy(io.Discard, c) // until the instance closes the connection
		}()
	}
	s.await("the instance closes what exceeds its limit", func() bool { return open.Load() <= crowdPlaces })
	s.await("an ordinary request is answered", func() bool { return s.request() == nil })
	if got, want := open.Load(), int64(crowdConnections/2); got < want {
		t.Errorf("connections of the crowd when an ordinary request was answered: got %d, want at least %d", got, want)
	}
	s.check()
}

// TestCrowdOfParts guards against memory that grows with the parts of all prompts, decoded and told to other
// instances several times a second.
func TestCrowdOfParts(t *testing.T) {
	s := startCrowdSite(t, crowdLongHeader)
	for i := 1; i < crowdInstances; i++ {
		s.instance = s.startInstance(fmt.Sprintf("edge-%d", i))
		s.await("the instance serves", func() bool { return s.request() == nil })
	}
	var parts strings.Builder
	for i := range crowdParts {
		fmt.Fprintf(&parts, ",%x:1", i)
	}
	var streams atomic.Int64 // that have begun
	for i := range crowdCallers {
		in := s.cluster.instances[i%crowdInstances]
		c := s.dial(in)
		_, _ = fmt.Fprintf(c, "GET /stream/x HTTP/1.1\r\nHost: %s\r\n%s: parts-%d\r\n%s: %d:1%s\r\n\r\n",
			host, nativewire.RequestField, i, nativewire.PartsField, i, parts.String()) // the check shows what was not taken
		go func() {
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				return
			}
			if res.StatusCode == http.StatusOK {
				streams.Add(1)
			}
			_, _ = io.Copy(io.Discard, res.Body) // until the end of the test
		}()
	}
	s.await("streams run", func() bool { return streams.Load() >= crowdCallers/2 })
	const digests = 12 // told meanwhile
	for range digests {
		s.cluster.clock.sleep(250 * time.Millisecond)
	}
	for _, in := range s.cluster.instances {
		s.instance = in
		s.check()
	}
}

package daemon

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/bodybudget"
	"crocuslug/timer"
)

// Memory of the requests that are read and answered.
const (
	defaultBodyMemory = 256 << 20 // bytes
	bodyGrowth        = 4         // bytes in memory for each byte that was read: a doubled buffer, and the former ones until they are collected
	firstBodyStep     = 4 << 10   // bytes that are taken first
	bodyStepShare     = 4         // later steps have this part, as a divisor, of what was taken before
)

// errGaveWay is returned when a request gave way to others because the memory for requests is used up.
var errGaveWay = errors.New("the memory for requests is used up, and this one made no progress for the longest time")

// requestMemory counts the memory of the request in progress on one connection. Its methods are called from the
// goroutine that serves the connection.
type requestMemory struct {
	budget  *bodybudget.Budget
	timer   *timer.Service
	largest int64 // memory in bytes of a request that is served if nothing else is in progress
	stop    func()

	claim       *bodybudget.Claim // nil before the first byte of a request
	read, taken int64             // bytes of the request
	head        []byte            // what was read of the head
	hasHead     bool              // the whole head was read
	length      int64             // of the body, as the head announces it; 0 if it does not
	held        bool              // the request was read, and what follows is not counted
	refused     bodybudget.State  // Refused or TooLarge; Granted if it is neither
	gaveWay     atomic.Bool       // stop was called
}

// begin records that the first byte of a request was read.
func (m *requestMemory) begin() {
	m.claim = &bodybudget.Claim{}
	m.claim.Attach(m.budget, func(bool) {
		m.gaveWay.Store(true)
		m.stop()
	})
	m.claim.Open(m.timer.Now(), m.largest)
}

// add counts bytes that were read, and waits for their memory if need be. The memory of a body with a length is taken
// whole, as its buffer is allocated once the head was read. It returns false if the request has to give way.
func (m *requestMemory) add(b []byte) bool {
	if m.held {
		return true
	}
	if m.claim == nil {
		m.begin()
	}
	m.read += int64(len(b))
	if !m.hasHead && len(m.head) < maxRequestHead {
		m.head = append(m.head, b...)
		if end := bytes.Index(m.head, []byte("\r\n\r\n")); end >= 0 {
			m.hasHead, m.length, m.head = true, min(contentLength(m.head[:end]), m.largest), nil
		}
	}
	want := bodyGrowth * m.read
	if m.length > 0 {
		want = max(m.length, m.read)
	}
	for m.taken < want {
		step := max(firstBodyStep, m.taken/bodyStepShare, want-m.taken)
		if m.refused = m.claim.Await(step, m.timer.Now, m.timer.Wait); m.refused != bodybudget.Granted {
			return false
		}
		m.taken += step
	}
	return true
}

// contentLength returns the length that a head announces, or 0 if there is none.
func contentLength(head []byte) int64 {
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(name, []byte("Content-Length")) {
			continue
		}
		if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil && n > 0 {
			return n
		}
	}
	return 0
}

// hold records that the request was read. It returns false if it had to give way before.
func (m *requestMemory) hold() bool {
	m.held = true
	return m.claim == nil || m.claim.Hold()
}

// release ends the request. Its memory is not used any more.
func (m *requestMemory) release() {
	if m.claim != nil {
		m.claim.Release()
	}
	m.claim, m.read, m.taken, m.head, m.hasHead, m.length = nil, 0, 0, nil, false, 0
}

// lost reports whether the request gave way to others.
func (m *requestMemory) lost() bool { return m.refused == bodybudget.Refused || m.gaveWay.Load() }

// Read reads from the connection and counts what was read as memory of the request in progress.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.memory.add(b[:n]) {
		return 0, errGaveWay
	}
	return n, err
}

// stopReading makes reading from the connection fail.
func (c *conn) stopReading() {
	const past = 1                            // Unix time
	_ = c.SetReadDeadline(time.Unix(past, 0)) // fails only on a closed connection
}

// changeState follows a connection of the server: the memory of a request is released at its end.
func changeState(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateIdle:
		c.memory.release()
		c.memory.held = false
	case fasthttp.StateClosed, fasthttp.StateHijacked: // what a hijacked connection reads is not counted
		c.memory.release()
	}
}

package relay

import (
	"io"
	"net"
	"testing"
	"time"
)

// observeDelay is the time within which the test sees that the upstream's connection is closed.
const observeDelay = 300 * time.Millisecond

// TestSettled guards against an instance that goes on elsewhere although its helper still keeps the
// upstream at work.
func TestSettled(t *testing.T) {
	tests := map[string]struct {
		cut    bool
		pause  time.Duration // between two pieces; 0 for none
		unread time.Duration // for which nothing is read before the cut
	}{
		"before the first piece":      {},
		"pieces under way":            {pause: 20 * time.Millisecond},
		"cut before the first piece":  {cut: true},
		"cut while pieces are on way": {cut: true, pause: 20 * time.Millisecond},
		"cut after nothing was read":  {cut: true, pause: 20 * time.Millisecond, unread: noticeLimit + beatInterval},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newCutPair(t)
			if tt.pause > 0 {
				p.writePieces(t, tt.pause)
			}
			time.Sleep(tt.unread)
			if tt.cut {
				p.cut(t)
			}
			closed := make(chan time.Time, 1)
			go func() { closed <- p.awaitClosed(t) }()
			_ = p.conn.Close()
			<-p.conn.Settled()
			settled := time.Now()
			if got := <-closed; got.After(settled.Add(observeDelay)) {
				t.Errorf("upstream's connection: closed %v after the other instance was said to have left it", got.Sub(settled))
			}
		})
	}
}

// TestReadAfterClose guards against a reader that waits on, or takes the close for a time-out, after the
// connection was closed by another goroutine.
func TestReadAfterClose(t *testing.T) {
	p := newPair(t)
	done := make(chan error, 1)
	go func() {
		_, err := p.conn.Read(make([]byte, 1))
		done <- err
	}()
	time.Sleep(2 * beatInterval)
	_ = p.conn.Close()
	if err := <-done; err != net.ErrClosed {
		t.Errorf("got %v, want %v", err, net.ErrClosed)
	}
	if _, err := p.conn.Read(make([]byte, 1)); err != net.ErrClosed {
		t.Errorf("second Read: got %v, want %v", err, net.ErrClosed)
	}
	if err := p.conn.SetReadDeadline(time.Time{}); err != net.ErrClosed {
		t.Errorf("SetReadDeadline: got %v, want %v", err, net.ErrClosed)
	}
}

// endless is a reader without end.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(b []byte) (int, error) { return len(b), nil }

// fillTime is the time in which the buffers between two processes are filled.
const fillTime = 500 * time.Millisecond

// TestClosedWhileSending guards against an upstream that is kept at work because the close of the
// connection waits behind the rest of a request that the upstream reads slowly.
func TestClosedWhileSending(t *testing.T) {
	p := newPair(t)
	go func() { _, _ = io.Copy(p.conn.TCPConn, endless{}) }() // ends with the connection
	closed := make(chan time.Time, 1)
	go func() {
		for b := make([]byte, 64<<10); ; time.Sleep(100 * time.Millisecond) {
			if _, err := p.upstream.Read(b); err != nil {
				closed <- time.Now()
				return
			}
		}
	}()
	time.Sleep(fillTime)
	_ = p.conn.Close()
	<-p.conn.Settled()
	settled := time.Now()
	if got := <-closed; got.After(settled.Add(observeDelay)) {
		t.Errorf("upstream's connection: closed %v after the other instance was said to have left it", got.Sub(settled))
	}
}

// TestStopWhileBlocked guards against a stop that waits for an instance that reads nothing.
func TestStopWhileBlocked(t *testing.T) {
	for _, cut := range []bool{false, true} {
		p := newCutPair(t)
		go func() { _, _ = io.Copy(p.upstream, endless{}) }() // ends with the connection
		time.Sleep(fillTime)
		if cut {
			p.cut(t)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			p.server.Stop()
		}()
		select {
		case <-done:
		case <-time.After(waitLimit):
			t.Errorf("cut %t: Stop has not returned after %v", cut, waitLimit)
			_ = p.down.Close()
			<-done
		}
	}
}

// TestPausedInstance guards against a connection that is closed because the process of the instance that
// asked for it pauses.
func TestPausedInstance(t *testing.T) {
	p := newCutPair(t)
	p.writePieces(t, 20*time.Millisecond)
	time.Sleep(2 * noticeLimit) // nothing is read meanwhile
	if _, err := io.ReadFull(p.conn, make([]byte, 1000)); err != nil {
		t.Errorf("after a pause: got %v, want the connection open", err)
	}
}

// TestQuiet guards against an idle connection that is not used again because of its beats, and against one
// that is although the upstream has written on it or ended it.
func TestQuiet(t *testing.T) {
	p := newPair(t)
	time.Sleep(3 * beatInterval)
	if !p.conn.Quiet() {
		t.Error("with beats: got not quiet, want quiet")
	}
	await := func(want string) {
		for end := time.Now().Add(waitLimit); p.conn.Quiet(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: got quiet, want not quiet", want)
			}
		}
	}
	if _, err := io.WriteString(p.upstream, "x"); err != nil {
		t.Fatal(err)
	}
	await("after a byte of the upstream")
	if _, err := p.conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if !p.conn.Quiet() {
		t.Error("after the byte was read: got not quiet, want quiet")
	}
	_ = p.upstream.Close()
	await("after the end")
}

// TestOlderInstance guards against beats to an instance that takes them for something else.
func TestOlderInstance(t *testing.T) {
	p := newPairAt(t, newServer(t, Settings{}), false)
	_ = p.conn.SetReadDeadline(time.Now().Add(4 * beatInterval))
	if n, err := p.conn.TCPConn.Read(make([]byte, 1)); n > 0 {
		t.Errorf("got %d bytes, %v, want none", n, err)
	}
	_ = p.conn.Close()
	select {
	case <-p.conn.Settled():
	default:
		t.Error("after Close: got a wait for a helper without beats, want none")
	}
}

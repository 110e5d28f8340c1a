package relay

import (
	"io"
	"net"
	"testing"
	"time"

	"crocuslug/standinnetwork"
)

// Bounds of the time for which an upstream may work on after the other instance has gone silent.
const (
	maxAfterSilence = time.Second // the shortest pause of a sound upstream, for which a stream waits in any case
	busyMachine     = time.Second // delays of a test machine under load
)

// cutPair is a pair of which both ends can be cut off from each other.
type cutPair struct {
	*pair
	down *net.TCPConn // the helper's end of the connection between the instances
}

func newCutPair(t *testing.T) *cutPair {
	t.Helper()
	accepted := make(chan *net.TCPConn, 1)
	s := newServerWith(t, Settings{}, func(c *net.TCPConn) { accepted <- c })
	return &cutPair{pair: newPairAt(t, s, true), down: <-accepted}
}

// cut makes each end drop what arrives from the other one.
func (p *cutPair) cut(t *testing.T) {
	t.Helper()
	for _, c := range []*net.TCPConn{p.conn.TCPConn, p.down} {
		if err := standinnetwork.DropReceived(c); err != nil {
			t.Fatal(err)
		}
	}
}

// writePieces lets the upstream write pieces with a pause between them, until its connection is closed.
func (p *cutPair) writePieces(t *testing.T, pause time.Duration) {
	t.Helper()
	const piece = "piece"
	go func() {
		for {
			if _, err := io.WriteString(p.upstream, piece); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}()
	if _, err := io.ReadFull(p.conn, make([]byte, 2*len(piece))); err != nil {
		t.Fatal(err)
	}
}

// awaitClosed returns when the connection at the upstream is closed, and fails if it is not.
func (p *cutPair) awaitClosed(t *testing.T) time.Time {
	t.Helper()
	if n, err := p.upstream.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Fatalf("at the upstream: got %d bytes, %v, want its connection closed", n, err)
	}
	return time.Now()
}

// TestSilentInstance guards against an upstream that works on for seconds after the instance that asked
// for its connection was cut off.
func TestSilentInstance(t *testing.T) {
	tests := map[string]time.Duration{ // pause between two pieces; 0 for none
		"before the first piece": 0,
		"pieces under way":       20 * time.Millisecond,
		"rare pieces":            400 * time.Millisecond,
	}
	for name, pause := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newCutPair(t)
			if pause > 0 {
				p.writePieces(t, pause)
			}
			p.cut(t)
			cut := time.Now()
			if got := p.awaitClosed(t).Sub(cut); got > maxAfterSilence+busyMachine {
				t.Errorf("upstream's connection: closed after %v, want within %v", got, maxAfterSilence)
			}
		})
	}
}

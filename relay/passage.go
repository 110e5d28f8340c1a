package relay

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"crocuslug/ident"
	"crocuslug/socket"
)

// Frames. Each begins with the number of its bytes.
const (
	frameHeader = 2 // bytes
	maxFrame    = 16 << 10
	endHeader   = 0       // of the frame that ends the stream
	beatHeader  = 1 << 15 // of a frame without data
)

// passage is a connection to an upstream that is offered or passed on.
type passage struct {
	up       net.Conn
	upstream ident.Upstream
	peer     ident.Instance // that asked for it
	beats    bool           // the peer understands beats

	down    atomic.Pointer[net.TCPConn] // to the peer; nil until it is claimed
	contact contact                     // used by Server.check only
	lost    atomic.Bool                 // the peer is lost
	request requestCopy

	mu sync.Mutex // held while a frame is written
}

// close closes a connection to an upstream.
func (s *Server) close(p *passage) {
	s.mu.Lock()
	delete(s.open, p)
	s.mu.Unlock()
	_ = p.up.Close()
}

// serve reads the token on a connection of another instance and passes the connection on.
func (s *Server) serve(down *net.TCPConn) {
	defer func() { _ = down.Close() }()
	_ = down.SetReadDeadline(s.timer.Now().Add(s.cfg.ClaimTimeout))
	token := make([]byte, hex.EncodedLen(tokenBytes))
	if _, err := io.ReadFull(down, token); err != nil {
		return // nothing was claimed
	}
	p := s.claim(string(token))
	if p == nil {
		return
	}
	defer s.close(p)
	_ = down.SetReadDeadline(time.Time{})
	p.down.Store(down)
	began := s.timer.Now()
	p.request.done = make(chan struct{})
	go p.copyRequest(down)
	n, err := p.copyFrames(down)
	if err != nil {
		reset(down)
	}
	_ = down.Close()
	<-p.request.done
	s.log.Info().Str("Peer", string(p.peer)).Str("Upstream", string(p.upstream)).Str("Connection", down.RemoteAddr().String()).
		Int64("Bytes", n).Dur("OpenMs", s.timer.Now().Sub(began)).Bool("Lost", p.lost.Load()).Bool("EndedByUpstream", endedByUpstream(err)).Err(err).Msg("relayed connection ended")
}

// requestCopy is the copy of what the other instance writes to the upstream.
type requestCopy struct {
	done chan struct{} // closed at its end
	err  error         // of the write to the upstream; valid once done is closed
}

// copyRequest copies what the other instance writes to the upstream until either side ends. If the other
// instance has left the request, or cannot send it, the connection to the upstream is closed. If the upstream
// takes no more, what it wrote before is still to be read.
//
// It does not splice, as io.Copy does: that may drop the error of the connection to the upstream.
func (p *passage) copyRequest(down *net.TCPConn) {
	defer close(p.request.done)
	b := make([]byte, maxFrame)
	for {
		n, err := down.Read(b)
		if n > 0 {
			if _, p.request.err = p.up.Write(b[:n]); p.request.err != nil {
				return
			}
		}
		if err != nil {
			_ = p.up.Close()
			return
		}
	}
}

// endRequest ends the copy of the request once the upstream has ended the connection, and returns the error of
// its write.
func (p *passage) endRequest(down *net.TCPConn) error {
	past := time.Unix(1, 0)
	_ = p.up.SetWriteDeadline(past) // fails only on a closed connection, and then writes fail too
	_ = down.SetReadDeadline(past)  // as above
	<-p.request.done
	return p.request.err
}

// endedByUpstream reports whether an error of copyFrames shows that the upstream ended the connection, in
// order or not. The other instance has left it otherwise, or is lost.
func endedByUpstream(err error) bool {
	return !errors.Is(err, net.ErrClosed) && !errors.Is(err, errPeer)
}

// errPeer marks a failure to write to the other instance.
var errPeer = errors.New("writing to the other instance failed")

// copyFrames sends what the upstream writes in frames. It returns the number of bytes that the upstream
// wrote, and nil if the upstream ended the connection in order.
func (p *passage) copyFrames(down *net.TCPConn) (total int64, err error) {
	b := make([]byte, frameHeader+maxFrame)
	for {
		n, err := p.up.Read(b[frameHeader:])
		total += int64(n)
		if n > 0 {
			binary.BigEndian.PutUint16(b, uint16(n))
			if werr := p.write(down, b[:frameHeader+n]); werr != nil {
				return total, werr
			}
		}
		if err == io.EOF {
			if failure := p.endRequest(down); socket.Failed(failure) {
				return total, failure
			}
			return total, p.write(down, binary.BigEndian.AppendUint16(nil, endHeader))
		}
		if err != nil {
			return total, err
		}
	}
}

// write sends a frame.
func (p *passage) write(down *net.TCPConn, frame []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, err := down.Write(frame); err != nil {
		return fmt.Errorf("%w: %w", errPeer, err)
	}
	return nil
}

// check sends beats, and closes the connections to upstreams of instances that have left or are lost.
func (s *Server) check(now time.Time) {
	s.mu.Lock()
	open := make([]*passage, 0, len(s.open))
	for p := range s.open {
		open = append(open, p)
	}
	s.mu.Unlock()
	for _, p := range open {
		if down := p.down.Load(); down != nil {
			s.checkPassage(p, down, now)
		}
	}
}

func (s *Server) checkPassage(p *passage, down *net.TCPConn, now time.Time) {
	// While no frame is written, the state does not change before the beat, which therefore does not block.
	idle := p.mu.TryLock()
	if idle {
		defer p.mu.Unlock()
	}
	state, err := stateOf(down)
	if err != nil {
		return // the connection is closed
	}
	beat, lost := p.contact.observe(state, now)
	switch {
	case state.Left: // the copy to the upstream does not see it while it is blocked
		if up, ok := p.up.(*net.TCPConn); ok {
			reset(up)
		}
		s.close(p)
	case lost:
		p.lost.Store(true)
		s.close(p)
		reset(down)
	case beat && idle && p.beats:
		_, _ = down.Write(binary.BigEndian.AppendUint16(nil, beatHeader)) // a failure ends the copy as well
	}
}

// reset closes a connection and discards what was not sent.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // fails only on a closed connection
	_ = c.Close()
}

package relay

import (
	"encoding/binary"
	"encoding/hex"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"crocuslug/ident"
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
	sent := make(chan struct{})
	var left error // why the copy to the upstream ended; valid once sent is closed
	go func() {
		defer close(sent)
		_, left = io.Copy(p.up, down) // it ends when either side does
		_ = p.up.Close()              // the other instance has left the request, or cannot send it
	}()
	n, err := p.copyFrames(down)
	if err != nil {
		_ = down.SetLinger(0)
	}
	_ = down.Close()
	<-sent
	s.log.Info().Str("Peer", string(p.peer)).Str("Upstream", string(p.upstream)).Str("Connection", down.RemoteAddr().String()).
		Int64("Bytes", n).Dur("OpenMs", s.timer.Now().Sub(began)).Bool("Lost", p.lost.Load()).AnErr("FromUpstream", err).AnErr("ToUpstream", left).Msg("relayed connection ended")
}

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
	_, err := down.Write(frame)
	return err
}

// beat sends a frame without data, unless another frame is being sent. It does not block while the kernel
// has sent all that was written.
func (p *passage) beat(down *net.TCPConn) {
	if !p.beats || !p.mu.TryLock() {
		return
	}
	defer p.mu.Unlock()
	_, _ = down.Write(binary.BigEndian.AppendUint16(nil, beatHeader)) // a failure ends the copy as well
}

// check sends beats, and closes the connections of instances that are lost.
func (s *Server) check(now time.Time) {
	s.mu.Lock()
	open := make([]*passage, 0, len(s.open))
	for p := range s.open {
		open = append(open, p)
	}
	s.mu.Unlock()
	for _, p := range open {
		down := p.down.Load()
		if down == nil {
			continue
		}
		state, err := stateOf(down)
		if err != nil {
			continue // the connection is closed
		}
		switch beat, lost := p.contact.observe(state, now); {
		case lost:
			p.lost.Store(true)
			s.close(p)
			_ = down.SetLinger(0)
			_ = down.Close()
		case beat:
			p.beat(down)
		}
	}
}

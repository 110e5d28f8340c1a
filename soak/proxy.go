package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to its connections.
type mode int

const (
	pass     mode = iota
	slow          // each part waits a while
	silent        // nothing passes, and nothing ends
	oneWay        // what the caller sends is lost
	refusing      // new connections are reset
)

// slowBy is the wait of each part in mode slow.
const slowBy = 60 * time.Millisecond

// proxy forwards connections over loopback to an address.
type proxy struct {
	clock    clock
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]struct{}
}

func newProxy(c clock, target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{clock: c, listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) get() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the close resets
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	if p.get() == refusing {
		abort(c)
		return
	}
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[up] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.copy(up, c, true)
	p.copy(c, up, false)
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, up)
	p.mu.Unlock()
}

// copy forwards one way. The end of either side ends both.
func (p *proxy) copy(to, from net.Conn, outward bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		for n > 0 && p.get() == silent {
			p.clock.sleep(slowBy)
		}
		if n > 0 && p.get() == slow {
			p.clock.sleep(slowBy)
		}
		if n > 0 && (p.get() != oneWay || !outward) {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				abort(to)
			}
			return
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

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
	pass         mode = iota
	slow              // each chunk is delayed by shortDelay
	silent            // nothing is forwarded and no connection is closed
	dropOutbound      // what the caller sends is dropped
	refusing          // new connections are reset
)

// shortDelay is the delay of each chunk in mode slow, and the interval of polling loops.
const shortDelay = 60 * time.Millisecond

// proxy forwards loopback connections to an address and degrades them according to its mode.
type proxy struct {
	clock    clock
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	down  bool // the listener is closed
	conns map[net.Conn]struct{}
}

// newProxy returns a proxy that listens at a reserved address.
func newProxy(c clock, address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{clock: c, listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept(l)
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// setDown closes the listener, so that connections are refused as by a program that has ended, or
// opens it again. It returns an error if the address cannot be listened at.
func (p *proxy) setDown(down bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if down == p.down {
		return nil
	}
	if down {
		p.down = true
		return p.listener.Close()
	}
	l, err := net.Listen("tcp", p.listener.Addr().String())
	if err != nil {
		return err
	}
	p.listener, p.down = l, false
	go p.accept(l)
	return nil
}

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) currentMode() mode {
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
		_ = tcp.SetLinger(0) // Close sends a reset
	}
	_ = c.Close()
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	if p.currentMode() == refusing {
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
	go p.forward(up, c, true)
	p.forward(c, up, false)
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, up)
	p.mu.Unlock()
}

// forward forwards one direction. When it ends, both connections are closed.
func (p *proxy) forward(to, from net.Conn, outbound bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		for n > 0 && p.currentMode() == silent {
			p.clock.sleep(shortDelay)
		}
		if n > 0 && p.currentMode() == slow {
			p.clock.sleep(shortDelay)
		}
		if n > 0 && (p.currentMode() != dropOutbound || !outbound) {
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
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.reset()
}

package peerlink

import (
	"net"
	"time"

	"crocuslug/ident"
	"crocuslug/result"
)

// SetAddress sets the address of instance id, and allows an immediate dial if it has
// changed.
func (l *Link) SetAddress(id ident.Instance, addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(id)
	if p.addr != addr {
		p.addr = addr
		p.retryAt = time.Time{}
	}
}

// RemovePeer closes the connections to instance id and removes its address.
func (l *Link) RemovePeer(id ident.Instance) {
	l.mu.Lock()
	p := l.peers[id]
	var cs []*conn
	if p != nil {
		p.addr = ""
		for c := range p.conns {
			cs = append(cs, c)
		}
		l.removeIfUnused(id, p)
	}
	l.mu.Unlock()
	for _, c := range cs {
		c.closeWith(nil)
	}
}

// peer returns the entry of id and creates it if needed; l.mu is held.
func (l *Link) peer(id ident.Instance) *peer {
	p := l.peers[id]
	if p == nil {
		p = &peer{conns: make(map[*conn]struct{})}
		l.peers[id] = p
	}
	return p
}

// removeIfUnused removes the entry of id if it has no address and no connections; l.mu
// is held.
func (l *Link) removeIfUnused(id ident.Instance, p *peer) {
	if p.addr == "" && p.active == nil && len(p.conns) == 0 {
		delete(l.peers, id)
	}
}

// connTo returns the connection on which this side sends to a peer. It starts a dial if
// there is none, and returns PeerUnavailable if the peer is down.
func (l *Link) connTo(to ident.Instance) (*conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[to]
	if p == nil || l.stopped {
		return nil, unavailable(to, "no address is known")
	}
	if p.active != nil {
		return p.active, nil
	}
	if p.addr == "" {
		return nil, unavailable(to, "no address is known")
	}
	if l.timer.Now().Before(p.retryAt) {
		return nil, unavailable(to, "the last attempt to connect failed and the retry delay has not passed")
	}
	c := newConn(l, true, to)
	p.active = c
	l.conns[c] = struct{}{}
	l.dialing.Add(1)
	go l.dial(c, p.addr)
	return c, nil
}

// dial opens the TCP connection of c, or closes c if that fails.
func (l *Link) dial(c *conn, addr string) {
	defer l.dialing.Done()
	d := net.Dialer{Timeout: l.cfg.DialTimeout}
	nc, err := d.DialContext(l.ctx, "tcp", addr)
	if err == nil {
		_, err = l.client.EnrollContext(nc, c)
	}
	if err != nil {
		c.closeWith(unavailable(c.id(), err.Error()))
	}
}

// addAccepted registers an accepted connection. It returns false if the link is stopped or
// has maxConns connections.
func (l *Link) addAccepted(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped || len(l.conns) >= maxConns {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

// addEstablished registers a connection whose handshake is complete, and notifies if it
// is the first one to its peer.
func (l *Link) addEstablished(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok {
		return
	}
	p := l.peer(c.id())
	p.conns[c] = struct{}{}
	if p.active == nil {
		p.active = c
	}
	if len(p.conns) == 1 {
		l.notifier.add(peerChange{id: c.id(), up: true})
	}
}

// remove removes a closed connection, and notifies if it was the last one to its
// peer.
func (l *Link) remove(c *conn, cause *result.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	l.logClosed(c, cause)
	p := l.peers[c.id()]
	if p == nil {
		return
	}
	_, wasEstablished := p.conns[c]
	delete(p.conns, c)
	if p.active == c {
		p.chooseConn()
	}
	if c.dialed && !wasEstablished {
		p.retryAt = l.timer.Now().Add(dialRetryDelay)
	}
	if len(p.conns) == 0 && (wasEstablished || c.dialed) {
		l.notifier.add(peerChange{id: c.id()})
	}
	l.removeIfUnused(c.id(), p)
}

// chooseConn chooses another established connection to send on, if there is one.
func (p *peer) chooseConn() {
	p.active = nil
	for c := range p.conns {
		p.active = c
		return
	}
}

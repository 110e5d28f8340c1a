package peerlink

import (
	"net"
	"time"

	"crocuslug/ident"
	"crocuslug/result"
)

// SetAddress tells l where instance id listens.
func (l *Link) SetAddress(id ident.Instance, addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(id)
	if p.addr != addr {
		p.addr = addr
		p.retryAt = time.Time{}
	}
}

// Forget closes the connections to instance id and drops its address.
func (l *Link) Forget(id ident.Instance) {
	l.mu.Lock()
	p := l.peers[id]
	var cs []*conn
	if p != nil {
		p.addr = ""
		for c := range p.conns {
			cs = append(cs, c)
		}
		l.prune(id, p)
	}
	l.mu.Unlock()
	for _, c := range cs {
		c.shut(nil)
	}
}

// peer returns the entry of id; l.mu is held.
func (l *Link) peer(id ident.Instance) *peer {
	p := l.peers[id]
	if p == nil {
		p = &peer{conns: make(map[*conn]struct{})}
		l.peers[id] = p
	}
	return p
}

// prune drops the entry of id if nothing is known of it; l.mu is held.
func (l *Link) prune(id ident.Instance, p *peer) {
	if p.addr == "" && p.use == nil && len(p.conns) == 0 {
		delete(l.peers, id)
	}
}

// reach returns the connection that this side sends to a peer on. It dials if
// there is none, and returns PeerUnavailable if the peer is down.
func (l *Link) reach(to ident.Instance) (*conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[to]
	if p == nil || l.stopped {
		return nil, unavailable(to, "no address is known")
	}
	if p.use != nil {
		return p.use, nil
	}
	if p.addr == "" {
		return nil, unavailable(to, "no address is known")
	}
	if l.timer.Now().Before(p.retryAt) {
		return nil, unavailable(to, "it was out of reach just now")
	}
	c := newConn(l, true, to)
	p.use = c
	l.conns[c] = struct{}{}
	l.dialing.Add(1)
	go l.dial(c, p.addr)
	return c, nil
}

func (l *Link) dial(c *conn, addr string) {
	defer l.dialing.Done()
	d := net.Dialer{Timeout: l.cfg.DialTimeout}
	nc, err := d.DialContext(l.ctx, "tcp", addr)
	if err == nil {
		_, err = l.client.EnrollContext(nc, c)
	}
	if err != nil {
		c.shut(unavailable(c.id(), err.Error()))
	}
}

// add counts an accepted connection in. It returns false if l takes no more.
func (l *Link) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped || len(l.conns) >= maxConns {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

// established enters a connection whose handshake is complete.
func (l *Link) established(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok {
		return
	}
	p := l.peer(c.id())
	p.conns[c] = struct{}{}
	if p.use == nil {
		p.use = c
	}
	if len(p.conns) == 1 {
		l.changes.add(change{id: c.id(), up: true})
	}
}

// remove takes a connection that has ended out.
func (l *Link) remove(c *conn, cause *result.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	l.logEnd(c, cause)
	p := l.peers[c.id()]
	if p == nil {
		return
	}
	_, was := p.conns[c]
	delete(p.conns, c)
	if p.use == c {
		p.replace()
	}
	if c.dials && !was {
		p.retryAt = l.timer.Now().Add(dialRetry)
	}
	if len(p.conns) == 0 && (was || c.dials) {
		l.changes.add(change{id: c.id()})
	}
	l.prune(c.id(), p)
}

// replace chooses another connection to send on, if there is one.
func (p *peer) replace() {
	p.use = nil
	for c := range p.conns {
		p.use = c
		return
	}
}

package peerlink

import (
	"sync"

	"crocuslug/ident"
)

// change is a connection that came up or went down.
type change struct {
	id ident.Instance
	up bool
}

// changes calls the subscribers of changes in order on a goroutine of its own.
type changes struct {
	onUp, onDown []func(id ident.Instance)

	mu      sync.Mutex
	cond    *sync.Cond
	queue   []change
	stopped bool
	ended   chan struct{}
}

func (s *changes) init() {
	s.cond = sync.NewCond(&s.mu)
	s.ended = make(chan struct{})
}

func (s *changes) add(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, c)
	s.cond.Signal()
}

func (s *changes) stop() {
	s.mu.Lock()
	s.stopped = true
	s.cond.Signal()
	s.mu.Unlock()
	<-s.ended
}

func (s *changes) run() {
	defer close(s.ended)
	for {
		s.mu.Lock()
		for len(s.queue) == 0 && !s.stopped {
			s.cond.Wait()
		}
		queue := s.queue
		s.queue = nil
		s.mu.Unlock()
		if len(queue) == 0 {
			return
		}
		for _, c := range queue {
			s.call(c)
		}
	}
}

func (s *changes) call(c change) {
	fs := s.onDown
	if c.up {
		fs = s.onUp
	}
	for _, f := range fs {
		f(c.id)
	}
}

// OnUp subscribes f to the first connection to a peer being established.
func (l *Link) OnUp(f func(id ident.Instance)) {
	l.changes.onUp = append(l.changes.onUp, f)
}

// OnDown subscribes f to the last connection to a peer being lost, and to a
// dial that failed. It is no verdict on the peer: a connection that nobody
// uses is closed too. f runs on a goroutine of the link, after other changes.
func (l *Link) OnDown(f func(id ident.Instance)) {
	l.changes.onDown = append(l.changes.onDown, f)
}

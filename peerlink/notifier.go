package peerlink

import (
	"sync"

	"crocuslug/ident"
)

// peerChange records that a peer became connected or disconnected.
type peerChange struct {
	id ident.Instance
	up bool
}

// notifier calls the subscribers about changes, in order, on its own goroutine.
type notifier struct {
	onUp, onDown []func(id ident.Instance)

	mu      sync.Mutex
	cond    *sync.Cond
	queue   []peerChange
	stopped bool
	ended   chan struct{}
}

func (s *notifier) init() {
	s.cond = sync.NewCond(&s.mu)
	s.ended = make(chan struct{})
}

func (s *notifier) add(c peerChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, c)
	s.cond.Signal()
}

func (s *notifier) stop() {
	s.mu.Lock()
	s.stopped = true
	s.cond.Signal()
	s.mu.Unlock()
	<-s.ended
}

func (s *notifier) run() {
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
			s.notify(c)
		}
	}
}

func (s *notifier) notify(c peerChange) {
	fs := s.onDown
	if c.up {
		fs = s.onUp
	}
	for _, f := range fs {
		f(c.id)
	}
}

// OnUp registers f to be called when the first connection to a peer is established.
// It runs on a goroutine of the link, one change after the other.
func (l *Link) OnUp(f func(id ident.Instance)) {
	l.notifier.onUp = append(l.notifier.onUp, f)
}

// OnDown registers f to be called when the last connection to a peer is closed or a
// dial fails. It does not mean that the peer is down, since unused connections are
// closed too. It runs on a goroutine of the link, one change after the other.
func (l *Link) OnDown(f func(id ident.Instance)) {
	l.notifier.onDown = append(l.notifier.onDown, f)
}

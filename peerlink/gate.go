package peerlink

import "sync/atomic"

// gate blocks goroutines in wait while it is closed. The zero value is open.
type gate struct {
	state atomic.Pointer[chan struct{}]
}

func (g *gate) close() {
	ch := make(chan struct{})
	g.state.CompareAndSwap(nil, &ch)
}

func (g *gate) open() {
	if ch := g.state.Swap(nil); ch != nil {
		close(*ch)
	}
}

func (g *gate) closed() bool {
	return g.state.Load() != nil
}

func (g *gate) wait() {
	if ch := g.state.Load(); ch != nil {
		<-*ch
	}
}

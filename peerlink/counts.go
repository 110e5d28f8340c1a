package peerlink

import "sync/atomic"

// Counts holds the bytes of frames that a link has sent and received, without
// the headers of TCP. Handshakes, pings and calls are control.
type Counts struct {
	ControlSent     uint64
	ControlReceived uint64
	DataSent        uint64
	DataReceived    uint64
}

type counters struct {
	controlSent, controlReceived, dataSent, dataReceived atomic.Uint64
}

func (n *counters) sent(kind FrameKind, size int) {
	if kind < FirstDataKind {
		n.controlSent.Add(uint64(size))
		return
	}
	n.dataSent.Add(uint64(size))
}

func (n *counters) received(kind FrameKind, size int) {
	if kind < FirstDataKind {
		n.controlReceived.Add(uint64(size))
		return
	}
	n.dataReceived.Add(uint64(size))
}

// Bytes returns the bytes that l has sent and received since it was made.
func (l *Link) Bytes() Counts {
	return Counts{
		ControlSent:     l.counts.controlSent.Load(),
		ControlReceived: l.counts.controlReceived.Load(),
		DataSent:        l.counts.dataSent.Load(),
		DataReceived:    l.counts.dataReceived.Load(),
	}
}

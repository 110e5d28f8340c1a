package peerlink

import "sync/atomic"

// Counts holds the bytes of frames that a link has sent and received, without TCP
// headers. Handshakes, pings and calls count as control.
type Counts struct {
	ControlSent     uint64
	ControlReceived uint64
	DataSent        uint64
	DataReceived    uint64
}

type counters struct {
	controlSent, controlReceived, dataSent, dataReceived atomic.Uint64
}

func (n *counters) addSent(kind FrameKind, size int) {
	if kind < FirstDataKind {
		n.controlSent.Add(uint64(size))
		return
	}
	n.dataSent.Add(uint64(size))
}

func (n *counters) addReceived(kind FrameKind, size int) {
	if kind < FirstDataKind {
		n.controlReceived.Add(uint64(size))
		return
	}
	n.dataReceived.Add(uint64(size))
}

// ByteCounts returns the bytes that l has sent and received since it was created.
func (l *Link) ByteCounts() Counts {
	return Counts{
		ControlSent:     l.counts.controlSent.Load(),
		ControlReceived: l.counts.controlReceived.Load(),
		DataSent:        l.counts.dataSent.Load(),
		DataReceived:    l.counts.dataReceived.Load(),
	}
}

package dispatch

import (
	"net/http"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
)

// paceUnits is the number of pieces whose time is observed together. Pieces come in bursts.
const paceUnits = 10

// maxDeliveryShare is the part of that time that their caller may take. A caller that reads slowly lets pieces wait here,
// and the time says nothing about the upstream.
const maxDeliveryShare = 0.1

// paceMeter measures the time that an upstream takes for the pieces of one stream.
type paceMeter struct {
	d      *Dispatcher
	id     ident.Upstream
	began  time.Time // of the time measured; zero before the first piece
	last   time.Time // when the last piece came
	writes time.Duration
	n      int
}

// received records that a piece has come. The first one shows when the prompt was read, and starts the measurement.
func (m *paceMeter) received(now time.Time) {
	if m.d.observePace == nil {
		return
	}
	m.last = now
	if m.began.IsZero() {
		m.began = now
		return
	}
	if m.n++; m.n < paceUnits {
		return
	}
	if elapsed := now.Sub(m.began); float64(m.writes) <= maxDeliveryShare*float64(elapsed) {
		m.d.observePace(m.id, m.n, elapsed)
	}
	m.began, m.writes, m.n = now, 0, 0
}

// delivered records that the last piece was passed to the caller.
func (m *paceMeter) delivered() {
	if m.d.observePace != nil {
		m.writes += m.d.timer.Now().Sub(m.last)
	}
}

// observeAnswerPace records the time of a whole answer to a call.
func (d *Dispatcher) observeAnswerPace(u directory.Upstream, status int, took time.Duration) {
	if d.observePace != nil && status < http.StatusInternalServerError {
		d.observePace(u.ID, 1, took)
	}
}

package telemetry

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog/diode"
)

// Lines writes log lines in the background, so that a reader who does not read
// holds nobody up. If lines come faster than they are taken, old ones are
// dropped and counted.
type Lines struct {
	w       diode.Writer
	dropped atomic.Uint64
}

// queued is the number of lines that wait at most, of some 300 bytes each.
const queued = 4096

// NewLines returns a writer in front of w.
func NewLines(w io.Writer) *Lines {
	l := &Lines{}
	l.w = diode.NewWriter(w, queued, 0, func(missed int) { l.dropped.Add(uint64(missed)) })
	return l
}

// Write queues one line. It never blocks.
func (l *Lines) Write(b []byte) (int, error) { return l.w.Write(b) }

// Dropped returns the number of lines that were dropped.
func (l *Lines) Dropped() uint64 { return l.dropped.Load() }

// Close writes what is queued.
func (l *Lines) Close() { _ = l.w.Close() } // there is nobody to tell

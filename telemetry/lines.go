package telemetry

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog/diode"
)

// LineWriter writes log lines in the background, so that a slow or blocked reader
// of the log does not block the goroutines that log. If lines are logged faster
// than they are written, the oldest are dropped and counted.
type LineWriter struct {
	w       diode.Writer
	dropped atomic.Uint64
}

// queueLength is the largest number of queued lines, of about 300 bytes each.
const queueLength = 4096

// NewLineWriter returns a LineWriter that writes to w.
func NewLineWriter(w io.Writer) *LineWriter {
	l := &LineWriter{}
	l.w = diode.NewWriter(w, queueLength, 0, func(missed int) { l.dropped.Add(uint64(missed)) })
	return l
}

// Write queues one line. It never blocks.
func (l *LineWriter) Write(b []byte) (int, error) { return l.w.Write(b) }

// Dropped returns the number of lines that were dropped.
func (l *LineWriter) Dropped() uint64 { return l.dropped.Load() }

// Close writes the queued lines. An error is dropped, because no log is left to
// report it to.
func (l *LineWriter) Close() { _ = l.w.Close() }

package telemetry

import (
	"io"
	"testing"
	"time"
)

// blockedWriter is a writer whose Write blocks until release is closed, as if the
// reader of the log did not read.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// TestWriteDoesNotBlock checks that logging does not block while the reader of the
// log does not read, and that the lines beyond the queue are dropped and counted.
func TestWriteDoesNotBlock(t *testing.T) {
	s := blockedWriter{make(chan struct{})}
	l := NewLineWriter(s)
	log := NewLog(l, "info")
	const lines = 3 * queueLength
	done := make(chan struct{})
	go func() {
		for range lines {
			log.Info().Str("Request", "r1").Msg("answered")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("logging blocked: got no end within a minute, want no wait for the reader")
	}
	close(s.release)
	l.Close()
	if got := l.Dropped(); got < queueLength || got >= lines {
		t.Errorf("dropped lines: got %d of %d, want those beyond the queue of %d", got, lines, queueLength)
	}
}

// BenchmarkLogLine measures the cost of one line to the goroutine that logs it,
// with a reader that reads and with one that does not.
func BenchmarkLogLine(b *testing.B) {
	s := blockedWriter{make(chan struct{})}
	defer close(s.release)
	for _, bench := range []struct {
		name string
		w    io.Writer
	}{{"read", io.Discard}, {"stuck", s}} {
		b.Run(bench.name, func(b *testing.B) {
			log := NewLog(NewLineWriter(bench.w), "info")
			b.ReportAllocs()
			for b.Loop() {
				log.Info().Str("Request", "9c41d07be2a35f68").Str("Upstream", "i-7f3a91c2").Int("Attempt", 1).Int("Status", 200).Msg("answered")
			}
		})
	}
}

package telemetry

import (
	"io"
	"testing"
	"time"
)

// stuck is a reader that never reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// TestNeverBlocks holds that lines to a reader that does not read are dropped and
// counted, and that nobody waits for it.
func TestNeverBlocks(t *testing.T) {
	s := stuck{make(chan struct{})}
	l := NewLines(s)
	log := NewLog(l, "info")
	const lines = 3 * queued
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
		t.Fatal("writing waits for the reader")
	}
	close(s.release)
	l.Close()
	if got := l.Dropped(); got < queued || got >= lines {
		t.Errorf("dropped lines: got %d of %d, want what the queue does not hold", got, lines)
	}
}

// BenchmarkLine is the cost of one line to a request, whether its reader reads or not.
func BenchmarkLine(b *testing.B) {
	s := stuck{make(chan struct{})}
	defer close(s.release)
	for _, bench := range []struct {
		name string
		w    io.Writer
	}{{"read", io.Discard}, {"stuck", s}} {
		b.Run(bench.name, func(b *testing.B) {
			log := NewLog(NewLines(bench.w), "info")
			b.ReportAllocs()
			for b.Loop() {
				log.Info().Str("Request", "9c41d07be2a35f68").Str("Upstream", "i-7f3a91c2").Int("Attempt", 1).Int("Status", 200).Msg("answered")
			}
		})
	}
}

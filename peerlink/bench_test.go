package peerlink

import (
	"sync/atomic"
	"testing"
	"time"

	"crocuslug/ident"
)

// BenchmarkFrames sends frames of 64 bytes in one direction over loopback.
func BenchmarkFrames(b *testing.B) {
	var received atomic.Int64
	sender := startLink(b, Settings{Instance: "a"}, nil)
	receiver := startLink(b, Settings{Instance: "b"}, func(l *Link) {
		l.HandleFrame(kindTest, func(ident.Instance, []byte) { received.Add(1) })
	})
	exchangeAddresses(sender, receiver)
	payload := make([]byte, 64)
	b.ResetTimer()
	for b.Loop() {
		for sender.SendFrame("b", kindTest, payload) != nil {
			time.Sleep(10 * time.Microsecond)
		}
	}
	for received.Load() < int64(b.N) {
		time.Sleep(10 * time.Microsecond)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "frames/s")
}

// BenchmarkFrameRoundTrip sends a frame and waits for its answer.
func BenchmarkFrameRoundTrip(b *testing.B) {
	back := make(chan struct{}, 1)
	sender := startLink(b, Settings{Instance: "a"}, func(l *Link) {
		l.HandleFrame(kindTest, func(ident.Instance, []byte) { back <- struct{}{} })
	})
	receiver := startLink(b, Settings{Instance: "b"}, func(l *Link) {
		l.HandleFrame(kindTest, func(from ident.Instance, payload []byte) { _ = l.SendFrame(from, kindTest, payload) })
	})
	exchangeAddresses(sender, receiver)
	payload := make([]byte, 64)
	b.ResetTimer()
	for b.Loop() {
		_ = sender.SendFrame("b", kindTest, payload)
		<-back
	}
}

// BenchmarkCalls makes calls from many goroutines over one connection.
func BenchmarkCalls(b *testing.B) {
	caller := startLink(b, Settings{Instance: "a"}, nil)
	callee := startLink(b, Settings{Instance: "b"}, func(l *Link) { l.Handle("Echo", echo) })
	exchangeAddresses(caller, callee)
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := caller.Call(b.Context(), "b", "Echo", 1, nil); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

package relay

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"crocuslug/timer"
)

// BenchmarkCheck measures one check of the helper of 60 quiet connections, without beats.
func BenchmarkCheck(b *testing.B) {
	const connections = 60
	s := New(Settings{Listen: "127.0.0.1:0"}, timer.New(), zerolog.Nop()) // its timer does not run
	if err := s.Start(); err != nil {
		b.Fatal(err)
	}
	defer s.Stop()
	for range connections {
		helper, upstream := dialUpstream(b)
		b.Cleanup(func() { _ = upstream.Close() })
		token, _ := s.Offer(helper, "u", "peer", false)
		c, err := Dial(context.Background(), s.timer, "peer", s.Addr(), token, false)
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
	}
	for !s.allClaimed() {
		time.Sleep(time.Millisecond)
	}
	for now := time.Unix(0, 0); b.Loop(); now = now.Add(checkInterval) {
		s.check(now)
	}
}

// allClaimed reports whether all offered connections were claimed.
func (s *Server) allClaimed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.open {
		if p.down.Load() == nil {
			return false
		}
	}
	return true
}

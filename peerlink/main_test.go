package peerlink

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"crocuslug/ident"
	"crocuslug/timer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) // package gnet starts a goroutine pool on initialization
}

const waitLimit = 20 * time.Second

// startLink starts a link, which runs until the test ends.
func startLink(t testing.TB, cfg Settings, prepare func(l *Link)) *Link {
	t.Helper()
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		clock.Run(ctx)
	}()
	if cfg.Secret == nil {
		cfg.Secret = []byte("secret")
	}
	l := New(cfg, clock, zerolog.Nop())
	if prepare != nil {
		prepare(l)
	}
	if err := l.Start(); err != nil {
		t.Fatalf("start: %v", err)
	}
	t.Cleanup(func() {
		l.Stop()
		cancel()
		<-ended
	})
	return l
}

// exchangeAddresses sets the address of each link at the other.
func exchangeAddresses(a, b *Link) {
	a.SetAddress(b.cfg.Instance, b.Addr())
	b.SetAddress(a.cfg.Instance, a.Addr())
}

func awaitValue[T any](t testing.TB, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(waitLimit):
		t.Fatalf("%s: got nothing", what)
		panic("unreachable")
	}
}

// subscribe returns channels of the peers that became connected and disconnected.
func subscribe(l *Link) (up, down chan ident.Instance) {
	up, down = make(chan ident.Instance, 16), make(chan ident.Instance, 16)
	l.OnUp(func(id ident.Instance) { up <- id })
	l.OnDown(func(id ident.Instance) { down <- id })
	return up, down
}

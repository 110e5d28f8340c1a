package peerlink

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"crocuslug/ident"
	"crocuslug/result"
)

const kindTest FrameKind = 7

// codeOf returns the result code of err, or OK if it has none.
func codeOf(err error) result.Code {
	var r *result.Error
	if errors.As(err, &r) {
		return r.Code
	}
	return result.OK
}

// echo returns its parameters, or an error if they are "refuse".
func echo(_ context.Context, from ident.Instance, params json.RawMessage) (any, error) {
	if string(params) == `"refuse"` {
		return nil, result.New(result.WorkspaceLimit, string(from)).After(time.Second)
	}
	return params, nil
}

// TestCallBothWays makes concurrent calls in both directions and checks that errors of
// handlers reach the caller unchanged.
func TestCallBothWays(t *testing.T) {
	prepare := func(l *Link) { l.Handle("Echo", echo) }
	a := startLink(t, Settings{Instance: "a"}, prepare)
	b := startLink(t, Settings{Instance: "b"}, prepare)
	exchangeAddresses(a, b)
	var wg sync.WaitGroup
	for i := range 50 {
		from, to := a, b
		if i%2 == 1 {
			from, to = b, a
		}
		wg.Go(func() {
			var got int
			if err := from.Call(t.Context(), to.cfg.Instance, "Echo", i, &got); err != nil || got != i {
				t.Errorf("call %d: got %d, %v", i, got, err)
			}
		})
	}
	wg.Wait()
	err := a.Call(t.Context(), "b", "Echo", "refuse", nil)
	want := result.Error{Code: result.WorkspaceLimit, Run: result.RunNot, Detail: "a", RetryAfter: time.Second}
	var got *result.Error
	if !errors.As(err, &got) || *got != want {
		t.Errorf("refusal: got %v, want %v", err, &want)
	}
	if got, want := codeOf(a.Call(t.Context(), "b", "None", nil, nil)), result.NotFound; got != want {
		t.Errorf("unknown method: got %v, want %v", got, want)
	}
	if n := a.ByteCounts(); n.ControlSent == 0 || n.ControlReceived == 0 || n.DataSent != 0 {
		t.Errorf("bytes: got %+v, want control only", n)
	}
}

// TestFramesInOrder lets both sides dial and send at the same time. The frames of
// each side must arrive in order.
func TestFramesInOrder(t *testing.T) {
	const n = 5000
	var links [2]*Link
	var next [2]atomic.Uint32
	done := make(chan int, 2)
	for i, id := range []ident.Instance{"a", "b"} {
		links[i] = startLink(t, Settings{Instance: id}, func(l *Link) {
			l.HandleFrame(kindTest, func(_ ident.Instance, payload []byte) {
				got, want := binary.BigEndian.Uint32(payload), next[i].Add(1)-1
				if got != want {
					t.Errorf("frame at %s: got %d, want %d", id, got, want)
				}
				if want == n-1 {
					done <- i
				}
			})
		})
	}
	exchangeAddresses(links[0], links[1])
	for i, l := range links {
		go func() {
			payload := make([]byte, 100)
			for k := range uint32(n) {
				binary.BigEndian.PutUint32(payload, k)
				if err := l.SendFrame(links[1-i].cfg.Instance, kindTest, payload); err != nil {
					t.Errorf("frame %d: %v", k, err)
				}
			}
		}()
	}
	awaitValue(t, done, "last frame")
	awaitValue(t, done, "last frame")
}

// TestHandshakeRejects checks that a peer with a wrong secret, a wrong name or data
// before the end of the handshake is rejected before any handler runs.
func TestHandshakeRejects(t *testing.T) {
	handled := false
	b := startLink(t, Settings{Instance: "b"}, func(l *Link) {
		l.Handle("Echo", func(context.Context, ident.Instance, json.RawMessage) (any, error) {
			handled = true
			return nil, nil
		})
		l.HandleFrame(kindTest, func(ident.Instance, []byte) { handled = true })
	})
	wrongSecret := startLink(t, Settings{Instance: "a", Secret: []byte("other")}, nil)
	wrongName := startLink(t, Settings{Instance: "c"}, nil)
	wrongSecret.SetAddress("b", b.Addr())
	wrongName.SetAddress("old", b.Addr())
	for to, l := range map[ident.Instance]*Link{"b": wrongSecret, "old": wrongName} {
		err := l.Call(t.Context(), to, "Echo", nil, nil)
		var r *result.Error
		if !errors.As(err, &r) || r.Code != result.PeerUnavailable || r.Run != result.RunNot {
			t.Errorf("call to %s: got %v, want PeerUnavailable, not run", to, err)
		}
	}
	early := [][]byte{
		appendFrame(nil, kindTest, []byte("early")),
		appendFrame(nil, kindCall, []byte(`{"jsonrpc":"2.0","method":"Echo"}`)),
		{0, 0, 0, 0, 0},
		{0xff, 0xff, 0xff, 0xff, 0},
	}
	for _, text := range early {
		nc, err := net.Dial("tcp", b.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = nc.Write(text)
		if n, _ := io.Copy(io.Discard, nc); n != 0 { // returns when b closes the connection
			t.Errorf("answer to %x: got %d bytes, want none", text, n)
		}
		_ = nc.Close()
	}
	if handled {
		t.Error("handlers: got a message before the end of the handshake, want none")
	}
}

// TestCallToDownPeerFailsFast calls a peer that does not listen and one without a
// known address.
func TestCallToDownPeerFailsFast(t *testing.T) {
	a := startLink(t, Settings{Instance: "a"}, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a.SetAddress("b", ln.Addr().String())
	_ = ln.Close()
	for _, to := range []ident.Instance{"b", "b", "nobody"} {
		err := a.Call(t.Context(), to, "Echo", nil, nil)
		var r *result.Error
		if !errors.As(err, &r) || r.Code != result.PeerUnavailable || r.Run != result.RunNot {
			t.Errorf("call to %s: got %v, want PeerUnavailable, not run", to, err)
		}
	}
}

// TestKillEndsCalls kills the peer during a call, which must end with an unknown
// outcome.
func TestKillEndsCalls(t *testing.T) {
	handlerStarted := make(chan struct{}, 1)
	var a *Link
	var up, down chan ident.Instance
	a = startLink(t, Settings{Instance: "a"}, func(l *Link) { up, down = subscribe(l) })
	b := New(Settings{Instance: "b", Secret: []byte("secret")}, a.timer, a.log)
	b.Handle("Hang", func(ctx context.Context, _ ident.Instance, _ json.RawMessage) (any, error) {
		handlerStarted <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	})
	if err := b.Start(); err != nil {
		t.Fatal(err)
	}
	a.SetAddress("b", b.Addr())
	ended := make(chan error, 1)
	go func() { ended <- a.Call(context.Background(), "b", "Hang", nil, nil) }()
	awaitValue(t, handlerStarted, "call")
	awaitValue(t, up, "up")
	b.Kill()
	var r *result.Error
	if err := awaitValue(t, ended, "end of call"); !errors.As(err, &r) || r.Run != result.RunUnknown {
		t.Errorf("call: got %v, want an unknown outcome", err)
	}
	awaitValue(t, down, "down")
}

// TestSilentConnectionReplaced drops messages in one direction for a short time. The
// connection stays silent afterwards and must be closed, and the next call must
// open a new one.
func TestSilentConnectionReplaced(t *testing.T) {
	var cut atomic.Bool
	var down chan ident.Instance
	cfg := Settings{IdlePing: 20 * time.Millisecond, IdleTimeout: 100 * time.Millisecond, UnusedTimeout: time.Hour}
	cfg.Instance = "a"
	a := startLink(t, cfg, func(l *Link) {
		l.DropTo = func(ident.Instance) bool { return cut.Load() }
		_, down = subscribe(l)
	})
	cfg.Instance = "b"
	b := startLink(t, cfg, func(l *Link) { l.Handle("Echo", echo) })
	exchangeAddresses(a, b)
	if err := a.Call(t.Context(), "b", "Echo", 1, nil); err != nil {
		t.Fatal(err)
	}
	cut.Store(true)
	err := a.Call(t.Context(), "b", "Echo", 2, nil)
	if got, want := codeOf(err), result.PeerUnavailable; got != want {
		t.Errorf("call while messages are dropped: got %v, want %v", err, want)
	}
	cut.Store(false)
	awaitValue(t, down, "down")
	if err := a.Call(t.Context(), "b", "Echo", 3, nil); err != nil {
		t.Errorf("call after messages were dropped: got %v, want none", err)
	}
}

// TestPausedPeerBoundsQueue pauses the receiver until the send queue is full. The
// sender must get Overloaded, and all queued frames must arrive after the pause.
func TestPausedPeerBoundsQueue(t *testing.T) {
	var received atomic.Int64
	cfg := Settings{IdleTimeout: time.Hour, MaxQueueBytes: 1 << 20}
	cfg.Instance = "a"
	a := startLink(t, cfg, nil)
	cfg.Instance = "b"
	last := make(chan struct{}, 1)
	b := startLink(t, cfg, func(l *Link) {
		l.Handle("Echo", echo)
		l.HandleFrame(kindTest, func(_ ident.Instance, payload []byte) {
			received.Add(1)
			if len(payload) == 1 {
				last <- struct{}{}
			}
		})
	})
	exchangeAddresses(a, b)
	if err := a.Call(t.Context(), "b", "Echo", 1, nil); err != nil {
		t.Fatal(err)
	}
	b.Pause(true)
	payload := make([]byte, 64<<10)
	sent := int64(0)
	var err error
	for deadline := time.Now().Add(waitLimit); err == nil && time.Now().Before(deadline); sent++ {
		err = a.SendFrame("b", kindTest, payload)
	}
	sent--
	if got, want := codeOf(err), result.Overloaded; got != want {
		t.Fatalf("frames to a paused peer: got %v, want %v", err, want)
	}
	if got := received.Load(); got > 1 {
		t.Errorf("frames handled while paused: got %d, want at most 1", got)
	}
	b.Pause(false)
	for err != nil {
		err = a.SendFrame("b", kindTest, []byte{1})
		time.Sleep(time.Millisecond)
	}
	awaitValue(t, last, "frame after the pause")
	if got, want := received.Load(), sent+1; got != want {
		t.Errorf("frames: got %d, want %d", got, want)
	}
}

func FuzzDecodeFrame(f *testing.F) {
	f.Add(appendFrame(appendFrame(nil, kindCall, []byte("{}")), kindTest, nil))
	f.Add([]byte{0, 0, 0, 0, 1})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 2})
	f.Fuzz(func(t *testing.T, b []byte) {
		var encoded []byte
		rest := b
		for {
			kind, payload, size, err := decodeFrame(rest, 64)
			if err != nil || size > len(rest) {
				break
			}
			encoded = appendFrame(encoded, kind, payload)
			rest = rest[size:]
		}
		if got, want := string(encoded), string(b[:len(b)-len(rest)]); got != want {
			t.Errorf("frames encoded again: got %x, want %x", got, want)
		}
	})
}

// TestKillWhilePaused kills a paused link. Frames that it had received must not be
// handled.
func TestKillWhilePaused(t *testing.T) {
	a := startLink(t, Settings{Instance: "a"}, nil)
	b := New(Settings{Instance: "b", Secret: []byte("secret")}, a.timer, a.log)
	b.Handle("Echo", echo)
	var handled atomic.Int32
	b.HandleFrame(kindTest, func(ident.Instance, []byte) { handled.Add(1) })
	if err := b.Start(); err != nil {
		t.Fatal(err)
	}
	a.SetAddress("b", b.Addr())
	if err := a.Call(t.Context(), "b", "Echo", 1, nil); err != nil {
		t.Fatal(err)
	}
	b.Pause(true)
	before := a.ByteCounts().DataSent
	for range 10 {
		if err := a.SendFrame("b", kindTest, []byte("late")); err != nil {
			t.Fatal(err)
		}
	}
	if got := a.ByteCounts().DataSent; got == before {
		t.Fatal("bytes sent: got none")
	}
	time.Sleep(50 * time.Millisecond) // lets the frames arrive at the paused side
	b.Kill()
	if got := handled.Load(); got != 0 {
		t.Errorf("frames handled by a killed link: got %d, want 0", got)
	}
}

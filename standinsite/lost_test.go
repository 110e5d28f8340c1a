package standinsite

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"crocuslug/standinengine"
)

// cut makes the kernel drop all that arrives at c, so that it acknowledges nothing.
func cut(t *testing.T, c net.Conn) {
	t.Helper()
	sc, ok := c.(syscall.Conn)
	if !ok {
		t.Fatalf("connection: got a %T, want a syscall.Conn", c)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	drop := unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: unix.BPF_RET}}
	ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &drop)
	})
	if ctlErr != nil || err != nil {
		t.Fatalf("filter: got %v, %v, want it set", ctlErr, err)
	}
}

// TestCallerLost guards against engines that are kept at work for callers that are lost without a close.
func TestCallerLost(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name, stream string
		lose         func(t *testing.T, c net.Conn)
	}{
		{"stream, cut off", "true", cut},
		{"whole answer, cut off", "false", cut},
		{"whole answer, closed", "false", func(_ *testing.T, c net.Conn) { _ = c.Close() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			cfg := Settings{Instances: 1, Engines: 1, Engine: standinengine.Settings{TokenInterval: 50 * time.Millisecond}}
			cfg.Options.Owner.Generation.CallerTimeout = 100 * time.Millisecond
			s := startSite(t, cfg)
			body := `{"model":"m","messages":[{"role":"user","content":"p"}],"stream":` + tc.stream + `,"max_tokens":30000}`
			conn, _ := raw(t, s.Addresses()[0], "POST", "/v1/chat/completions", WorkspaceKey, "X-Request-Id: lost\r\n", body)
			ctx := testContext(t)
			for s.Engines[0].Counters().Decoded < 10 && ctx.Err() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			tc.lose(t, conn)
			const limit = 18 * time.Second
			for since := time.Now(); s.Engines[0].Counters().Cancelled == 0; time.Sleep(10 * time.Millisecond) {
				if time.Since(since) > limit {
					t.Fatalf("stream on the engine: got none cancelled within %v, want 1", limit)
				}
			}
		})
	}
}

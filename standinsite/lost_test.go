package standinsite

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"crocuslug/ident"
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

// TestFormerOwnerCancelsNothing guards against a former owner that has not heard of the takeover, since
// it is cut off from its replica, and cancels the stream by which the new owner goes on.
func TestFormerOwnerCancelsNothing(t *testing.T) {
	t.Parallel()
	cfg := Settings{Instances: 2, Engines: 2, Engine: standinengine.Settings{TokenInterval: 20 * time.Millisecond}}
	g := &cfg.Options.Owner.Generation
	g.CallerTimeout = 300 * time.Millisecond
	g.ProbeTimeout, g.Silence.MinGapTimeout = 2*time.Second, 2*time.Second // a busy machine makes no engine silent
	var apart atomic.Bool                                                  // nothing passes between the instances
	cfg.Options.DropTo = func(ident.Instance) bool { return apart.Load() }
	cfg.Options.DropFrom = cfg.Options.DropTo
	s := startSite(t, cfg)
	body := `{"model":"m","messages":[{"role":"user","content":"p"}],"stream":true,"max_tokens":150}`
	former, r := raw(t, s.Addresses()[0], "POST", "/v1/chat/completions", WorkspaceKey, "X-Request-Id: moved\r\n", body)
	cursor := readEvents(t, r, 10)
	apart.Store(true)
	_, r = raw(t, s.Addresses()[1], "GET", "/v1/generations/moved", WorkspaceKey, "Last-Event-ID: "+cursor+"\r\n", "")
	readEvents(t, r, 10)
	_ = former.Close()
	rest, err := io.ReadAll(r)
	if !strings.Contains(string(rest), "[DONE]") {
		t.Errorf("answer of the new owner: got %q, %v, want its end", rest, err)
	}
	for i, e := range s.Engines {
		if got := e.Counters(); got.Cancelled != 0 || got.Continued != 0 {
			t.Errorf("engine %d: got %d streams cancelled and %d continued, want none", i, got.Cancelled, got.Continued)
		}
	}
}

// readEvents reads n events of an answer and returns the id of the last one.
func readEvents(t *testing.T, r *bufio.Reader, n int) string {
	t.Helper()
	id := ""
	for n > 0 {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatalf("answer: got %v, want %d more events", err, n)
		}
		if found, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			id = found
			n--
		}
	}
	return id
}

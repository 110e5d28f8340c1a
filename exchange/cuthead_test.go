package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/tools/txtar"

	"crocuslug/relay"
	"crocuslug/timer"
)

// startRelay lets c open its connections through another instance.
func startRelay(ctx context.Context, t *testing.T, c *Client, clock *timer.Service) {
	t.Helper()
	helper := relay.New(relay.Settings{Listen: "127.0.0.1:0"}, clock, zerolog.Nop())
	if err := helper.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(helper.Stop)
	dial := c.Dial
	c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		up, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		token, _ := helper.Offer(up, "u", "self", true)
		return relay.Dial(ctx, clock, "peer", helper.Addr(), token, true)
	}
}

// TestCutHeads guards against an answer whose head is cut being taken for a whole one. It cuts the heads of
// testdata/heads/heads.txtar at each byte.
func TestCutHeads(t *testing.T) {
	t.Parallel()
	heads, err := txtar.ParseFile("testdata/heads/heads.txtar")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name    string
		relayed bool
		kept    bool // the connection has had an exchange before
		body    int  // of the request in bytes
		reset   bool
	}{
		{name: "direct, closed", body: 4},
		{name: "direct, reset", body: 4, reset: true},
		{name: "kept, closed", body: 4, kept: true},
		{name: "relayed, closed", body: 4, relayed: true},
		{name: "relayed, reset", body: 4, relayed: true, reset: true},
		{name: "relayed and kept, closed", body: 4, relayed: true, kept: true},
		{name: "uploading, closed", body: uploadSize},
		{name: "uploading through another instance, closed", body: uploadSize, relayed: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			clock := timer.New()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go clock.Run(ctx)
			var part atomic.Pointer[string] // of the head that is written
			u := startUpstream(t, func(_ int, conn *net.TCPConn) {
				br := bufio.NewReader(conn)
				if tc.kept {
					_, _ = readRequest(conn, br)
					_, _ = io.WriteString(conn, framedHead+"part")
				}
				if tc.body == uploadSize {
					_, _ = io.CopyN(io.Discard, br, 1<<10)
				} else {
					_, _ = readRequest(conn, br)
				}
				_, _ = io.WriteString(conn, *part.Load())
				if tc.reset {
					_ = conn.SetLinger(0)
				}
				_ = conn.Close()
			})
			c := New(Settings{}, clock)
			defer c.Close()
			if tc.relayed {
				startRelay(ctx, t, c, clock)
			}
			body := make([]byte, tc.body)
			const waitLimit = 10 * time.Second
			for _, f := range heads.Files {
				head := string(f.Data)
				if f.Name != "lines" {
					head = strings.ReplaceAll(head, "\n", "\r\n")
				}
				if tc.body < uploadSize && !tc.kept && !tc.reset {
					whole := head + "\r\n"
					if f.Name == "chunks" {
						whole += "0\r\n\r\n"
					}
					part.Store(&whole)
					if got := result(ctx, c, u.Addr().String(), newRequest("1")); got == "broken" {
						t.Errorf("%s: got %s, want an answer to the whole head", f.Name, got)
					}
				}
				for n := range len(head) + 1 {
					cut := head[:n]
					part.Store(&cut)
					if tc.kept {
						if got, want := result(ctx, c, u.Addr().String(), newRequest("1")), `200 "part"`; got != want {
							t.Fatalf("%s: exchange before the cut: got %s, want %s", f.Name, got, want)
						}
					}
					r := newRequest("1")
					r.Body, r.AnswerBy = body, time.Now().Add(waitLimit)
					if got, want := result(ctx, c, u.Addr().String(), r), "broken"; got != want {
						t.Errorf("%s cut after %d of %d bytes: got %s, want %s", f.Name, n, len(head), got, want)
					}
				}
			}
		})
	}
}

package relay

import (
	"bytes"
	"io"
	"net"
	"testing"
)

const (
	// uploadSize is the size in bytes of a request that no socket buffers hold, so that it is still being
	// written when the upstream ends its connection.
	uploadSize = 16 << 20
	// truncatedRuns is the number of runs of a case that is a race. Of 40 runs, 2 to 8 failed before the
	// helper checked its write.
	truncatedRuns = 200
)

// TestResetDuringUpload guards against a part of an answer that looks whole, if the upstream resets its
// connection while the helper writes the request to it, and against an answer that the upstream ends in order
// meanwhile and that looks cut off.
func TestResetDuringUpload(t *testing.T) {
	tests := []struct {
		name  string
		end   func(upstream *net.TCPConn)
		whole bool
	}{
		{"reset", func(*net.TCPConn) {}, false},
		{"closed, then reset", func(upstream *net.TCPConn) { _ = upstream.CloseWrite() }, true},
	}
	upload := make([]byte, uploadSize)
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := newServer(t, Settings{})
			whole := 0
			for range truncatedRuns {
				p := newPairAt(t, s, true)
				sent := make(chan struct{})
				go func() {
					defer close(sent)
					_, _ = p.conn.Write(upload)
				}()
				_, _ = io.CopyN(io.Discard, p.upstream, 1<<10)
				_, _ = io.WriteString(p.upstream, "part")
				tc.end(p.upstream)
				_, _ = io.CopyN(io.Discard, p.upstream, 1<<20)
				reset(p.upstream)
				if got, err := io.ReadAll(p.conn); err == nil && bytes.Equal(got, []byte("part")) {
					whole++
				}
				_ = p.conn.Close()
				<-sent
			}
			want := 0
			if tc.whole {
				want = truncatedRuns
			}
			if whole != want {
				t.Errorf("answers that look whole: got %d of %d, want %d", whole, truncatedRuns, want)
			}
		})
	}
}

package exchange

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"

	"crocuslug/timer"
)

// TestInvalidStatus guards against statuses that HTTP does not define being skipped as interim answers, so
// that bytes of their body are taken for the answer, or being taken for answers. The connection is not used
// again.
func TestInvalidStatus(t *testing.T) {
	t.Parallel()
	const next = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi"
	tests := []struct{ status, body, want string }{
		{"000", next, "broken"},
		{"+42", next, "broken"},
		{"042", next, "broken"},
		{"099", next, "broken"},
		{"100", next, `200 "hi"`},
		{"199", next, `200 "hi"`},
		{"200", "", `200 ""`},
		{"599", "", `599 ""`},
		{"600", "", "broken"},
		{"999", "", "broken"},
	}
	for _, tc := range tests {
		u := startUpstream(t, func(_ int, c *net.TCPConn) {
			br := bufio.NewReader(c)
			for {
				if _, err := readRequest(c, br); err != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\nId: 1\r\nContent-Length: 0\r\n\r\n%s", tc.status, tc.body)
			}
		})
		c := New(Settings{}, timer.New())
		if got := exchangeResult(context.Background(), c, u.Addr().String(), "1"); got != tc.want {
			t.Errorf("status %s: got %s, want %s", tc.status, got, tc.want)
		}
		if got, want := len(c.idle) > 0, tc.want != "broken"; got != want {
			t.Errorf("status %s: got connection kept %t, want %t", tc.status, got, want)
		}
		c.Close()
	}
}

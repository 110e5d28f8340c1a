package serviceproxy

import "testing"

// cutHeads are heads of answers without their last line, which is empty.
var cutHeads = []string{
	rawHead + "Content-Length: 0\r\n",
	rawHead + "Transfer-Encoding: chunked\r\n",
	rawHead + "Connection: close\r\n",
	"HTTP/1.0 200 OK\r\nServer: a\r\n",
	"HTTP/1.1 204 No Content\r\nServer: a\r\n",
	"HTTP/1.1 100 Continue\r\n\r\n" + rawHead + "Content-Length: 0\r\n",
	"HTTP/1.1 200 OK\nContent-Length: 0\n",
}

// TestCutHeads guards against an answer of a service whose head is cut being taken for a whole one.
func TestCutHeads(t *testing.T) {
	for _, head := range cutHeads {
		for n := range len(head) + 1 {
			for _, reset := range []bool{false, true} {
				if body, err := answerRaw(t, head[:n], "", reset); err == nil {
					t.Errorf("%q, reset %v: got an answer %q, want an error", head[:n], reset, body)
				}
			}
		}
	}
}

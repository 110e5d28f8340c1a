package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// readAll sends a request on a new connection and returns all bytes up to the end of the connection
// and the error with which reading ended, or nil for an orderly end.
func readAll(t *testing.T, s *Server, request string) (string, error) {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	b, err := io.ReadAll(c)
	return string(b), err
}

// TestCutWithoutChunks guards against answers to HTTP/1.0 callers that were broken off and look
// complete: such an answer ends with its connection, so only a reset shows that bytes are missing.
func TestCutWithoutChunks(t *testing.T) {
	ended := make(chan error, 2)
	s := startServer(t, func(c *Call) {
		_ = c.Begin(http.StatusOK, http.Header{})
		_ = c.Piece([]byte("one"))
		switch c.Request.RequestURI {
		case "/whole":
			_ = c.End()
		case "/failed":
			ended <- c.Answer(http.StatusBadGateway, http.Header{}, nil)
		case "/process-ended":
			_ = c.conn.Conn.Close() // what the kernel does when the process ends
		}
	})
	tests := []struct {
		target string
		cut    bool
	}{
		{"/whole", false},
		{"/cut", true},
		{"/failed", true},
		{"/process-ended", true},
	}
	for _, tc := range tests {
		for _, field := range []string{"", "Connection: keep-alive\r\n"} {
			got, err := readAll(t, s, "GET "+tc.target+" HTTP/1.0\r\nHost: h\r\n"+field+"\r\n")
			if (err != nil) != tc.cut {
				t.Errorf("%s %q: got end %v of %q, want cut %v", tc.target, field, err, got, tc.cut)
			}
			if !tc.cut && !strings.HasSuffix(got, "\r\n\r\none") {
				t.Errorf("%s %q: got %q, want the body one", tc.target, field, got)
			}
		}
	}
	for range 2 {
		if err := <-ended; err == nil {
			t.Error("second answer: got no error, want one")
		}
	}
}

// TestCutInChunks guards against a last chunk after an answer that was broken off.
func TestCutInChunks(t *testing.T) {
	s := startServer(t, echo)
	for target, want := range map[string]bool{"/cut": false, "/pieces": true} {
		got, _ := readAll(t, s, "GET "+target+" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		if strings.HasSuffix(got, "\r\n0\r\n\r\n") != want {
			t.Errorf("%s: got %q, want a last chunk: %v", target, got, want)
		}
	}
}

// TestKeptConnectionOfHTTP10 guards against HTTP/1.0 callers that wait for the end of a connection
// that stays open: without Connection: keep-alive in the answer they must take it as its end.
func TestKeptConnectionOfHTTP10(t *testing.T) {
	s := startServer(t, echo)
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	br := bufio.NewReader(c)
	for _, target := range []string{"/a", "/b"} {
		_, _ = io.WriteString(c, "GET "+target+" HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		if got, want := string(body), "GET "+target+" "; got != want || err != nil {
			t.Errorf("body: got %q, %v, want %q", got, err, want)
		}
		if got, want := res.Header.Get("Connection"), "keep-alive"; got != want {
			t.Errorf("Connection: got %q, want %q", got, want)
		}
	}
	if got, err := readAll(t, s, "GET /a HTTP/1.0\r\nHost: h\r\n\r\n"); err != nil || !strings.Contains(got, "Connection: close\r\n") {
		t.Errorf("without keep-alive: got %q, %v, want Connection: close and an orderly end", got, err)
	}
}

// TestHeadInPieces guards against a body after the head of an answer to HEAD: its bytes would be
// taken for the next answer on the connection.
func TestHeadInPieces(t *testing.T) {
	s := startServer(t, echo)
	got, _ := readAll(t, s, "HEAD /pieces HTTP/1.1\r\nHost: h\r\n\r\nHEAD /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	heads := strings.SplitAfter(got, "\r\n\r\n")
	if len(heads) != 3 || heads[2] != "" || !strings.HasPrefix(heads[1], "HTTP/1.1 200 ") {
		t.Errorf("got %q, want two heads and no other bytes", got)
	}
}

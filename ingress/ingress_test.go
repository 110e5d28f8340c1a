package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/tools/txtar"

	"crocuslug/directory"
	"crocuslug/timer"
)

var limits = directory.Limits{HeaderBytes: 1000, BodyBytes: 100, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 400 * time.Millisecond}

// startServer runs a server with a handler until the end of the test.
func startServer(t *testing.T, handle func(c *Call)) *Server {
	t.Helper()
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go clock.Run(ctx)
	s := New(Settings{Listen: "127.0.0.1:0", BodyTimeout: 500 * time.Millisecond}, Ports{
		Handle:   handle,
		Limits:   func() directory.Limits { return limits },
		Rejected: func(string, int, error) {},
	}, clock, zerolog.Nop())
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// echo answers with the method, the target and the body. It answers /pieces in pieces, and /cut in
// pieces without an end.
func echo(c *Call) {
	switch c.Request.RequestURI {
	case "/pieces", "/cut":
		_ = c.Begin(http.StatusOK, http.Header{})
		_ = c.Piece([]byte("one "))
		_ = c.Piece([]byte("two"))
		if c.Request.RequestURI == "/pieces" {
			_ = c.End()
		}
	default:
		_ = c.Answer(http.StatusOK, http.Header{}, []byte(c.Request.Method+" "+c.Request.RequestURI+" "+string(c.Body)))
	}
}

// TestScripts sends the bytes in testdata/*.txtar on one connection and compares the answers with
// the expected ones.
func TestScripts(t *testing.T) {
	names, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(names) == 0 {
		t.Fatalf("scripts: got %v, %v, want some", names, err)
	}
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txtar"), func(t *testing.T) { runScript(t, name) })
	}
}

func runScript(t *testing.T, name string) {
	a, err := txtar.ParseFile(name)
	if err != nil {
		t.Fatal(err)
	}
	files := map[string]string{}
	for _, f := range a.Files {
		files[f.Name] = string(f.Data)
	}
	s := startServer(t, echo)
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	text := strings.ReplaceAll(files["send"], "@long@", strings.Repeat("x", 2000))
	text = strings.TrimSuffix(strings.ReplaceAll(text, "\n", "\r\n"), "$\r\n")
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	var got []string
	br := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			got = append(got, "closed")
			break
		}
		body, err := io.ReadAll(res.Body)
		line := res.Status[:3] + " " + strings.TrimSpace(string(body))
		if err != nil {
			line += " cut"
		}
		got = append(got, strings.TrimSpace(line))
	}
	if want := strings.TrimSpace(files["want"]); strings.Join(got, "\n") != want {
		t.Errorf("got:\n%s\nwant:\n%s", strings.Join(got, "\n"), want)
	}
}

// TestCallerGone checks that the context of a call ends when its caller disconnects.
func TestCallerGone(t *testing.T) {
	begun, gone := make(chan struct{}), make(chan struct{})
	s := startServer(t, func(c *Call) {
		close(begun)
		<-c.Context().Done()
		close(gone)
	})
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-begun
	_ = c.Close()
	<-gone
}

// TestLeave checks that a planned shutdown answers the request in progress and closes idle
// connections.
func TestLeave(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	s := startServer(t, func(c *Call) {
		if c.Request.RequestURI == "/slow" {
			close(begun)
			<-release
		}
		_ = c.Answer(http.StatusOK, http.Header{}, nil)
	})
	send := func(target string) net.Conn {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, "GET "+target+" HTTP/1.1\r\nHost: h\r\n\r\n")
		return c
	}
	read := func(c net.Conn) *http.Response {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("got %v, want an answer", err)
		}
		return res
	}
	idle := send("/")
	if res := read(idle); res.Close {
		t.Errorf("before leaving: got Connection: close, want none")
	}
	slow := send("/slow")
	<-begun
	s.Leave()
	if res := read(send("/")); !res.Close {
		t.Errorf("while leaving: got no Connection: close, want it")
	}
	s.Close()
	if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("idle connection: got %v, want EOF", err)
	}
	close(release)
	if res := read(slow); res.StatusCode != http.StatusOK {
		t.Errorf("request in progress: got %d, want 200", res.StatusCode)
	}
	if _, err := slow.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("connection after the last answer: got %v, want EOF", err)
	}
	if err := s.Wait(context.Background()); err != nil {
		t.Error(err)
	}
}

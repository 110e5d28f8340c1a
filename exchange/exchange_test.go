package exchange

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"

	"crocuslug/timer"
)

// upstream accepts connections and lets a function serve them with raw bytes.
type upstream struct {
	net.Listener
	serve func(n int, c *net.TCPConn) // serves connection n, counted from 0
}

func startUpstream(t *testing.T, serve func(n int, c *net.TCPConn)) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &upstream{l, serve}
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(n, c.(*net.TCPConn))
		}
	}()
	return u
}

// readRequest reads one request and returns its id.
func readRequest(c net.Conn, br *bufio.Reader) (string, error) {
	req, err := http.ReadRequest(br)
	if err != nil {
		return "", err
	}
	if _, err := br.Discard(int(req.ContentLength)); err != nil {
		return "", err
	}
	return req.Header.Get("Id"), nil
}

func newRequest(id string) *Request {
	return &Request{
		Method:   http.MethodPost,
		Target:   "/a?b=c",
		Host:     "h",
		Header:   http.Header{"Id": {id}},
		Body:     []byte("body"),
		IsAnswer: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

// TestScripts runs testdata/*.txtar. A file holds the bytes that an upstream sends after each of
// two requests on one connection, how the connection ends then, and the expected results.
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
	raw := func(name string) []byte {
		s := strings.ReplaceAll(files[name], "\\\n", "")
		s = strings.ReplaceAll(s, "\n", "\r\n")
		return []byte(strings.TrimSuffix(s, "$\r\n"))
	}
	u := startUpstream(t, func(n int, c *net.TCPConn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for i := 1; ; i++ {
			if _, err := readRequest(c, br); err != nil {
				return
			}
			if n > 0 {
				i = 2
			}
			_, _ = c.Write(raw(fmt.Sprintf("answer %d", i)))
			switch strings.TrimSpace(files[fmt.Sprintf("end %d", i)]) {
			case "close":
				return
			case "reset":
				_ = c.SetLinger(0)
				return
			}
		}
	})
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go clock.Run(ctx)
	c := New(Settings{}, clock)
	defer c.Close()
	var got []string
	for i := 1; i <= 2; i++ {
		got = append(got, exchangeResult(ctx, c, u.Addr().String(), fmt.Sprint(i)))
	}
	got = append(got, fmt.Sprintf("connections %d", c.Dials()))
	if want := strings.TrimSpace(files["want"]); strings.Join(got, "\n") != want {
		t.Errorf("got:\n%s\nwant:\n%s", strings.Join(got, "\n"), want)
	}
}

func exchangeResult(ctx context.Context, c *Client, address, id string) string {
	r := newRequest(id)
	r.AnswerBy = time.Now().Add(5 * time.Second)
	return result(ctx, c, address, r)
}

// result makes an exchange and returns the status and body, or the class of the error.
func result(ctx context.Context, c *Client, address string, r *Request) string {
	ans, err := c.Do(ctx, address, r)
	if err != nil {
		return errorClass(err)
	}
	defer ans.Close()
	body, err := ans.ReadBody()
	if err != nil {
		return errorClass(err)
	}
	return fmt.Sprintf("%d %q", ans.Status, body)
}

func errorClass(err error) string {
	switch {
	case NotSent.Has(err):
		return "not sent"
	case Broken.Has(err):
		return "broken"
	}
	return "other error: " + err.Error()
}

func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if got, want := exchangeResult(context.Background(), New(Settings{}, timer.New()), address, "1"), "not sent"; got != want {
		t.Errorf("refused connection: got %s, want %s", got, want)
	}
}

// TestCancelled checks that the connection is closed when the context ends.
func TestCancelled(t *testing.T) {
	read, closed := make(chan struct{}), make(chan struct{})
	u := startUpstream(t, func(_ int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		_, _ = readRequest(c, br)
		close(read)
		_, _ = br.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan string)
	go func() { done <- exchangeResult(ctx, New(Settings{}, timer.New()), u.Addr().String(), "1") }()
	<-read
	cancel()
	<-closed
	if got, want := <-done, "broken"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// TestEarlyAnswer checks that an answer that arrives before the upstream has read the request is
// returned, and that the connection is not reused.
func TestEarlyAnswer(t *testing.T) {
	u := startUpstream(t, func(_ int, c *net.TCPConn) {
		br := bufio.NewReader(c)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 413 Too Large\r\nId: 1\r\nContent-Length: 0\r\n\r\n"))
		buf := make([]byte, 1)
		_, _ = br.Read(buf) // reads one byte, so that the sender blocks
		select {}
	})
	c := New(Settings{}, timer.New())
	r := newRequest("1")
	r.Body = make([]byte, 32<<20)
	ans, err := c.Do(context.Background(), u.Addr().String(), r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ans.ReadBody(); err != nil || ans.Status != 413 {
		t.Errorf("got %d, %v, want 413", ans.Status, err)
	}
	ans.Close()
	if n := len(c.idle); n != 0 {
		t.Errorf("idle connections: got %d, want none", n)
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	tests := []struct {
		value string
		want  time.Duration
		ok    bool
	}{
		{"timeout=5", 5*time.Second - keepAliveMargin, true},
		{"max=3, timeout=2", 2*time.Second - keepAliveMargin, true},
		{"timeout=0", 0, true},
		{"timeout=x", 0, false},
		{"", 0, false},
	}
	for _, tc := range tests {
		got, ok := keepAliveTimeout(http.Header{"Keep-Alive": {tc.value}})
		if got != tc.want || ok != tc.ok {
			t.Errorf("%q: got %v, %v, want %v, %v", tc.value, got, ok, tc.want, tc.ok)
		}
	}
}

package standinsite

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"crocuslug/access"
	"crocuslug/caller"
	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/owner"
	"crocuslug/result"
	"crocuslug/standinengine"
)

func startSite(t *testing.T, cfg Settings) *Site {
	t.Helper()
	if cfg.Engine.TokenInterval == 0 {
		cfg.Engine.TokenInterval = 5 * time.Millisecond
	}
	cfg.Seed = 1
	s := New(cfg)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// raw sends an HTTP request over a connection of its own and returns it.
func raw(t *testing.T, address, method, path, key, headers, body string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, key, headers, len(body), body)
	return conn, bufio.NewReader(conn)
}

// status returns the status line's number.
func status(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	line, err := r.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.Fields(line)[1]
}

// TestForeignKeys shows that no key gets another workspace's answer.
func TestForeignKeys(t *testing.T) {
	t.Parallel()
	s := startSite(t, Settings{Document: configuration.Document{Workspaces: []configuration.Workspace{
		{Name: "other", KeyHashes: []string{access.Hash([]byte("other-key"))}},
	}}})
	a := s.Caller(caller.Settings{}).Do(testContext(t), caller.Request{ID: "mine", Model: Model, Prompt: "p", MaxTokens: 5})
	if !a.Whole {
		t.Fatalf("own answer: got %v, want whole", a.Err)
	}
	for _, c := range []struct{ key, headers, want string }{
		{"other-key", "", "404"},
		{"other-key", "Last-Event-ID: " + a.Cursor + "\r\n", "410"},
		{"wrong", "", "401"},
		{OperatorKey, "", "401"},
		{WorkspaceKey, "Last-Event-ID: g~1~0\r\n", "410"},
		{WorkspaceKey, "Last-Event-ID: nonsense\r\n", "400"},
		{WorkspaceKey, "", "200"},
		{WorkspaceKey, "Last-Event-ID: " + a.Cursor + "\r\n", "200"},
	} {
		for _, address := range s.Addresses() {
			_, r := raw(t, address, "GET", "/v1/generations/mine", c.key, c.headers, "")
			if got := status(t, r); got != c.want {
				t.Errorf("key %s, %q: got %s, want %s", c.key, c.headers, got, c.want)
			}
		}
	}
}

// TestSameRequestTwice sends one request through two instances at once. Both
// callers get one and the same whole answer, and it is generated once.
func TestSameRequestTwice(t *testing.T) {
	t.Parallel()
	s := startSite(t, Settings{})
	ctx := testContext(t)
	var answers [2]caller.Answer
	var wg sync.WaitGroup
	started := make(chan struct{})
	var once sync.Once
	for i := range answers {
		wg.Go(func() {
			if i == 1 {
				<-started
			}
			answers[i] = s.Caller(caller.Settings{Reconnects: 1000}).Do(ctx, caller.Request{
				ID: "twice", Model: Model, Prompt: "p", MaxTokens: 60, First: i,
				OnToken: func(int, string) { once.Do(func() { close(started) }) },
			})
		})
	}
	wg.Wait()
	if got, want := strings.Join(answers[1].Tokens, ""), strings.Join(answers[0].Tokens, ""); got != want || !answers[0].Whole || !answers[1].Whole {
		t.Errorf("second answer: got %q, want %q", got, want)
	}
	if got, _ := s.Decoded(); got != 60 {
		t.Errorf("tokens decoded: got %d, want 60", got)
	}
}

// TestRequestConflict refuses a known id with another body.
func TestRequestConflict(t *testing.T) {
	t.Parallel()
	s := startSite(t, Settings{})
	c := s.Caller(caller.Settings{})
	c.Do(testContext(t), caller.Request{ID: "one", Model: Model, Prompt: "p", MaxTokens: 5})
	a := c.Do(testContext(t), caller.Request{ID: "one", Model: Model, Prompt: "q", MaxTokens: 5, First: 1})
	if a.Err == nil || a.Err.Code != result.RequestConflict {
		t.Errorf("another body: got %v, want %v", a.Err, result.RequestConflict)
	}
}

// TestSlowCaller shows that a caller that does not read holds its own generation
// back, at a bounded length, and no other.
func TestSlowCaller(t *testing.T) {
	t.Parallel()
	const window = 50
	cfg := Settings{Engine: standinengine.Settings{TokenInterval: time.Millisecond}}
	cfg.Options.Owner = owner.Settings{MaxUnreadTokens: window}
	s := startSite(t, cfg)
	body := `{"model":"m","messages":[{"role":"user","content":"p"}],"stream":true,"max_tokens":30000}`
	conn, _ := raw(t, s.Addresses()[0], "POST", "/v1/chat/completions", WorkspaceKey, "X-Request-Id: slow\r\n", body)
	if err := conn.(*net.TCPConn).SetReadBuffer(1); err != nil {
		t.Fatal(err)
	}
	ctx := testContext(t)
	for i := range 20 {
		a := s.Caller(caller.Settings{}).Do(ctx, caller.Request{ID: ident.Request(fmt.Sprintf("quick-%d", i)), Model: Model, Prompt: "p", MaxTokens: 200})
		if !a.Whole {
			t.Fatalf("neighbour %d: got %v, want whole", i, a.Err)
		}
	}
	held, delivered := s.Instances[0].Progress(Workspace, "slow")
	if held < window {
		t.Fatalf("tokens held: got %d, want at least %d", held, window)
	}
	if got, want := held-delivered, window+1; got > want {
		t.Errorf("tokens ahead of a caller that does not read: got %d, want at most %d", got, want)
	}
}

// TestCallerGone cancels a generation whose caller does not come back.
func TestCallerGone(t *testing.T) {
	t.Parallel()
	cfg := Settings{Engines: 1}
	cfg.Options.Owner.Generation.CallerTimeout = 100 * time.Millisecond
	s := startSite(t, cfg)
	body := `{"model":"m","messages":[{"role":"user","content":"p"}],"stream":true,"max_tokens":30000}`
	conn, r := raw(t, s.Addresses()[0], "POST", "/v1/chat/completions", WorkspaceKey, "X-Request-Id: gone\r\n", body)
	if _, err := r.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	for ctx := testContext(t); s.Engines[0].Counters().Cancelled == 0; time.Sleep(10 * time.Millisecond) {
		if ctx.Err() != nil {
			t.Fatal("stream on the engine: got none cancelled, want 1")
		}
	}
}

// TestConnectionLimit refuses connections above the limit at once, streams counted.
func TestConnectionLimit(t *testing.T) {
	t.Parallel()
	cfg := Settings{Instances: 1}
	cfg.Daemon.Limits.Connections = 2
	s := startSite(t, cfg)
	body := `{"model":"m","messages":[{"role":"user","content":"p"}],"stream":true,"max_tokens":3000}`
	for i, want := range []string{"200", "200", "503"} {
		_, r := raw(t, s.Addresses()[0], "POST", "/v1/chat/completions", WorkspaceKey, fmt.Sprintf("X-Request-Id: c%d\r\n", i), body)
		if got := status(t, r); got != want {
			t.Errorf("connection %d: got %s, want %s", i, got, want)
		}
	}
}

package standinengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"crocuslug/timer"
)

// testEngine is a running engine with an HTTP client that opens a connection per call.
type testEngine struct {
	t   *testing.T
	e   *Engine
	web *http.Client
}

func newTestEngine(t *testing.T, cfg Settings) *testEngine {
	t.Helper()
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go clock.Run(ctx)
	if cfg.TokenInterval == 0 {
		cfg.TokenInterval = time.Millisecond
	}
	cfg.Models = []Model{{Model: "bench", Version: "1"}} // a model name that no other client on this machine requests
	e := New(cfg, clock)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	web := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return &testEngine{t, e, web}
}

func (r *testEngine) call(method, path, body string, header ...string) *http.Response {
	r.t.Helper()
	res, err := r.try(method, path, body, header...)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = res.Body.Close() })
	return res
}

func (r *testEngine) try(method, path, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequest(method, "http://"+r.e.Addr()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return r.web.Do(req)
}

func (r *testEngine) start(id string, maxTokens int, message, extra string) *http.Response {
	body := `{"model":"bench","stream":true,"max_tokens":` + strconv.Itoa(maxTokens) +
		`,"messages":[{"role":"user","content":"` + message + `"}]` + extra + `}`
	return r.call("POST", completionsPath, body, "X-Request-Id", id)
}

// read returns up to n tokens with their indexes, and whether it reached the end
// marker of the stream.
func (r *testEngine) read(res *http.Response, n int) (ids []int, tokens []string, whole bool) {
	r.t.Helper()
	in := bufio.NewScanner(res.Body)
	id := -1
	for len(tokens) < n && in.Scan() {
		line := in.Text()
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(v)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if data == "[DONE]" {
			return ids, tokens, true
		}
		var c chunk
		if !ok || json.Unmarshal([]byte(data), &c) != nil || c.Choices[0].FinishReason != nil {
			continue
		}
		ids = append(ids, id)
		tokens = append(tokens, c.Choices[0].Delta.Content)
	}
	return ids, tokens, false
}

const all = 1 << 20

func TestResumedAndContinuedStreamsGiveSameAnswer(t *testing.T) {
	r := newTestEngine(t, Settings{})
	res := r.start("a", 200, "hello", "")
	_, head, _ := r.read(res, 20)
	_ = res.Body.Close()
	ids, tail, whole := r.read(r.call("GET", streamsPath+"a", "", "Last-Event-ID", "19"), all)
	if !whole || ids[0] != 20 {
		t.Fatalf("resumed: got first id %d, whole %v, want 20, true", ids[0], whole)
	}
	answer := append(head, tail...)
	if nonce, err := readNonce(answer); err != nil || len(answer) != 200 {
		t.Fatalf("answer of %s: got %d tokens, %v, want 200 of one answer", nonce, len(answer), err)
	}
	given, _ := json.Marshal(answer[:150])
	ids, tail, whole = r.read(r.start("b", 200, "hello", `,"continue_from":`+string(given)), all)
	if !whole || ids[0] != 150 {
		t.Fatalf("continued: got first id %d, whole %v, want 150, true", ids[0], whole)
	}
	if got, want := strings.Join(tail, ""), strings.Join(answer[150:], ""); got != want {
		t.Errorf("continued: got %q, want %q", got, want)
	}
	c := r.e.Counters()
	if got, want := c.Decoded, uint64(250); got != want {
		t.Errorf("tokens decoded: got %d, want %d; all counts %+v", got, want, c)
	}
}

func TestCrashLosesAllState(t *testing.T) {
	exited := make(chan struct{})
	r := newTestEngine(t, Settings{Exit: func() { close(exited) }})
	other := r.start("a", 100000, "hello", "")
	r.read(other, 1)
	crash := `{"model":"bench","stream":true,"messages":[{"role":"user","content":"please crash-engine now"}]}`
	if res, err := r.try("POST", completionsPath, crash); err == nil { // the reset may arrive before the response header
		if _, tokens, whole := r.read(res, all); whole || len(tokens) > 0 {
			t.Errorf("crashing request: got %d tokens, whole %v, want none", len(tokens), whole)
		}
		_ = res.Body.Close()
	}
	<-exited
	if _, err := io.Copy(io.Discard, other.Body); err == nil {
		t.Error("stream beside the crash: got a clean end, want a reset")
	}
	if _, err := r.try("GET", loadPath, ""); err == nil {
		t.Error("call while down: got an answer, want none")
	}
	if err := r.e.Restart(); err != nil {
		t.Fatal(err)
	}
	if got, want := r.call("GET", streamsPath+"a", "").StatusCode, http.StatusNotFound; got != want {
		t.Errorf("stream after restart: got %d, want %d", got, want)
	}
}

func TestSilenceKeepsNewConnectionsWorking(t *testing.T) {
	r := newTestEngine(t, Settings{})
	res := r.start("a", 100000, "hello", "")
	r.read(res, 1)
	r.e.Silence()
	ids, _, _ := r.read(r.call("GET", streamsPath+"a", ""), 50)
	if len(ids) != 50 {
		t.Errorf("resumed on a new connection: got %d tokens, want 50", len(ids))
	}
	r.e.Stop()
	rest, err := io.ReadAll(res.Body)
	if err == nil || bytes.Contains(rest, []byte("[DONE]")) {
		t.Errorf("silent connection: got end %v with %d bytes, want an error and no end of stream", err, len(rest))
	}
}

func TestFrozenEngineDoesNotAnswer(t *testing.T) {
	r := newTestEngine(t, Settings{})
	r.e.Freeze()
	before := r.e.Counters().Decoded
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+r.e.Addr()+loadPath, nil)
	if _, err := r.web.Do(req); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("call to a frozen engine: got %v, want %v", err, context.DeadlineExceeded)
	}
	if got := r.e.Counters().Decoded; got != before {
		t.Errorf("tokens decoded while frozen: got %d, want %d", got, before)
	}
	r.call("POST", faultsPath, `{"Kind":"Thaw"}`)
	if got, want := r.call("GET", loadPath, "").StatusCode, http.StatusOK; got != want {
		t.Errorf("call after thaw: got %d, want %d", got, want)
	}
}

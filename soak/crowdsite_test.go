package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"crocuslug/directory"
	"crocuslug/ident"
	"crocuslug/keyvalue"
	"crocuslug/nativewire"
	"crocuslug/settings"
	"crocuslug/timer"
)

// Crowd and limits of the tests of crowds. The memory is two thirds of that of a small instance, so that
// few callers show what many do at the users' sites. The limit of bodies is the users'.
const (
	crowdCallers     = 60
	crowdMemory      = 96 << 20
	crowdDescriptors = 800
	crowdPlaces      = 200       // connections of callers that they allow
	crowdConnections = 240       // of the test of unfinished bodies
	crowdHeader      = 16 << 10  // the users'
	crowdLongHeader  = 192 << 10 // of the test of heads
	crowdBody        = 4 << 20   // limit of bodies in the configuration
	crowdTinyBody    = 1 << 20   // of the callers with very small chunks
	crowdLongBody    = 16 << 20  // beyond the limit
	crowdAnswer      = 8 << 20   // of the upstream
	crowdInstances   = 3         // of the test of prompts, which instances tell each other
	crowdParts       = 20_000    // of a prompt, within crowdLongHeader
	crowdWait        = 30 * time.Second
)

// crowdSite is one instance before one upstream, which runs in the test.
type crowdSite struct {
	t        *testing.T
	cluster  *cluster
	bin      string // directory of the programs
	instance *instance
	answered atomic.Int64 // large answers that the upstream has written or broken off
}

// startCrowdSite starts a store and an instance as processes, with a limit of the heads of requests.
func startCrowdSite(t *testing.T, headerBytes int) *crowdSite {
	t.Helper()
	bin, logs := t.TempDir(), t.TempDir()
	if out, err := exec.Command("go", "build", "-o", bin, "crocuslug/cmd/crocuslug", "crocuslug/cmd/standin").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	c := clock{timer.New()}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go c.Run(ctx)
	s := &crowdSite{t: t, bin: bin, cluster: &cluster{clock: c, dir: logs}}
	var err error
	if s.cluster.recorder, err = newRecorder(c); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.cluster.stop)
	s.startStore(ctx, headerBytes)
	s.startUpstream(ctx)
	s.instance = s.startInstance("edge-0")
	s.await("the instance serves", func() bool { return s.request() == nil })
	return s
}

func (s *crowdSite) address() string {
	s.t.Helper()
	a, err := s.cluster.reserveAddress()
	if err != nil {
		s.t.Fatal(err)
	}
	return a
}

// startProcess starts a program. Its log is shown if the test fails.
func (s *crowdSite) startProcess(name, program string, env []string, args ...string) *process {
	s.t.Helper()
	p, err := newProcess(s.cluster.clock, s.cluster.dir, name, []string{program}, env, args...)
	if err == nil {
		err = p.start()
	}
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		if b, err := os.ReadFile(filepath.Join(s.cluster.dir, name+".log")); s.t.Failed() && err == nil {
			const shown = 4000
			s.t.Logf("end of the log of %s:\n%s", name, b[max(0, len(b)-shown):])
		}
	})
	return p
}

// startStore starts the store and writes a configuration with two routes.
func (s *crowdSite) startStore(ctx context.Context, headerBytes int) {
	s.t.Helper()
	cl := s.cluster
	cl.storeAddress = s.address()
	cl.storeProcess = s.startProcess("store", filepath.Join(s.bin, "standin"), nil, "--listen", cl.storeAddress, "keyvalue")
	cl.client = keyvalue.New(keyvalue.Settings{Address: cl.storeAddress}, cl.clock.Service)
	cl.store = cl.client.Store()
	cl.document = directory.Document{
		Version: 1,
		Routes: []directory.Route{{
			Name: "safe", Host: host, Prefix: "/safe/", Kind: directory.Safe, MaxAttempts: 1, Timeout: crowdWait,
			Services: []directory.Share{{Service: plainService, Weight: 1}},
		}, {
			Name: "stream", Host: host, Prefix: "/stream/", Kind: directory.Streaming, Resumable: true, MaxAttempts: 4, Timeout: crowdWait,
			Services: []directory.Share{{Service: plainService, Weight: 1}},
		}},
		Services: []directory.Service{{Name: plainService}},
		Limits:   directory.Limits{HeaderBytes: headerBytes, BodyBytes: crowdBody, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	s.await("the store takes the configuration", func() bool { return cl.writeConfiguration(ctx) == nil })
}

// startUpstream starts an upstream and registers it. Its answers under /safe/large have crowdAnswer bytes, and
// those under /stream/ have no end.
func (s *crowdSite) startUpstream(ctx context.Context) {
	s.t.Helper()
	const id = "plain-1"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(nativewire.SignatureField, id)
		w.Header().Set(nativewire.RequestField, r.Header.Get(nativewire.RequestField))
		n, _ := io.Copy(io.Discard, r.Body) // the instance may break off
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			w.Header().Set("Content-Type", "text/event-stream")
			for i := 1; r.Context().Err() == nil; i++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
				_ = http.NewResponseController(w).Flush()
				s.cluster.clock.sleep(shortDelay)
			}
			return
		}
		if r.URL.Path == "/safe/large" {
			defer s.answered.Add(1)
			w.Header().Set("Content-Length", strconv.Itoa(crowdAnswer))
			_, _ = w.Write(make([]byte, crowdAnswer)) // the same
			return
		}
		fmt.Fprint(w, n)
	}))
	s.t.Cleanup(server.Close)
	u := directory.Upstream{ID: id, Service: plainService, Address: server.Listener.Addr().String(), Domain: "d0", Slots: 64}
	b, err := json.Marshal(u)
	if err != nil {
		s.t.Fatal(err)
	}
	if _, err := s.cluster.store.Put(ctx, nativewire.UpstreamsPrefix+id, b, 0, 0); err != nil {
		s.t.Fatal(err)
	}
}

// startInstance starts an instance.
func (s *crowdSite) startInstance(name string) *instance {
	s.t.Helper()
	cl := s.cluster
	p, err := cl.newProxy(cl.storeAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	in := &instance{listen: s.address(), ready: s.address(), store: p}
	cfg := settings.Edge{
		Name: name, Domain: ident.Domain("d0"), Listen: in.listen, ReadyListen: in.ready, PeerListen: s.address(), StoreAddress: p.addr(),
		Descriptors: crowdDescriptors, MemoryBytes: crowdMemory,
	}
	b, err := json.Marshal(cfg)
	if err != nil {
		s.t.Fatal(err)
	}
	file := filepath.Join(cl.dir, name+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		s.t.Fatal(err)
	}
	in.process = s.startProcess(name, filepath.Join(s.bin, "crocuslug"), []string{secretVariable + "=soak"}, "edge", "--settings", file)
	cl.instances = append(cl.instances, in)
	return in
}

func (s *crowdSite) await(what string, ok func() bool) {
	s.t.Helper()
	deadline := s.cluster.clock.Now().Add(crowdWait)
	for !ok() {
		if s.cluster.clock.Now().After(deadline) {
			s.t.Fatalf("got nothing within %v, want that %s", crowdWait, what)
		}
		s.cluster.clock.sleep(shortDelay)
	}
}

// request makes an ordinary request with a small body.
func (s *crowdSite) request() error {
	const size = 1000
	req, err := http.NewRequest(http.MethodPost, "http://"+s.instance.listen+"/safe/small", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return err
	}
	req.Host = host
	req.Header.Set(nativewire.RequestField, "ordinary")
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: crowdWait}
	res, err := c.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK || string(b) != strconv.Itoa(size) {
		return fmt.Errorf("got %d %q, %v, want 200 and %d", res.StatusCode, b, err, size)
	}
	return nil
}

// dial opens a connection to an instance that is closed at the end of the test.
func (s *crowdSite) dial(in *instance) *net.TCPConn {
	s.t.Helper()
	c, err := net.Dial("tcp", in.listen)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// crowd lets all callers connect and send at once, waits until each has sent what it sends or lost its
// connection, and leaves the connections open until the end of the test.
func (s *crowdSite) crowd(send func(i int, c *net.TCPConn)) {
	s.t.Helper()
	var callers sync.WaitGroup
	for i := range crowdCallers {
		c := s.dial(s.instance)
		_ = c.SetDeadline(s.cluster.clock.Now().Add(crowdWait))
		callers.Go(func() { send(i, c) })
	}
	callers.Wait()
}

const chunkedHead = "POST /safe/large-body HTTP/1.1\r\nHost: " + host + "\r\nTransfer-Encoding: chunked\r\n\r\n"

// sendChunks sends size bytes of a body in chunks of one size, without its end.
func sendChunks(c net.Conn, size, chunk int) {
	if _, err := io.WriteString(c, chunkedHead); err != nil {
		return
	}
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	const least = 32 << 10 // bytes of one write
	writes := max(1, least/chunk)
	text := []byte(strings.Repeat(one, writes))
	for sent := 0; sent+writes*chunk <= size; sent += writes * chunk {
		if _, err := c.Write(text); err != nil {
			return
		}
	}
}

// check compares the instance with its bounds and makes an ordinary request.
func (s *crowdSite) check() {
	s.t.Helper()
	var last error
	deadline := s.cluster.clock.Now().Add(crowdWait)
	for last = s.request(); last != nil && s.cluster.clock.Now().Before(deadline); last = s.request() {
		s.cluster.clock.sleep(shortDelay)
	}
	if last != nil {
		s.t.Errorf("ordinary request after the crowd: %v", last)
	}
	if !s.instance.running() {
		s.t.Fatal("instance: got its end, want it alive")
	}
	if got := s.peakMemory(); got > crowdMemory {
		s.t.Errorf("greatest resident memory: got %d MiB, want at most %d MiB", got>>20, crowdMemory>>20)
	} else {
		s.t.Logf("greatest resident memory: %d MiB", got>>20)
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.pid()))
	if err != nil || len(files) > crowdDescriptors {
		s.t.Errorf("open descriptors: got %d, %v, want at most %d", len(files), err, crowdDescriptors)
	}
}

func (s *crowdSite) pid() int {
	s.instance.mu.Lock()
	defer s.instance.mu.Unlock()
	return s.instance.cmd.Process.Pid
}

// peakMemory returns the greatest resident memory that the instance has had, in bytes.
func (s *crowdSite) peakMemory() int64 {
	s.t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.pid()))
	if err != nil {
		s.t.Fatal(err)
	}
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "VmHWM:" {
			kib, err := strconv.ParseInt(f[1], 10, 64)
			if err != nil {
				s.t.Fatal(err)
			}
			return kib << 10
		}
	}
	s.t.Fatalf("got no VmHWM in %s", b)
	return 0
}

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"crocuslug/access"
	"crocuslug/caller"
	"crocuslug/configuration"
	"crocuslug/ident"
	"crocuslug/intent"
	"crocuslug/loopback"
	"crocuslug/operatorapi"
	"crocuslug/result"
	"crocuslug/settings"
	"crocuslug/timer"
)

// process is a child process of the test.
type process struct {
	t      *testing.T
	args   []string
	cmd    *exec.Cmd
	ended  chan struct{}
	addr   string
	peer   string
	errors bytes.Buffer
}

var listening = regexp.MustCompile(`listening address=(\S+)(?: peer=(\S+))?`)

// start starts the program and waits for the line with its address.
func (p *process) start(args ...string) {
	p.t.Helper()
	p.cmd = exec.Command(args[0], args[1:]...)
	p.cmd.Stderr = &p.errors
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	m := listening.FindStringSubmatch(line)
	if err != nil || m == nil {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		p.t.Fatalf("%v: got line %q, %v, want its address; errors:\n%s", args, line, err, &p.errors)
	}
	p.addr, p.peer = m[1], m[2]
	cmd, ended := p.cmd, make(chan struct{})
	p.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
}

func (p *process) signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Errorf("signal %v: %v", s, err)
	}
}

// kill kills the process, also if it is paused by SIGSTOP, and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// system is the whole system, each part of which is a process.
type system struct {
	t          *testing.T
	dir        string
	keyvalue   *process
	list       *process
	engines    []*process
	daemons    []*process
	limits     settings.Limits // of the instances
	cfgs       []settings.Settings
	timer      *timer.Service
	tokens     atomic.Int64 // delivered to callers in this round
	mu         sync.Mutex
	dueActions map[int64]func() // actions by the number of delivered tokens at which they run
}

const processWait = 10 * time.Second

func startSystem(t *testing.T, limits settings.Limits) *system {
	s := &system{t: t, dir: t.TempDir(), timer: timer.New(), limits: limits}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.timer.Run(ctx)
	if out, err := exec.Command("go", "build", "-o", s.dir, "crocuslug/cmd/crocuslug", "crocuslug/cmd/standin").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	for _, name := range []string{"peers", "bootstrap", "operator", "workspace"} {
		s.write(name+".key", []byte(name+"-key"))
	}
	s.keyvalue = s.launch("standin", "keyvalue", "--listen", s.reserveAddress())
	s.list = s.launch("standin", "instances", "--listen", s.reserveAddress())
	for range 3 {
		s.engines = append(s.engines, s.launch("standin", "engine", "--token-interval", "10ms", "--listen", s.reserveAddress()))
	}
	for i := range 3 {
		s.addDaemon(i)
	}
	return s
}

func (s *system) file(name string) string { return filepath.Join(s.dir, name) }

func (s *system) write(name string, body []byte) string {
	if err := os.WriteFile(s.file(name), body, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return s.file(name)
}

func (s *system) writeJSON(name string, v any) string {
	body, err := json.Marshal(v)
	if err != nil {
		s.t.Fatal(err)
	}
	return s.write(name, body)
}

func (s *system) launch(program string, args ...string) *process {
	p := &process{t: s.t, args: append([]string{s.file(program)}, args...)}
	p.start(p.args...)
	s.t.Cleanup(func() {
		p.kill()
		if s.t.Failed() {
			s.t.Logf("%v wrote\n%s", args, &p.errors)
		}
	})
	return p
}

// restart starts a stand-in again with the same address.
func (s *system) restart(p *process) { p.start(p.args...) }

// reserveAddress returns an address that nobody else gets before the test ends, also while
// the process that listens on it is down.
func (s *system) reserveAddress() string {
	a, err := loopback.Reserve()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(a.Release)
	return a.String()
}

func (s *system) addDaemon(i int) {
	key := func(name string) settings.Secret { return settings.Secret{File: s.file(name + ".key")} }
	cfg := settings.Settings{
		Name: fmt.Sprintf("accra-%d", i), Domain: "accra", Listen: s.reserveAddress(), PeerAddr: s.reserveAddress(),
		Secret: key("peers"), Operator: key("bootstrap"),
		Platform: settings.Platform{KeyValue: s.keyvalue.addr, InstanceList: s.list.addr}, Limits: s.limits,
	}
	for j, p := range s.daemons {
		cfg.Peers = append(cfg.Peers, settings.Peer{Instance: ident.Instance(s.cfgs[j].Name), Domain: "accra", Address: p.addr, PeerAddr: p.peer})
	}
	p := s.launch("crocuslug", "serve", "--settings", s.writeJSON(cfg.Name+".json", cfg))
	s.daemons, s.cfgs = append(s.daemons, p), append(s.cfgs, cfg)
}

// restartDaemon starts an instance again with the same addresses.
func (s *system) restartDaemon(i int) {
	s.daemons[i].start(s.file("crocuslug"), "serve", "--settings", s.writeJSON(s.cfgs[i].Name+".json", s.cfgs[i]))
}

func (s *system) await(what string, ok func() bool) {
	for deadline := time.Now().Add(processWait); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func (s *system) ready(i int) bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+s.daemons[i].addr+"/readyz", time.Second)
	return err == nil && status == fasthttp.StatusOK
}

// runOperatorCommand runs an operator's command and returns its output and exit code.
func (s *system) runOperatorCommand(key string, args ...string) ([]byte, int) {
	cmd := exec.Command(s.file("crocuslug"), append(args, "--address", s.daemons[0].addr, "--key-file", s.file(key+".key"))...)
	out, err := cmd.Output()
	var failed *exec.ExitError
	if err != nil && !errors.As(err, &failed) {
		s.t.Fatal(err)
	}
	return out, cmd.ProcessState.ExitCode()
}

// configure plans and confirms the first configuration and waits until it is in
// force at all instances.
func (s *system) configure() {
	in := intent.Intent{Note: "first"}
	in.Set.Operators = []configuration.Operator{{Name: "ama", KeyHashes: []string{access.Hash([]byte("operator-key"))}}}
	in.Set.Workspaces = []configuration.Workspace{{Name: "acme", KeyHashes: []string{access.Hash([]byte("workspace-key"))}}}
	in.Set.Services = []configuration.Service{{Name: "assistant", Kind: configuration.Model}}
	for i, e := range s.engines {
		in.Set.Upstreams = append(in.Set.Upstreams, configuration.Upstream{
			Name: ident.Upstream(fmt.Sprintf("engine-%d", i)), Service: "assistant", Address: e.addr, Domain: "accra", Models: []string{"m"}, Slots: 16,
		})
	}
	for _, args := range [][]string{
		{"plan", s.writeJSON("first.json", in), "--out", s.file("first.plan")},
		{"confirm", s.file("first.plan")},
	} {
		if out, code := s.runOperatorCommand("bootstrap", args...); code != 0 {
			s.t.Fatalf("%v: got exit %d, %s, want 0", args, code, out)
		}
	}
	s.await("all instances have revision 1", func() bool {
		out, code := s.runOperatorCommand("operator", "status", "--json")
		var st operatorapi.StatusResponse
		return code == 0 && json.Unmarshal(out, &st) == nil && len(st.Instances) == 3 && st.Newest == 1 && st.Behind+st.Silent == 0
	})
}

// onToken counts a delivered token and runs the action that is due at this number.
func (s *system) onToken(int, string) {
	n := s.tokens.Add(1)
	s.mu.Lock()
	f := s.dueActions[n]
	delete(s.dueActions, n)
	s.mu.Unlock()
	if f != nil {
		f()
	}
}

const (
	processAnswers = 5   // answers per round
	processTokens  = 120 // tokens per answer
	leaveTokens    = 300 // tokens of an answer that takes longer than the notice period of a leaving instance
)

// runRound requests several answers concurrently, runs the due actions while they
// are delivered, and checks every token. Lost is called with the address of each
// connection that failed for another reason than a refusal; it may be nil.
func (s *system) runRound(name string, tokens int, due map[int64]func(), lost func(address string)) {
	s.tokens.Store(0)
	s.dueActions = due
	var addresses []string
	for _, p := range s.daemons {
		addresses = append(addresses, p.addr)
	}
	c := caller.New(caller.Settings{Addresses: addresses, Key: "workspace-key", Silence: 1500 * time.Millisecond, Pause: 100 * time.Millisecond}, s.timer)
	ctx, cancel := context.WithTimeout(context.Background(), 2*processWait)
	defer cancel()
	var wg sync.WaitGroup
	for i := range processAnswers {
		wg.Go(func() {
			a := c.Do(ctx, caller.Request{
				ID: ident.Request(fmt.Sprintf("%s-%d", name, i)), Model: "m", Prompt: name, MaxTokens: tokens, First: i, OnToken: s.onToken,
				OnLost: func(address string, reason error) {
					var r *result.Error
					if lost != nil && !errors.As(reason, &r) {
						lost(address)
					}
				},
			})
			if !a.Whole || !inOrder(a.Tokens, tokens) {
				s.t.Errorf("%s, answer %d: got whole %t, %d tokens, %v, want %d tokens in order", name, i, a.Whole, len(a.Tokens), a.Err, tokens)
			}
		})
	}
	wg.Wait()
	if len(s.dueActions) > 0 {
		s.t.Errorf("%s: got %d actions that did not run, want none", name, len(s.dueActions))
	}
}

// TestAnswersSurviveFaultsOfProcesses checks that callers get whole answers while
// engines and instances are killed or paused, the key-value service is out, or an
// instance shuts down gracefully. A leaving instance must not cut connections.
func TestAnswersSurviveFaultsOfProcesses(t *testing.T) {
	s := startSystem(t, settings.Limits{})
	s.configure()
	rng := rand.New(rand.NewPCG(1, 1))
	at := func() int64 { return 60 + rng.Int64N(200) } // in the first half of a round

	e := s.engines[rng.IntN(3)]
	s.runRound("kill-engine", processTokens, map[int64]func(){at(): e.kill}, nil)
	s.restart(e)

	e = s.engines[rng.IntN(3)]
	n := at()
	s.runRound("stop-engine", processTokens, map[int64]func(){
		n:       func() { e.signal(syscall.SIGSTOP) },
		n + 250: func() { e.signal(syscall.SIGCONT) },
	}, nil)
	e.signal(syscall.SIGCONT)

	i := rng.IntN(3)
	s.outage(true)
	s.runRound("kill-instance", processTokens, map[int64]func(){at(): s.daemons[i].kill}, nil)
	s.restartDaemon(i)
	s.await("the restarted instance has received its configuration from its peers", func() bool { return s.ready(i) })
	s.outage(false)

	i = rng.IntN(3)
	n = at()
	s.runRound("stop-instance", processTokens, map[int64]func(){
		n:       func() { s.daemons[i].signal(syscall.SIGSTOP) },
		n + 250: func() { s.daemons[i].signal(syscall.SIGCONT) },
	}, nil)
	s.daemons[i].signal(syscall.SIGCONT)

	i = rng.IntN(3)
	s.runRound("leave", leaveTokens, map[int64]func(){at(): func() { s.daemons[i].signal(syscall.SIGTERM) }}, func(address string) {
		if address == s.daemons[i].addr {
			t.Errorf("leave: got a cut connection at %s, want none", address)
		}
	})
	<-s.daemons[i].ended
	if got := s.daemons[i].cmd.ProcessState.ExitCode(); got != 0 {
		t.Errorf("leave: got exit code %d, want 0", got)
	}
}

// outage begins or ends an outage of the key-value service.
func (s *system) outage(on bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + s.keyvalue.addr + "/standin/faults")
	req.SetBodyString(fmt.Sprintf(`{"Kind": "Faults", "Outage": %t}`, on))
	if err := fasthttp.DoTimeout(req, resp, time.Second); err != nil || resp.StatusCode() != fasthttp.StatusNoContent {
		s.t.Fatalf("outage: got %d, %v", resp.StatusCode(), err)
	}
}

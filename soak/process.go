package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one program that is started again when it ends.
type process struct {
	clock clock
	name  string
	path  string
	args  []string
	env   []string
	log   *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	starts  int
	changed time.Time // last start or pause
	over    bool
	done    chan struct{}
}

func newProcess(c clock, dir, name, path string, env []string, args ...string) (*process, error) {
	f, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	return &process{clock: c, name: name, path: path, args: args, env: append(os.Environ(), env...), log: f}, nil
}

// start starts the program.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over || p.running() {
		return nil
	}
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr, cmd.Env = p.log, p.log, p.env
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.cmd, p.changed = cmd, p.clock.Now()
	p.starts++
	done := make(chan struct{})
	p.done = done
	go func() {
		_ = cmd.Wait() // how it ended is in its log
		close(done)
	}()
	return nil
}

// running reports whether the program runs. Two faults may start one process
// again; the second finds it running. The lock is held.
func (p *process) running() bool {
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends a signal to the program, which this soak has started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed = p.clock.Now()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended
	}
}

// ended returns a channel that is closed when the program has ended.
func (p *process) ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// incarnation returns the number of starts and the time of the last start or signal.
func (p *process) incarnation() (int, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts, p.changed
}

// stop ends the program for good.
func (p *process) stop() {
	p.mu.Lock()
	p.over = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	if done := p.ended(); done != nil {
		<-done
	}
	_ = p.log.Close()
}

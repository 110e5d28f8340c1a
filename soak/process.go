package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// process is one program, which faults stop and start again.
type process struct {
	clock clock
	name  string
	paths []string // programs that the starts use by turns
	args  []string // of the next start
	env   []string
	log   *os.File

	mu         sync.Mutex
	cmd        *exec.Cmd
	starts     int
	startArgs  []string      // arguments of the last start
	lastChange time.Time     // last start or signal
	stopped    bool          // never start the program again
	leaving    int           // number of restarts in progress
	exited     chan struct{} // closed when the program has exited; nil before the first start
}

func newProcess(c clock, dir, name string, paths []string, env []string, args ...string) (*process, error) {
	f, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	return &process{clock: c, name: name, paths: paths, args: args, env: append(os.Environ(), env...), log: f}, nil
}

// start starts the program unless it runs or was stopped for good.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped || p.isRunning() {
		return nil
	}
	cmd := exec.Command(p.paths[p.starts%len(p.paths)], p.args...)
	cmd.Stdout, cmd.Stderr, cmd.Env = p.log, p.log, p.env
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.cmd, p.lastChange, p.startArgs = cmd, p.clock.Now(), slices.Clone(p.args)
	p.starts++
	done := make(chan struct{})
	p.exited = done
	go func() {
		_ = cmd.Wait() // the program's log shows why it exited
		close(done)
	}()
	return nil
}

// replaceArg sets the value that follows a flag in the arguments of the next start.
func (p *process) replaceArg(flag, value string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, a := range p.args[:len(p.args)-1] {
		if a == flag {
			p.args[i+1] = value
		}
	}
}

// argOf returns the value that followed a flag at the last start, or "" if there was none.
func (p *process) argOf(flag string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.startArgs, flag); i >= 0 && i+1 < len(p.startArgs) {
		return p.startArgs[i+1]
	}
	return ""
}

// isRunning reports whether the program runs. Two overlapping faults may both restart
// the process, in which case the second finds it running. The caller holds p.mu.
func (p *process) isRunning() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// running reports whether the program runs.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isRunning()
}

// setLeaving records that a restart of the program begins or has ended.
func (p *process) setLeaving(leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if leaving {
		p.leaving++
	} else {
		p.leaving--
	}
}

// isLeaving reports whether a restart of the program is in progress.
func (p *process) isLeaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving > 0
}

// signal sends a signal to the program, if it was started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastChange = p.clock.Now()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // the program may have exited
	}
}

// exit returns a channel that is closed when the program has exited.
func (p *process) exit() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// incarnation returns the number of starts and the time of the last start or signal.
func (p *process) incarnation() (int, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts, p.lastChange
}

// stop kills the program, waits for its exit and prevents further starts.
func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	if done := p.exit(); done != nil {
		<-done
	}
	_ = p.log.Close()
}

package deployment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// ErrNotRunning means that a process cannot be signalled because it has ended or has not
// been started.
var ErrNotRunning = errors.New("process is not running")

// Process is one program of the deployment. Its name and address stay the same
// across restarts; each start begins a run of the process.
type Process struct {
	name, program, addr string
	zone, rack          string
	callerURL           string
	bin, dir            string
	// args returns the arguments of a run. The first run is 1.
	args func(run int) []string

	mu     sync.Mutex
	runs   int
	cmd    *exec.Cmd
	done   chan struct{}
	paused bool
}

func (d *Deployment) newProcess(name, program, addr, zone string) *Process {
	done := make(chan struct{})
	close(done)
	return &Process{name: name, program: program, addr: addr, zone: zone, bin: d.cfg.Bin, dir: d.cfg.Dir, done: done}
}

// Name returns the name that settings and histories use.
func (p *Process) Name() string { return p.name }

// Zone returns the availability zone.
func (p *Process) Zone() string { return p.zone }

// URL returns the base URL that bypasses the fault proxies.
func (p *Process) URL() string { return "http://" + p.addr }

// CallerURL returns the base URL that callers of an entry use. It is empty for other
// processes.
func (p *Process) CallerURL() string { return p.callerURL }

// Runs returns the number of times that the process was started, including starts at
// which the program could not be executed.
func (p *Process) Runs() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs
}

// PID returns the process ID, or 0 if the process is not running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return 0
	}
	return p.cmd.Process.Pid
}

// LogFile returns the file with the output of all runs.
func (p *Process) LogFile() string { return filepath.Join(p.dir, p.name+".log") }

func (p *Process) historyFile(run int) string {
	return filepath.Join(p.dir, fmt.Sprintf("%s-history-%d.jsonl", p.name, run))
}

func (p *Process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return fmt.Errorf("deployment: start %s: already running", p.name)
	}
	out, err := os.OpenFile(p.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("deployment: start %s: %w", p.name, err)
	}
	p.runs++
	cmd := exec.Command(filepath.Join(p.bin, p.program), p.args(p.runs)...)
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the child if this process dies without calling Close.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Join(fmt.Errorf("deployment: start %s: %w", p.name, err), out.Close())
	}
	done := make(chan struct{})
	p.cmd, p.done, p.paused = cmd, done, false
	go func() {
		defer close(done)
		// The exit status is ignored, since tests end processes on purpose.
		_ = cmd.Wait()
		_ = out.Close()
	}()
	return nil
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Done()
	return nil
}

// Done returns a channel that is closed when the current run ends. Before the first run
// it is closed already.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Pause suspends the process with SIGSTOP until Resume.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and waits until the process has ended or ctx is done.
func (p *Process) Terminate(ctx context.Context) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.Done():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("deployment: terminate %s: %w", p.name, ctx.Err())
	}
}

// Restart starts the process again after it has ended. It returns an error if the process
// is still running.
func (p *Process) Restart() error { return p.start() }

func (p *Process) signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return fmt.Errorf("deployment: signal %s: %w", p.name, ErrNotRunning)
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		return fmt.Errorf("deployment: signal %s: %w", p.name, err)
	}
	p.paused = sig == syscall.SIGSTOP || p.paused && sig != syscall.SIGCONT
	return nil
}

// terminateOrKill terminates the process, and kills it if it is still running when
// ctx is done.
func (p *Process) terminateOrKill(ctx context.Context) {
	// A paused process would not end on SIGTERM. The only expected error is that the process
	// has already ended.
	_ = p.Resume()
	if err := p.Terminate(ctx); err != nil {
		_ = p.Kill()
	}
}

package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// killWait bounds the wait for a killed process to be gone.
const killWait = 5 * time.Second

// starts runs functions on one thread that lives as long as the process. The parent-death signal is sent when the thread
// that started a process ends, and the threads of other goroutines may end at any time.
var starts = sync.OnceValue(func() chan<- func() {
	queue := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range queue {
			f()
		}
	}()
	return queue
})

// Process is a program of the fleet.
type Process struct {
	Name string
	Log  string // file with its output

	args  []string
	cmd   *exec.Cmd
	ended chan struct{} // closed when the process has ended
	err   error         // valid once ended
}

// startProcess starts a program with its output going to the end of a log file.
func startProcess(dir, name string, args ...string) (*Process, error) {
	p := &Process{Name: name, Log: filepath.Join(dir, name+".log"), args: args}
	return p, p.start()
}

func (p *Process) start() error {
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// Its own process group keeps an interrupt at the terminal from ending the fleet before the report.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	started := make(chan error)
	starts() <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	ended, cmd := make(chan struct{}), p.cmd
	p.ended = ended
	go func() {
		p.err = cmd.Wait()
		close(ended)
	}()
	return nil
}

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal if the process runs.
func (p *Process) Signal(s syscall.Signal) error {
	if !p.Running() {
		return errors.Errorf("%s has ended: %v", p.Name, p.err)
	}
	return p.cmd.Process.Signal(s)
}

// Wait waits for the end of the process and returns its error.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.ended:
		return p.err
	case <-time.After(limit):
		return errors.Errorf("%s has not ended after %v", p.Name, limit)
	}
}

// Kill ends the process at once and waits until it is gone.
func (p *Process) Kill() error {
	if !p.Running() {
		return nil
	}
	if err := p.cmd.Process.Kill(); err != nil && p.Running() {
		return errors.Wrapf(err, "kill %s", p.Name)
	}
	select {
	case <-p.ended:
		return nil
	case <-time.After(killWait):
		return errors.Errorf("%s still runs %v after it was killed", p.Name, killWait)
	}
}

// Stop asks the process to end in its own way and waits for it.
func (p *Process) Stop(limit time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(limit)
}

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

// killTimeout bounds the wait for the exit of a killed process.
const killTimeout = 5 * time.Second

// startThread returns the queue of a goroutine that is locked to one OS thread for the life of this
// process. Programs are started on that thread: the kernel sends the parent-death signal when the
// thread that started a process ends, and the threads of other goroutines may end at any time.
var startThread = sync.OnceValue(func() chan<- func() {
	queue := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range queue {
			f()
		}
	}()
	return queue
})

// Process is a started program of the fleet.
type Process struct {
	Name    string
	LogPath string // file that receives its output

	args  []string
	cmd   *exec.Cmd
	ended chan struct{} // closed when the process has ended
	err   error         // of Wait; valid after ended is closed
}

// startProcess starts a program and appends its output to a log file.
func startProcess(dir, name string, args ...string) (*Process, error) {
	p := &Process{Name: name, LogPath: filepath.Join(dir, name+".log"), args: args}
	return p, p.start()
}

func (p *Process) start() error {
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// In a process group of its own, the program does not receive an interrupt from the terminal,
	// which would end the fleet before the report.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	started := make(chan error)
	startThread() <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	done, cmd := make(chan struct{}), p.cmd
	p.ended = done
	go func() {
		p.err = cmd.Wait()
		close(done)
	}()
	return nil
}

// Running reports whether the process has not ended.
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

// Signal sends a signal. It is an error if the process has ended.
func (p *Process) Signal(s syscall.Signal) error {
	if !p.Running() {
		return errors.Errorf("%s has ended: %v", p.Name, p.err)
	}
	return p.cmd.Process.Signal(s)
}

// Wait waits for the exit of the process and returns its error.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.ended:
		return p.err
	case <-time.After(limit):
		return errors.Errorf("%s has not ended after %v", p.Name, limit)
	}
}

// Kill ends the process with SIGKILL and waits for its exit.
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
	case <-time.After(killTimeout):
		return errors.Errorf("%s still runs %v after it was killed", p.Name, killTimeout)
	}
}

// Stop sends SIGTERM and waits for the exit of the process.
func (p *Process) Stop(limit time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.Wait(limit)
}

// Package cluster starts real daemon and stand-in processes on loopback, for the
// demo, the measurements and the integration tests. It ends every process that
// it started.
package cluster

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// killDelay is the time between SIGTERM and SIGKILL.
const killDelay = 10 * time.Second

// Process is a child process whose output goes to a log file.
type Process struct {
	Name    string
	cmd     *exec.Cmd
	logFile *os.File
	exited  chan struct{}
	exitErr error
}

// startProcess starts a binary and writes its output to a log file in dir.
func startProcess(name, dir, binary string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "create log file")
	}
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, logFile: log, exited: make(chan struct{})}
	go func() {
		p.exitErr = cmd.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.Name)
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.exited }

// Err returns the error that the process ended with, or nil. It is valid after
// Done is closed.
func (p *Process) Err() error { return p.exitErr }

// Kill sends SIGKILL and waits for the process to end. SIGCONT wakes a stopped
// process first.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Stop sends SIGTERM, and kills the process if it does not end within killDelay.
func (p *Process) Stop() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(killDelay):
		p.Kill()
	}
}

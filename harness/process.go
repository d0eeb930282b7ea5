// Package harness runs a small deployment as separate processes on loopback,
// injects faults into it, and collects what workers and runners really ran.
// Tests use it; the product does not.
package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"bergamotstile/builtin"
)

// runVariable makes a test binary act as the program itself, so that a test
// starts processes without building anything.
const runVariable = "BERGAMOTSTILE_RUN_PROGRAM"

// RunProgram acts as the program if this process was started by Start. A
// TestMain calls it first.
func RunProgram() {
	if os.Getenv(runVariable) == "" {
		return
	}
	os.Exit(builtin.Main(os.Args[1:]))
}

// Process is one process of the deployment.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

// Start runs the program with args. Its output goes to a file in dir.
func Start(dir, name string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runVariable+"=1")
	cmd.Stdout, cmd.Stderr = log, log
	// A test that dies must not leave its processes behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{}), log: log}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process's ID.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// Kill ends the process at once, as kill -9 does.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Terminate asks the process to drain.
func (p *Process) Terminate() {
	p.signal(syscall.SIGTERM)
}

// Reload tells the process that its settings may have changed.
func (p *Process) Reload() {
	p.signal(syscall.SIGHUP)
}

// Freeze stops the process until Resume.
func (p *Process) Freeze() {
	p.signal(syscall.SIGSTOP)
}

// Resume lets a frozen process go on.
func (p *Process) Resume() {
	p.signal(syscall.SIGCONT)
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

func (p *Process) signal(s os.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

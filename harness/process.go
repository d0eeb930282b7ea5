// Package harness runs a small deployment as separate processes on loopback
// addresses, injects faults into it, and collects the events in which the workers and
// runners record what they ran. Only tests use it.
package harness

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"bergamotstile/builtin"
)

// runProgramVariable is the environment variable that makes a test binary act as
// the program itself, so that a test can start processes without building the
// program.
const runProgramVariable = "BERGAMOTSTILE_RUN_PROGRAM"

// RunProgram acts as the program and exits if this process was started by Start.
// Otherwise it returns immediately. Each TestMain that uses Start calls it first.
func RunProgram() {
	if os.Getenv(runProgramVariable) == "" {
		return
	}
	os.Exit(builtin.Main(os.Args[1:]))
}

// Process is one process that runs the program.
type Process struct {
	Name    string
	command *exec.Cmd
	exited  chan struct{}
	output  *os.File
}

// Start starts a process that runs the program with args. The process appends its
// output to the file dir/name.log.
func Start(dir, name string, args ...string) (*Process, error) {
	output, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runProgramVariable+"=1")
	cmd.Stdout, cmd.Stderr = output, output
	// The kernel kills the process when the test's process ends, so that a test
	// that crashes leaves no processes behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, command: cmd, exited: make(chan struct{}), output: output}
	go func() {
		_ = cmd.Wait()
		_ = output.Close()
		close(p.exited)
	}()
	return p, nil
}

// PID returns the ID of the process.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// Terminate sends SIGTERM, which makes the process drain and end.
func (p *Process) Terminate() {
	p.signal(syscall.SIGTERM)
}

// Reload sends SIGHUP, which makes the process read its settings again.
func (p *Process) Reload() {
	p.signal(syscall.SIGHUP)
}

// Signal sends any other signal.
func (p *Process) Signal(s os.Signal) {
	p.signal(s)
}

// ExitCode returns the exit status of a process that has ended. It is -1 if the process
// was ended by a signal.
func (p *Process) ExitCode() int {
	<-p.exited
	return p.command.ProcessState.ExitCode()
}

// Freeze suspends the process with SIGSTOP until Resume is called.
func (p *Process) Freeze() {
	p.signal(syscall.SIGSTOP)
}

// Resume lets a frozen process continue, with SIGCONT.
func (p *Process) Resume() {
	p.signal(syscall.SIGCONT)
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.exited
}

func (p *Process) signal(s os.Signal) {
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(s)
	}
}

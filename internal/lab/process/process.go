// Package process builds the project's binaries and runs them as separate processes
// that tests and the lab can signal, pause and kill.
package process

import (
	"bufio"
	"context"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Error is the class of errors of processes.
var Error = errs.Class("process")

// stopTimeout bounds the wait for a process to shut down after SIGTERM.
const stopTimeout = 40 * time.Second

const (
	// pauseTimeout bounds the wait for all threads to stop; they are polled every
	// pausePoll.
	pauseTimeout = 5 * time.Second
	pausePoll    = time.Millisecond
)

// Build compiles the packages of the module at root into dir.
func Build(ctx context.Context, root, dir string, packages ...string) error {
	args := append([]string{"build", "-o", dir + string(filepath.Separator)}, packages...)
	command := exec.CommandContext(ctx, "go", args...)
	command.Dir = root
	output, err := command.CombinedOutput()
	if err != nil {
		return Error.New("%w: %s", err, output)
	}
	return nil
}

// Process is one run of a binary. The fields are set before Start.
type Process struct {
	Args []string
	// Log receives the standard output and standard error of the process.
	Log  io.Writer
	Path string

	command *exec.Cmd
	lines   chan string
	group   errgroup.Group

	mu     sync.Mutex
	exited chan struct{}
	result error
}

// Start starts the process.
func (p *Process) Start(ctx context.Context) error {
	p.command = exec.CommandContext(ctx, p.Path, p.Args...)
	p.lines = make(chan string, 1)
	p.exited = make(chan struct{})
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return Error.Wrap(err)
	}
	p.command.Stderr = p.Log
	if err := p.command.Start(); err != nil {
		return Error.Wrap(err)
	}
	p.group.Go(func() error {
		p.readOutput(stdout)
		p.setResult(p.command.Wait())
		return nil
	})
	return nil
}

// readOutput copies standard output to Log and keeps the first line that starts with
// "listening ".
func (p *Process) readOutput(stdout io.Reader) {
	scanner := bufio.NewScanner(stdout)
	for scanner.Scan() {
		line := scanner.Text()
		if p.Log != nil {
			_, _ = io.WriteString(p.Log, line+"\n") // Errors of the log are ignored.
		}
		if strings.HasPrefix(line, "listening ") {
			select {
			case p.lines <- line:
			default:
			}
		}
	}
}

func (p *Process) setResult(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result = err
	close(p.exited)
}

// Address waits for the line "listening ... address=A" and returns A without a leading
// "http://".
func (p *Process) Address(ctx context.Context) (string, error) {
	select {
	case <-ctx.Done():
		return "", Error.Wrap(ctx.Err())
	case <-p.exited:
		return "", Error.New("%s exited before it printed a listening address", filepath.Base(p.Path))
	case line := <-p.lines:
		_, address, _ := strings.Cut(line, "address=")
		return strings.TrimPrefix(address, "http://"), nil
	}
}

// Signal sends s to the process.
func (p *Process) Signal(s os.Signal) error { return Error.Wrap(p.command.Process.Signal(s)) }

// Pause suspends the process with SIGSTOP and returns once all its threads have
// stopped. Threads that run on other cores receive the signal a little later.
func (p *Process) Pause() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for began := time.Now(); time.Since(began) < pauseTimeout; time.Sleep(pausePoll) {
		if p.isStopped() {
			return nil
		}
	}
	return Error.New("%s has running threads %s after SIGSTOP", filepath.Base(p.Path), pauseTimeout)
}

// isStopped reports whether all threads listed in /proc are stopped. If none are listed,
// the process counts as stopped.
func (p *Process) isStopped() bool {
	paths, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), "task", "*", "stat"))
	if err != nil {
		return true
	}
	for _, path := range paths {
		stat, err := os.ReadFile(path)
		if err != nil {
			continue // The thread has exited.
		}
		// The state follows the name, which is in parentheses.
		_, state, _ := strings.Cut(string(stat), ") ")
		if !strings.HasPrefix(state, "T") && !strings.HasPrefix(state, "Z") {
			return false
		}
	}
	return true
}

// Resume continues a paused process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill kills the process and waits for it to exit.
func (p *Process) Kill() error {
	if err := p.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return Error.Wrap(err)
	}
	<-p.exited
	return nil
}

// Terminate sends SIGTERM and waits for the process to exit. It returns an error if the
// exit code isn't zero, and kills the process if it doesn't exit within stopTimeout.
func (p *Process) Terminate() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-p.exited:
		p.mu.Lock()
		defer p.mu.Unlock()
		return Error.Wrap(p.result)
	case <-timer.C:
		return errs.Combine(Error.New("%s did not shut down within %s", filepath.Base(p.Path), stopTimeout), p.Kill())
	}
}

// Package process runs the project's own binaries as separate processes for
// tests and the lab: start, signal, pause and kill.
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

const stopTimeout = 40 * time.Second

const (
	// pauseTimeout bounds the wait for a pause, which is looked for each pausePoll.
	pauseTimeout = 5 * time.Second
	pausePoll    = time.Millisecond
)

// Build compiles the packages into dir, from the module root directory.
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
	// Log receives both outputs of the process.
	Log  io.Writer
	Path string

	command *exec.Cmd
	lines   chan string
	group   errgroup.Group

	mu     sync.Mutex
	ended  chan struct{}
	result error
}

// Start starts the process.
func (p *Process) Start(ctx context.Context) error {
	p.command = exec.CommandContext(ctx, p.Path, p.Args...)
	p.lines = make(chan string, 1)
	p.ended = make(chan struct{})
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return Error.Wrap(err)
	}
	p.command.Stderr = p.Log
	if err := p.command.Start(); err != nil {
		return Error.Wrap(err)
	}
	p.group.Go(func() error {
		p.read(stdout)
		p.finish(p.command.Wait())
		return nil
	})
	return nil
}

// read keeps the first line that tells an address and copies all of them.
func (p *Process) read(stdout io.Reader) {
	scanner := bufio.NewScanner(stdout)
	for scanner.Scan() {
		line := scanner.Text()
		if p.Log != nil {
			_, _ = io.WriteString(p.Log, line+"\n") // The log is an extra.
		}
		if strings.HasPrefix(line, "listening ") {
			select {
			case p.lines <- line:
			default:
			}
		}
	}
}

func (p *Process) finish(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result = err
	close(p.ended)
}

// Address waits for the line "listening ... address=A" and returns A.
func (p *Process) Address(ctx context.Context) (string, error) {
	select {
	case <-ctx.Done():
		return "", Error.Wrap(ctx.Err())
	case <-p.ended:
		return "", Error.New("%s ended before it listened", filepath.Base(p.Path))
	case line := <-p.lines:
		_, address, _ := strings.Cut(line, "address=")
		return strings.TrimPrefix(address, "http://"), nil
	}
}

// Signal sends s.
func (p *Process) Signal(s os.Signal) error { return Error.Wrap(p.command.Process.Signal(s)) }

// Pause stops the process without ending it, and returns once all its threads stand
// still: the signal is delivered to a thread that runs on another core a little later.
func (p *Process) Pause() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for began := time.Now(); time.Since(began) < pauseTimeout; time.Sleep(pausePoll) {
		if p.isStopped() {
			return nil
		}
	}
	return Error.New("the process goes on %s after it was told to pause", pauseTimeout)
}

// isStopped reports whether all threads are stopped, as the system lists them. Where it
// lists none, a process counts as stopped.
func (p *Process) isStopped() bool {
	paths, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), "task", "*", "stat"))
	if err != nil {
		return true
	}
	for _, path := range paths {
		stat, err := os.ReadFile(path)
		if err != nil {
			continue // The thread has ended.
		}
		// The state follows the name, which is in brackets.
		_, state, _ := strings.Cut(string(stat), ") ")
		if !strings.HasPrefix(state, "T") && !strings.HasPrefix(state, "Z") {
			return false
		}
	}
	return true
}

// Resume lets a paused process run on.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	if err := p.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return Error.Wrap(err)
	}
	<-p.ended
	return nil
}

// Terminate asks the process to shut down and waits for its end. It returns
// the error of a bad exit code, and kills the process when it takes too long.
func (p *Process) Terminate() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.NewTimer(stopTimeout)
	defer timer.Stop()
	select {
	case <-p.ended:
		p.mu.Lock()
		defer p.mu.Unlock()
		return Error.Wrap(p.result)
	case <-timer.C:
		return errs.Combine(Error.New("no shutdown within %s", stopTimeout), p.Kill())
	}
}

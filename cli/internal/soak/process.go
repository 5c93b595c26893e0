package soak

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time between the exit of a process and its next start.
const restartDelay = 200 * time.Millisecond

// State is the state of a daemon process.
type State int

// The states. The zero value is that of a process that has not been started.
const (
	Down State = iota
	Running
	Frozen
	// Stopping is the state between SIGTERM and the exit.
	Stopping
)

// process runs a daemon as an operating system process, over several starts.
type process struct {
	name   string
	binary string
	folder string
	// settings are written to a file at each start and reload.
	settings any

	mu      sync.Mutex
	state   State
	command *exec.Cmd
	exited  chan struct{}
	// logSize is the size of the log file at the last start.
	logSize int64
	// starts counts the starts. started is the time of the last one.
	starts  int
	started time.Time
	// lastFaultSignal is when SIGSTOP, SIGCONT or SIGKILL was last sent.
	lastFaultSignal time.Time
	// stopSignal is when SIGTERM was last sent.
	stopSignal time.Time
	// failure is the error of an unexpected or unclean exit.
	failure error
}

func (p *process) settingsPath() string { return filepath.Join(p.folder, p.name+".json") }

func (p *process) logPath() string { return filepath.Join(p.folder, p.name+".log") }

// writeSettings must be called with mu held.
func (p *process) writeSettings() error {
	text, err := json.MarshalIndent(p.settings, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the settings of %s: %w", p.name, err)
	}
	return os.WriteFile(p.settingsPath(), text, 0o600)
}

// start runs the daemon unless it is running. Its output is appended to the log file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != Down {
		return nil // a concurrent step has started it
	}
	if err := p.writeSettings(); err != nil {
		return err
	}
	output, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", p.name, err)
	}
	defer func() { _ = output.Close() }()
	info, err := output.Stat()
	if err != nil {
		return fmt.Errorf("stat the log of %s: %w", p.name, err)
	}
	command := exec.Command(p.binary, p.settingsPath()) //nolint:gosec,noctx // the path comes from the caller, and signals end the process
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.logSize = info.Size()
	p.command, p.exited, p.state = command, exited, Running
	p.starts++
	p.started = time.Now()
	go p.awaitExit(command, exited)
	return nil
}

// awaitExit waits for a process to exit and records an unexpected or unclean exit.
func (p *process) awaitExit(command *exec.Cmd, exited chan<- struct{}) {
	err := command.Wait()
	p.mu.Lock()
	if p.state == Running {
		p.failure = fmt.Errorf("%s exited unexpectedly: %w", p.name, errors.Join(errUnexpectedExit, err))
	}
	if p.state == Stopping && err != nil && !p.stoppedBeforeStartup(err) {
		p.failure = fmt.Errorf("%s did not stop cleanly: %w", p.name, err)
	}
	p.state = Down
	p.mu.Unlock()
	close(exited)
}

var errUnexpectedExit = errors.New("no signal was sent")

// stoppedBeforeStartup reports whether SIGTERM terminated the process before it installed
// its signal handler, which is no failure: it had opened no port by then. Such a process has
// written nothing to its log since the start. It must be called with mu held.
func (p *process) stoppedBeforeStartup(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	if !ok || !status.Signaled() || status.Signal() != syscall.SIGTERM {
		return false
	}
	info, err := os.Stat(p.logPath())
	return err == nil && info.Size() == p.logSize
}

// freeze suspends a running process by SIGSTOP.
func (p *process) freeze() { p.signal(syscall.SIGSTOP, Running, Frozen) }

// resume continues a frozen process.
func (p *process) resume() { p.signal(syscall.SIGCONT, Frozen, Running) }

// signal sends a signal to a process in the state from, and sets its state to the state to.
func (p *process) signal(signal syscall.Signal, from, to State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != from {
		return
	}
	p.state = to
	p.lastFaultSignal = time.Now()
	_ = p.command.Process.Signal(signal)
}

// kill sends SIGKILL and waits for the exit.
func (p *process) kill() {
	p.mu.Lock()
	if p.state == Down {
		p.mu.Unlock()
		return
	}
	p.state, p.lastFaultSignal = Frozen, time.Now() // an exit in this state is no failure
	exited := p.exited
	_ = p.command.Process.Kill()
	p.mu.Unlock()
	<-exited
}

// stop sends SIGTERM and waits for the exit. After the timeout it records a failure and sends
// SIGKILL.
func (p *process) stop(timeout time.Duration) {
	p.mu.Lock()
	if p.state != Running {
		p.mu.Unlock()
		return
	}
	p.state, p.stopSignal = Stopping, time.Now()
	exited := p.exited
	_ = p.command.Process.Signal(syscall.SIGTERM)
	p.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(timeout):
		p.mu.Lock()
		p.failure = fmt.Errorf("%s was still running %s after SIGTERM: %w", p.name, timeout, errStopTimeout)
		p.mu.Unlock()
		p.kill()
	}
}

var errStopTimeout = errors.New("stop timed out")

// condition is a snapshot of a process for the oracle.
type condition struct {
	state           State
	starts          int
	started         time.Time
	lastFaultSignal time.Time
	stopSignal      time.Time
}

func (p *process) condition() condition {
	p.mu.Lock()
	defer p.mu.Unlock()
	return condition{state: p.state, starts: p.starts, started: p.started, lastFaultSignal: p.lastFaultSignal, stopSignal: p.stopSignal}
}

func (p *process) failureErr() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failure
}

// abortedRequests reports whether a failure is the exit status of a daemon that cut requests when it stopped.
func abortedRequests(failure error) bool {
	const exitStatus = 1
	var exit *exec.ExitError
	return errors.As(failure, &exit) && exit.ExitCode() == exitStatus
}

// usage is the resource usage of a process.
type usage struct {
	memory int64 // resident, in bytes
	files  int
}

// usage reads the usage of the process from /proc. ok is false unless the process runs.
func (p *process) usage() (current usage, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != Running {
		return usage{}, false
	}
	folder := "/proc/" + strconv.Itoa(p.command.Process.Pid)
	files, err := os.ReadDir(folder + "/fd")
	text, readErr := os.ReadFile(folder + "/statm") //nolint:gosec // the path of a child process
	if err != nil || readErr != nil {
		return usage{}, false
	}
	fields := bytes.Fields(text)
	const resident = 1
	pages, err := strconv.ParseInt(string(fields[resident]), 10, 64)
	return usage{memory: pages * int64(os.Getpagesize()), files: len(files)}, err == nil
}

// reload changes the settings and sends SIGHUP, so that the process reads them again.
func (p *process) reload(change func()) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	if err := p.writeSettings(); err != nil {
		return err
	}
	if p.state == Running {
		_ = p.command.Process.Signal(syscall.SIGHUP)
	}
	return nil
}

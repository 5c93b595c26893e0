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

// restartPause lies between the end of a process and its next start.
const restartPause = 200 * time.Millisecond

// State is what a process does.
type State int

// The states. The zero value is that of a process that was not started.
const (
	Down State = iota
	Running
	Frozen
	// Stopping processes got SIGTERM.
	Stopping
)

// process is a daemon that runs as a process of its own, over several starts.
type process struct {
	name   string
	binary string
	folder string
	// settings is written to a file at each start and reload.
	settings any

	mu      sync.Mutex
	state   State
	command *exec.Cmd
	ended   chan struct{}
	// written is the size of the log at the last start.
	written int64
	// starts counts the starts; started is when the last one was.
	starts  int
	started time.Time
	// disturbed is when the last fault on it ended.
	disturbed time.Time
	// failure is how the process ended where it should not have.
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

// start runs the daemon unless it runs; its output goes on in the same file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != Down {
		return nil // another step has started it
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
		return fmt.Errorf("look at the log of %s: %w", p.name, err)
	}
	command := exec.Command(p.binary, p.settingsPath()) //nolint:gosec,noctx // the caller named it, and signals end it
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	ended := make(chan struct{})
	p.written = info.Size()
	p.command, p.ended, p.state = command, ended, Running
	p.starts++
	p.started = time.Now()
	go p.await(command, ended)
	return nil
}

// await notes the end of a process.
func (p *process) await(command *exec.Cmd, ended chan<- struct{}) {
	err := command.Wait()
	p.mu.Lock()
	if p.state == Running {
		p.failure = fmt.Errorf("%s ended by itself: %w", p.name, errors.Join(errEnded, err))
	}
	if p.state == Stopping && err != nil && !p.endedBeforeItBegan(err) {
		p.failure = fmt.Errorf("%s did not stop well: %w", p.name, err)
	}
	p.state = Down
	p.mu.Unlock()
	close(ended)
}

var errEnded = errors.New("no signal was sent")

// endedBeforeItBegan reports whether a process was told to stop before it took signals: the
// signal ended it, as it ends any process in its first milliseconds. It has opened no port
// then, and written nothing. It must be called with mu held.
func (p *process) endedBeforeItBegan(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	if !ok || !status.Signaled() || status.Signal() != syscall.SIGTERM {
		return false
	}
	info, err := os.Stat(p.logPath())
	return err == nil && info.Size() == p.written
}

// freeze stops a running process in its tracks, and thaw lets it go on.
func (p *process) freeze() { p.signal(syscall.SIGSTOP, Running, Frozen) }

func (p *process) thaw() { p.signal(syscall.SIGCONT, Frozen, Running) }

// signal sends a signal to a process that is in one state, and notes the other.
func (p *process) signal(signal syscall.Signal, from, to State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != from {
		return
	}
	p.state = to
	p.disturbed = time.Now()
	_ = p.command.Process.Signal(signal)
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	if p.state == Down {
		p.mu.Unlock()
		return
	}
	p.state, p.disturbed = Frozen, time.Now() // an end in this state is no failure
	ended := p.ended
	_ = p.command.Process.Kill()
	p.mu.Unlock()
	<-ended
}

// stop ends the process by SIGTERM, or by SIGKILL after most.
func (p *process) stop(most time.Duration) {
	p.mu.Lock()
	if p.state != Running {
		p.mu.Unlock()
		return
	}
	p.state = Stopping
	ended := p.ended
	_ = p.command.Process.Signal(syscall.SIGTERM)
	p.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(most):
		p.mu.Lock()
		p.failure = fmt.Errorf("%s still ran %s after SIGTERM: %w", p.name, most, errStopLate)
		p.mu.Unlock()
		p.kill()
	}
}

var errStopLate = errors.New("a stop takes too long")

// condition is what the oracle has to know of a process.
type condition struct {
	state     State
	starts    int
	started   time.Time
	disturbed time.Time
}

func (p *process) condition() condition {
	p.mu.Lock()
	defer p.mu.Unlock()
	return condition{state: p.state, starts: p.starts, started: p.started, disturbed: p.disturbed}
}

func (p *process) failed() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failure
}

// usage is what a process holds.
type usage struct {
	memory int64 // bytes
	files  int
}

// usage reads what the process holds from the system; ok is false where it is down.
func (p *process) usage() (held usage, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state != Running {
		return usage{}, false
	}
	folder := "/proc/" + strconv.Itoa(p.command.Process.Pid)
	files, err := os.ReadDir(folder + "/fd")
	text, readErr := os.ReadFile(folder + "/statm") //nolint:gosec // of a process that this one started
	if err != nil || readErr != nil {
		return usage{}, false
	}
	fields := bytes.Fields(text)
	const resident = 1
	pages, err := strconv.ParseInt(string(fields[resident]), 10, 64)
	return usage{memory: pages * int64(os.Getpagesize()), files: len(files)}, err == nil
}

// reload changes the settings and has the process read them again.
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

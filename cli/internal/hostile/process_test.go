package hostile

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/cli/internal/fleet"
	"github.com/wheelcleat/wheelcleat/cli/internal/soak"
	"github.com/wheelcleat/wheelcleat/platform/standin"
)

const (
	// memoryMB is the memory limit of each process in MiB, and descriptors the number of descriptors that it may
	// open. They are in the proportion of a small host's.
	memoryMB, descriptors = 64, 512
	// maxOpen is the number of descriptors that a process may have open under a crowd. It leaves some for connections
	// to upstreams and to the store.
	maxOpen = descriptors * 15 / 16
	// maxHeaderBytes and maxBodyBytes are limits of the configuration.
	maxHeaderBytes, maxBodyBytes = 16 << 10, 1 << 20
	// hangTimeout is how long a test waits for a process that hangs.
	hangTimeout = 30 * time.Second
)

// target is a listener of a process.
type target struct {
	name    string
	address netip.AddrPort
	// path is one of an ordinary request, which gets the status.
	path   string
	status int
}

// daemon is a process under test.
type daemon struct {
	targets []target
	command *exec.Cmd
	exited  chan struct{}
	logPath string
	// most is the highest number of open descriptors that was seen.
	most int
}

// buildFolder holds the built daemon.
var buildFolder string

var buildOnce = sync.OnceValues(func() (string, error) {
	path := filepath.Join(buildFolder, "wheelcleatd")
	return path, soak.Build(context.Background(), path)
})

func TestMain(m *testing.M) {
	var err error
	if buildFolder, err = os.MkdirTemp("", "hostile"); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(buildFolder)
	os.Exit(code)
}

// start starts a daemon with lowered limits and waits until all its listeners answer ordinary requests.
func start(t *testing.T, fileSettings any, targets []target) *daemon {
	t.Helper()
	binary, err := buildOnce()
	require.NoError(t, err)
	text, err := json.Marshal(fileSettings)
	require.NoError(t, err)
	folder := t.TempDir()
	path := filepath.Join(folder, "settings.json")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	d := &daemon{targets: targets, exited: make(chan struct{}), logPath: filepath.Join(folder, "log")}
	output, err := os.Create(d.logPath)
	require.NoError(t, err)
	d.command = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$1"`, descriptors), binary, path)
	d.command.Stdout, d.command.Stderr = output, output
	require.NoError(t, d.command.Start())
	go func() {
		defer close(d.exited)
		_ = d.command.Wait()
		_ = output.Close()
	}()
	t.Cleanup(func() {
		_ = d.command.Process.Kill()
		<-d.exited
	})
	ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
	defer cancel()
	for _, target := range targets {
		require.NoError(t, fleet.Await(ctx, "ordinary requests at "+target.name, func() bool { return target.request() == nil }), "%s", d.log())
	}
	return d
}

// newRequest returns a request of a client with a key, with an id of its own.
func (t target) newRequest(method string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequest(method, "http://"+t.address.String()+t.path, body)
	if err != nil {
		return nil, err
	}
	request.Host = callersHost
	request.Header.Set("Authorization", "Bearer "+callersKey)
	request.Header.Set(standin.HeaderRequestID, "ordinary-"+strconv.FormatInt(time.Now().UnixNano(), 16))
	return request, nil
}

// newClient returns a client that sends each request on a new connection.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: hangTimeout}
}

// request sends an ordinary request on a new connection.
func (t target) request() error {
	request, err := t.newRequest(http.MethodGet, nil)
	if err != nil {
		return err
	}
	response, err := newClient().Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != t.status {
		return fmt.Errorf("%s: status %d, not %d", t.name, response.StatusCode, t.status)
	}
	return nil
}

// settle waits until the process has read what its clients sent, or what it is going to read of that.
func (d *daemon) settle() {
	const unchangedPolls, pollInterval = 20, 50 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	unchanged, last := 0, ""
	for deadline := time.Now().Add(hangTimeout); time.Now().Before(deadline) && unchanged <= unchangedPolls && d.lives(); <-ticker.C {
		state := fmt.Sprint(d.openDescriptors(), d.unread())
		if state != last {
			unchanged, last = 0, state
		}
		unchanged++
	}
}

// lives reports whether the process has not ended.
func (d *daemon) lives() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// openDescriptors returns the number of open descriptors of the process.
func (d *daemon) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	d.most = max(d.most, len(entries))
	return len(entries)
}

// peakMemory returns the peak resident memory of the process in MiB.
func (d *daemon) peakMemory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, _ := strconv.Atoi(strings.Fields(value)[0])
			return kib >> 10
		}
	}
	return 0
}

// unread returns the number of bytes that the listeners' connections have received and the process has not read.
func (d *daemon) unread() int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/net/tcp", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	total := 0
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		const localField, queuesField = 1, 4
		if len(fields) <= queuesField || !d.isLocal(fields[localField]) {
			continue
		}
		_, received, _ := strings.Cut(fields[queuesField], ":")
		bytes, _ := strconv.ParseInt(received, 16, 64)
		total += int(bytes)
	}
	return total
}

// isLocal reports whether an address of the kernel's table has the port of a listener.
func (d *daemon) isLocal(address string) bool {
	_, hex, _ := strings.Cut(address, ":")
	port, err := strconv.ParseUint(hex, 16, 16)
	for _, target := range d.targets {
		if err == nil && uint64(target.address.Port()) == port {
			return true
		}
	}
	return false
}

// check fails the test unless the process lives within its bounds and answers an ordinary request on each listener.
func (d *daemon) check(t *testing.T) {
	t.Helper()
	d.settle()
	if !assert.True(t, d.lives(), "the process ended:\n%s", d.log()) {
		return
	}
	d.openDescriptors()
	for _, target := range d.targets {
		assert.NoError(t, target.request(), "an ordinary request after the crowd")
	}
	d.checkMemory(t)
	t.Logf("at most %d descriptors", d.most)
	assert.LessOrEqual(t, d.most, maxOpen, "open descriptors")
}

// checkMemory fails the test unless the process lives and its memory stays within its limit.
func (d *daemon) checkMemory(t *testing.T) {
	t.Helper()
	if !assert.True(t, d.lives(), "the process ended:\n%s", d.log()) {
		return
	}
	peak := d.peakMemory()
	t.Logf("peak memory %d MiB", peak)
	assert.LessOrEqual(t, peak, memoryMB, "peak memory in MiB")
}

// log returns the end of the process's output.
func (d *daemon) log() string {
	const shown = 2000
	text, _ := os.ReadFile(d.logPath)
	return string(text[max(0, len(text)-shown):])
}

// upload sends a request with a body of the given size. Its result does not matter.
func (t target) upload(size int) {
	if request, err := t.newRequest(http.MethodPost, bytes.NewReader(make([]byte, size))); err == nil {
		discard(request)
	}
}

// discard sends a request and reads its response.
func discard(request *http.Request) {
	response, err := newClient().Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// sendUnfinished sends the start of a request and waits until the process closes the connection, or until the end.
func (t target) sendUnfinished(start string, end time.Time) {
	conn, err := net.DialTimeout("tcp", t.address.String(), writeTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(end)
	if _, err := io.WriteString(conn, start); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// sendEndless sends a request whose body does not end, until the process no longer reads it.
func (t target) sendEndless(path, mediaType string) {
	const sentAtMost = 256 << 20
	body := io.LimitReader(&endless{text: `"x`}, sentAtMost)
	request, err := http.NewRequest(http.MethodPost, "http://"+t.address.String()+path, body)
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", mediaType)
	discard(request)
}

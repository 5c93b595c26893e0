package harness

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record writes what was sent, answered and run to record.txt. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, start: time.Now()}, err
}

// Printf writes one line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Fleet holds the processes of a script.
type Fleet struct {
	Record *Record
	// Root is the root of the repository, and Temp the folder of settings and logs.
	Root, Temp string
	processes  []*Process
}

// Process is a started process.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
}

// Start starts a program of the repository, or one by its absolute path. Lines of its standard output go to onLine, or to a log
// file in the temporary folder if onLine is nil.
func (f *Fleet) Start(name string, env []string, onLine func(string), program string, args ...string) (*Process, error) {
	if !filepath.IsAbs(program) {
		program = filepath.Join(f.Root, program)
	}
	cmd := exec.Command(program, args...)
	cmd.Dir, cmd.Env = f.Root, append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.Temp, "LANG=C"}, env...)
	log, err := os.Create(filepath.Join(f.Temp, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd.Stderr = log
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	if onLine == nil {
		cmd.Stdout = log
		if err := cmd.Start(); err != nil {
			return nil, err
		}
	} else {
		pipe, err := cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		if err := cmd.Start(); err != nil {
			return nil, err
		}
		go func() {
			lines := bufio.NewScanner(pipe)
			lines.Buffer(nil, 1<<20)
			for lines.Scan() {
				onLine(lines.Text())
			}
		}()
	}
	go func() {
		_, _ = cmd.Process.Wait()
		_ = log.Close()
		close(p.done)
	}()
	f.processes = append(f.processes, p)
	f.Record.Printf("started %s, process %d", name, cmd.Process.Pid)
	return p, nil
}

// StartDaemon starts target/wheelcleatd, the run command of the deploy file, with a settings file.
func (f *Fleet) StartDaemon(name string, settings map[string]any) (*Process, error) {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(f.Temp, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	return f.Start(name, []string{"WHEELCLEAT_SETTINGS=" + path}, nil, "target/wheelcleatd")
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) { _ = p.cmd.Process.Signal(signal) }

// Ended reports whether the process has ended within a time.
func (p *Process) Ended(within time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(within):
		return false
	}
}

// Close ends all processes of the fleet.
func (f *Fleet) Close() {
	for _, p := range f.processes {
		select {
		case <-p.done:
			continue
		default:
		}
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
		<-p.done
	}
}

// Ports returns distinct ports that are free on an address.
func Ports(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// Serve serves a handler on a free port of an address and returns the whole address.
func Serve(ip string, handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, handler) }()
	return l.Addr().String(), nil
}

// Await polls a condition.
func Await(within time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// IsReady asks a router's readiness page.
func IsReady(address string) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// RouterSettings returns settings as the template of the deploy file gives them.
func RouterSettings(name, ip string, ports []int, store string, loaderPort int) map[string]any {
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
	return map[string]any{
		"role": "router", "name": name, "hall": "zone-a",
		"listen": map[string]any{"callers": at(0), "ready": at(1), "peers": at(2), "metrics": at(3)},
		"store":  store, "seeds": []string{at(2)}, "loaderPort": loaderPort,
		"regions": []map[string]string{{"hall": "zone-a", "region": "region-a"}},
		"bounds": map[string]any{
			"versionApply": "8000ms", "retryRatio": 0.2, "retrySlack": 102, "retryWindow": "10s", "linkMbps": 1000.0, "memoryMb": 284,
		},
		"drain": "8s", "log": map[string]any{"level": "info"},
	}
}

// LoaderSettings returns settings as the template of the deploy file gives them.
func LoaderSettings(name, ip string, peerPort, metricsPort int, store, engine, service string) map[string]any {
	return map[string]any{
		"role": "loader", "name": name, "hall": "zone-a",
		"listen": map[string]any{"peers": fmt.Sprintf("%s:%d", ip, peerPort), "metrics": fmt.Sprintf("%s:%d", ip, metricsPort)},
		"store":  store, "engine": engine, "service": service,
		"bounds": map[string]any{"versionApply": "8000ms", "linkMbps": 1000.0},
		"drain":  "8s", "log": map[string]any{"level": "info"},
	}
}

// Configuration returns an operator's configuration with one streaming route to a service of
// engines, for callers without keys.
func Configuration(origin string) map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "chat", "hostname": "chat.example", "pathPrefix": "/chat/", "type": "streaming", "timeoutMs": 6000, "sloMs": 500,
			"priority": 1, "service": "llm", "maxAttempts": 2, "public": true, "sessionAffinity": true, "resumable": true, "itlTargetMs": 400,
		}},
		"services": []map[string]any{
			{
				"name": "llm", "healthPath": "/healthz", "maxConnections": 424, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"capacity": 16, "kvCapacity": 317000, "kvTokenBytes": 262144, "linkMbps": 400000.0, "stride": 5,
					"models": []map[string]any{{"name": Model, "pace": 1.0, "loadS": 4.0, "warmupS": 0.3}}, "sizeMb": 149000.0,
					"step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322, "read_per_s": 20700.0, "pairs_per_m": 1.18, "chunk": 2048,
					"report_lag_ms": 200.0, "usual": map[string]any{"prompt": 979, "answer": 92}, "layers": Layers, "layer_mb": 4090.0,
					"act_bytes": 16384, "chunks": Chunks, "chunkBytes": ChunkBytes,
				},
			},
			{"name": "weights", "origin": origin, "zone": "zone-a", "linkMbps": 1000.0, "maxConnections": 48},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{},
	}
}

// Root returns the root of the repository, from the folder of a case.
func Root(caseDir string) string {
	root, err := filepath.Abs(filepath.Join(caseDir, "..", ".."))
	if err != nil {
		panic(err)
	}
	return root
}

// Trouble reports whether the script shall cause the disruption.
func Trouble() bool { return strings.TrimSpace(os.Getenv("TROUBLE")) != "0" }

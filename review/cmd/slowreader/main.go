// Command slowreader lets a client pause while it reads a long answer that has neither a length nor
// chunks. Meanwhile the runner of the answer crashes, and is back before the client reads on. It
// checks whether the answer looks complete to the client.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"wheelcleat-review/harness"
)

const (
	exitHeld, exitBroken, exitCannotRun = 0, 1, 2
	documentSize                        = 32 << 20
	// The client reads firstPart bytes, pauses for pauseTime, and reads the rest.
	firstPart = 128 << 10
	pauseTime = 4 * time.Second
	// The runner crashes crashAfter after the client has begun to pause, and is down for downTime.
	crashAfter = time.Second
	downTime   = 2 * time.Second
	deadlineMs = 6000
	// entryTime is how long the entry of a silent runner stays in the store: three heartbeats.
	entryTime = 3600 * time.Millisecond
)

func main() { os.Exit(run(os.Args[1])) }

func run(dir string) int {
	record, err := harness.NewRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = os.RemoveAll(temp) }()
	f := &harness.Fleet{Record: record, Root: harness.Root(dir), Temp: temp}
	defer f.Close()
	code, err := play(f, record)
	if err != nil {
		record.Printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	return code
}

func play(f *harness.Fleet, record *harness.Record) (int, error) {
	store := harness.NewStore()
	storeAddress, err := harness.Serve("127.0.0.1", store.Handler())
	if err != nil {
		return 0, err
	}
	ports, err := harness.Ports("127.0.0.1", 6)
	if err != nil {
		return 0, err
	}
	store.Put("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "docs", "hostname": "docs.example", "pathPrefix": "/docs/", "type": "safe", "timeoutMs": deadlineMs, "sloMs": 3000,
			"priority": 1, "service": "docs", "maxAttempts": 2, "public": true, "sessionAffinity": false, "resumable": false,
		}},
		"services": []map[string]any{{"name": "docs", "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{},
	})
	runnerAddress := fmt.Sprintf("127.0.0.1:%d", ports[4])
	start := func(name, id string) (*harness.Process, error) {
		return f.Start(name, nil, func(line string) { onRunnerLine(store, record, id, line) }, "target/review/plain",
			"-address", runnerAddress, "-id", id, "-size", fmt.Sprint(documentSize))
	}
	runner, err := start("runner", "i-1")
	if err != nil {
		return 0, err
	}
	if _, err := f.StartDaemon("router", harness.RouterSettings("edge-1", "127.0.0.1", ports[:4], storeAddress, ports[5])); err != nil {
		return 0, err
	}
	frontend, ready := fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
	if !harness.Await(10*time.Second, func() bool { return harness.IsReady(ready) }) {
		return 0, fmt.Errorf("the router is not ready")
	}
	time.Sleep(4 * time.Second) // contactMs without a start

	conn, err := net.Dial("tcp", frontend)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	const id = "cc00000000000001"
	record.Printf("client sends %s", id)
	_ = conn.SetDeadline(time.Now().Add(deadlineMs * time.Millisecond))
	fmt.Fprintf(conn, "GET /docs/1 HTTP/1.1\r\nHost: docs.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", id, deadlineMs)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, fmt.Errorf("no answer: %w", err)
	}
	first, err := io.CopyN(io.Discard, resp.Body, firstPart)
	if err != nil {
		return 0, fmt.Errorf("the answer ended after %d bytes: %w", first, err)
	}
	record.Printf("client gets %d, signature %q, has read %d bytes, pauses", resp.StatusCode, resp.Header.Get("Server-Signature"), first)
	if harness.Trouble() {
		go crash(runner, store, record, start)
	}
	time.Sleep(pauseTime)
	record.Printf("client reads on")
	rest, err := io.Copy(io.Discard, resp.Body)
	total := first + rest
	record.Printf("client has read %d of %d bytes; error %v", total, documentSize, err)
	if err == nil && total != documentSize {
		record.Printf("BROKEN (MIXED): the answer looks complete and lacks %d bytes of the runner's body", documentSize-total)
		return exitBroken, nil
	}
	if !harness.Trouble() && err != nil {
		return 0, fmt.Errorf("the answer broke off without trouble: %w", err)
	}
	record.Printf("held: the answer is whole, or does not look complete")
	return exitHeld, nil
}

// crash kills the runner, and starts it again at its address.
func crash(runner *harness.Process, store *harness.Store, record *harness.Record, start func(name, id string) (*harness.Process, error)) {
	time.Sleep(crashAfter)
	record.Printf("the runner crashes: SIGKILL")
	runner.Signal(syscall.SIGKILL)
	time.AfterFunc(entryTime, func() { store.Remove("servers/i-1") })
	time.Sleep(downTime)
	if _, err := start("runner-again", "i-2"); err != nil {
		record.Printf("the runner did not start again: %v", err)
	}
}

func onRunnerLine(store *harness.Store, record *harness.Record, id, line string) {
	var event struct {
		Event string          `json:"event"`
		Entry json.RawMessage `json:"entry"`
	}
	if json.Unmarshal([]byte(line), &event) != nil {
		return
	}
	if event.Event == "beat" {
		store.Put("servers/"+id, event.Entry)
	}
	record.Printf("runner %s: %s", id, line)
}

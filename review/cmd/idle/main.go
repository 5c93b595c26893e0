// Command idle is a trial, not a case: callers open a connection for each request, get their answer
// and leave the connection open without using it again. It checks whether the router still answers
// on new connections while it says that it is ready on the connection of a readiness check.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"wheelcleat-review/harness"
)

const (
	exitHeld, exitBroken, exitCannotRun = 0, 1, 2
	// maxFds is that of the smallest machines of the class "edge".
	maxFds    = 4100
	requests  = 4400
	interval  = 12 * time.Millisecond
	contact   = 4 * time.Second
	minFailed = 7
)

func main() { os.Exit(run(os.Args[1], os.Args[2])) }

func run(dir, root string) int {
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
	f := &harness.Fleet{Record: record, Root: root, Temp: temp}
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
	store.Put("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "docs", "hostname": "docs.example", "pathPrefix": "/docs/", "type": "safe", "timeoutMs": 2000, "sloMs": 300,
			"priority": 1, "service": "docs", "maxAttempts": 2, "public": true, "sessionAffinity": false, "resumable": false,
		}},
		"services": []map[string]any{{"name": "docs", "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{},
	})
	ports, err := harness.Ports("127.0.0.1", 6)
	if err != nil {
		return 0, err
	}
	onLine := func(line string) {
		var event struct {
			Event string          `json:"event"`
			Entry json.RawMessage `json:"entry"`
		}
		if json.Unmarshal([]byte(line), &event) == nil && event.Event == "beat" {
			store.Put("servers/i-1", event.Entry)
		}
	}
	if _, err := f.Start("runner", nil, onLine, "target/review/plain", "-address", fmt.Sprintf("127.0.0.1:%d", ports[4]), "-id", "i-1", "-size", "800"); err != nil {
		return 0, err
	}
	data, err := json.Marshal(harness.RouterSettings("edge-1", "127.0.0.1", ports[:4], storeAddress, ports[5]))
	if err != nil {
		return 0, err
	}
	path := filepath.Join(f.Temp, "router.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return 0, err
	}
	shell, err := exec.LookPath("bash")
	if err != nil {
		return 0, err
	}
	limited := fmt.Sprintf("ulimit -n %d; exec target/wheelcleatd", maxFds)
	if _, err := f.Start("router", []string{"WHEELCLEAT_SETTINGS=" + path}, nil, shell, "-c", limited); err != nil {
		return 0, err
	}
	front, ready := fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
	if !harness.Await(10*time.Second, func() bool { return harness.IsReady(ready) }) {
		return 0, fmt.Errorf("the router is not ready")
	}
	time.Sleep(contact)
	return overload(record, front, ready)
}

// overload sends the requests, and reports whether none was answered for the contact time while the
// router said that it was ready.
func overload(record *harness.Record, front, ready string) (int, error) {
	check := &http.Client{Timeout: time.Second}
	var failedSince, checkedAt time.Time
	served, failed := 0, 0
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	}()
	for range requests {
		conn, err := ask(front)
		switch {
		case conn == nil:
		case harness.Trouble():
			open = append(open, conn)
		default:
			_ = conn.Close()
		}
		if err == nil {
			served, failed, failedSince = served+1, 0, time.Time{}
		} else {
			if failed++; failedSince.IsZero() {
				failedSince = time.Now()
				record.Printf("after %d answered requests one gets no answer: %v", served, err)
			}
		}
		if time.Since(checkedAt) > time.Second {
			checkedAt = time.Now()
			isReady := saysReady(check, ready)
			if failed > 0 {
				record.Printf("%d requests on new connections without an answer; the router says ready: %t", failed, isReady)
			}
			if isReady && failed >= minFailed && time.Since(failedSince) > contact {
				record.Printf("BROKEN (RECOVER): ready, and no request on a new connection was answered for %s", time.Since(failedSince).Round(time.Millisecond))
				return exitBroken, nil
			}
		}
		time.Sleep(interval)
	}
	record.Printf("held: %d of %d requests were answered", served, requests)
	return exitHeld, nil
}

// ask sends one request on a new connection, which stays open.
func ask(front string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintf(conn, "GET /docs/1 HTTP/1.1\r\nHost: docs.example\r\nAttempt-Id: dd00000000000001\r\nDeadline-Ms: 1000\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return conn, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return conn, err
}

// saysReady asks the readiness page on the same connection each time.
func saysReady(client *http.Client, ready string) bool {
	resp, err := client.Get("http://" + ready + "/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

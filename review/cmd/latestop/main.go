// Command latestop stops a router with SIGTERM while a client uses a kept connection, and checks
// whether a request that the client sends there later than 3 s after the SIGTERM is answered.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"wheelcleat-review/harness"
)

const (
	exitHeld, exitBroken, exitCannotRun = 0, 1, 2
	grace                               = 8 * time.Second
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
	origin, err := harness.Serve("127.0.0.1", harness.Origin())
	if err != nil {
		return 0, err
	}
	ports, err := harness.Ports("127.0.0.1", 7)
	if err != nil {
		return 0, err
	}
	store.Put("op/config", harness.Configuration(origin))
	engineAddress := fmt.Sprintf("127.0.0.1:%d", ports[4])
	_, err = f.Start("engine", nil, func(line string) { onEngineLine(store, record, line) }, "target/review/engine",
		"-address", engineAddress, "-id", "i-1", "-event-gap", "120ms")
	if err != nil {
		return 0, err
	}
	if _, err := f.StartDaemon("loader", harness.LoaderSettings("side-1", "127.0.0.1", ports[5], ports[6], storeAddress, engineAddress, "llm")); err != nil {
		return 0, err
	}
	router, err := f.StartDaemon("router", harness.RouterSettings("edge-1", "127.0.0.1", ports[:4], storeAddress, ports[5]))
	if err != nil {
		return 0, err
	}
	frontend, ready := fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
	if !harness.Await(10*time.Second, func() bool { return harness.IsReady(ready) }) {
		return 0, fmt.Errorf("the router is not ready")
	}
	served := func() bool {
		return harness.SendNew(frontend, harness.Stream{ID: "aa00000000000001", PromptTokens: 100, AnswerTokens: 10, DeadlineMs: 6000}, record).Complete
	}
	if !harness.Await(20*time.Second, served) {
		return 0, fmt.Errorf("no request is served")
	}
	time.Sleep(4 * time.Second) // contactMs without a start

	// The client keeps its connection and sends one request after the other.
	conn, err := net.Dial("tcp", frontend)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	stopped := make(chan time.Time, 1)
	go func() {
		time.Sleep(500 * time.Millisecond)
		stopped <- time.Now()
		if harness.Trouble() {
			record.Printf("SIGTERM to the router; graceS is 8")
			router.Signal(syscall.SIGTERM)
		}
	}()
	first := harness.Send(conn, reader, harness.Stream{ID: "bb00000000000001", PromptTokens: 200, AnswerTokens: 180, DeadlineMs: 6000}, record)
	at := <-stopped
	if !first.Complete || first.Status != 200 {
		return 0, fmt.Errorf("the first stream was not served")
	}
	if !first.KeepAlive {
		record.Printf("the answer closes its connection; the client sends nothing more there")
		return exitHeld, nil
	}
	sent := time.Since(at)
	record.Printf("the second request is sent %.3f s after the SIGTERM", sent.Seconds())
	second := harness.Send(conn, reader, harness.Stream{ID: "bb00000000000002", PromptTokens: 200, AnswerTokens: 200, DeadlineMs: 6000}, record)
	record.Printf("the second request ends %.3f s after the SIGTERM", time.Since(at).Seconds())
	if harness.Trouble() && !router.Ended(max(time.Until(at.Add(grace+time.Second)), time.Millisecond)) {
		record.Printf("SIGKILL to the router, which has not ended within graceS")
		router.Signal(syscall.SIGKILL)
	}
	if second.Complete {
		record.Printf("held: the second request has a complete answer")
		return exitHeld, nil
	}
	if !wasPassedOn("bb00000000000002") || sent <= 3*time.Second {
		record.Printf("held: the second request was not passed on, or was sent within 3 s of the SIGTERM")
		return exitHeld, nil
	}
	record.Printf("BROKEN (LOST): the request was read, passed on to a runner, and its connection ended without a complete answer")
	return exitBroken, nil
}

var passedOn = make(chan string, 100)

func wasPassedOn(id string) bool {
	for {
		select {
		case got := <-passedOn:
			if got == id {
				return true
			}
		default:
			return false
		}
	}
}

func onEngineLine(store *harness.Store, record *harness.Record, line string) {
	var event struct {
		Event string          `json:"event"`
		ID    string          `json:"id"`
		Entry json.RawMessage `json:"entry"`
	}
	if json.Unmarshal([]byte(line), &event) != nil {
		return
	}
	switch event.Event {
	case "beat":
		store.Put("servers/i-1", event.Entry)
	case "put":
	case "run":
		passedOn <- event.ID
		record.Printf("runner: %s", line)
	default:
		record.Printf("runner: %s", line)
	}
}

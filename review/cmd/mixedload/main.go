// Command mixedload names new versions in quick succession to a fleet of sixteen runners, and freezes
// one machine of the class "side" while its loader writes a version to the staging area of a
// runner that is draining for the version before. If the write did not time out, a machine is frozen
// in the same way in a later pair of versions. It checks whether the runner makes tokens with
// layers of two versions.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wheelcleat-review/harness"
)

const (
	exitHeld, exitBroken, exitCannotRun = 0, 1, 2
	machines                            = 16
	callers                             = 100
	freezeTime                          = 3 * time.Second
	// freezeAt is the piece at whose write the machine freezes.
	freezeAt = 40
	// maxPairs is how often two versions are named, nameGap apart.
	maxPairs = 7
	nameGap  = 2 * time.Second
	pairTime = 11 * time.Second
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
	s := &script{fleet: f, record: record, store: harness.NewStore()}
	code, err := s.play()
	if err != nil {
		record.Printf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	return code
}

type script struct {
	fleet  *harness.Fleet
	record *harness.Record
	store  *harness.Store

	mu    sync.Mutex
	hosts [machines]machine
	// frozenAt is when a machine was last frozen, zero before.
	frozenAt time.Time
	// mixedRuns counts the requests that ran on layers of two versions.
	mixedRuns int
	mixed     string
}

// machine is one machine of the class "side" with its runner.
type machine struct {
	engine, loader *harness.Process
	// ordered is the version of the last order, and verified the newer one whose pieces the loader has
	// read back since, 0 if none.
	ordered, verified int
}

func (s *script) play() (int, error) {
	storeAddress, err := harness.Serve("127.0.0.1", s.store.Handler())
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
	s.store.Put("op/config", harness.Configuration(origin))
	s.name(1)
	for i := range s.hosts {
		if err := s.startMachine(i, ports, storeAddress); err != nil {
			return 0, err
		}
	}
	if _, err := s.fleet.StartDaemon("router", harness.RouterSettings("edge-1", "127.0.0.1", ports[:4], storeAddress, ports[5])); err != nil {
		return 0, err
	}
	frontend, ready := fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
	if !harness.Await(10*time.Second, func() bool { return harness.IsReady(ready) }) {
		return 0, fmt.Errorf("the router is not ready")
	}
	served := func() bool {
		return harness.SendNew(frontend, harness.Stream{ID: "aa00000000000001", PromptTokens: 100, AnswerTokens: 10, DeadlineMs: 6000}, s.record).Complete
	}
	if !harness.Await(20*time.Second, served) {
		return 0, fmt.Errorf("no request is served")
	}
	time.Sleep(6 * time.Second)

	var running sync.WaitGroup
	done := make(chan struct{})
	for caller := range callers {
		running.Go(func() { s.call(caller, frontend, done) })
	}
	time.Sleep(2 * time.Second)
	version := 2
	for pair := 0; pair < maxPairs && !s.broken(); pair++ {
		s.name(version)
		time.Sleep(nameGap)
		s.name(version + 1)
		time.Sleep(pairTime - nameGap)
		version += 2
	}
	close(done)
	running.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.mixedRuns > 0:
		s.record.Printf("BROKEN (WHOLE): %d requests ran on layers that were taken while pieces of them were of another version (%s)", s.mixedRuns, s.mixed)
		return exitBroken, nil
	case harness.Trouble() && s.frozenAt.IsZero():
		return 0, fmt.Errorf("no machine was frozen: no runner was draining for one version while the next one was written")
	default:
		s.record.Printf("held: each request ran on whole layers")
		return exitHeld, nil
	}
}

// startMachine starts the runner of a machine and its loader, on an address of their own.
func (s *script) startMachine(i int, ports []int, storeAddress string) error {
	ip := fmt.Sprintf("127.0.1.%d", i+1)
	address := fmt.Sprintf("%s:%d", ip, ports[4])
	engine, err := s.fleet.Start(fmt.Sprintf("engine-%d", i+1), nil, func(line string) { s.onEngineLine(i, line) }, "target/review/engine",
		"-address", address, "-id", fmt.Sprintf("i-%d", i+1), "-event-gap", "60ms", "-put-time", "6ms")
	if err != nil {
		return err
	}
	name := fmt.Sprintf("side-%d", i+1)
	loader, err := s.fleet.StartDaemon(name, harness.LoaderSettings(name, ip, ports[5], ports[6], storeAddress, address, "llm"))
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[i].engine, s.hosts[i].loader, s.hosts[i].ordered = engine, loader, 1
	return nil
}

func (s *script) name(version int) {
	s.record.Printf("version %d is named", version)
	s.store.Put("op/version/"+harness.Model, map[string]any{"model": harness.Model, "version": version})
}

// call sends one request after the other. Some streams are several times as long as most.
func (s *script) call(caller int, frontend string, done <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		events := 10
		if rand.IntN(2) == 0 {
			events = 50
		}
		stream := harness.Stream{ID: fmt.Sprintf("%02x%014x", caller+16, n), PromptTokens: 200 + rand.IntN(3000), AnswerTokens: 5 * events, DeadlineMs: 6000}
		answer := harness.SendNew(frontend, stream, s.record)
		if !answer.Complete || answer.Status != 200 {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

func (s *script) broken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mixedRuns > 0
}

func (s *script) onEngineLine(i int, line string) {
	var event struct {
		Event   string          `json:"event"`
		Entry   json.RawMessage `json:"entry"`
		Index   int             `json:"index"`
		Version int             `json:"version"`
		Mixed   string          `json:"mixed"`
	}
	if json.Unmarshal([]byte(line), &event) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	host := &s.hosts[i]
	switch event.Event {
	case "beat":
		s.store.Put(fmt.Sprintf("servers/i-%d", i+1), event.Entry)
		return
	case "read-last":
		if event.Version > host.ordered {
			host.verified = event.Version
		}
	case "order":
		host.ordered, host.verified = event.Version, 0
	case "put":
		if event.Index == freezeAt && host.verified > 0 && event.Version > host.verified {
			s.record.Printf("runner i-%d is draining for version %d while version %d is written", i+1, host.verified, event.Version)
			s.freeze(i)
		}
		if event.Index != 0 && event.Index != freezeAt && event.Index != harness.Chunks-1 {
			return // the record names the first, one and the last of the pieces
		}
	case "run":
		if event.Mixed != "" {
			s.mixedRuns++
			s.mixed = event.Mixed
		}
	}
	s.record.Printf("runner i-%d: %s", i+1, line)
}

// freeze freezes the processes of a machine, the runner and its loader, and wakes them again. The
// caller holds mu.
func (s *script) freeze(i int) {
	if s.mixedRuns > 0 || time.Since(s.frozenAt) < pairTime-nameGap || !harness.Trouble() {
		return
	}
	s.frozenAt = time.Now()
	engine, loader := s.hosts[i].engine, s.hosts[i].loader
	engine.Signal(syscall.SIGSTOP)
	loader.Signal(syscall.SIGSTOP)
	s.record.Printf("machine side-%d freezes: SIGSTOP to the runner and its loader", i+1)
	go func() {
		time.Sleep(freezeTime)
		s.record.Printf("machine side-%d wakes: SIGCONT", i+1)
		engine.Signal(syscall.SIGCONT)
		loader.Signal(syscall.SIGCONT)
	}()
}

// Command engine is a stand-in of a model runner. It runs requests, keeps staged pieces and takes
// orders as the users' pages say, and prints one JSON line for each event.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"wheelcleat-review/harness"
)

const (
	queueLength = 32
	loadTime    = 300 * time.Millisecond
)

var (
	address  = flag.String("address", "", "address to listen on")
	id       = flag.String("id", "", "id of this runner")
	capacity = flag.Int("capacity", 16, "requests at once")
	readRate = flag.Float64("read-rate", 20700, "prompt tokens read in a second")
	eventGap = flag.Duration("event-gap", 60*time.Millisecond, "time between two events of a stream")
	putTime  = flag.Duration("put-time", 2*time.Millisecond, "time to store one piece")
)

type engine struct {
	mu       sync.Mutex
	born     time.Time
	staged   map[int][]byte
	loaded   int
	mixed    string // what is wrong with the loaded layers, empty if nothing
	loading  bool
	sequence uint64
	fence    uint64
	queued   int
	active   int
	// idle is signalled when a request ends; reading holds the prompt that is being read.
	idle    *sync.Cond
	reading chan struct{}
}

var output sync.Mutex

func emit(event string, fields map[string]any) {
	output.Lock()
	defer output.Unlock()
	fields["event"] = event
	line, _ := json.Marshal(fields)
	_, _ = os.Stdout.Write(append(line, '\n'))
}

func main() {
	flag.Parse()
	e := &engine{born: time.Now(), staged: map[int][]byte{}, loaded: 1, reading: make(chan struct{}, 1)}
	e.idle = sync.NewCond(&e.mu)
	for index := range harness.Chunks { // a runner of the start holds version 1, staged too
		e.staged[index] = harness.Piece(1, index)
	}
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	e.beat()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("PUT /stage-put/{model}", e.put)
	mux.HandleFunc("GET /stage-get/{model}", e.get)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", *id) })
	mux.HandleFunc("/", e.serve)
	_ = http.Serve(listener, mux)
}

func (e *engine) models() []map[string]any {
	if e.loaded == 0 {
		return []map[string]any{}
	}
	layers := []map[string]any{{"source": 0, "targetVersion": harness.Layers, "version": e.loaded}}
	return []map[string]any{{"name": harness.Model, "version": e.loaded, "adapters": []string{}, "layers": layers}}
}

// beat prints the runner's entry of the store, which the script writes there.
func (e *engine) beat() {
	emit("beat", map[string]any{"entry": map[string]any{
		"service": "llm", "address": *address, "zone": "zone-a", "version": "v1", "capacity": *capacity, "state": "ready",
		"coldRemainingMs": 0, "phase": "unified", "models": e.models(), "sequence": e.sequence, "born": e.born.UnixMilli(),
	}})
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	harness.WriteJSON(w, http.StatusOK, map[string]any{
		"phase": "unified", "models": e.models(), "utilization": e.loading, "sequence": e.sequence, "queued": e.queued, "active": e.active,
		"kvUsed": 0, "kvTotal": 317000 * harness.Layers, "handles": 0, "born": e.born.UnixMilli(),
	})
}

func (e *engine) put(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.URL.Query().Get("sampleCount"))
	piece, readErr := io.ReadAll(r.Body)
	if err != nil || readErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.staged[index] = piece
	e.mu.Unlock()
	emit("put", map[string]any{"index": index, "version": versionOf(index, piece)})
	time.Sleep(*putTime)
}

func (e *engine) get(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.Atoi(r.URL.Query().Get("sampleCount"))
	e.mu.Lock()
	piece, ok := e.staged[index]
	e.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if index == harness.Chunks-1 {
		emit("read-last", map[string]any{"version": versionOf(index, piece)})
	}
	_, _ = w.Write(piece)
}

// versionOf returns the version that a piece belongs to, 0 if none.
func versionOf(index int, piece []byte) int {
	for version := 1; version < 64; version++ {
		if string(piece) == string(harness.Piece(version, index)) {
			return version
		}
	}
	return 0
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation        string  `json:"operation"`
		Version          int     `json:"version"`
		FencingToken     uint64  `json:"fencingToken"`
		ExpectedRevision *uint64 `json:"expectedRevision"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Operation != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(e.take(order.Version, order.FencingToken, order.ExpectedRevision))
}

// take takes what is staged for a version, and loads it once no request runs.
func (e *engine) take(version int, token uint64, expected *uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case token < e.fence:
		return http.StatusPreconditionFailed
	case version == e.loaded && !e.loading:
		return http.StatusOK
	case e.loading || expected != nil && *expected != e.sequence:
		return http.StatusConflict
	}
	e.fence = token
	e.sequence++
	e.loading = true
	counts := map[int]int{}
	for index := range harness.Chunks {
		counts[versionOf(index, e.staged[index])]++
	}
	mixed := ""
	if counts[version] != harness.Chunks {
		mixed = fmt.Sprintf("pieces by version: %v", counts)
	}
	emit("order", map[string]any{"version": version, "mixed": mixed})
	go func() {
		e.mu.Lock()
		for e.active > 0 || e.queued > 0 {
			e.idle.Wait()
		}
		e.mu.Unlock()
		time.Sleep(loadTime)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loaded, e.mixed, e.loading = version, mixed, false
		e.beat()
	}()
	return http.StatusAccepted
}

// serve runs a request: it waits until its prompt is read and a place is free, then writes events.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	version := strconv.Itoa(e.loaded)
	if r.Header.Get("Expected-Instance") != *id || r.Header.Get("Expected-Version") != "" && r.Header.Get("Expected-Version") != version {
		e.mu.Unlock()
		emit("rejected", map[string]any{"id": attempt, "status": http.StatusMisdirectedRequest})
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.loading || e.loaded == 0 || e.queued >= queueLength {
		e.mu.Unlock()
		emit("rejected", map[string]any{"id": attempt, "status": http.StatusServiceUnavailable})
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.queued++
	e.mu.Unlock()
	emit("reached", map[string]any{"id": attempt})
	if !e.begin(r) {
		emit("dropped", map[string]any{"id": attempt})
		return
	}
	defer e.end()
	e.mu.Lock()
	loaded, mixed := e.loaded, e.mixed
	e.mu.Unlock()
	emit("run", map[string]any{"id": attempt, "version": loaded, "mixed": mixed})
	w.Header().Set("Server-Signature", *id+"."+attempt)
	w.Header().Set("Weight-Versions", strconv.Itoa(loaded))
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	events := tokens(r, 1) / 5
	for number := last + 1; number <= events; number++ {
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s token %d of version %d\n\n", number, attempt, number, loaded)
		if err != nil || http.NewResponseController(w).Flush() != nil {
			break
		}
		select {
		case <-time.After(*eventGap):
		case <-r.Context().Done():
			emit("run-ended", map[string]any{"id": attempt, "events": number, "how": "connection closed"})
			return
		}
	}
	emit("run-ended", map[string]any{"id": attempt, "events": events, "how": "complete"})
}

// begin waits for the first token of a request. It returns false if the connection closes first.
func (e *engine) begin(r *http.Request) bool {
	leave := func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.queued--
		e.idle.Broadcast()
		return false
	}
	for {
		select {
		case e.reading <- struct{}{}:
		case <-r.Context().Done():
			return leave()
		}
		e.mu.Lock()
		free := e.active < *capacity
		e.mu.Unlock()
		if free {
			break
		}
		<-e.reading
		time.Sleep(5 * time.Millisecond)
	}
	defer func() { <-e.reading }()
	select {
	case <-time.After(time.Duration(float64(tokens(r, 0)) / *readRate * float64(time.Second))):
	case <-r.Context().Done():
		return leave()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued--
	e.active++
	return true
}

func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	e.idle.Broadcast()
}

// tokens returns a number of Token-Usage: of the prompt (0) or most out (1).
func tokens(r *http.Request, field int) int {
	parts := strings.Split(r.Header.Get("Token-Usage"), ",")
	if field >= len(parts) {
		return 0
	}
	count, _ := strconv.Atoi(parts[field])
	return count
}

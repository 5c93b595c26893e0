package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The weights of the model, and what its runners do in a time.
const (
	model      = "modelo1"
	chunks     = 48
	chunkBytes = 24576
	originMbps = 7.3
	loadTime   = 300 * time.Millisecond
	// promptPerMs is how many tokens of a prompt are read in a millisecond, eventTime the time to make an event.
	promptPerMs = 20.7
	eventTime   = 50 * time.Millisecond
	capacity    = 16
)

// piece returns the bytes of a piece of a version.
func piece(version, index int) []byte {
	seed := sha256.Sum256(fmt.Appendf(nil, "%s/%d/%d", model, version, index))
	data := make([]byte, 0, chunkBytes)
	for len(data) < chunkBytes {
		data = append(data, seed[:]...)
	}
	return data[:chunkBytes]
}

// digest returns the digest of a piece in hex.
func digest(version, index int) string {
	sum := sha256.Sum256(piece(version, index))
	return hex.EncodeToString(sum[:])
}

// origin sends manifests and pieces over one link.
type origin struct {
	link sync.Mutex
	// spoil returns the digests of a manifest as they arrive. It may be nil.
	spoil func(version int, digests []string) []string
}

// send writes a body at the speed of the link, which all answers share.
func (o *origin) send(w http.ResponseWriter, body []byte) {
	time.Sleep(3 * time.Millisecond)
	o.link.Lock()
	time.Sleep(time.Duration(float64(len(body)*8) / originMbps * 1e3))
	o.link.Unlock()
	_, _ = w.Write(body)
}

// ServeHTTP answers manifests and pieces.
func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.Atoi(r.URL.Query().Get("version"))
	if err != nil {
		http.Error(w, "version", http.StatusBadRequest)
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/manifest/"):
		digests := make([]string, chunks)
		for index := range digests {
			digests[index] = digest(version, index)
		}
		if o.spoil != nil {
			digests = o.spoil(version, digests)
		}
		body, _ := json.Marshal(map[string]any{"model": model, "version": version, "chunkBytes": chunkBytes, "layers": 16, "digests": digests})
		w.Header().Set("Content-Type", "application/json")
		o.send(w, body)
	case strings.HasPrefix(r.URL.Path, "/piece/"):
		index, err := strconv.Atoi(r.URL.Query().Get("sampleCount"))
		if err != nil || index < 0 || index >= chunks {
			http.NotFound(w, r)
			return
		}
		o.send(w, piece(version, index))
	default:
		http.NotFound(w, r)
	}
}

// runner is a model runner, or an application runner if engine is not set.
type runner struct {
	fleet   *fleet
	machine int
	hall    string
	service string
	engine  bool
	// poison is the part of a prompt under which the runner crashes, "" for none, and backAfter when it is back then.
	poison    string
	backAfter time.Duration
	// onRun is called when a request begins to run.
	onRun func(id string, r *http.Request)

	mu       sync.Mutex
	id       string
	born     int64
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
	// staged outlasts a crash.
	staged   map[int][]byte
	loaded   int
	loading  bool
	sequence int
	active   int
	crashes  int
}

// listenAddress returns where the runner listens.
func (u *runner) listenAddress() string { return u.fleet.address(u.machine, 3) }

// begin starts a new incarnation.
func (u *runner) begin() error {
	listener, err := net.Listen("tcp", u.listenAddress())
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.id, u.born = fmt.Sprintf("i-%010x", rand.Uint64()>>24), time.Now().UnixMilli()
	u.listener, u.conns, u.down, u.sequence, u.loading, u.active = listener, map[net.Conn]bool{}, false, 0, false, 0
	conns := u.conns
	u.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(u.serve), ConnState: func(c net.Conn, state http.ConnState) {
		u.mu.Lock()
		defer u.mu.Unlock()
		switch state {
		case http.StateNew:
			conns[c] = true
		case http.StateClosed, http.StateHijacked:
			delete(conns, c)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	u.register()
	return nil
}

// register writes the runner's entry in the store.
func (u *runner) register() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down {
		return
	}
	entry := map[string]any{
		"service": u.service, "address": u.listenAddress(), "zone": u.hall, "version": 1, "capacity": capacity, "state": "ready",
		"coldRemainingMs": 0, "sequence": u.sequence, "born": u.born,
	}
	if u.engine {
		entry["phase"], entry["models"] = "unified", u.models()
	}
	u.fleet.store.put("servers/"+u.id, entry)
}

// models returns the models as the runner tells them; the caller holds mu.
func (u *runner) models() []any {
	if u.loaded == 0 {
		return []any{}
	}
	layers := []any{map[string]any{"source": 0, "targetVersion": 16, "version": u.loaded}}
	return []any{map[string]any{"name": model, "version": u.loaded, "adapters": []any{}, "layers": layers}}
}

// crash ends the incarnation as the end of a process does: the listener goes first, then all connections. The
// entry goes after three heartbeats, and the next incarnation holds no layers.
func (u *runner) crash() {
	u.mu.Lock()
	if u.down {
		u.mu.Unlock()
		return
	}
	u.down, u.loaded, u.crashes = true, 0, u.crashes+1
	id, listener, conns := u.id, u.listener, u.conns
	u.mu.Unlock()
	_ = listener.Close()
	u.mu.Lock()
	for c := range conns {
		_ = c.Close()
	}
	u.mu.Unlock()
	time.AfterFunc(3*heartbeatMs*time.Millisecond, func() { u.fleet.store.remove("servers/" + id) })
	time.AfterFunc(u.backAfter, func() {
		if err := u.begin(); err != nil {
			u.fleet.log("runner %d doesn't come back: %v", u.machine, err)
		}
	})
}

func (u *runner) serve(w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil
	switch {
	case r.URL.Path == "/report" && r.Method == http.MethodGet:
		u.report(w)
	case r.URL.Path == "/order" && r.Method == http.MethodPost:
		u.order(w, r)
	case strings.HasPrefix(r.URL.Path, "/stage-put/"), strings.HasPrefix(r.URL.Path, "/stage-get/"):
		u.stage(w, r)
	case r.URL.Path == "/healthz":
		w.Header().Set("Instance-Id", u.id)
	default:
		u.request(w, r)
	}
}

func (u *runner) report(w http.ResponseWriter) {
	u.mu.Lock()
	body := map[string]any{
		"phase": "unified", "models": u.models(), "utilization": u.loading, "sequence": u.sequence, "queued": 0, "active": u.active,
		"kvUsed": u.active * 1000 * 16, "kvTotal": 317000 * 16, "handles": 0, "pace": 1, "born": u.born,
	}
	u.mu.Unlock()
	answer(w, http.StatusOK, body)
}

func (u *runner) stage(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.Atoi(r.URL.Query().Get("sampleCount"))
	if err != nil {
		http.Error(w, "sampleCount", http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPut {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.staged[index] = data
		u.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
		return
	}
	u.mu.Lock()
	data, ok := u.staged[index]
	u.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

// order takes a start order: it loads what lies staged, once nothing runs.
func (u *runner) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Version   int    `json:"version"`
		Expected  *int   `json:"expectedRevision"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Operation != "start" {
		http.Error(w, "no such order", http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.loaded == order.Version:
		w.WriteHeader(http.StatusOK)
		return
	case u.loading, order.Expected != nil && *order.Expected != u.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	}
	whole := true
	for index := range chunks {
		whole = whole && string(u.staged[index]) == string(piece(order.Version, index))
	}
	u.fleet.log("runner %d takes the order to load version %d, all pieces whole: %v", u.machine, order.Version, whole)
	u.sequence++
	u.loading = true
	born := u.born
	go u.load(order.Version, born)
	w.WriteHeader(http.StatusAccepted)
}

func (u *runner) load(version int, born int64) {
	for idle := false; !idle; {
		time.Sleep(10 * time.Millisecond)
		u.mu.Lock()
		idle = u.active == 0
		u.mu.Unlock()
	}
	time.Sleep(loadTime)
	u.mu.Lock()
	same := u.born == born && !u.down
	if same {
		u.loaded, u.loading = version, false
	}
	u.mu.Unlock()
	if same {
		u.fleet.log("runner %d holds version %d", u.machine, version)
		u.register()
	}
}

// request runs a client's request.
func (u *runner) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	u.mu.Lock()
	own, version := u.id, u.loaded
	expected := r.Header.Get("Expected-Version")
	misdirected := r.Header.Get("Expected-Instance") != "" && r.Header.Get("Expected-Instance") != own ||
		u.engine && expected != "" && expected != strconv.Itoa(version)
	full := u.active >= capacity || u.loading || u.engine && version == 0
	if !misdirected && !full {
		u.active++
	}
	born := u.born
	u.mu.Unlock()
	switch {
	case misdirected:
		w.Header().Set("Instance-Id", own)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case full:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.born == born {
			u.active--
		}
	}()
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Server-Signature", own+"."+id)
	if !u.engine {
		u.onRun(id, r)
		time.Sleep(60 * time.Millisecond)
		w.Header().Set("Content-Length", "800")
		_, _ = io.WriteString(w, strings.Repeat("x", 800))
		return
	}
	u.stream(w, r, id)
}

// stream reads the prompt and writes the events, from the one after Last-Event-Id.
func (u *runner) stream(w http.ResponseWriter, r *http.Request, id string) {
	prompt, tokens := 0, 70
	if parts := strings.Split(r.Header.Get("Token-Usage"), ","); len(parts) == 2 {
		prompt, _ = strconv.Atoi(parts[0])
		tokens, _ = strconv.Atoi(parts[1])
	}
	u.onRun(id, r)
	time.Sleep(time.Duration(float64(prompt) / promptPerMs * float64(time.Millisecond)))
	if r.Context().Err() != nil {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.Itoa(u.loaded))
	if u.poison != "" && strings.Contains(r.Header.Get("Prefix-Hash"), u.poison) {
		u.fleet.log("runner %d (%s) crashes under request %s", u.machine, u.id, id)
		u.crash()
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for event := last + 1; event <= tokens/5; event++ {
		time.Sleep(eventTime)
		if r.Context().Err() != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", event, id, event); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

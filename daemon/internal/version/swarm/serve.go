package swarm

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"
)

// Paths of the calls between loaders.
const (
	havePath     = "/have"
	manifestPath = "/manifest"
	chunkPath    = "/chunk"
)

const (
	// uploadSlots is how many chunks are sent at the same time. More would make
	// each of them later without sending more.
	uploadSlots = 6
	// uploadWait is how long a request waits for a slot before it is refused.
	uploadWait = 400 * time.Millisecond
	// haveWait is how long a question for news waits, and haveBatch how long it
	// waits at least, so that several chunks are told at once.
	haveWait  = 500 * time.Millisecond
	haveBatch = 60 * time.Millisecond
)

// Have is the answer to a question for news: which chunks a host has.
type Have struct {
	Count  int    `json:"count"`
	Chunks []bool `json:"chunks"`
}

// Server gives other loaders what this host holds.
type Server struct {
	Held *Held

	slots chan struct{}
}

// Register adds the calls to a router.
func (s *Server) Register(pages *bunrouter.Router) {
	s.slots = make(chan struct{}, uploadSlots)
	compat := pages.Compat()
	compat.GET(havePath, s.have)
	compat.GET(manifestPath, s.manifest)
	compat.GET(chunkPath, s.chunk)
}

// find returns the copy that a request names, or answers 404.
func (s *Server) find(w http.ResponseWriter, r *http.Request) *Copy {
	version, err := strconv.Atoi(r.URL.Query().Get("version"))
	c := s.Held.Get(version)
	if err != nil || c == nil {
		http.Error(w, "no such version here", http.StatusNotFound)
		return nil
	}
	return c
}

func (s *Server) have(w http.ResponseWriter, r *http.Request) {
	c := s.find(w, r)
	if c == nil {
		return
	}
	known, _ := strconv.Atoi(r.URL.Query().Get("known"))
	if count, changed := c.Count(); count == known && !c.Complete() {
		waitFor(r, changed)
	}
	have := c.Have()
	count, _ := c.Count()
	writeJSON(w, Have{Count: count, Chunks: have})
}

// waitFor waits for a change and then a little for more.
func waitFor(r *http.Request, changed <-chan struct{}) {
	timeout := time.NewTimer(haveWait)
	defer timeout.Stop()
	select {
	case <-changed:
	case <-timeout.C:
		return
	case <-r.Context().Done():
		return
	}
	batch := time.NewTimer(haveBatch)
	defer batch.Stop()
	select {
	case <-batch.C:
	case <-r.Context().Done():
	}
}

func (s *Server) manifest(w http.ResponseWriter, r *http.Request) {
	if c := s.find(w, r); c != nil {
		writeJSON(w, c.Manifest)
	}
}

func (s *Server) chunk(w http.ResponseWriter, r *http.Request) {
	c := s.find(w, r)
	if c == nil {
		return
	}
	index, err := strconv.Atoi(r.URL.Query().Get("index"))
	chunk := c.Chunk(index)
	if err != nil || chunk == nil {
		http.Error(w, "no such chunk here", http.StatusNotFound)
		return
	}
	timeout := time.NewTimer(uploadWait)
	defer timeout.Stop()
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-timeout.C:
		http.Error(w, "all upload slots are taken", http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(chunk)))
	_, _ = w.Write(chunk)
}

func writeJSON(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(message)
}

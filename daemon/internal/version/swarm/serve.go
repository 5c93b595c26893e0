package swarm

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/lines"
)

// Paths of the calls between loaders.
const (
	havePath     = "/have"
	manifestPath = "/manifest"
	chunkPath    = "/chunk"
)

// urgentQuery asks for a chunk before others, for the hosts that are to have a
// version first.
const urgentQuery = "urgent"

const (
	// nearPause and farPause are the times within which new chunks are told
	// together, to hosts of the own hall and of others.
	nearPause = 40 * time.Millisecond
	farPause  = 80 * time.Millisecond
)

// Have is which chunks a host has, in digits of base 16: four chunks each, the
// first chunk in the lowest bit.
type Have string

const hexDigits = "0123456789abcdef"

// bitsPerDigit is the number of chunks that one digit stands for.
const bitsPerDigit = 4

// NewHave packs which chunks there are.
func NewHave(chunks []bool) Have {
	digits := make([]byte, (len(chunks)+bitsPerDigit-1)/bitsPerDigit)
	for index, there := range chunks {
		if there {
			digits[index/bitsPerDigit] |= 1 << (index % bitsPerDigit)
		}
	}
	for i, digit := range digits {
		digits[i] = hexDigits[digit]
	}
	return Have(digits)
}

// Has reports whether a chunk is there.
func (h Have) Has(index int) bool {
	if index/bitsPerDigit >= len(h) {
		return false
	}
	digit := strings.IndexByte(hexDigits, h[index/bitsPerDigit])
	return digit >= 0 && digit&(1<<(index%bitsPerDigit)) != 0
}

// Server gives other loaders what this host holds.
type Server struct {
	Held *Held
	// Uplink sends the chunks.
	Uplink Uplink
}

// Register adds the calls to a router.
func (s *Server) Register(pages *bunrouter.Router) {
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

// have streams which chunks there are.
func (s *Server) have(w http.ResponseWriter, r *http.Request) {
	c := s.find(w, r)
	if c == nil {
		return
	}
	pause := nearPause
	if r.URL.Query().Has("far") {
		pause = farPause
	}
	lines.Serve(w, r, func() time.Duration { return pause }, func() ([]byte, <-chan struct{}) {
		_, changed := c.Count()
		return []byte(NewHave(c.Have())), changed
	})
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
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(chunk)))
	if !s.Uplink.send(r.Context(), w, chunk, r.URL.Query().Has(urgentQuery)) {
		w.Header().Del("Content-Length")
		http.Error(w, "too many chunks are asked for here", http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(message)
}

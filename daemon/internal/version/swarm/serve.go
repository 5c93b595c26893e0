package swarm

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/linestream"
)

// The paths of the calls between loaders.
const (
	havePath     = "/have"
	manifestPath = "/manifest"
	chunkPath    = "/chunk"
)

// urgentQuery is the query parameter that moves a chunk ahead of non-urgent uploads. Early
// hosts set it.
const urgentQuery = "urgent"

const (
	// ownHallReportInterval and otherHallReportInterval are the intervals in which new chunks
	// are reported together, to hosts of this hall and of other halls.
	ownHallReportInterval   = 40 * time.Millisecond
	otherHallReportInterval = 80 * time.Millisecond
)

// Bitmap marks the chunks that a host has, in hexadecimal digits of four chunks each. The
// first chunk is the lowest bit of the first digit.
type Bitmap string

const hexDigits = "0123456789abcdef"

// bitsPerDigit is the number of chunks per digit.
const bitsPerDigit = 4

// NewBitmap encodes for each chunk whether a host has it.
func NewBitmap(chunks []bool) Bitmap {
	digits := make([]byte, (len(chunks)+bitsPerDigit-1)/bitsPerDigit)
	for index, present := range chunks {
		if present {
			digits[index/bitsPerDigit] |= 1 << (index % bitsPerDigit)
		}
	}
	for i, digit := range digits {
		digits[i] = hexDigits[digit]
	}
	return Bitmap(digits)
}

// Has reports whether the host has a chunk.
func (h Bitmap) Has(index int) bool {
	if index/bitsPerDigit >= len(h) {
		return false
	}
	digit := strings.IndexByte(hexDigits, h[index/bitsPerDigit])
	return digit >= 0 && digit&(1<<(index%bitsPerDigit)) != 0
}

// Server serves the copies on this host to other loaders.
type Server struct {
	Copies *Copies
	// Uplink schedules the uploads of chunks.
	Uplink Uplink
}

// Register adds the handlers to a router.
func (s *Server) Register(routes *bunrouter.Router) {
	compat := routes.Compat()
	compat.GET(havePath, s.have)
	compat.GET(manifestPath, s.manifest)
	compat.GET(chunkPath, s.chunk)
}

// findCopy returns the copy of the requested version, or nil after it has responded with 404.
func (s *Server) findCopy(w http.ResponseWriter, r *http.Request) *Copy {
	version, err := strconv.Atoi(r.URL.Query().Get("version"))
	c := s.Copies.Get(version)
	if err != nil || c == nil {
		http.Error(w, "no such version here", http.StatusNotFound)
		return nil
	}
	return c
}

// have streams the bitmap of the copy's chunks. If the copy is replaced, it goes on with the new one; while there is
// none, it sends nothing, so that the reader asks again.
func (s *Server) have(w http.ResponseWriter, r *http.Request) {
	c := s.findCopy(w, r)
	if c == nil {
		return
	}
	interval := ownHallReportInterval
	if r.URL.Query().Has("far") {
		interval = otherHallReportInterval
	}
	version := c.Manifest.Version
	linestream.Serve(w, r, func() time.Duration { return interval }, func() ([]byte, <-chan struct{}) {
		if c = s.Copies.Get(version); c == nil {
			return nil, nil
		}
		_, changed := c.Count()
		return []byte(NewBitmap(c.Present())), changed
	})
}

func (s *Server) manifest(w http.ResponseWriter, r *http.Request) {
	if c := s.findCopy(w, r); c != nil {
		writeJSON(w, c.CurrentManifest())
	}
}

func (s *Server) chunk(w http.ResponseWriter, r *http.Request) {
	c := s.findCopy(w, r)
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

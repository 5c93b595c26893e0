// Package weights is a stand-in for the two places that weights come from, the
// origin and the rate-limited weight store: HTTP ranges over a limited link,
// with the bytes counted and the faults of the brief.
//
//	GET /manifests/{digest}            the manifest's bytes
//	GET /weights/{digest}, Range: ...  bytes of the whole file
package weights

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/wheelcleat/wheelcleat/api/manifest"
)

// writeBytes is the piece in which bodies are written and paced.
const writeBytes = 16 << 10

// Fault says what goes wrong with one range.
type Fault struct {
	// Corrupt flips a bit of the range.
	Corrupt bool
	// CutAfter ends the connection after that many bytes; 0 means no cut.
	CutAfter int64
	// Stall sends half of the range and then nothing until the caller leaves.
	Stall bool
	// Down cuts the connection at once.
	Down bool
}

// file is one version's bytes.
type file struct {
	manifest []byte
	data     []byte
}

// Server serves versions. The zero value serves none over an unlimited link.
type Server struct {
	// BytesPerSecond bounds the link; 0 means no bound. Set before use.
	BytesPerSecond int64
	// Fault is asked at each range; nil means no faults.
	Fault func(digest manifest.Digest, offset, length int64) Fault

	once sync.Once
	link *rate.Limiter
	sent atomic.Int64

	// mu guards files.
	mu    sync.Mutex
	files map[manifest.Digest]file
}

// Generate returns size bytes that depend only on the seed.
func Generate(seed uint64, size int64) []byte {
	data := make([]byte, size)
	source := rand.NewPCG(seed, 0)
	var word [8]byte
	for at := 0; at < len(data); at += len(word) {
		binary.LittleEndian.PutUint64(word[:], source.Uint64())
		copy(data[at:], word[:])
	}
	return data
}

// Add makes a version available and returns its name.
func (s *Server) Add(data []byte, chunkBytes int64) (manifest.Digest, error) {
	built, err := manifest.Build(bytes.NewReader(data), int64(len(data)), chunkBytes)
	if err != nil {
		return manifest.Digest{}, err
	}
	encoded, digest, err := built.Encode()
	if err != nil {
		return manifest.Digest{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.files == nil {
		s.files = map[manifest.Digest]file{}
	}
	s.files[digest] = file{manifest: encoded, data: data}
	return digest, nil
}

// SentBytes returns the bytes of weights sent so far, manifests left out.
func (s *Server) SentBytes() int64 { return s.sent.Load() }

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(func() {
		if s.BytesPerSecond > 0 {
			s.link = rate.NewLimiter(rate.Limit(s.BytesPerSecond), 4*writeBytes)
		}
	})
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	digest, err := manifest.ParseDigest(name)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	found, ok := s.files[digest]
	s.mu.Unlock()
	switch {
	case !ok:
		http.Error(w, "no such version", http.StatusNotFound)
	case kind == "manifests":
		if s.Fault != nil && s.Fault(digest, 0, 0).Down {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(found.manifest)
	case kind == "weights":
		s.serveRange(w, r, digest, found.data)
	default:
		http.Error(w, "use /manifests/ or /weights/", http.StatusNotFound)
	}
}

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request, digest manifest.Digest, data []byte) {
	offset, length, err := parseRange(r.Header.Get("Range"), int64(len(data)))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestedRangeNotSatisfiable)
		return
	}
	var fault Fault
	if s.Fault != nil {
		fault = s.Fault(digest, offset, length)
	}
	if fault.Down {
		panic(http.ErrAbortHandler)
	}
	body := data[offset : offset+length]
	if fault.Corrupt && length > 0 {
		body = bytes.Clone(body)
		body[len(body)/2] ^= 1
	}
	w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", offset, offset+length-1, len(data)))
	w.WriteHeader(http.StatusPartialContent)
	s.send(w, r, body, fault)
}

// send writes a body at the link's pace.
func (s *Server) send(w http.ResponseWriter, r *http.Request, body []byte, fault Fault) {
	stop := int64(len(body))
	if fault.Stall {
		stop /= 2
	}
	if fault.CutAfter > 0 {
		stop = min(stop, fault.CutAfter)
	}
	for at := int64(0); at < stop; at += writeBytes {
		piece := body[at:min(at+writeBytes, stop)]
		if s.link != nil && s.link.WaitN(r.Context(), len(piece)) != nil {
			return
		}
		// Counted first: who has read a piece must find it counted.
		s.sent.Add(int64(len(piece)))
		if _, err := w.Write(piece); err != nil {
			s.sent.Add(-int64(len(piece)))
			return
		}
	}
	if fault.Stall {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	if stop < int64(len(body)) {
		panic(http.ErrAbortHandler)
	}
}

// parseRange reads "bytes=first-last"; no header means the whole file.
func parseRange(header string, size int64) (offset, length int64, err error) {
	if header == "" {
		return 0, size, nil
	}
	var first, last int64
	if _, err := fmt.Sscanf(header, "bytes=%d-%d", &first, &last); err != nil {
		return 0, 0, fmt.Errorf("range %q: use bytes=first-last", header)
	}
	if first < 0 || last < first || last >= size {
		return 0, 0, fmt.Errorf("range %q lies outside the %d bytes", header, size)
	}
	return first, last - first + 1, nil
}

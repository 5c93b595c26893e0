// Package weights simulates the two sources of weights, the origin and the weight
// store: HTTP ranges over a rate-limited link, with byte counts and injected faults.
//
//	GET /manifests/{digest}            the manifest's bytes
//	GET /weights/{digest}, Range: ...  a range of the file, or all of it
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

// writeBytes is the size of the writes in which bodies are sent and rate limited.
const writeBytes = 16 << 10

// Fault describes the faults injected into one range.
type Fault struct {
	// Corrupt flips a bit of the range.
	Corrupt bool
	// CutAfter closes the connection after that many bytes; 0 means never.
	CutAfter int64
	// Stall sends half of the range and then nothing until the client disconnects.
	Stall bool
	// Down closes the connection without a response.
	Down bool
}

// file is one version's manifest and weights.
type file struct {
	manifest []byte
	data     []byte
}

// Server serves the weights of versions. The zero value has no versions and an unlimited
// link.
type Server struct {
	// BytesPerSecond is the bandwidth of the link; 0 means unlimited. It must be set before
	// the first request.
	BytesPerSecond int64
	// Fault returns the faults for a range; nil means no faults.
	Fault func(digest manifest.Digest, offset, length int64) Fault

	once sync.Once
	link *rate.Limiter
	sent atomic.Int64

	// mu guards files.
	mu    sync.Mutex
	files map[manifest.Digest]file
}

// Generate returns size pseudorandom bytes that depend only on the seed.
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

// Add adds a version and returns the digest of its manifest.
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

// SentBytes returns the bytes of weights sent so far, without manifests.
func (s *Server) SentBytes() int64 { return s.sent.Load() }

// ServeHTTP serves one request.
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

// send writes a body at the bandwidth of the link and applies the faults.
func (s *Server) send(w http.ResponseWriter, r *http.Request, body []byte, fault Fault) {
	end := int64(len(body))
	if fault.Stall {
		end /= 2
	}
	if fault.CutAfter > 0 {
		end = min(end, fault.CutAfter)
	}
	for at := int64(0); at < end; at += writeBytes {
		part := body[at:min(at+writeBytes, end)]
		if s.link != nil && s.link.WaitN(r.Context(), len(part)) != nil {
			return
		}
		// Counted before the write: a client that has received the bytes must find them
		// in SentBytes.
		s.sent.Add(int64(len(part)))
		if _, err := w.Write(part); err != nil {
			s.sent.Add(-int64(len(part)))
			return
		}
	}
	if fault.Stall {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	if end < int64(len(body)) {
		panic(http.ErrAbortHandler)
	}
}

// parseRange parses "bytes=first-last"; an empty header selects the complete file.
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

// Package share serves staged chunks to other agents, where package fetch
// requests them, and complete versions to the engine on the same host. Package
// agent registers its routes.
//
//	GET /chunks/{digest}?wait=2s      one chunk; 404, or 503 without a free slot
//	GET /manifests/{digest}           a version's manifest
//	GET /versions/{digest}/weights    the verified file, for the local host only
//	twirp Peer.Have                   the chunks gained since a cursor
//
// The number of concurrent uploads is limited by slots, so that each upload gets
// a useful part of the link; an agent that gets no slot requests the chunk from
// another peer.
package share

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"
	"golang.org/x/time/rate"

	"github.com/wheelcleat/wheelcleat/api/manifest"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/call"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/stage"
)

const (
	// DefaultSlots is the number of concurrent uploads.
	DefaultSlots = 4
	// slotTimeout is how long a request waits for a free slot.
	slotTimeout = 100 * time.Millisecond
	// maxChunkWait bounds the wait for a chunk that is not staged yet.
	maxChunkWait = 30 * time.Second
	// maxHaveWait bounds one poll.
	maxHaveWait = 30 * time.Second
	// haveBatches is the approximate number of poll responses in which a peer
	// learns of all chunks of a version. Fewer, larger batches save control
	// traffic, but peers learn of chunks later.
	haveBatches = 128
	// minGather and maxGather bound the time to collect chunks for a response.
	minGather = 50 * time.Millisecond
	maxGather = 2 * time.Second
	// writeSize is the number of bytes per rate-limited write.
	writeSize = 32 << 10
)

// Server serves a stage. Set the fields before Register.
type Server struct {
	Stage *stage.Stage
	// Slots is the number of concurrent uploads; 0 means DefaultSlots.
	Slots int
	// Limiter limits the rate of sent bytes; nil means no limit.
	Limiter *rate.Limiter
	// Fault, if set, returns the fault to inject into the next chunk.
	Fault func() Fault
	// OnBytes, if set, is called with the number of bytes sent.
	OnBytes func(bytes int64)

	// slots limits uploads within the hall, otherHallSlots uploads to other halls.
	// They are separate because all hosts of a hall wait for each upload to that hall.
	slots, otherHallSlots chan struct{}
}

// Fault is a fault injected into one chunk.
type Fault struct {
	// Corrupt flips a bit.
	Corrupt bool
	// Stall sends half of the chunk and then nothing until the request ends.
	Stall bool
}

// Register adds the routes to a mux.
func (s *Server) Register(mux *http.ServeMux) {
	slots := s.Slots
	if slots == 0 {
		slots = DefaultSlots
	}
	s.slots = make(chan struct{}, slots)
	s.otherHallSlots = make(chan struct{}, slots)
	mux.HandleFunc("GET /chunks/{digest}", s.serveChunk)
	mux.HandleFunc("GET /manifests/{digest}", s.serveManifest)
	mux.HandleFunc("GET /versions/{digest}/weights", s.serveWeights)
	peer := wire.NewPeerServer(s)
	mux.Handle(peer.PathPrefix(), call.BoundedHandler(peer))
}

// parseDigest returns the digest in the path, or responds with status 400.
func parseDigest(w http.ResponseWriter, r *http.Request) (manifest.Digest, bool) {
	digest, err := manifest.ParseDigest(r.PathValue("digest"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return digest, err == nil
}

func (s *Server) serveChunk(w http.ResponseWriter, r *http.Request) {
	digest, ok := parseDigest(w, r)
	if !ok {
		return
	}
	data := s.awaitChunk(r, digest)
	if data == nil {
		http.Error(w, "the chunk is not here", http.StatusNotFound)
		return
	}
	slots := s.slots
	if r.URL.Query().Has("wait") {
		slots = s.otherHallSlots
	}
	if !acquireSlot(r.Context(), slots) {
		http.Error(w, "no free upload slot", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-slots }()
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if s.Fault != nil {
		s.sendFaulty(r.Context(), w, data, s.Fault())
		return
	}
	_ = s.send(r.Context(), w, data)
}

// sendFaulty sends a chunk with an injected fault.
func (s *Server) sendFaulty(ctx context.Context, w http.ResponseWriter, data []byte, fault Fault) {
	if fault.Corrupt && len(data) > 0 {
		data = bytes.Clone(data)
		data[len(data)/2] ^= 1
	}
	if !fault.Stall {
		_ = s.send(ctx, w, data)
		return
	}
	_ = s.send(ctx, w, data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	<-ctx.Done()
}

// awaitChunk returns a chunk, or nil if it is not staged within the wait of the
// request.
func (s *Server) awaitChunk(r *http.Request, digest manifest.Digest) []byte {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		return s.Stage.Chunk(digest)
	}
	timer := time.NewTimer(min(wait, maxChunkWait))
	defer timer.Stop()
	for {
		changed := s.Stage.Changed()
		if data := s.Stage.Chunk(digest); data != nil {
			return data
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-r.Context().Done():
			return nil
		}
	}
}

// acquireSlot reports whether a slot became free within slotTimeout.
func acquireSlot(ctx context.Context, slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(slotTimeout)
	defer timer.Stop()
	select {
	case slots <- struct{}{}:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// send writes a chunk at the rate of the upload limit.
func (s *Server) send(ctx context.Context, w http.ResponseWriter, data []byte) error {
	for len(data) > 0 {
		part := data[:min(writeSize, len(data))]
		if s.Limiter != nil {
			if err := s.Limiter.WaitN(ctx, len(part)); err != nil {
				return err
			}
		}
		n, err := w.Write(part)
		if s.OnBytes != nil {
			s.OnBytes(int64(n))
		}
		if err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

func (s *Server) serveManifest(w http.ResponseWriter, r *http.Request) {
	digest, ok := parseDigest(w, r)
	if !ok {
		return
	}
	version := s.Stage.Find(digest)
	if version == nil {
		http.Error(w, "the version is not staged here", http.StatusNotFound)
		return
	}
	data, _, err := version.Manifest.Encode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) //nolint:gosec // JSON for another agent, not a page
}

// serveWeights sends a complete version to the engine on the same host.
func (s *Server) serveWeights(w http.ResponseWriter, r *http.Request) {
	digest, ok := parseDigest(w, r)
	if !ok {
		return
	}
	if !fromLocalHost(r) {
		http.Error(w, "whole versions are served to the own host only", http.StatusForbidden)
		return
	}
	version := s.Stage.Find(digest)
	if version == nil || !version.Verified() {
		http.Error(w, "the version is not complete", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(version.Manifest.Size, 10))
	if err := version.WriteAll(w); err != nil {
		panic(http.ErrAbortHandler) // the engine must not accept a truncated file
	}
}

// fromLocalHost reports whether a request comes from the same host.
func fromLocalHost(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if !ok || err != nil {
		return false
	}
	remote := net.ParseIP(host)
	return remote.IsLoopback() || remote.Equal(local.IP)
}

// errNotStaged is the response to a poll for a version that is not staged.
var errNotStaged = errors.New("the version is not staged here")

// Have returns the chunks of a version gained after the cursor of the request. It waits
// for at least one chunk, up to the requested time.
func (s *Server) Have(ctx context.Context, request *wire.HaveRequest) (*wire.HaveResponse, error) {
	id, err := manifest.ParseDigest(request.GetManifest())
	if err != nil {
		return nil, twirp.InvalidArgumentError("manifest", err.Error())
	}
	wait := min(time.Duration(request.GetWaitMs())*time.Millisecond, maxHaveWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		version := s.Stage.Find(id)
		if version == nil {
			return nil, twirp.NotFoundError(errNotStaged.Error())
		}
		gained, changed := version.GainedSince(request.GetInstance(), request.GetCursor())
		if len(gained.Chunks) > 0 || gained.Instance != request.GetInstance() {
			return s.gather(ctx, version, request), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return &wire.HaveResponse{Instance: gained.Instance, Cursor: gained.Cursor}, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// gather collects further chunks before a response, so that a fast fetch does not
// cause a response per chunk.
func (s *Server) gather(ctx context.Context, version *stage.Version, request *wire.HaveRequest) *wire.HaveResponse {
	batch := max(len(version.Manifest.Chunks)/haveBatches, 1)
	expected := time.Duration(batch) * version.MeanChunkInterval()
	timer := time.NewTimer(min(max(expected, minGather), maxGather))
	defer timer.Stop()
	gained, changed := version.GainedSince(request.GetInstance(), request.GetCursor())
	for waiting := true; waiting && len(gained.Chunks) < batch; {
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		gained, changed = version.GainedSince(request.GetInstance(), request.GetCursor())
	}
	return &wire.HaveResponse{Instance: gained.Instance, Cursor: gained.Cursor, Gained: gained.Chunks}
}

// Package share serves a host's staged chunks: to other agents, and the whole
// version to the engine beside it.
//
//	GET /chunks/{digest}?wait=2s      one chunk; 404, or 503 without a free slot
//	GET /manifests/{digest}           a version's manifest
//	GET /versions/{digest}/weights    the whole verified file, for the own host
//	twirp Peer.Have                   the chunks that came since a cursor
//
// Uploads take one of a few slots, so that each runs at a useful rate instead
// of all at a crawl; who finds none free asks another peer.
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
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/stage"
)

const (
	// DefaultSlots is the number of uploads at a time.
	DefaultSlots = 4
	// slotWait is how long a request waits for a free slot.
	slotWait = 100 * time.Millisecond
	// maxChunkWait bounds the wait for a chunk that is not here yet.
	maxChunkWait = 30 * time.Second
	// maxHaveWait bounds one poll.
	maxHaveWait = 30 * time.Second
	// haveEnough is the part of a version's chunks that is worth an answer at
	// once: a peer is told in about haveEnough answers, however fast the
	// chunks come. With 64 of them control bytes halve, but news comes so late
	// that the last host is 4 % later.
	haveEnough = 128
	// haveMin and haveMax bound the time in which gained chunks gather.
	haveMin = 50 * time.Millisecond
	haveMax = 2 * time.Second
	// pieceBytes is the piece in which uploads are paced.
	pieceBytes = 32 << 10
)

// Server serves a stage. Set the fields before Register.
type Server struct {
	Stage *stage.Stage
	// Slots varies DefaultSlots; 0 takes it.
	Slots int
	// Upload bounds sent bytes; nil means no bound.
	Upload *rate.Limiter
	// Fault is asked at each chunk; nil means no faults.
	Fault func() Fault
	// OnBytes counts sent bytes; nil means nobody does.
	OnBytes func(bytes int64)

	// slots are the free uploads within the hall, hallSlots those to other
	// halls, where whole halls wait for one chunk.
	slots, hallSlots chan struct{}
}

// Fault says what goes wrong with one chunk.
type Fault struct {
	// Corrupt flips a bit.
	Corrupt bool
	// Stall sends half of the chunk and then nothing.
	Stall bool
}

// Register adds the routes to a mux.
func (s *Server) Register(mux *http.ServeMux) {
	slots := s.Slots
	if slots == 0 {
		slots = DefaultSlots
	}
	s.slots = make(chan struct{}, slots)
	s.hallSlots = make(chan struct{}, slots)
	mux.HandleFunc("GET /chunks/{digest}", s.serveChunk)
	mux.HandleFunc("GET /manifests/{digest}", s.serveManifest)
	mux.HandleFunc("GET /versions/{digest}/weights", s.serveWeights)
	peer := wire.NewPeerServer(s)
	mux.Handle(peer.PathPrefix(), peer)
}

// parse reads the digest in a path; it answers the request when there is none.
func parse(w http.ResponseWriter, r *http.Request) (manifest.Digest, bool) {
	digest, err := manifest.ParseDigest(r.PathValue("digest"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return digest, err == nil
}

func (s *Server) serveChunk(w http.ResponseWriter, r *http.Request) {
	digest, ok := parse(w, r)
	if !ok {
		return
	}
	data := s.await(r, digest)
	if data == nil {
		http.Error(w, "the chunk is not here", http.StatusNotFound)
		return
	}
	slots := s.slots
	if r.URL.Query().Has("wait") {
		slots = s.hallSlots
	}
	if !takeSlot(r.Context(), slots) {
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

// sendFaulty sends a chunk as a broken host would.
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

// await returns a chunk, waiting for it as long as the request asks.
func (s *Server) await(r *http.Request, digest manifest.Digest) []byte {
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

func takeSlot(ctx context.Context, slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(slotWait)
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

// send writes a chunk at the link's pace.
func (s *Server) send(ctx context.Context, w http.ResponseWriter, data []byte) error {
	for len(data) > 0 {
		piece := data[:min(pieceBytes, len(data))]
		if s.Upload != nil {
			if err := s.Upload.WaitN(ctx, len(piece)); err != nil {
				return err
			}
		}
		n, err := w.Write(piece)
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
	digest, ok := parse(w, r)
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

// serveWeights gives the own host's engine a whole version.
func (s *Server) serveWeights(w http.ResponseWriter, r *http.Request) {
	digest, ok := parse(w, r)
	if !ok {
		return
	}
	if !fromOwnHost(r) {
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
		panic(http.ErrAbortHandler) // the engine must not take a part for the whole
	}
}

// fromOwnHost reports whether a request comes from the host itself.
func fromOwnHost(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if !ok || err != nil {
		return false
	}
	remote := net.ParseIP(host)
	return remote.IsLoopback() || remote.Equal(local.IP)
}

// errNotStaged answers a poll for a version that is not here.
var errNotStaged = errors.New("the version is not staged here")

// Have waits for chunks of a version that came after the caller's cursor.
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
		gained, changed := version.Since(request.GetInstance(), request.GetCursor())
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

// gather lets further chunks join an answer.
func (s *Server) gather(ctx context.Context, version *stage.Version, request *wire.HaveRequest) *wire.HaveResponse {
	enough := max(len(version.Manifest.Chunks)/haveEnough, 1)
	usual := time.Duration(enough) * version.UsualGap()
	timer := time.NewTimer(min(max(usual, haveMin), haveMax))
	defer timer.Stop()
	gained, changed := version.Since(request.GetInstance(), request.GetCursor())
	for waiting := true; waiting && len(gained.Chunks) < enough; {
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		gained, changed = version.Since(request.GetInstance(), request.GetCursor())
	}
	return &wire.HaveResponse{Instance: gained.Instance, Cursor: gained.Cursor, Gained: gained.Chunks}
}

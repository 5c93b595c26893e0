package fetch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/wheelcleat/wheelcleat/api/manifest"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/source"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/stage"
)

type digest = manifest.Digest

// otherHallsDelayFactor is the multiple of the takeover delay without a new
// chunk after which a hall uses the origin even though primaries of other halls
// respond.
const otherHallsDelayFactor = 2

// rarestSampleSize is the number of random chunks from which the rarest is picked.
const rarestSampleSize = 2

// lastResortFactor is the multiple of the takeover delay without a new chunk
// after which any host fetches any chunk from the origin, regardless of the
// gateways.
const lastResortFactor = 6

// schedule starts all transfers that the policy and the free slots allow.
func (r *run) schedule(ctx context.Context) {
	now := time.Now()
	switch r.fetcher.Policy {
	case PolicyOriginOnly:
		r.scheduleAllFromOrigin(ctx, now)
	case PolicyNaive:
		r.schedulePeers(ctx, now)
		r.scheduleUnavailableFromOrigin(ctx, now)
	case PolicyTree:
		r.schedulePeers(ctx, now)
		if len(r.peers) == 0 || r.idleTime(now) > lastResortFactor*r.takeoverDelay() {
			r.scheduleAllFromOrigin(ctx, now)
		}
	default:
		r.scheduleAssignments(ctx, now)
		r.schedulePeers(ctx, now)
		r.hedge(ctx, now)
		if r.idleTime(now) > lastResortFactor*r.takeoverDelay() {
			r.scheduleAllFromOrigin(ctx, now)
		}
	}
}

// takeoverDelay returns the time without a new chunk after which the next rank
// takes over from a primary. It is at least a multiple of the gap between new
// chunks and twice the duration of this host's last or current transfer from the
// origin. Otherwise a slow origin would look like a failed one: at the start all
// gateways share the origin's link, and their first chunks all arrive late.
func (r *run) takeoverDelay() time.Duration {
	originTime := r.originDuration
	if r.slots[FromOrigin] > 0 {
		originTime = max(originTime, time.Since(r.originStart))
	}
	return max(helpers.OrDefault(r.fetcher.PeerWait, DefaultPeerWait), 4*r.newChunkGap, 2*originTime)
}

// idleTime returns the time since this host or a neighbour gained a new chunk.
func (r *run) idleTime(now time.Time) time.Duration { return now.Sub(r.lastNewChunk) }

// scheduleAssignments starts the transfers into the hall that are due on this
// host.
func (r *run) scheduleAssignments(ctx context.Context, now time.Time) {
	idleTime := r.idleTime(now)
	for i := range r.assignments {
		a := &r.assignments[i]
		chunk := &r.chunks[a.chunk]
		if chunk.stored || chunk.holders > 0 || chunk.transfers > 0 || now.Before(chunk.backoffUntil) {
			continue
		}
		if r.isDue(a, now, idleTime) {
			r.startAssignment(ctx, a, now, idleTime)
		}
	}
}

// isDue reports whether this host has to bring a chunk into the hall now: no
// live gateway ranks before it, or the takeover delay of each has passed.
func (r *run) isDue(a *assignment, now time.Time, idleTime time.Duration) bool {
	pending := r.countLiveBefore(a, now)
	if a.waitsForOtherHall && !r.otherHallsTimedOut {
		pending++
	}
	if time.Duration(pending)*r.takeoverDelay() > idleTime {
		return false
	}
	if pending > 0 {
		r.markTimedOut(a)
	}
	return true
}

// startAssignment fetches a chunk from another hall, or from the origin if no
// other hall is usable or none delivered within the delay.
func (r *run) startAssignment(ctx context.Context, a *assignment, now time.Time, idleTime time.Duration) {
	if peers := r.usableOtherHallPeers(a, now); len(peers) > 0 && idleTime < otherHallsDelayFactor*r.takeoverDelay() {
		if r.slots[FromOtherHall] < helpers.OrDefault(r.fetcher.OtherHallSlots, DefaultOtherHallSlots) {
			r.start(ctx, transfer{chunk: a.chunk, kind: FromOtherHall, peers: peers}, now)
		}
		return
	}
	for _, peer := range a.otherHallPeers {
		r.otherHallExclusions[peer.Name] = now.Add(exclusionPeriod)
	}
	if r.originAvailable(now) {
		r.logOrigin(a, idleTime)
		r.start(ctx, transfer{chunk: a.chunk, kind: FromOrigin}, now)
	}
}

// markTimedOut records the gateways and halls that did not bring in a chunk, so
// that the next chunk does not wait for them again.
func (r *run) markTimedOut(a *assignment) {
	r.otherHallsTimedOut = r.otherHallsTimedOut || a.waitsForOtherHall
	for _, name := range a.rankedBefore {
		r.timedOutGateways[name] = true
	}
}

// usableOtherHallPeers returns the agents of other halls to query, without those
// that failed recently: an unresponsive agent would delay every chunk by a timeout.
func (r *run) usableOtherHallPeers(a *assignment, now time.Time) []Peer {
	var usable []Peer
	for _, peer := range a.otherHallPeers {
		if !now.Before(r.otherHallExclusions[peer.Name]) {
			usable = append(usable, peer)
		}
	}
	return usable
}

// logOrigin logs why this host fetches a chunk from the origin.
func (r *run) logOrigin(a *assignment, idleTime time.Duration) {
	r.fetcher.Telemetry.Log.WithFields(log.Fields{
		"version": r.version.ID.Short(), "chunk": a.chunk, "rank": a.rank, "waits": a.waitsForOtherHall, "quiet": idleTime.String(), "patience": r.takeoverDelay().String(),
	}).Debug("fetching chunk from the origin")
}

// countLiveBefore counts the gateways that rank before this host for a chunk and
// are neither unavailable nor timed out.
func (r *run) countLiveBefore(a *assignment, now time.Time) int {
	live := 0
	for _, name := range a.rankedBefore {
		if peer := r.peers[name]; !r.timedOutGateways[name] && (peer == nil || !peer.unavailable(now)) {
			live++
		}
	}
	return live
}

func (r *run) originAvailable(now time.Time) bool {
	return r.slots[FromOrigin] < helpers.OrDefault(r.fetcher.OriginSlots, DefaultOriginSlots) && !now.Before(r.originBackoffUntil)
}

// scheduleAllFromOrigin fetches missing chunks from the origin, regardless of
// their primaries.
func (r *run) scheduleAllFromOrigin(ctx context.Context, now time.Time) {
	r.scheduleFromOrigin(ctx, now, func(*chunkState) bool { return true })
}

// scheduleUnavailableFromOrigin fetches chunks that no neighbour holds from the
// origin.
func (r *run) scheduleUnavailableFromOrigin(ctx context.Context, now time.Time) {
	r.scheduleFromOrigin(ctx, now, func(c *chunkState) bool { return c.holders == 0 })
}

func (r *run) scheduleFromOrigin(ctx context.Context, now time.Time, eligible func(*chunkState) bool) {
	start := rand.IntN(max(len(r.chunks), 1))
	for i := range r.chunks {
		if !r.originAvailable(now) {
			return
		}
		index := (start + i) % len(r.chunks)
		chunk := &r.chunks[index]
		if !chunk.stored && chunk.transfers == 0 && eligible(chunk) {
			r.start(ctx, transfer{chunk: index, kind: FromOrigin}, now)
		}
	}
}

// schedulePeers fills the free peer slots with transfers from neighbours.
func (r *run) schedulePeers(ctx context.Context, now time.Time) {
	for r.slots[FromPeer] < helpers.OrDefault(r.fetcher.PeerSlots, DefaultPeerSlots) {
		index, peer := r.pickChunk(now)
		if peer == nil {
			return
		}
		peer.transfers++
		r.start(ctx, transfer{chunk: index, kind: FromPeer, peers: []Peer{peer.Peer}}, now)
	}
}

// pickChunk returns a missing chunk without a transfer and a random usable
// neighbour that holds it. The chunk is the rarest of a small random sample.
//
// Picking the rarest of all chunks was rejected: while the origin is still
// sending, all hosts would request the newest chunks from the few gateways that
// hold them, and the uplinks of these would be the bottleneck. A sample still
// favours rare chunks, so that they survive when their holders leave.
func (r *run) pickChunk(now time.Time) (int, *peerState) {
	best, bestHolders := -1, 0
	var bestPeer *peerState
	sampled := 0
	start := rand.IntN(len(r.chunks))
	for i := range r.chunks {
		index := (start + i) % len(r.chunks)
		chunk := &r.chunks[index]
		if chunk.stored || chunk.transfers > 0 || chunk.holders == 0 {
			continue
		}
		if best >= 0 && chunk.holders >= bestHolders {
			if sampled++; sampled >= r.sampleSize() {
				break
			}
			continue
		}
		peer := r.randomHolder(index, now)
		if peer == nil {
			continue
		}
		best, bestHolders, bestPeer = index, chunk.holders, peer
		if sampled++; sampled >= r.sampleSize() {
			break
		}
	}
	return best, bestPeer
}

// sampleSize returns the number of random chunks from which pickChunk picks the
// rarest.
func (r *run) sampleSize() int {
	if r.fetcher.Policy == PolicyNaive {
		return 1
	}
	return rarestSampleSize
}

// randomHolder returns a random usable neighbour that holds a chunk, or nil.
func (r *run) randomHolder(index int, now time.Time) *peerState {
	var found *peerState
	count := 0
	for _, peer := range r.peers {
		if !peer.has[index] || !peer.usable(now) {
			continue
		}
		count++
		if rand.IntN(count) == 0 {
			found = peer
		}
	}
	return found
}

// hedge starts a second transfer of a chunk whose first one takes much longer
// than the mean. Each chunk has at most two transfers, which bounds duplicate
// bytes at the end of a fetch, when a transfer of every chunk is in progress.
func (r *run) hedge(ctx context.Context, now time.Time) {
	hedgeDelay := max(hedgeFactor*r.meanTransfer, minHedgeDelay)
	for index := range r.chunks {
		if r.slots[FromPeer] >= helpers.OrDefault(r.fetcher.PeerSlots, DefaultPeerSlots) {
			return
		}
		chunk := &r.chunks[index]
		if chunk.stored || chunk.transfers != 1 || now.Sub(chunk.transferStart) < hedgeDelay || chunk.holders == 0 {
			continue
		}
		if peer := r.randomHolder(index, now); peer != nil {
			peer.transfers++
			r.start(ctx, transfer{chunk: index, kind: FromPeer, peers: []Peer{peer.Peer}}, now)
		}
	}
}

// transfer describes the download of one chunk.
type transfer struct {
	chunk int
	kind  SourceKind
	// peers are the agents to try in order; none for the origin.
	peers []Peer
}

// start runs a transfer in a new goroutine, which reports to r.events.
func (r *run) start(ctx context.Context, t transfer, now time.Time) {
	chunk := &r.chunks[t.chunk]
	if chunk.transfers == 0 {
		chunk.transferStart = now
	}
	if t.kind == FromOrigin && r.slots[FromOrigin] == 0 {
		r.originStart = now
	}
	chunk.transfers++
	r.slots[t.kind]++
	go func() {
		result := r.fetcher.transfer(ctx, r.version, t)
		result.started = now
		r.events <- event{transfer: result}
	}()
}

// transfer downloads one chunk and puts it into the stage.
func (f *Fetcher) transfer(ctx context.Context, version *stage.Version, t transfer) *transferResult {
	result := &transferResult{chunk: t.chunk, kind: t.kind}
	var data []byte
	var err error
	switch t.kind {
	case FromPeer:
		result.peer = t.peers[0].Name
		result.source = t.peers[0].Address.String()
		data, err = f.Downloader.FetchChunk(ctx, chunkRequest(version, t.chunk, t.peers[0], 0))
	case FromOtherHall:
		data, err = f.fetchFromOtherHalls(ctx, version, t, result)
	case FromOrigin:
		data, err = f.fetchFromSources(ctx, version, t.chunk, result)
	}
	result.bytes = int64(len(data))
	if err == nil {
		result.useful, err = f.Stage.Put(version, t.chunk, data)
		result.corrupt = errors.Is(err, stage.ErrCorrupt)
	}
	result.err = err
	return result
}

func chunkRequest(version *stage.Version, index int, peer Peer, wait time.Duration) source.ChunkRequest {
	_, length := version.Manifest.ChunkRange(index)
	return source.ChunkRequest{Peer: peer.Address, Digest: version.Manifest.Chunks[index], Length: length, Wait: wait}
}

// fetchFromOtherHalls downloads a chunk from the gateways of other halls. If one
// of them is busy or does not hold the chunk yet, the transfer is retried later;
// it falls back to the sources only if all of them fail.
func (f *Fetcher) fetchFromOtherHalls(ctx context.Context, version *stage.Version, t transfer, result *transferResult) ([]byte, error) {
	var retryErr error
	for _, peer := range t.peers {
		result.source = peer.Address.String()
		data, err := f.Downloader.FetchChunk(ctx, chunkRequest(version, t.chunk, peer, helpers.OrDefault(f.PeerWait, DefaultPeerWait)))
		switch {
		case err == nil && manifest.Sum(data) == version.Manifest.Chunks[t.chunk]:
			return data, nil
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case errors.Is(err, source.ErrBusy), errors.Is(err, source.ErrAbsent):
			retryErr = err
			continue
		case err == nil:
			err = fmt.Errorf("chunk %d from %s: %w", t.chunk, peer.Address, stage.ErrCorrupt)
		}
		result.failedPeers = append(result.failedPeers, peer.Name)
		f.Telemetry.LogDecision(telemetry.Decision{
			Step: "fetch", Choice: "skip " + peer.Name, Reason: err.Error(),
			Details: map[string]any{"version": version.ID.Short(), "chunk": t.chunk},
		})
	}
	if retryErr != nil {
		return nil, retryErr
	}
	return f.fetchFromSources(ctx, version, t.chunk, result)
}

// fetchFromSources downloads a chunk from the store, then from the origin.
func (f *Fetcher) fetchFromSources(ctx context.Context, version *stage.Version, index int, result *transferResult) ([]byte, error) {
	offset, length := version.Manifest.ChunkRange(index)
	err := errors.New("no store or origin is configured")
	for _, src := range f.Sources {
		result.source = src.Name + " " + src.Address.String()
		var data []byte
		data, err = src.FetchRange(ctx, version.ID, offset, length)
		if err == nil && manifest.Sum(data) != version.Manifest.Chunks[index] {
			err = fmt.Errorf("chunk %d from %s: %w", index, result.source, stage.ErrCorrupt)
			result.corrupt = true
		}
		if err == nil || ctx.Err() != nil {
			return data, err
		}
	}
	return nil, err
}

// logFailure logs a failed transfer as a decision to retry.
func (f *Fetcher) logFailure(version *stage.Version, result *transferResult) {
	choice := "retry"
	if result.corrupt {
		choice = "drop corrupt chunk"
	}
	f.Telemetry.LogDecision(telemetry.Decision{
		Step: "fetch", Choice: choice, Reason: result.err.Error(),
		Details: map[string]any{"version": version.ID.Short(), "chunk": result.chunk, "from": result.source, "kind": string(result.kind)},
	})
}

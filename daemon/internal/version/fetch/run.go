package fetch

import (
	"context"
	"errors"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/source"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/stage"
)

const (
	// tickInterval is the interval at which delays and backoffs are checked.
	tickInterval = 50 * time.Millisecond
	// pollWait is how long a neighbour may delay its response to a poll.
	pollWait   = pollWaitMs * time.Millisecond
	pollWaitMs = 5000
	// pollRetryDelay is the pause after a failed poll.
	pollRetryDelay = 250 * time.Millisecond
	// maxCorruptChunks is the number of corrupt chunks after which a peer is
	// excluded for the rest of the fetch; maxConsecutiveFailures is the number
	// of consecutive failures after which it is excluded for exclusionPeriod.
	maxCorruptChunks       = 3
	maxConsecutiveFailures = 2
	exclusionPeriod        = 30 * time.Second
	permanentExclusion     = 24 * time.Hour
	// minHedgeDelay is the minimum age of a transfer that is hedged.
	minHedgeDelay = 300 * time.Millisecond
	// hedgeFactor is the multiple of the mean transfer duration after which a
	// transfer is hedged.
	hedgeFactor = 3
	// busyBackoff is the pause after a peer reported no free upload slot.
	busyBackoff = 50 * time.Millisecond
	// failureBackoff is the base of the pause after a failed transfer; the
	// pause doubles with each consecutive failure, at most
	// maxBackoffDoublings times.
	failureBackoff      = 250 * time.Millisecond
	maxBackoffDoublings = 5
)

// chunkState is the state of one chunk in a run.
type chunkState struct {
	// stored is set once the chunk is in the stage of this host.
	stored bool
	// transfers is the number of transfers of the chunk in progress.
	transfers int
	// transferStart is when the first of these transfers started.
	transferStart time.Time
	// seen is set once this host or a neighbour has stored the chunk.
	seen bool
	// holders is the number of neighbours that hold the chunk.
	holders int
	// backoffUntil is when the chunk may be requested from other halls again.
	backoffUntil time.Time
}

// peerState is the state of one neighbour in a run.
type peerState struct {
	Peer
	has []bool
	// deferred lists the chunks that the peer reported while it was excluded.
	deferred  []uint32
	transfers int
	// backoffUntil is when the next transfer from the peer may start.
	backoffUntil time.Time
	failures     int
	corrupt      int
	// excludedUntil is set for a peer whose transfers fail. Until then the peer
	// counts as holding no chunk.
	excludedUntil time.Time
	// pollsFailingSince is when polls of the peer started to fail; zero while
	// they succeed.
	pollsFailingSince time.Time
	stop              context.CancelFunc
}

// usable reports whether a transfer from the peer may start now.
func (p *peerState) usable(now time.Time) bool {
	return p.transfers < transfersPerPeer && !now.Before(p.backoffUntil)
}

// unavailable reports whether the peer does not respond to polls or is excluded
// because its transfers fail.
func (p *peerState) unavailable(now time.Time) bool {
	unresponsive := !p.pollsFailingSince.IsZero() && now.Sub(p.pollsFailingSince) >= unresponsiveAfter
	return unresponsive || now.Before(p.excludedUntil)
}

// run is the fetch of one version. All fields belong to the goroutine of loop.
type run struct {
	fetcher     *Fetcher
	version     *stage.Version
	chunks      []chunkState
	peers       map[string]*peerState
	assignments []assignment
	// otherHallExclusions maps failed agents of other halls to the end of their
	// exclusion.
	otherHallExclusions map[string]time.Time
	// timedOutGateways names the gateways of the local hall that did not bring in
	// a chunk within the takeover delay, until they gain one. otherHallsTimedOut
	// is set when other halls still have no gateways after that delay, until the
	// swarm changes.
	timedOutGateways   map[string]bool
	otherHallsTimedOut bool
	// slots counts the transfers in progress by kind.
	slots map[SourceKind]int
	// meanTransfer is a moving average of the duration of peer transfers.
	meanTransfer time.Duration
	// lastNewChunk is when the latest chunk was first seen; newChunkGap is a
	// slowly decaying maximum of the time between two such events.
	lastNewChunk time.Time
	newChunkGap  time.Duration
	// originDuration is the duration of the last completed transfer from the
	// origin; originStart is the start of the first transfer since the
	// origin had none in progress.
	originDuration time.Duration
	originStart    time.Time
	// originBackoffUntil is when the next transfer from a source may start.
	originBackoffUntil time.Time
	originFailures     int

	events chan event
	// polls is the number of goroutines that poll a neighbour.
	polls int
}

// event is a report from a transfer or a poll. Exactly one field is set.
type event struct {
	transfer  *transferResult
	update    *chunkUpdate
	pollEnded bool
}

// chunkUpdate is the result of one poll of a neighbour.
type chunkUpdate struct {
	peer   string
	chunks []uint32
	// reset is set when the neighbour has staged the version again, for example
	// after a restart.
	reset bool
	err   error
}

// transferResult is the result of one transfer.
type transferResult struct {
	chunk   int
	kind    SourceKind
	peer    string // the neighbour's name, "" for the origin
	started time.Time
	bytes   int64
	err     error
	corrupt bool
	// failedPeers names the agents of other halls that failed.
	failedPeers []string
	// useful is set if the chunk was not staged before.
	useful bool
	// source names the sender of the chunk, for logs.
	source string
}

func newRun(f *Fetcher, version *stage.Version) *run {
	return &run{
		fetcher: f, version: version,
		chunks:              make([]chunkState, len(version.Manifest.Chunks)),
		peers:               map[string]*peerState{},
		otherHallExclusions: map[string]time.Time{},
		timedOutGateways:    map[string]bool{},
		slots:               map[SourceKind]int{},
		lastNewChunk:        time.Now(),
		events:              make(chan event, 64),
	}
}

// loop schedules transfers until every chunk is staged, ctx is done or the
// version is dropped.
func (r *run) loop(ctx context.Context, swarm SwarmFunc) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.awaitGoroutines()
	defer cancel()
	current, swarmChanged := swarm()
	r.setSwarm(ctx, current)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var gained stage.Gained
	for {
		var changed <-chan struct{}
		gained, changed = r.version.GainedSince(gained.Instance, gained.Cursor)
		r.markStored(gained)
		if int(gained.Cursor) == len(r.chunks) {
			return nil
		}
		r.schedule(ctx)
		select {
		case e := <-r.events:
			r.handle(e)
			r.drainEvents()
		case <-changed:
			if r.fetcher.Stage.Find(r.version.ID) != r.version {
				return stage.ErrDropped
			}
		case <-swarmChanged:
			current, swarmChanged = swarm()
			r.setSwarm(ctx, current)
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// awaitGoroutines handles the remaining events, so that no transfer or poll
// outlives the run.
func (r *run) awaitGoroutines() {
	for r.polls > 0 || r.slots[FromPeer]+r.slots[FromOtherHall]+r.slots[FromOrigin] > 0 {
		r.handle(<-r.events)
	}
}

// drainEvents handles all queued events, so that schedule runs once for them.
func (r *run) drainEvents() {
	for {
		select {
		case e := <-r.events:
			r.handle(e)
		default:
			return
		}
	}
}

// markStored marks chunks that the stage gained, from this run or another one
// that shares chunks.
func (r *run) markStored(gained stage.Gained) {
	for _, index := range gained.Chunks {
		r.chunks[index].stored = true
		r.markSeen(int(index))
	}
}

// markSeen records that a chunk has reached this host or a neighbour.
func (r *run) markSeen(index int) {
	if r.chunks[index].seen {
		return
	}
	r.chunks[index].seen = true
	now := time.Now()
	// A gap of at least the takeover delay is ignored, since it was spent waiting
	// for another primary: the delay is a multiple of the gap and would keep
	// growing.
	if gap := now.Sub(r.lastNewChunk); gap < r.takeoverDelay() {
		r.newChunkGap = max(gap, r.newChunkGap*9/10)
	}
	r.lastNewChunk = now
}

func (r *run) handle(e event) {
	if e.transfer != nil {
		r.finishTransfer(e.transfer)
	}
	if e.update != nil {
		r.applyUpdate(e.update)
	}
	if e.pollEnded {
		r.polls--
	}
}

func (r *run) applyUpdate(update *chunkUpdate) {
	peer := r.peers[update.peer]
	if peer == nil {
		return
	}
	if update.err != nil {
		now := time.Now()
		if peer.pollsFailingSince.IsZero() {
			peer.pollsFailingSince = now
		}
		if now.Sub(peer.pollsFailingSince) >= unresponsiveAfter {
			r.clearChunks(peer) // chunks that only this peer held have to be fetched again
		}
		return
	}
	peer.pollsFailingSince = time.Time{}
	if update.reset {
		r.clearChunks(peer)
	}
	if now := time.Now(); now.Before(peer.excludedUntil) {
		peer.deferred = append(peer.deferred, update.chunks...)
		return
	}
	for _, index := range append(peer.deferred, update.chunks...) {
		if int(index) < len(peer.has) && !peer.has[index] {
			peer.has[index] = true
			r.chunks[index].holders++
			delete(r.timedOutGateways, update.peer)
			r.markSeen(int(index))
		}
	}
	peer.deferred = nil
}

// excludePeer treats a peer as holding no chunk until the given time, so that
// chunks held only by this peer are fetched from elsewhere. The chunks that it
// reported are restored with the first update after the exclusion.
func (r *run) excludePeer(peer *peerState, until time.Time) {
	peer.excludedUntil = until
	for index, has := range peer.has {
		if has {
			peer.deferred = append(peer.deferred, uint32(index))
		}
	}
	r.clearChunks(peer)
}

// clearChunks removes all chunks from a neighbour's record.
func (r *run) clearChunks(peer *peerState) {
	for index, has := range peer.has {
		if has {
			r.chunks[index].holders--
		}
	}
	clear(peer.has)
}

// finishTransfer updates the state after a transfer.
func (r *run) finishTransfer(result *transferResult) {
	now := time.Now()
	r.slots[result.kind]--
	chunk := &r.chunks[result.chunk]
	chunk.transfers--
	if result.err == nil {
		chunk.stored = true
		r.markSeen(result.chunk)
	}
	if r.fetcher.OnBytes != nil && result.bytes > 0 {
		r.fetcher.OnBytes(result.kind, result.bytes, result.useful)
	}
	if result.err != nil && !errors.Is(result.err, context.Canceled) && !errors.Is(result.err, source.ErrBusy) &&
		!errors.Is(result.err, source.ErrAbsent) {
		r.fetcher.logFailure(r.version, result)
	}
	switch result.kind {
	case FromOrigin:
		r.finishOrigin(result, now)
	case FromOtherHall:
		if result.err != nil {
			chunk.backoffUntil = now.Add(busyBackoff)
		}
		for _, name := range result.failedPeers {
			r.otherHallExclusions[name] = now.Add(exclusionPeriod)
		}
	case FromPeer:
	}
	if peer := r.peers[result.peer]; peer != nil {
		r.finishPeer(peer, result, now)
	}
}

func (r *run) finishOrigin(result *transferResult, now time.Time) {
	if result.err == nil {
		r.originFailures = 0
		r.originDuration = now.Sub(result.started)
		return
	}
	r.originFailures++
	r.originBackoffUntil = now.Add(failureBackoff << min(r.originFailures, maxBackoffDoublings))
}

func (r *run) finishPeer(peer *peerState, result *transferResult, now time.Time) {
	peer.transfers--
	switch {
	case result.err == nil:
		peer.failures = 0
		took := now.Sub(result.started)
		if r.meanTransfer == 0 {
			r.meanTransfer = took
		}
		r.meanTransfer += (took - r.meanTransfer) / 8
	case result.corrupt:
		peer.corrupt++
		if peer.corrupt >= maxCorruptChunks {
			r.excludePeer(peer, now.Add(permanentExclusion))
		}
	case errors.Is(result.err, source.ErrBusy):
		peer.backoffUntil = now.Add(busyBackoff)
	default:
		peer.failures++
		if peer.failures >= maxConsecutiveFailures {
			r.excludePeer(peer, now.Add(exclusionPeriod))
		}
		peer.backoffUntil = now.Add(failureBackoff << min(peer.failures, maxBackoffDoublings))
		if peer.has[result.chunk] && errors.Is(result.err, source.ErrAbsent) {
			peer.has[result.chunk] = false
			r.chunks[result.chunk].holders--
		}
	}
}

// poll polls one neighbour for gained chunks until ctx is done.
func (r *run) poll(ctx context.Context, peer Peer) {
	instance, cursor := "", uint32(0)
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, pollWait+time.Second)
		response, err := r.fetcher.Have(callCtx, peer.Address, &wire.HaveRequest{
			Manifest: r.version.ID.String(), Instance: instance, Cursor: cursor, WaitMs: pollWaitMs,
		})
		cancel()
		update := &chunkUpdate{peer: peer.Name, err: err}
		if err == nil {
			update.reset = instance != "" && instance != response.GetInstance()
			update.chunks = response.GetGained()
			instance, cursor = response.GetInstance(), response.GetCursor()
		}
		select {
		case r.events <- event{update: update}:
		case <-ctx.Done():
		}
		if err != nil {
			instance, cursor = "", 0 // request the full list after the neighbour recovers
			helpers.Pause(pollRetryDelay, ctx.Done())
		}
	}
}

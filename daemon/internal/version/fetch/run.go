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
	// tickEvery is the interval in which waits are looked at.
	tickEvery = 50 * time.Millisecond
	// haveWait is the wait of one poll of a neighbour.
	haveWait   = haveWaitMs * time.Millisecond
	haveWaitMs = 5000
	// haveRetry is the pause after a poll that failed.
	haveRetry = 250 * time.Millisecond
	// corruptLimit is the number of corrupt chunks after which a peer is
	// taken off for the version, failLimit that of failures in a row after
	// which it is taken off for offFor.
	corruptLimit = 3
	failLimit    = 2
	offFor       = 30 * time.Second
	offForever   = 24 * time.Hour
	// hedgeFloor is the least age of a transfer that is hedged.
	hedgeFloor = 300 * time.Millisecond
	// hedgeFactor times the usual duration is the age from which a transfer
	// is hedged.
	hedgeFactor = 3
	// busyPause is how long a peer without a free slot is left alone.
	busyPause = 50 * time.Millisecond
	// failPause is how long a peer is left alone after its first failure in a
	// row; it doubles with each further one, failDoubles times at most.
	failPause   = 250 * time.Millisecond
	failDoubles = 5
)

// chunkState is what a run knows of one chunk.
type chunkState struct {
	held bool
	// transfers is the number of transfers of the chunk under way.
	transfers int
	// since is when the first of them began.
	since time.Time
	// seen is set once the chunk is held here or by a neighbour.
	seen bool
	// holders is the number of neighbours that have the chunk.
	holders int
	// pausedUntil keeps other halls from being asked too soon again.
	pausedUntil time.Time
}

// peerState is what a run knows of one neighbour.
type peerState struct {
	Peer
	has []bool
	// missed lists what the peer said to have while it was off.
	missed    []uint32
	transfers int
	// pausedUntil keeps the peer from being asked too soon again.
	pausedUntil time.Time
	failures    int
	corrupt     int
	// offUntil is set for a peer whose chunks do not arrive whole. Until then
	// it counts as having none.
	offUntil time.Time
	// downSince is when its polls began to fail, zero while they succeed.
	downSince time.Time
	stop      context.CancelFunc
}

// usable reports whether the peer may be asked now.
func (p *peerState) usable(now time.Time) bool {
	return p.transfers < perPeerSlots && !now.Before(p.pausedUntil)
}

// bad reports whether the peer cannot be counted on: it does not answer, or
// what it sends does not arrive whole.
func (p *peerState) bad(now time.Time) bool {
	silent := !p.downSince.IsZero() && now.Sub(p.downSince) >= downAfter
	return silent || now.Before(p.offUntil)
}

// run is one version being fetched. All fields belong to the goroutine of loop.
type run struct {
	fetcher *Fetcher
	version *stage.Version
	chunks  []chunkState
	peers   map[string]*peerState
	duties  []duty
	// hopsOff names the agents of other halls that failed, and until when they
	// are passed over.
	hopsOff map[string]time.Time
	// idle names the gateways of the own hall that were waited for in vain,
	// until they bring something. hallsOver is set once halls without gateways
	// were waited for in vain, until the swarm changes.
	idle      map[string]bool
	hallsOver bool
	// slots counts the transfers under way of each kind.
	slots map[Kind]int
	// usual is a moving mean of how long a chunk takes from a peer.
	usual time.Duration
	// newest is when a chunk was last seen here for the first time, usualGap a
	// slowly forgetting maximum of the time between two such.
	newest   time.Time
	usualGap time.Duration
	// originTook is how long the last transfer from the origin took, and
	// originBegan when the oldest one under way began.
	originTook  time.Duration
	originBegan time.Time
	// originPausedUntil keeps the sources from being asked too soon again.
	originPausedUntil time.Time
	originFailures    int

	events chan event
	polls  int
}

// event is what a transfer or a poll reports. Exactly one field is set.
type event struct {
	transfer  *transferDone
	have      *haveNews
	pollEnded bool
}

// haveNews is what a poll of a neighbour brought.
type haveNews struct {
	peer   string
	chunks []uint32
	// reset is set when the neighbour is another process than before.
	reset bool
	err   error
}

// transferDone is the end of one transfer.
type transferDone struct {
	chunk   int
	kind    Kind
	peer    string // the neighbour's name, "" for the origin
	started time.Time
	bytes   int64
	err     error
	corrupt bool
	// failedHops names the agents of other halls that failed on the way.
	failedHops []string
	// useful is set when the chunk was not here before.
	useful bool
	// source names where a corrupt or failed transfer came from.
	source string
}

func newRun(f *Fetcher, version *stage.Version) *run {
	return &run{
		fetcher: f, version: version,
		chunks:  make([]chunkState, len(version.Manifest.Chunks)),
		peers:   map[string]*peerState{},
		hopsOff: map[string]time.Time{},
		idle:    map[string]bool{},
		slots:   map[Kind]int{},
		newest:  time.Now(),
		events:  make(chan event, 64),
	}
}

// loop runs until the version is complete.
func (r *run) loop(ctx context.Context, swarm SwarmSource) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.wait()
	defer cancel()
	present, swarmChanged := swarm()
	r.setSwarm(ctx, present)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var held stage.Gained
	for {
		var changed <-chan struct{}
		held, changed = r.version.Since(held.Instance, held.Cursor)
		r.noteHeld(held)
		if int(held.Cursor) == len(r.chunks) {
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
			present, swarmChanged = swarm()
			r.setSwarm(ctx, present)
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// wait takes the remaining reports, so that no goroutine outlives the run.
func (r *run) wait() {
	for r.polls > 0 || r.slots[FromPeer]+r.slots[FromHall]+r.slots[FromOrigin] > 0 {
		r.handle(<-r.events)
	}
}

// drainEvents handles what has gathered, before the next schedule.
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

// noteHeld marks the chunks that the stage has got, from whatever side.
func (r *run) noteHeld(gained stage.Gained) {
	for _, index := range gained.Chunks {
		r.chunks[index].held = true
		r.see(int(index))
	}
}

// see notes that a chunk has reached this host or a neighbour.
func (r *run) see(index int) {
	if r.chunks[index].seen {
		return
	}
	r.chunks[index].seen = true
	now := time.Now()
	// A gap as long as the patience was spent waiting for somebody; counting it
	// would make the next wait four times as long, and so on.
	if gap := now.Sub(r.newest); gap < r.patience() {
		r.usualGap = max(gap, r.usualGap*9/10)
	}
	r.newest = now
}

func (r *run) handle(e event) {
	if e.transfer != nil {
		r.finish(e.transfer)
	}
	if e.have != nil {
		r.takeNews(e.have)
	}
	if e.pollEnded {
		r.polls--
	}
}

func (r *run) takeNews(news *haveNews) {
	peer := r.peers[news.peer]
	if peer == nil {
		return
	}
	if news.err != nil {
		now := time.Now()
		if peer.downSince.IsZero() {
			peer.downSince = now
		}
		if now.Sub(peer.downSince) >= downAfter {
			r.forget(peer) // what only it had must be brought in again
		}
		return
	}
	peer.downSince = time.Time{}
	if news.reset {
		r.forget(peer)
	}
	if now := time.Now(); now.Before(peer.offUntil) {
		peer.missed = append(peer.missed, news.chunks...)
		return
	}
	for _, index := range append(peer.missed, news.chunks...) {
		if int(index) < len(peer.has) && !peer.has[index] {
			peer.has[index] = true
			r.chunks[index].holders++
			delete(r.idle, news.peer)
			r.see(int(index))
		}
	}
	peer.missed = nil
}

// takeOff counts a peer as having nothing for a while, so that what only it
// offers is brought in by another way. What it said is remembered until then.
func (r *run) takeOff(peer *peerState, until time.Time) {
	peer.offUntil = until
	for index, has := range peer.has {
		if has {
			peer.missed = append(peer.missed, uint32(index))
		}
	}
	r.forget(peer)
}

// forget takes back what a neighbour was known to have.
func (r *run) forget(peer *peerState) {
	for index, has := range peer.has {
		if has {
			r.chunks[index].holders--
		}
	}
	clear(peer.has)
}

// finish takes the end of a transfer into account.
func (r *run) finish(done *transferDone) {
	now := time.Now()
	r.slots[done.kind]--
	chunk := &r.chunks[done.chunk]
	chunk.transfers--
	if done.err == nil {
		chunk.held = true
		r.see(done.chunk)
	}
	if r.fetcher.OnBytes != nil && done.bytes > 0 {
		r.fetcher.OnBytes(done.kind, done.bytes, done.useful)
	}
	if done.err != nil && !errors.Is(done.err, context.Canceled) && !errors.Is(done.err, source.ErrBusy) &&
		!errors.Is(done.err, source.ErrAbsent) {
		r.fetcher.logFailure(r.version, done)
	}
	switch done.kind {
	case FromOrigin:
		r.finishOrigin(done, now)
	case FromHall:
		if done.err != nil {
			chunk.pausedUntil = now.Add(busyPause)
		}
		for _, name := range done.failedHops {
			r.hopsOff[name] = now.Add(offFor)
		}
	case FromPeer:
	}
	if peer := r.peers[done.peer]; peer != nil {
		r.finishPeer(peer, done, now)
	}
}

func (r *run) finishOrigin(done *transferDone, now time.Time) {
	if done.err == nil {
		r.originFailures = 0
		r.originTook = now.Sub(done.started)
		return
	}
	r.originFailures++
	r.originPausedUntil = now.Add(failPause << min(r.originFailures, failDoubles))
}

func (r *run) finishPeer(peer *peerState, done *transferDone, now time.Time) {
	peer.transfers--
	switch {
	case done.err == nil:
		peer.failures = 0
		took := now.Sub(done.started)
		if r.usual == 0 {
			r.usual = took
		}
		r.usual += (took - r.usual) / 8
	case done.corrupt:
		peer.corrupt++
		if peer.corrupt >= corruptLimit {
			r.takeOff(peer, now.Add(offForever))
		}
	case errors.Is(done.err, source.ErrBusy):
		peer.pausedUntil = now.Add(busyPause)
	default:
		peer.failures++
		if peer.failures >= failLimit {
			r.takeOff(peer, now.Add(offFor))
		}
		peer.pausedUntil = now.Add(failPause << min(peer.failures, failDoubles))
		if peer.has[done.chunk] && errors.Is(done.err, source.ErrAbsent) {
			peer.has[done.chunk] = false
			r.chunks[done.chunk].holders--
		}
	}
}

// poll follows one neighbour's chunks until the context ends.
func (r *run) poll(ctx context.Context, peer Peer) {
	instance, cursor := "", uint32(0)
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, haveWait+time.Second)
		response, err := r.fetcher.Have(callCtx, peer.Address, &wire.HaveRequest{
			Manifest: r.version.ID.String(), Instance: instance, Cursor: cursor, WaitMs: haveWaitMs,
		})
		cancel()
		news := &haveNews{peer: peer.Name, err: err}
		if err == nil {
			news.reset = instance != "" && instance != response.GetInstance()
			news.chunks = response.GetGained()
			instance, cursor = response.GetInstance(), response.GetCursor()
		}
		select {
		case r.events <- event{have: news}:
		case <-ctx.Done():
		}
		if err != nil {
			instance, cursor = "", 0 // ask for everything when it is back
			helpers.Pause(haveRetry, ctx.Done())
		}
	}
}

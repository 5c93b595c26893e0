package swarm

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/linestream"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/pace"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/rollout"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// maxOwnHallNeighbours and maxOtherHallNeighbours bound the neighbours in the host's own
	// hall and in each other hall.
	maxOwnHallNeighbours   = 16
	maxOtherHallNeighbours = 8
	// maxPeerFetches and originFetches bound the chunks in flight from peers and from the
	// origin, and maxPerPeer those from one peer.
	maxPeerFetches = 4
	originFetches  = 1
	maxPerPeer     = 1
	// maxEarlyPeerFetches is maxPeerFetches of an early host.
	maxEarlyPeerFetches = 6
	// inboundWindow bounds the time for which arriving chunks may occupy the host's link.
	// Requests and place queries share the link: behind a longer queue of chunks, routers'
	// place queries to this host would time out, and requests would go to full engines by load
	// reports. Four chunks at a time occupy a link of 7 Mbit/s for 110 ms, more than a query's 50. defaultInbound is the number of chunks that
	// may arrive at once if the link's rate is not known.
	inboundWindow  = 60 * time.Millisecond
	defaultInbound = 2
	// arrivalWindow is how long a chunk in flight counts as arriving.
	arrivalWindow = 250 * time.Millisecond
	// chunkTimeout bounds the transfer of one chunk.
	chunkTimeout = 2 * time.Second
	// peerTimeout is the time without a report after which a peer is unresponsive and its
	// chunks are assigned to other hosts.
	peerTimeout = 1200 * time.Millisecond
	// settleTime is the time for neighbours to report their chunks before any are fetched
	// from other halls or from the origin.
	settleTime = 250 * time.Millisecond
	// peerRetryDelay is the minimum delay before a peer that failed is contacted again, and
	// unknownVersionDelay the delay for a peer that does not have the manifest yet.
	peerRetryDelay      = 200 * time.Millisecond
	unknownVersionDelay = 60 * time.Millisecond
	// busyPeerDelay is the delay before a chunk is requested again from a peer whose upload
	// queue was full.
	busyPeerDelay = 30 * time.Millisecond
	// takeoverStep is how long a chunk may be overdue before the next host of its ranking
	// fetches it, per doubling of the number of hosts: reports spread over more hops in a
	// larger fleet, and take 0.2 s among 12 hosts and up to 1 s among 200. A shorter delay makes
	// hosts fetch the same chunks from the origin.
	takeoverStep = 225 * time.Millisecond
	// minTakeoverHosts is the number of hosts below which that delay does not shrink further.
	minTakeoverHosts = 8
	// earlyTakeoverShare is the share of that delay that an early host waits.
	earlyTakeoverShare = 0.28
	// slowChunk and fastChunk are the transfer times above and below which the number of
	// concurrent fetches is decreased and increased.
	slowChunk = 700 * time.Millisecond
	fastChunk = 250 * time.Millisecond
	// chunkTimeFloor is added to a peer's chunk time, so that a peer without a measurement
	// does not count as infinitely fast.
	chunkTimeFloor = 30 * time.Millisecond
	// idleDelay is the delay of a worker that found nothing to fetch.
	idleDelay = 25 * time.Millisecond
	// maxDamaged is the number of consecutive damaged chunks from which a peer's offers do not count.
	maxDamaged = 2
	// maxMismatches is the number of times that one chunk from the origin may fail
	// verification before the manifest is taken to be wrong. The origin sends a corrupt
	// chunk now and then.
	maxMismatches = 4
)

// ErrManifest means that the manifest does not match what the origin sends.
var ErrManifest = errors.New("chunks from the origin do not match the manifest")

// FromOrigin names the origin as the source of a chunk or manifest.
const FromOrigin = "origin"

// Host is a loader as its peers address it.
type Host struct {
	Address netip.AddrPort
	Hall    string
}

// Fetch fetches one version to this host. The exported fields must be set.
//
// For each chunk the hosts of every hall are ranked, and so are the halls. The first host
// of the first hall fetches the chunk from the origin, the first hosts of the other halls
// fetch it from any hall, and all other hosts fetch it within their hall. So a chunk leaves
// the origin once and enters each hall once. The first hall differs by chunk: always
// choosing the origin's own hall would save a transfer between halls, but its hosts would
// upload more than the others and delay the rollout.
type Fetch struct {
	Copy          *Copy
	Model         string
	OriginAddress netip.AddrPort
	Origin        provider.Origin
	// Self is this host, and Hosts returns all hosts that should have the version. They
	// need not include Self.
	Self   Host
	Hosts  func() []Host
	Client *http.Client
	// CopyTime is how long the origin takes to send one copy, and ChunkTime how long a
	// chunk takes over this host's link; 0 means that it is not known.
	CopyTime, ChunkTime time.Duration
	// Early marks an early host, which should have the version before all others: it fetches
	// from every hall and more chunks at once.
	Early bool
	// Idle reports whether the engine can serve nothing until it has this version; nil means that it can. Its host's link
	// then carries no requests that chunks would delay, so more chunks may arrive at once.
	Idle func() bool
	// LocalScanDone is closed once the chunks that are on this host already have been reused.
	// The origin is not used before that. Nil means that there is nothing to wait for.
	LocalScanDone <-chan struct{}
	// Sources returns the sources from which chunks may be requested now; nil means all. While there are none
	// the reports of neighbours are followed only.
	Sources func() rollout.Sources
	// OnChunk is called with each new chunk and its source: a peer's address or FromOrigin.
	// It may be nil.
	OnChunk func(index int, chunk []byte, from string)
	// OnCorrected is called when the digest of a chunk proved wrong and the sender of the chunk had the right one. It
	// may be nil.
	OnCorrected func(index int, from string)
	// Now is the clock of the fetch; nil means clock.RunningNow. It stands still while this process does not run:
	// by a clock that goes on, all neighbours would be unresponsive after a freeze, and all chunks overdue, so
	// that this host would take them over from the hosts to which they are assigned.
	Now func() time.Time

	// timeline says which chunks are due or overdue; mu guards it.
	timeline pace.Timeline
	// suspendedAt is when the fetch was left without a source, zero while it has one.
	suspendedAt time.Time
	// maxSeen is the highest number of chunks that were seen at any host.
	maxSeen int
	// seenAt is when each chunk was first seen at another host.
	seenAt map[int]time.Time
	peers  atomic.Pointer[peerSet]
	mu     sync.Mutex
	// neighbours holds what each neighbour reported; inFlight holds the chunks being fetched.
	neighbours map[netip.AddrPort]*neighbour
	inFlight   map[int]bool
	// mismatches counts failed verifications of chunks from the origin, by chunk, and peerMismatches marks the chunks
	// that failed verification when they came from a peer.
	mismatches     map[int]int
	peerMismatches map[int]bool
	// concurrency is the number of chunks that may be in flight from peers, up to
	// maxConcurrency. It decreases while chunks are slow, because requests and responses
	// share the hosts' links.
	concurrency, maxConcurrency int
	// workerStarted is when each worker started its current chunk, zero while it is idle.
	workerStarted []time.Time
	// assignments holds this host's assignment for each chunk among assignedHosts.
	assignments   []assignment
	assignedHosts []Host
}

// neighbour is the state of a peer as seen by this fetch.
type neighbour struct {
	// otherHall is set for a peer in another hall.
	otherHall  bool
	have       Bitmap
	reportedAt time.Time
	// unknownVersion means that the peer does not have the version's manifest.
	unknownVersion bool
	// retryAt is when chunks may be requested again from a peer that failed.
	retryAt  time.Time
	inFlight int
	// chunkTime is the moving average of the transfer times of chunks from this peer.
	chunkTime time.Duration
	// damaged counts the damaged chunks since the last intact one.
	damaged int
}

func (f *Fetch) now() time.Time {
	if f.Now != nil {
		return f.Now()
	}
	return clock.RunningNow()
}

// Run fetches until the copy is complete, the context ends, or the manifest proves wrong.
func (f *Fetch) Run(ctx context.Context) error {
	f.mu.Lock()
	f.timeline = pace.Timeline{Chunks: len(f.Copy.Manifest.Digests), CopyTime: f.CopyTime}
	f.timeline.Start(f.now())
	f.neighbours = map[netip.AddrPort]*neighbour{}
	f.inFlight = map[int]bool{}
	f.seenAt = map[int]time.Time{}
	f.mismatches, f.peerMismatches = map[int]int{}, map[int]bool{}
	f.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var workers sync.WaitGroup
	workers.Go(func() { f.followNeighbours(ctx) })
	f.maxConcurrency = maxPeerFetches
	if f.Early {
		f.maxConcurrency = maxEarlyPeerFetches
	}
	f.concurrency = f.maxConcurrency
	f.workerStarted = make([]time.Time, f.maxConcurrency)
	for worker := range f.maxConcurrency {
		workers.Go(func() {
			f.work(ctx, cancel, func(ctx context.Context) (bool, error) { return f.fromPeer(ctx, worker) })
		})
	}
	for range originFetches {
		workers.Go(func() { f.work(ctx, cancel, f.fromOrigin) })
	}
	f.awaitComplete(ctx)
	cancel(nil)
	workers.Wait()
	if f.Copy.Complete() {
		return nil
	}
	return fmt.Errorf("fetch version %d: %w", f.Copy.Manifest.Version, context.Cause(ctx))
}

func (f *Fetch) awaitComplete(ctx context.Context) {
	for {
		count, changed := f.Copy.Count()
		if count == len(f.Copy.Manifest.Digests) {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// work calls fetch, which reports whether it found a chunk to fetch, until the context ends
// or an error makes the version unusable.
func (f *Fetch) work(ctx context.Context, cancel context.CancelCauseFunc, fetch func(context.Context) (bool, error)) {
	for ctx.Err() == nil {
		found, err := fetch(ctx)
		if errors.Is(err, ErrManifest) || errors.Is(err, provider.ErrSuperseded) {
			cancel(err)
			return
		}
		if !found {
			helpers.Pause(idleDelay, ctx.Done())
		}
	}
}

// followNeighbours follows the reports of each neighbour, including neighbours that are
// added later.
func (f *Fetch) followNeighbours(ctx context.Context) {
	var followers sync.WaitGroup
	defer followers.Wait()
	followed := map[netip.AddrPort]bool{}
	for ctx.Err() == nil {
		for _, host := range f.currentPeers().neighbours {
			if !followed[host.Address] {
				followed[host.Address] = true
				followers.Go(func() { f.follow(ctx, host) })
			}
		}
		helpers.Pause(peerRetryDelay, ctx.Done())
	}
}

// follow follows the reports of one host, and reconnects when the stream ends.
func (f *Fetch) follow(ctx context.Context, host Host) {
	peer := PeerClient{Address: host.Address, Client: f.Client}
	otherHall := host.Hall != f.Self.Hall
	for ctx.Err() == nil {
		err := peer.Follow(ctx, f.Copy.Manifest.Version, otherHall, func(have Bitmap) { f.recordReport(host, have, false) })
		pause := peerRetryDelay + rand.N(peerRetryDelay)
		if errors.Is(err, linestream.ErrNotServed) {
			f.recordReport(host, "", true)
			pause = unknownVersionDelay // it is about to look up the manifest
		}
		helpers.Pause(pause, ctx.Done())
	}
}

func (f *Fetch) recordReport(host Host, have Bitmap, unknownVersion bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.neighbours[host.Address]
	if n == nil {
		n = &neighbour{otherHall: host.Hall != f.Self.Hall}
		f.neighbours[host.Address] = n
	}
	now := f.now()
	n.have, n.unknownVersion, n.reportedAt = have, unknownVersion, now
	for _, index := range f.Copy.MergeSeen(have) {
		f.seenAt[index] = now
	}
	f.updateSeen(now)
}

// updateSeen advances the timeline if more chunks have been seen than before, unless the fetch is
// suspended; the caller holds mu.
func (f *Fetch) updateSeen(now time.Time) {
	if seen := f.seen(); f.suspendedAt.IsZero() && seen > f.maxSeen {
		f.maxSeen = seen
		f.timeline.NewChunkSeen(seen, now)
	}
}

// seen returns the number of chunks that were seen at any host, including this one.
func (f *Fetch) seen() int { return len(f.Copy.Manifest.Digests) - f.Copy.Unseen() }

func (f *Fetch) recordChunk(index int, chunk []byte, from string) {
	f.mu.Lock()
	now := f.now()
	f.timeline.ChunkReceived(now)
	if from == FromOrigin {
		f.timeline.OriginAnswered(f.seen(), now)
	}
	f.updateSeen(now)
	f.mu.Unlock()
	if f.OnChunk != nil {
		f.OnChunk(index, chunk, from)
	}
}

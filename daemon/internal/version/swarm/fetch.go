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
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/lines"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/pace"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// maxNear and maxFar are how many hosts of the own hall, and of each other
	// one, are asked for their chunks.
	maxNear = 16
	maxFar  = 8
	// parallelPeers and parallelOrigin bound the chunks under way, perPeer those
	// from one peer.
	parallelPeers  = 4
	parallelOrigin = 1
	perPeer        = 1
	// parallelFirst is parallelPeers of the host that is to be done first.
	parallelFirst = 6
	// inboundQueue is how long what arrives may keep the host's link. Questions for a place
	// and requests wait behind it: with four chunks at a time, 110 ms of a link of 7 Mbit/s,
	// half of the questions had no answer in their 50 ms, requests went by news to engines
	// that were full, and 35 in 100 were late for two seconds of each version; 11 with two.
	// Where the link is not known unknownInbound chunks may arrive.
	inboundQueue   = 60 * time.Millisecond
	unknownInbound = 2
	// arrivesWithin is how long a chunk that is under way is counted as arriving.
	arrivesWithin = 250 * time.Millisecond
	// chunkTimeout bounds one chunk.
	chunkTimeout = 2 * time.Second
	// peerSilence is how long a peer may be silent before it is not counted as
	// a host that brings its chunks.
	peerSilence = 1200 * time.Millisecond
	// settleTime is how long neighbours have to say what they have before chunks
	// are brought from farther away.
	settleTime = 250 * time.Millisecond
	// askAgain is the least pause before a peer that failed is asked again, and
	// soonAgain the pause before one that does not know the version yet.
	askAgain  = 200 * time.Millisecond
	soonAgain = 60 * time.Millisecond
	// busyRest is the pause before a peer that has enough to send is asked again.
	busyRest = 30 * time.Millisecond
	// patienceEach is how long a chunk may be overdue before the next host in its ranking
	// brings it, for each doubling of the hosts: what one has is heard of over a few hops,
	// 0.2 s among 12 and up to 1 s among 200. With 0.9 s for all fleets 203 hosts asked the
	// origin for 158 chunks of 95 after an outage, 1.8 s more of its link.
	patienceEach = 225 * time.Millisecond
	// fewHosts is the size of a fleet below which that shrinks no further.
	fewHosts = 8
	// earlyShare is the part of it for a host that is to be done first.
	earlyShare = 0.28
	// slowChunk and quickChunk are the times at which fewer and more chunks are
	// fetched at the same time.
	slowChunk  = 700 * time.Millisecond
	quickChunk = 250 * time.Millisecond
	// paceFloor is added to a peer's pace, so that one not yet asked is not
	// taken for infinitely fast.
	paceFloor = 30 * time.Millisecond
	// idlePause is the wait of a worker that finds nothing to do.
	idlePause = 25 * time.Millisecond
	// maxMismatches is how often one chunk from the origin must be wrong for its
	// manifest to be suspect: an origin spoils a chunk now and then.
	maxMismatches = 4
)

// ErrManifest says that the manifest does not fit what the origin sends.
var ErrManifest = errors.New("the chunks of the origin do not match the manifest")

// FromOrigin names the origin where chunks are told by where they came from.
const FromOrigin = "origin"

// Host is a loader as the others see it.
type Host struct {
	Address netip.AddrPort
	Hall    string
}

// Fetch brings one version to this host. The exported fields must be set.
//
// For each chunk every hall has a ranking of its hosts, and the halls have one
// too. The first host of the first hall asks the origin, the first hosts of the
// other halls ask any hall, and everybody else asks within the hall. So a chunk
// leaves the origin once and enters each hall once. Which hall is first differs
// by chunk: the origin's own hall would save a crossing, but its hosts would
// send more than others, and the whole would be as late as they are.
type Fetch struct {
	Copy   *Copy
	Model  string
	Origin netip.AddrPort
	Source provider.Origin
	// Own is this host, and Hosts all that are to have the version, this one
	// included or not.
	Own    Host
	Hosts  func() []Host
	Client *http.Client
	// OriginTime is how long the origin takes to send one copy, and ChunkTime how long a
	// chunk takes over this host's link, 0 where that is not known.
	OriginTime, ChunkTime time.Duration
	// First says that this host is to be done before all others: it takes chunks
	// from every hall and more of them at the same time.
	First bool
	// AfterOthers is closed once all that costs no transfer was looked at; only
	// then is the origin asked. Nil means at once.
	AfterOthers <-chan struct{}
	// OnChunk is called with each new chunk and where it came from: a peer's address,
	// or FromOrigin. It may be nil.
	OnChunk func(index int, chunk []byte, from string)

	// pace is this host's time line of the version; mu guards it.
	pace pace.Pace
	// mostSeen is how many chunks were seen at any host so far.
	mostSeen int
	// seenAt is when a chunk was first seen at another host, since the begin.
	seenAt map[int]time.Time
	around atomic.Pointer[surroundings]
	mu     sync.Mutex
	// known is what each neighbour has; taken are chunks under way.
	known map[netip.AddrPort]*neighbour
	taken map[int]bool
	// mismatches counts wrong chunks from the origin, by chunk.
	mismatches map[int]int
	// allowed is how many chunks may be under way from peers, most its bound. It
	// sinks while chunks are slow: requests and answers share the hosts' links.
	allowed, most int
	// begun is when each worker began the chunk that it fetches, zero while it has none.
	begun []time.Time
	// duties are this host's for each chunk among rankedHosts.
	duties      []duty
	rankedHosts []Host
}

// neighbour is a peer as this fetch knows it.
type neighbour struct {
	far   bool
	have  Have
	heard time.Time
	// absent says that the peer does not know the version.
	absent bool
	// until is when a peer that failed may be asked for chunks again.
	until time.Time
	busy  int
	// pace is how long a chunk from there takes, the last ones weighed most.
	pace time.Duration
}

// Run fetches until the copy is complete, the context ends, or the manifest
// turns out to be wrong.
func (f *Fetch) Run(ctx context.Context) error {
	f.pace = pace.Pace{Chunks: len(f.Copy.Manifest.Digests), CopyTime: f.OriginTime}
	f.pace.Begin(clock.Now())
	f.known = map[netip.AddrPort]*neighbour{}
	f.taken = map[int]bool{}
	f.seenAt = map[int]time.Time{}
	f.mismatches = map[int]int{}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var workers sync.WaitGroup
	workers.Go(func() { f.keepNeighbours(ctx) })
	f.most = parallelPeers
	if f.First {
		f.most = parallelFirst
	}
	f.allowed = f.most
	f.begun = make([]time.Time, f.most)
	for place := range f.most {
		workers.Go(func() {
			f.work(ctx, cancel, func(ctx context.Context) (bool, error) { return f.fromPeer(ctx, place) })
		})
	}
	for range parallelOrigin {
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

// work repeats one kind of fetch until the context ends.
func (f *Fetch) work(ctx context.Context, cancel context.CancelCauseFunc, fetch func(context.Context) (bool, error)) {
	for ctx.Err() == nil {
		did, err := fetch(ctx)
		if errors.Is(err, ErrManifest) || errors.Is(err, provider.ErrSuperseded) {
			cancel(err)
			return
		}
		if !did {
			helpers.Pause(idlePause, ctx.Done())
		}
	}
}

// keepNeighbours asks each neighbour for news, one question under way each.
func (f *Fetch) keepNeighbours(ctx context.Context) {
	var asking sync.WaitGroup
	defer asking.Wait()
	asked := map[netip.AddrPort]bool{}
	for ctx.Err() == nil {
		for _, host := range f.surroundings().neighbours {
			if !asked[host.Address] {
				asked[host.Address] = true
				asking.Go(func() { f.ask(ctx, host) })
			}
		}
		helpers.Pause(askAgain, ctx.Done())
	}
}

// ask follows what one host has, again and again.
func (f *Fetch) ask(ctx context.Context, host Host) {
	peer := Peer{Address: host.Address, Client: f.Client}
	far := host.Hall != f.Own.Hall
	for ctx.Err() == nil {
		err := peer.Follow(ctx, f.Copy.Manifest.Version, far, func(have Have) { f.heard(host, have, false) })
		pause := askAgain + rand.N(askAgain)
		if errors.Is(err, lines.ErrNotServed) {
			f.heard(host, "", true)
			pause = soonAgain // it is about to learn of the version
		}
		helpers.Pause(pause, ctx.Done())
	}
}

func (f *Fetch) heard(host Host, have Have, absent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.known[host.Address]
	if n == nil {
		n = &neighbour{far: host.Hall != f.Own.Hall}
		f.known[host.Address] = n
	}
	now := clock.Now()
	n.have, n.absent, n.heard = have, absent, now
	for _, index := range f.Copy.Note(have) {
		f.seenAt[index] = now
	}
	f.lookAtSeen(now)
}

// lookAtSeen takes note where more chunks were seen than before; the caller holds mu.
func (f *Fetch) lookAtSeen(now time.Time) {
	if seen := f.seen(); seen > f.mostSeen {
		f.mostSeen = seen
		f.pace.Seen(seen, now)
	}
}

// seen is how many chunks any host is known to have had.
func (f *Fetch) seen() int { return len(f.Copy.Manifest.Digests) - f.Copy.Unseen() }

func (f *Fetch) tell(index int, chunk []byte, from string) {
	f.mu.Lock()
	now := clock.Now()
	f.pace.Came(now)
	if from == FromOrigin {
		f.pace.Answered(f.seen(), now)
	}
	f.lookAtSeen(now)
	f.mu.Unlock()
	if f.OnChunk != nil {
		f.OnChunk(index, chunk, from)
	}
}

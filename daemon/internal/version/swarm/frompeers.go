package swarm

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/version/rollout"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file chooses which chunks are fetched from which peer, and how many at once.

// fromPeer fetches one chunk from a neighbour. It reports false if there is none to fetch
// or the worker's number exceeds the current concurrency.
func (f *Fetch) fromPeer(ctx context.Context, worker int) (bool, error) {
	index, address, ok := f.pickFromPeers(worker)
	if !ok {
		return false, nil
	}
	peer := PeerClient{Address: address, Client: f.Client, Urgent: f.Early}
	chunk, err := f.requestFromPeer(ctx, peer, index, worker)
	if errors.Is(err, errDigest) && f.mismatchedBefore(index) {
		// The chunk is no longer in flight, so that it may come from another peer meanwhile.
		err = f.correct(ctx, index, chunk, sender{address.String(), func(ctx context.Context) (provider.Manifest, error) {
			return peer.Manifest(ctx, f.Copy.Manifest.Version)
		}}, err)
		if err == nil {
			f.forgetDamage(address)
		}
	}
	if err != nil {
		return true, err
	}
	f.recordChunk(index, chunk, address.String())
	return true, nil
}

// requestFromPeer fetches a chunk that pickFromPeers returned and adds it to the copy. It returns a chunk that does not
// match too, with errDigest.
func (f *Fetch) requestFromPeer(ctx context.Context, peer PeerClient, index, worker int) ([]byte, error) {
	defer f.release(index)
	defer f.setIdle(worker)
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	started := f.now()
	chunk, err := peer.Chunk(ctx, f.Copy.Manifest.Version, index)
	if err == nil {
		err = f.Copy.Put(index, chunk)
	}
	f.recordResult(peer.Address, f.now().Sub(started), err)
	return chunk, err
}

// mismatchedBefore reports whether a chunk of a peer at an index has not matched before. Damaged chunks are frequent on a
// faulty host, and hardly ever at the same index twice.
func (f *Fetch) mismatchedBefore(index int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.peerMismatches[index]
	f.peerMismatches[index] = true
	return before
}

// forgetDamage takes back that a peer sent a damaged chunk.
func (f *Fetch) forgetDamage(address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.neighbours[address]
	n.damaged, n.retryAt = 0, time.Time{}
}

// pickFromPeers returns a missing chunk and one of its holders, and marks the chunk as in
// flight. Holders in other halls count only for chunks that this host may fetch from there.
func (f *Fetch) pickFromPeers(worker int) (int, netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if !f.updateSources(now).Has(rollout.Peers) || worker >= f.concurrency || f.arriving(now) >= f.maxInbound() {
		return 0, netip.AddrPort{}, false
	}
	f.assign(f.liveHosts(now))
	have := f.Copy.Present()
	holders := map[int][]netip.AddrPort{}
	for address, n := range f.neighbours {
		if now.Before(n.retryAt) || n.inFlight >= maxPerPeer {
			continue
		}
		for index := range have {
			if n.have.Has(index) && !have[index] && !f.inFlight[index] && (!n.otherHall || f.fetchesFromOtherHalls(index, now)) {
				holders[index] = append(holders[index], address)
			}
		}
	}
	best := f.pickIndex(holders)
	if best < 0 {
		return 0, netip.AddrPort{}, false
	}
	address := f.pickHolder(holders[best])
	f.inFlight[best] = true
	f.workerStarted[worker] = now
	f.neighbours[address].inFlight++
	return best, address, true
}

// arriving counts the chunks from peers that occupy this host's link. A chunk that has been
// in flight for longer than arrivalWindow is waiting for its sender instead. The caller
// holds mu.
func (f *Fetch) arriving(now time.Time) int {
	count := 0
	for _, started := range f.workerStarted {
		if !started.IsZero() && now.Sub(started) < arrivalWindow {
			count++
		}
	}
	return count
}

// maxInbound returns the number of chunks that may arrive at once.
func (f *Fetch) maxInbound() int {
	if f.Idle != nil && f.Idle() {
		return f.maxConcurrency
	}
	return inboundForLink(f.ChunkTime, f.Early)
}

// inboundForLink returns the number of chunks that may arrive at once, given how long one takes over
// the host's link.
func inboundForLink(chunkTime time.Duration, early bool) int {
	count := defaultInbound
	if chunkTime > 0 {
		count = max(1, int(math.Round(float64(inboundWindow)/float64(chunkTime))))
	}
	if early {
		count++
	}
	return count
}

// pickHolder returns the holder with the lowest cost: the chunks in flight from it, weighted
// by its recent chunk times and a random factor.
func (f *Fetch) pickHolder(holders []netip.AddrPort) netip.AddrPort {
	best := holders[0]
	lowest := math.Inf(1)
	for _, address := range holders {
		n := f.neighbours[address]
		cost := float64(n.inFlight+1) * (n.chunkTime.Seconds() + chunkTimeFloor.Seconds()) * (1 + rand.Float64())
		if cost < lowest {
			best, lowest = address, cost
		}
	}
	return best
}

// pickIndex returns a chunk that this host ranks first for in its hall, because the hall
// waits for it, or else the rarer of two random chunks.
func (f *Fetch) pickIndex(holders map[int][]netip.AddrPort) int {
	best, sampled := -1, 0
	for index := range holders { // map iteration order is random
		if f.assignments[index].hostRank == 0 {
			return index
		}
		if sampled++; sampled <= 2 && (best < 0 || len(holders[index]) < len(holders[best])) {
			best = index
		}
	}
	return best
}

// recordResult updates a peer's chunk time and retry delay, and adapts the concurrency.
func (f *Fetch) recordResult(address netip.AddrPort, took time.Duration, err error) {
	const (
		failedPeerDelay = 500 * time.Millisecond
		// maxDoublings bounds the delay after damaged chunks, which doubles with each one: a host
		// that sends only such chunks would otherwise take a part of this host's link for good.
		maxDoublings = 4
	)
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.neighbours[address]
	n.inFlight--
	if IsBusy(err) {
		n.retryAt = f.now().Add(busyPeerDelay)
		return
	}
	n.chunkTime = (n.chunkTime + took) / 2
	if err == nil {
		n.damaged = 0
	}
	switch {
	case errors.Is(err, errDigest):
		// The link is not the cause, so the concurrency stays.
		n.retryAt = f.now().Add(failedPeerDelay << min(n.damaged, maxDoublings))
		n.damaged++
	case err != nil:
		n.retryAt = f.now().Add(failedPeerDelay)
		f.concurrency = max(1, f.concurrency/2)
	case took > slowChunk:
		n.retryAt = f.now().Add(took)
		f.concurrency = max(1, f.concurrency-1)
	case took < fastChunk:
		f.concurrency = min(f.maxConcurrency, f.concurrency+1)
	}
}

func (f *Fetch) release(index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.inFlight, index)
}

// setIdle marks a worker as idle.
func (f *Fetch) setIdle(worker int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workerStarted[worker] = time.Time{}
}

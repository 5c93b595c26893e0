package swarm

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
)

// This file chooses what comes from which other host, and how much at a time.

// fromPeer fetches one chunk that a neighbour has. Place is the worker's: those
// beyond what the links bear do nothing.
func (f *Fetch) fromPeer(ctx context.Context, place int) (bool, error) {
	index, address, ok := f.pickFromPeers(place)
	if !ok {
		return false, nil
	}
	defer f.release(index)
	defer f.arrived(place)
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	started := clock.Now()
	chunk, err := Peer{Address: address, Client: f.Client, Urgent: f.First}.Chunk(ctx, f.Copy.Manifest.Version, index)
	if err == nil {
		err = f.Copy.Put(index, chunk)
	}
	f.settle(address, clock.Since(started), err)
	if err != nil {
		return true, err
	}
	f.tell(index, chunk, address.String())
	return true, nil
}

// pickFromPeers chooses the rarest missing chunk among two drawn at random, and
// one of its holders. Holders in other halls count only for chunks that it
// falls to this host to bring into its hall.
func (f *Fetch) pickFromPeers(place int) (int, netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	if place >= f.allowed || f.arriving(now) >= inbound(f.ChunkTime, f.First) {
		return 0, netip.AddrPort{}, false
	}
	f.rank(f.liveHosts(now))
	have := f.Copy.Have()
	holders := map[int][]netip.AddrPort{}
	for address, n := range f.known {
		if now.Before(n.until) || n.busy >= perPeer {
			continue
		}
		for index := range have {
			if n.have.Has(index) && !have[index] && !f.taken[index] && (!n.far || f.bringsFar(index, now)) {
				holders[index] = append(holders[index], address)
			}
		}
	}
	best := f.pickIndex(holders)
	if best < 0 {
		return 0, netip.AddrPort{}, false
	}
	address := f.pickHolder(holders[best])
	f.taken[best] = true
	f.begun[place] = now
	f.known[address].busy++
	return best, address, true
}

// arriving counts the chunks from peers that take of this host's link now; one that has
// been under way for long waits for its sender. The caller holds mu.
func (f *Fetch) arriving(now time.Time) int {
	count := 0
	for _, begun := range f.begun {
		if !begun.IsZero() && now.Sub(begun) < arrivesWithin {
			count++
		}
	}
	return count
}

// inbound is how many chunks may arrive at a time over the host's link, by how long one
// takes there.
func inbound(chunkTime time.Duration, first bool) int {
	count := unknownInbound
	if chunkTime > 0 {
		count = max(1, int(math.Round(float64(inboundQueue)/float64(chunkTime))))
	}
	if first {
		count++
	}
	return count
}

// pickHolder chooses the holder that is likely to be done first: the one with
// the least under way for this host, weighed by how long its last chunks took.
func (f *Fetch) pickHolder(holders []netip.AddrPort) netip.AddrPort {
	best := holders[0]
	lowest := math.Inf(1)
	for _, address := range holders {
		n := f.known[address]
		cost := float64(n.busy+1) * (n.pace.Seconds() + paceFloor.Seconds()) * (1 + rand.Float64())
		if cost < lowest {
			best, lowest = address, cost
		}
	}
	return best
}

// pickIndex prefers chunks that the hall waits for this host to bring.
func (f *Fetch) pickIndex(holders map[int][]netip.AddrPort) int {
	best, drawn := -1, 0
	for index := range holders { // the order of a map is random
		if f.duties[index].place == 0 {
			return index
		}
		if drawn++; drawn <= 2 && (best < 0 || len(holders[index]) < len(holders[best])) {
			best = index
		}
	}
	return best
}

func (f *Fetch) settle(address netip.AddrPort, took time.Duration, err error) {
	const rest = 500 * time.Millisecond
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.known[address]
	n.busy--
	if IsBusy(err) {
		n.until = clock.Now().Add(busyRest)
		return
	}
	n.pace = (n.pace + took) / 2
	switch {
	case err != nil:
		n.until = clock.Now().Add(rest)
		f.allowed = max(1, f.allowed/2)
	case took > slowChunk:
		n.until = clock.Now().Add(took)
		f.allowed = max(1, f.allowed-1)
	case took < quickChunk:
		f.allowed = min(f.most, f.allowed+1)
	}
}

func (f *Fetch) release(index int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.taken, index)
}

// arrived notes that a worker has no chunk under way.
func (f *Fetch) arrived(place int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun[place] = time.Time{}
}

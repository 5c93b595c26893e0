package swarm

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
)

// This file assigns chunks to hosts and decides when a host takes over a chunk that is
// overdue. Every host computes its assignments from the list of hosts and their reports, so
// no agreement between hosts is needed.

// assignment is a host's rank for fetching one chunk.
type assignment struct {
	// hostRank is the host's rank among the hosts of its hall.
	hostRank int
	// hallRank is the rank of the hall among all halls.
	hallRank int
}

// isPrimary reports whether this host is the one assigned to fetch the chunk from the origin.
func (a assignment) isPrimary() bool { return a.hostRank+a.hallRank == 0 }

// liveHosts returns this host and the hosts that are responsive and have the version's
// manifest. Hosts that are not neighbours, and all hosts until the first reports are due,
// count as live.
func (f *Fetch) liveHosts(now time.Time) []Host {
	peers := f.currentPeers()
	if f.timeline.Elapsed(now) < peerTimeout {
		return peers.hosts
	}
	return slices.DeleteFunc(slices.Clone(peers.hosts), func(host Host) bool {
		n := f.neighbours[host.Address]
		unresponsive := n == nil || n.unknownVersion || now.Sub(n.reportedAt) > peerTimeout
		return unresponsive && slices.Contains(peers.neighbours, host)
	})
}

// offered reports whether a responsive neighbour has the chunk and does not send damaged ones only.
func (f *Fetch) offered(index int) bool {
	now := f.now()
	for _, n := range f.neighbours {
		if n.have.Has(index) && n.offers(now) {
			return true
		}
	}
	return false
}

// offers reports whether the chunks of a neighbour count as offered: it is responsive and does not send
// damaged ones only.
func (n *neighbour) offers(now time.Time) bool {
	return n.damaged < maxDamaged && now.Sub(n.reportedAt) < peerTimeout
}

// assign recomputes this host's assignments if the list of hosts has changed.
func (f *Fetch) assign(hosts []Host) {
	if slices.Equal(hosts, f.assignedHosts) {
		return
	}
	f.assignedHosts = hosts
	byHall := map[string][]string{}
	for _, host := range hosts {
		byHall[host.Hall] = append(byHall[host.Hall], host.Address.String())
	}
	halls := make([]string, 0, len(byHall))
	for hall := range byHall {
		halls = append(halls, hall)
	}
	f.assignments = make([]assignment, len(f.Copy.Manifest.Digests))
	ranks := f.hostRanks(byHall[f.Self.Hall])
	for index := range f.assignments {
		ranked := rendezvous.Rank("halls of "+f.key(index), halls)
		f.assignments[index] = assignment{hostRank: ranks[index], hallRank: slices.Index(ranked, f.Self.Hall)}
	}
}

// hostRanks returns this host's rank in its hall for each chunk. Rankings are by rendezvous
// hashing, but no host ranks first for more than an equal share of the chunks: otherwise
// all hosts would wait for the last chunk of the host with the most.
func (f *Fetch) hostRanks(hall []string) []int {
	share := (len(f.assignments) + len(hall) - 1) / len(hall)
	firsts := map[string]int{}
	ranks := make([]int, len(f.assignments))
	for index := range ranks {
		ranked := rendezvous.Rank(f.key(index), hall)
		first := slices.IndexFunc(ranked, func(name string) bool { return firsts[name] < share })
		name := ranked[first]
		firsts[name]++
		ranked = slices.Insert(slices.Delete(ranked, first, first+1), 0, name)
		ranks[index] = slices.Index(ranked, f.Self.Address.String())
	}
	return ranks
}

func (f *Fetch) key(index int) string {
	return f.Model + "/" + strconv.Itoa(f.Copy.Manifest.Version) + "/" + strconv.Itoa(index)
}

// fetchesFromOtherHalls reports whether this host may fetch a chunk from another hall: the
// first host of the ranking does so at once, and each following one when the chunk is
// overdue. A chunk that a host of this hall has is fetched from another hall only after a
// longer delay, because the link of its only holder here may be too slow.
func (f *Fetch) fetchesFromOtherHalls(index int, now time.Time) bool {
	if !f.peersReported(now) {
		return false
	}
	rank := f.assignments[index].hostRank
	if f.offeredInHall(index) {
		return f.peerOverdue(index, now) > time.Duration(rank+1)*f.takeoverDelay()
	}
	return rank == 0 || f.Early || f.peerOverdue(index, now) > time.Duration(rank)*f.takeoverDelay()
}

// takeoverDelay returns how long a chunk may be overdue before the next host of the ranking
// fetches it.
func (f *Fetch) takeoverDelay() time.Duration {
	hosts := max(len(f.assignedHosts), minTakeoverHosts)
	return time.Duration(math.Log2(float64(hosts)) * float64(takeoverStep))
}

// peersReported reports whether the neighbours have had time to report their chunks.
func (f *Fetch) peersReported(now time.Time) bool {
	return f.timeline.Elapsed(now) > settleTime || len(f.neighbours) >= len(f.currentPeers().neighbours)
}

// offeredInHall reports whether a responsive neighbour in this hall has the chunk.
func (f *Fetch) offeredInHall(index int) bool {
	for _, n := range f.neighbours {
		if !n.otherHall && n.have.Has(index) && f.now().Sub(n.reportedAt) < peerTimeout {
			return true
		}
	}
	return false
}

// fetchesFromOrigin reports whether this host may fetch a chunk from the origin. The hosts of
// the first hall do so in the order of their ranks. Those of other halls follow when the chunk
// is overdue, because the first hall may be disconnected. An early host does not wait for
// each of them. A chunk that a neighbour offers is fetched from the origin only when the
// neighbour does not deliver it in time.
func (f *Fetch) fetchesFromOrigin(index int, now time.Time) bool {
	if !f.peersReported(now) || !f.scanDone() {
		return false
	}
	a := f.assignments[index]
	delay := f.takeoverDelay()
	wait := time.Duration(a.hostRank+2*a.hallRank) * delay
	if f.Early {
		wait = min(wait, max(time.Duration(earlyTakeoverShare*float64(delay)), f.minEarlyWait()))
	}
	if f.offered(index) {
		return f.peerOverdue(index, now) > wait+delay
	}
	return a.isPrimary() || f.timeline.OriginOverdue(index, now) > wait
}

// minEarlyWait returns the minimum time for which an early host waits for an overdue chunk: the
// time in which the origin sends all chunks that are requested from it at once, and a margin
// for the hop through another host. A shorter wait would fetch chunks twice from a slow origin.
func (f *Fetch) minEarlyWait() time.Duration {
	const margin = 1.2
	return time.Duration(margin * float64(f.timeline.InFlightTime()))
}

func (f *Fetch) scanDone() bool {
	if f.LocalScanDone == nil {
		return true
	}
	select {
	case <-f.LocalScanDone:
		return true
	default:
		return false
	}
}

// peerOverdue returns how long this host has been waiting for a chunk that another host has:
// the time since the chunk was due or was first seen there, whichever is later.
func (f *Fetch) peerOverdue(index int, now time.Time) time.Duration {
	overdue := f.timeline.PeerOverdue(index, now)
	if seen, ok := f.seenAt[index]; ok {
		overdue = min(overdue, now.Sub(seen))
	}
	return overdue
}

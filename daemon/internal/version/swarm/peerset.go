package swarm

import (
	"slices"

	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
)

// peerSet holds the hosts of a fetch. It is computed once per list of hosts, because each
// choice of a chunk reads it, and is read-only after that.
type peerSet struct {
	listed []Host
	// hosts holds all hosts, this one included, ordered by address.
	hosts []Host
	// neighbours holds the hosts whose reports this host follows. Each host chooses its own
	// by rendezvous hashing.
	neighbours []Host
}

// currentPeers returns the peer set of the current list of hosts.
func (f *Fetch) currentPeers() *peerSet {
	listed := f.Hosts()
	if cached := f.peers.Load(); cached != nil && slices.Equal(cached.listed, listed) {
		return cached
	}
	set := &peerSet{listed: slices.Clone(listed), hosts: allHosts(f.Self, listed)}
	set.neighbours = neighboursOf(f.Self, set.hosts)
	f.peers.Store(set)
	return set
}

func allHosts(own Host, others []Host) []Host {
	hosts := append([]Host{own}, others...)
	slices.SortFunc(hosts, func(a, b Host) int { return a.Address.Compare(b.Address) })
	return slices.CompactFunc(hosts, func(a, b Host) bool { return a.Address == b.Address })
}

func neighboursOf(own Host, hosts []Host) []Host {
	byName := map[string]Host{}
	names := make([]string, 0, len(hosts))
	for _, host := range hosts {
		byName[host.Address.String()] = host
		names = append(names, host.Address.String())
	}
	var result []Host
	counts := map[string]int{}
	for _, name := range rendezvous.Rank("neighbours of "+own.Address.String(), names) {
		host := byName[name]
		limit := maxOtherHallNeighbours
		if host.Hall == own.Hall {
			limit = maxOwnHallNeighbours
		}
		if host.Address != own.Address && counts[host.Hall] < limit {
			counts[host.Hall]++
			result = append(result, host)
		}
	}
	return result
}

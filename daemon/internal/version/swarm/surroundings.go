package swarm

import (
	"slices"

	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
)

// surroundings are the hosts of a fetch, worked out once a list of hosts because
// each choice of a chunk asks for them. They are read-only.
type surroundings struct {
	listed []Host
	// hosts are all hosts, this one included, in the order of their addresses.
	hosts []Host
	// neighbours are the hosts that this one asks, by a ranking of its own.
	neighbours []Host
}

// surroundings returns those of the newest list.
func (f *Fetch) surroundings() *surroundings {
	listed := f.Hosts()
	if known := f.around.Load(); known != nil && slices.Equal(known.listed, listed) {
		return known
	}
	made := &surroundings{listed: slices.Clone(listed), hosts: allHosts(f.Own, listed)}
	made.neighbours = neighboursOf(f.Own, made.hosts)
	f.around.Store(made)
	return made
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
		limit := maxFar
		if host.Hall == own.Hall {
			limit = maxNear
		}
		if host.Address != own.Address && counts[host.Hall] < limit {
			counts[host.Hall]++
			result = append(result, host)
		}
	}
	return result
}

package swarm

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
)

// This file says which chunks it falls to a host to bring, and when others stand
// in for it. All of it is worked out from the list of hosts and what is heard of
// them, so hosts need no agreement.

// duty is a host's part in bringing one chunk.
type duty struct {
	// place is the host's place in its hall's ranking.
	place int
	// hall is the hall's place among the halls.
	hall int
}

// first reports whether it falls to this host to ask the origin.
func (d duty) first() bool { return d.place+d.hall == 0 }

// liveHosts are this host and the hosts that are heard and know the version.
// Those that are not asked, and all before the first answers are due, count as
// live.
func (f *Fetch) liveHosts(now time.Time) []Host {
	around := f.surroundings()
	if f.pace.Since(now) < peerSilence {
		return around.hosts
	}
	return slices.DeleteFunc(slices.Clone(around.hosts), func(host Host) bool {
		n := f.known[host.Address]
		silent := n == nil || n.absent || now.Sub(n.heard) > peerSilence
		return silent && slices.Contains(around.neighbours, host)
	})
}

// offered reports whether a neighbour that is heard has the chunk.
func (f *Fetch) offered(index int) bool {
	for _, n := range f.known {
		if n.have.Has(index) && clock.Since(n.heard) < peerSilence {
			return true
		}
	}
	return false
}

// rank works out this host's duty for each chunk where the hosts have changed.
func (f *Fetch) rank(hosts []Host) {
	if slices.Equal(hosts, f.rankedHosts) {
		return
	}
	f.rankedHosts = hosts
	byHall := map[string][]string{}
	for _, host := range hosts {
		byHall[host.Hall] = append(byHall[host.Hall], host.Address.String())
	}
	halls := make([]string, 0, len(byHall))
	for hall := range byHall {
		halls = append(halls, hall)
	}
	f.duties = make([]duty, len(f.Copy.Manifest.Digests))
	places := f.places(byHall[f.Own.Hall])
	for index := range f.duties {
		ranked := rendezvous.Rank("halls of "+f.key(index), halls)
		f.duties[index] = duty{place: places[index], hall: slices.Index(ranked, f.Own.Hall)}
	}
}

// places returns this host's place in the ranking of its hall for each chunk.
// Rankings are by rendezvous, but no host is first for more than its share:
// the last chunk of the busiest host would otherwise be late for all.
func (f *Fetch) places(hall []string) []int {
	share := (len(f.duties) + len(hall) - 1) / len(hall)
	firsts := map[string]int{}
	places := make([]int, len(f.duties))
	for index := range places {
		ranked := rendezvous.Rank(f.key(index), hall)
		first := slices.IndexFunc(ranked, func(name string) bool { return firsts[name] < share })
		name := ranked[first]
		firsts[name]++
		ranked = slices.Insert(slices.Delete(ranked, first, first+1), 0, name)
		places[index] = slices.Index(ranked, f.Own.Address.String())
	}
	return places
}

func (f *Fetch) key(index int) string {
	return f.Model + "/" + strconv.Itoa(f.Copy.Manifest.Version) + "/" + strconv.Itoa(index)
}

// bringsFar reports whether this host brings a chunk into its hall from another
// one: the first of the ranking does, and the next ones when it takes too long.
// A chunk that is in this hall already is not brought, unless that does not help:
// its only holder here may have a link that bears next to nothing.
func (f *Fetch) bringsFar(index int, now time.Time) bool {
	if !f.settled(now) {
		return false
	}
	place := f.duties[index].place
	if f.offeredNear(index) {
		return f.waited(index, now) > time.Duration(place+1)*f.patience()
	}
	return place == 0 || f.First || f.waited(index, now) > time.Duration(place)*f.patience()
}

// patience is how long a chunk may be overdue before the next host brings it.
func (f *Fetch) patience() time.Duration {
	hosts := max(len(f.rankedHosts), fewHosts)
	return time.Duration(math.Log2(float64(hosts)) * float64(patienceEach))
}

// settled reports whether the neighbours have had time to say what they have.
func (f *Fetch) settled(now time.Time) bool {
	return f.pace.Since(now) > settleTime || len(f.known) >= len(f.surroundings().neighbours)
}

// offeredNear reports whether a neighbour of this hall that is heard has the
// chunk.
func (f *Fetch) offeredNear(index int) bool {
	for _, n := range f.known {
		if !n.far && n.have.Has(index) && clock.Since(n.heard) < peerSilence {
			return true
		}
	}
	return false
}

// asksOrigin reports whether this host asks the origin for a chunk. The first
// hall's hosts do; the other halls' follow when that takes too long, because
// the first hall may be cut off. A host that is to be done first does not wait
// for each of them in turn. A chunk that a neighbour offers is asked for only when
// it does not come from there.
func (f *Fetch) asksOrigin(index int, now time.Time) bool {
	if !f.settled(now) || !f.othersDone() {
		return false
	}
	d := f.duties[index]
	patience := f.patience()
	wait := time.Duration(d.place+2*d.hall) * patience
	if f.First {
		wait = min(wait, max(time.Duration(earlyShare*float64(patience)), f.earlyWait()))
	}
	if f.offered(index) {
		return f.waited(index, now) > wait+patience
	}
	return d.first() || f.pace.Late(index, now) > wait
}

// earlyWait is how long a host that is to be done first waits at least for a chunk that is
// overdue: as all that is asked of the origin takes, and what a host between adds. With a
// copy of 4.3 s the two early hosts else ask for a fifth of it again.
func (f *Fetch) earlyWait() time.Duration {
	const between = 1.2
	return time.Duration(between * float64(f.pace.UnderWay()))
}

func (f *Fetch) othersDone() bool {
	if f.AfterOthers == nil {
		return true
	}
	select {
	case <-f.AfterOthers:
		return true
	default:
		return false
	}
}

// waited is for how long this host waits for a chunk that another one has: since it was
// due, or was first seen there.
func (f *Fetch) waited(index int, now time.Time) time.Duration {
	waited := f.pace.Waited(index, now)
	if seen, ok := f.seenAt[index]; ok {
		waited = min(waited, now.Sub(seen))
	}
	return waited
}

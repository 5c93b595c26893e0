package router

import (
	"net/netip"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/peering"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/fanout"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// storeProbeInterval is how often a router that reads the store checks that it is reachable.
	// It is shorter than the time after which its followers consider it stale.
	storeProbeInterval = time.Second
	// debouncePerRouter is the pause after a change of the store for each router of the fleet,
	// within minDebounce and maxDebounce. In a large fleet some upstream changes at any time,
	// and without the pause every reader would call the store for each change.
	debouncePerRouter = 20 * time.Millisecond
	minDebounce       = 150 * time.Millisecond
	maxDebounce       = 500 * time.Millisecond
	// storeResponseSlack is how late an answer of the store may be before an unknown key or route
	// is no longer a final refusal.
	storeResponseSlack = 400 * time.Millisecond
	// pullSlack is how late an answer of the store may be before peers are queried for what is new.
	pullSlack = 200 * time.Millisecond
	// remotePeerOneIn is the share of peer queries that go to other halls, as one in so many. For a
	// router that reads the store, whom its hall follows, it is the share that stay in the hall.
	// fullCopyRemoteOneIn is the same while the replica is empty, when each answer is a full
	// copy.
	remotePeerOneIn     = 4
	fullCopyRemoteOneIn = 16
)

// neighbourToFollow returns the router of this hall to follow instead of the store, and false if
// there is none.
func (p *Process) neighbourToFollow(func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	action, name := p.readAction()
	member := p.compiler.View().Members[name]
	if action != fanout.Follow || member == nil {
		return netip.AddrPort{}, false
	}
	return member.Peers, true
}

// defersStoreRead reports whether this router leaves the store to other readers for now.
func (p *Process) defersStoreRead() bool {
	action, _ := p.readAction()
	return action == fanout.Wait
}

// readAction decides whether this router reads the store, waits, or follows the router that it
// returns.
func (p *Process) readAction() (fanout.Action, string) {
	var hall []fanout.Router
	for _, member := range p.hallMembers() {
		hall = append(hall, fanout.Router{Name: member.Name, LinkMbps: member.LinkMbps, State: p.neighbours.State(member.Peers)})
	}
	own := p.memberRecord()
	return fanout.Decide(fanout.Router{Name: own.Name, LinkMbps: own.LinkMbps}, hall, p.follower.Status().SinceData)
}

// hallMembers returns the known routers of this hall.
func (p *Process) hallMembers() []*provider.Member {
	var hall []*provider.Member
	for _, member := range p.compiler.View().Members {
		if member.Hall == p.current.Load().Hall {
			hall = append(hall, member)
		}
	}
	return hall
}

// hallDiscovered reports whether this router has a router to follow, or its own record is listed,
// so that every router that announced itself earlier is listed too. A listing taken before that
// misses most routers of a hall that is starting, and each of them would read the complete store.
func (p *Process) hallDiscovered() bool {
	_, listed := p.compiler.View().Members[p.current.Load().Name]
	return listed || p.followsPeer()
}

// followsPeer reports whether this router follows another one of its hall.
func (p *Process) followsPeer() bool {
	action, _ := p.readAction()
	return action == fanout.Follow
}

// hasHallPeers reports whether this hall has more than one router, so that some follow others.
func (p *Process) hasHallPeers() bool { return len(p.hallMembers()) > 1 }

// debounce returns the pause after a change of the store.
func (p *Process) debounce() time.Duration {
	routers := len(p.compiler.View().Members)
	return min(max(time.Duration(routers)*debouncePerRouter, minDebounce), maxDebounce)
}

// staleAfter returns the age from which the replica counts as stale: a probe interval, a debounce
// pause and the slack of an answer, plus the wait of each hop for a router that may follow
// others.
func (p *Process) staleAfter() time.Duration {
	after := storeProbeInterval + p.debounce() + storeResponseSlack
	if p.hasHallPeers() {
		hops := max(p.follower.Status().Hops, 1)
		after += time.Duration(hops) * replica.HopWait
	}
	return after
}

// isStale reports whether the replica is empty or too old to refuse a request for good.
func (p *Process) isStale() bool {
	return !p.follower.Synced() || p.follower.Age() > p.staleAfter()
}

// needsPeerPull reports whether a peer is to be queried for updates. The puller calls it a few
// times a second.
func (p *Process) needsPeerPull() bool {
	p.checkSuspension()
	return !p.follower.Synced() || p.follower.Status().SinceData > p.pullAfter() || p.lacksAge()
}

// lacksAge reports whether this router does not know well when a version was declared whose apply timeout may
// not be over. Other routers may have been told at once.
func (p *Process) lacksAge() bool {
	now, apply := clock.Now(), p.current.Load().Bounds.VersionApply.Std()
	for _, declared := range p.compiler.View().Targets {
		if declared.AgeUncertain(now, apply) {
			return true
		}
	}
	return false
}

// learnDeclared learns from a peer when versions were declared.
func (p *Process) learnDeclared(versions []replica.DeclaredVersion) bool {
	changed := p.compiler.LearnDeclared(versions)
	if changed {
		p.recorder.declaredLearned(p.compiler.Declared())
	}
	return changed
}

// pullAfter returns the time without bytes from the store after which peers are queried. While a
// long answer is in transit the replica may be stale, but the store is reachable. A removal that the
// store does not deliver must arrive this way while its upstream still serves, also at the routers that
// follow this one. So it is less than staleAfter, and nothing is added for hops that there are not.
func (p *Process) pullAfter() time.Duration {
	return storeProbeInterval + p.debounce() + pullSlack + time.Duration(p.follower.Status().Hops)*replica.HopWait
}

// choosePeer returns a router, of this hall or another, to query while the store is unreachable.
func (p *Process) choosePeer() (netip.AddrPort, bool) {
	own, hall := p.current.Load().Listen.Peers, p.current.Load().Hall
	var local, remote []netip.AddrPort
	for _, member := range p.compiler.View().Members {
		switch {
		case member.Peers == own:
		case member.Hall == hall:
			local = append(local, member.Peers)
		default:
			remote = append(remote, member.Peers)
		}
	}
	for _, seed := range p.current.Load().Seeds {
		if seed != own && !slices.Contains(local, seed) && !slices.Contains(remote, seed) {
			remote = append(remote, seed)
		}
	}
	if p.follower.Revision() == 0 {
		return peering.ChoosePeer(local, remote, fullCopyRemoteOneIn)
	}
	if action, _ := p.readAction(); action == fanout.Read {
		return peering.ChoosePeer(remote, local, remotePeerOneIn) // the routers of this hall follow this one
	}
	return peering.ChoosePeer(local, remote, remotePeerOneIn)
}

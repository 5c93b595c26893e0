package fetch

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
)

// unresponsiveAfter is how long polls of a host fail before it is skipped.
const unresponsiveAfter = time.Second

// assignment is a chunk that this host may have to bring into its hall.
type assignment struct {
	chunk int
	// rank is the host's rank among the hall's gateways for the chunk; 0 is
	// the primary.
	rank int
	// rankedBefore are the gateways that rank before this host.
	rankedBefore []string
	// otherHallPeers are the gateways of other halls to query before the origin.
	otherHallPeers []Peer
	// waitsForOtherHall is set while the halls to query have no gateways yet.
	waitsForOtherHall bool
}

// setSwarm applies a new list of hosts: it updates the polled neighbours and the
// assignments.
func (r *run) setSwarm(ctx context.Context, swarm Swarm) {
	r.otherHallsTimedOut = false
	wanted := map[string]Peer{}
	for _, peer := range r.fetcher.neighbours(swarm) {
		wanted[peer.Name] = peer
	}
	for name, peer := range r.peers {
		if wanted[name] != peer.Peer {
			peer.stop()
			r.clearChunks(peer)
			delete(r.peers, name)
		}
	}
	for name, peer := range wanted {
		if r.peers[name] == nil {
			r.startPolling(ctx, peer)
		}
	}
	r.assignments = r.fetcher.assignmentsOf(r.version.Manifest.Chunks, swarm)
	rand.Shuffle(len(r.assignments), func(i, j int) { r.assignments[i], r.assignments[j] = r.assignments[j], r.assignments[i] })
	slices.SortStableFunc(r.assignments, func(x, y assignment) int { return cmp.Compare(x.rank, y.rank) })
}

// startPolling starts a goroutine that polls a neighbour.
func (r *run) startPolling(ctx context.Context, peer Peer) {
	ctx, stop := context.WithCancel(ctx)
	r.peers[peer.Name] = &peerState{Peer: peer, has: make([]bool, len(r.chunks)), stop: stop}
	r.polls++
	go func() {
		r.poll(ctx, peer)
		r.events <- event{pollEnded: true}
	}()
}

// neighbours returns the hosts of the hall that this host polls: the hosts at
// ring distances of powers of two, so that a chunk reaches the entire hall in
// log(n) steps, then random hosts. A gateway also polls the other gateways of the
// hall, to detect when it has to take over from one.
func (f *Fetcher) neighbours(swarm Swarm) []Peer {
	hosts := swarm.HallHosts
	self := slices.IndexFunc(hosts, func(p Peer) bool { return p.Name == f.Self })
	if self < 0 || f.Policy == PolicyOriginOnly {
		return nil
	}
	if f.Policy == PolicyTree {
		if self == 0 {
			return nil
		}
		return []Peer{hosts[(self-1)/TreeFanOut]}
	}
	limit := min(helpers.OrDefault(f.Neighbours, DefaultNeighbours), len(hosts)-1)
	chosen := map[string]bool{f.Self: true}
	var picked []Peer
	add := func(peer Peer) {
		if !chosen[peer.Name] {
			chosen[peer.Name] = true
			picked = append(picked, peer)
		}
	}
	for distance := 1; distance < len(hosts) && len(picked) < limit; distance *= 2 {
		add(hosts[(self+distance)%len(hosts)])
		add(hosts[(self-distance+len(hosts))%len(hosts)])
	}
	for _, index := range rand.Perm(len(hosts)) {
		if len(picked) < limit {
			add(hosts[index])
		}
	}
	own := f.ownGateways(swarm)
	if slices.ContainsFunc(own, func(p Peer) bool { return p.Name == f.Self }) {
		for _, gateway := range own {
			add(gateway)
		}
	}
	return picked
}

func (f *Fetcher) ownGateways(swarm Swarm) []Peer {
	var own []Peer
	for _, gateway := range swarm.Gateways {
		if gateway.Hall == f.Hall {
			own = append(own, gateway)
		}
	}
	return own
}

// hallGateways holds the gateways of one hall.
type hallGateways struct {
	hall  string
	names []string
	peers map[string]Peer
}

// groupByHall groups gateways by hall, in order of first appearance.
func groupByHall(gateways []Peer) []hallGateways {
	var halls []hallGateways
	for _, gateway := range gateways {
		index := slices.IndexFunc(halls, func(h hallGateways) bool { return h.hall == gateway.Hall })
		if index < 0 {
			index = len(halls)
			halls = append(halls, hallGateways{hall: gateway.Hall, peers: map[string]Peer{}})
		}
		halls[index].names = append(halls[index].names, gateway.Name)
		halls[index].peers[gateway.Name] = gateway
	}
	return halls
}

// assignmentsOf returns the chunks that this host may have to bring into its
// hall, with the agents to query. It returns nil for a host that is not a gateway.
func (f *Fetcher) assignmentsOf(chunks []digest, swarm Swarm) []assignment {
	halls := groupByHall(swarm.Gateways)
	own := slices.IndexFunc(halls, func(h hallGateways) bool { return h.hall == f.Hall })
	if own < 0 {
		return nil
	}
	if _, isGateway := halls[own].peers[f.Self]; !isGateway {
		return nil
	}
	hallNames := slices.Clone(swarm.Halls)
	hallsByName := map[string]hallGateways{}
	for _, hall := range halls {
		hallsByName[hall.hall] = hall
		if !slices.Contains(hallNames, hall.hall) {
			hallNames = append(hallNames, hall.hall)
		}
	}
	assignments := make([]assignment, 0, len(chunks))
	for index, chunk := range chunks {
		key := string(chunk[:])
		ranked := rendezvous.Rank(key, halls[own].names)
		rank := slices.Index(ranked, f.Self)
		a := assignment{chunk: index, rank: rank, rankedBefore: ranked[:rank]}
		a.otherHallPeers, a.waitsForOtherHall = otherHallPeersFor(key, f.Hall, rendezvous.Rank(key, hallNames), hallsByName)
		assignments = append(assignments, a)
	}
	return assignments
}

// peersPerOtherHall is the number of gateways of another hall that are queried
// for a chunk: its primary and the next rank.
const peersPerOtherHall = 2

// otherHallPeersFor returns the agents of other halls from which a hall fetches a
// chunk. The halls form a binary tree in the order of their rank for the chunk:
// the root uses the origin, every other hall its parent and, if the parent fails,
// the root.
func otherHallPeersFor(key, hall string, rankedHalls []string, hallsByName map[string]hallGateways) (peers []Peer, waitsForOtherHall bool) {
	index := slices.Index(rankedHalls, hall)
	if index <= 0 {
		return nil, false
	}
	for _, parent := range []int{(index - 1) / 2, 0} {
		parentHall, ok := hallsByName[rankedHalls[parent]]
		if !ok {
			continue
		}
		inOrder := rendezvous.Rank(key, parentHall.names)
		for _, name := range inOrder[:min(peersPerOtherHall, len(inOrder))] {
			if peer := parentHall.peers[name]; !slices.Contains(peers, peer) {
				peers = append(peers, peer)
			}
		}
	}
	return peers, len(peers) == 0
}

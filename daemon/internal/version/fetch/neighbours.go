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

// downAfter is how long polls of a primary fail before it is passed over.
const downAfter = time.Second

// duty is a chunk that this host may have to bring into its hall.
type duty struct {
	chunk int
	// rank is the host's rank among the hall's gateways for the chunk; 0 is
	// the primary.
	rank int
	// before are the gateways that rank before this host.
	before []string
	// hops are the primaries of other halls to ask before the origin.
	hops []Peer
	// waits is set while the hall to ask has no gateways yet.
	waits bool
}

// setSwarm takes the hosts that an order names.
func (r *run) setSwarm(ctx context.Context, swarm Swarm) {
	r.hallsOver = false
	wanted := map[string]Peer{}
	for _, peer := range r.fetcher.neighbours(swarm) {
		wanted[peer.Name] = peer
	}
	for name, peer := range r.peers {
		if wanted[name] != peer.Peer {
			peer.stop()
			r.forget(peer)
			delete(r.peers, name)
		}
	}
	for name, peer := range wanted {
		if r.peers[name] == nil {
			r.follow(ctx, peer)
		}
	}
	r.duties = r.fetcher.dutiesOf(r.version.Manifest.Chunks, swarm)
	rand.Shuffle(len(r.duties), func(i, j int) { r.duties[i], r.duties[j] = r.duties[j], r.duties[i] })
	slices.SortStableFunc(r.duties, func(a, b duty) int { return cmp.Compare(a.rank, b.rank) })
}

// follow starts to poll a neighbour.
func (r *run) follow(ctx context.Context, peer Peer) {
	ctx, stop := context.WithCancel(ctx)
	r.peers[peer.Name] = &peerState{Peer: peer, has: make([]bool, len(r.chunks)), stop: stop}
	r.polls++
	go func() {
		r.poll(ctx, peer)
		r.events <- event{pollEnded: true}
	}()
}

// neighbours returns the hosts of the hall whose chunks this host follows:
// those at ring distances of powers of two, so that the hall is connected in
// log(n) steps, then random ones; a gateway follows the other gateways too, to
// know when it must stand in for one.
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
	for _, at := range rand.Perm(len(hosts)) {
		if len(picked) < limit {
			add(hosts[at])
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

// gatewaysByHall is one hall with its gateways.
type gatewaysByHall struct {
	hall  string
	names []string
	peers map[string]Peer
}

// group sorts the gateways by hall.
func group(gateways []Peer) []gatewaysByHall {
	var halls []gatewaysByHall
	for _, gateway := range gateways {
		at := slices.IndexFunc(halls, func(h gatewaysByHall) bool { return h.hall == gateway.Hall })
		if at < 0 {
			at = len(halls)
			halls = append(halls, gatewaysByHall{hall: gateway.Hall, peers: map[string]Peer{}})
		}
		halls[at].names = append(halls[at].names, gateway.Name)
		halls[at].peers[gateway.Name] = gateway
	}
	return halls
}

// dutiesOf returns the chunks that this host may have to bring in, and by
// which way.
func (f *Fetcher) dutiesOf(chunks []digest, swarm Swarm) []duty {
	halls := group(swarm.Gateways)
	own := slices.IndexFunc(halls, func(h gatewaysByHall) bool { return h.hall == f.Hall })
	if own < 0 {
		return nil
	}
	if _, isGateway := halls[own].peers[f.Self]; !isGateway {
		return nil
	}
	names := slices.Clone(swarm.Halls)
	byName := map[string]gatewaysByHall{}
	for _, hall := range halls {
		byName[hall.hall] = hall
		if !slices.Contains(names, hall.hall) {
			names = append(names, hall.hall)
		}
	}
	duties := make([]duty, 0, len(chunks))
	for index, chunk := range chunks {
		key := string(chunk[:])
		ranked := rendezvous.Rank(key, halls[own].names)
		rank := slices.Index(ranked, f.Self)
		d := duty{chunk: index, rank: rank, before: ranked[:rank]}
		d.hops, d.waits = hopsTo(key, f.Hall, rendezvous.Rank(key, names), byName)
		duties = append(duties, d)
	}
	return duties
}

// hopsPerHall is the number of gateways of another hall that are asked for a
// chunk: its primary, and who stands in for it.
const hopsPerHall = 2

// hopsTo returns the primaries of the halls through which a chunk comes to a
// hall. The halls form a binary tree in the order of their rank for the chunk:
// the first one goes to the origin, each other one to its parent, and in case
// the parent fails to the first.
func hopsTo(key, hall string, ranked []string, byName map[string]gatewaysByHall) (hops []Peer, waits bool) {
	at := slices.Index(ranked, hall)
	if at <= 0 {
		return nil, false
	}
	for _, from := range []int{(at - 1) / 2, 0} {
		source, known := byName[ranked[from]]
		if !known {
			continue
		}
		inOrder := rendezvous.Rank(key, source.names)
		for _, name := range inOrder[:min(hopsPerHall, len(inOrder))] {
			if peer := source.peers[name]; !slices.Contains(hops, peer) {
				hops = append(hops, peer)
			}
		}
	}
	return hops, len(hops) == 0
}

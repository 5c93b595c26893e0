// Package fetch brings one version's chunks to a host, together with all other
// hosts that take the version.
//
// Each chunk has one primary per hall and one hall that takes it first, both by
// rendezvous hashing over the hosts that the order names, so that the origin
// sends each chunk about once without anybody handing out work. Only the first
// hall's primary asks the store or origin; the primaries of other halls ask a
// primary that comes before theirs; every other host takes chunks from the
// neighbours of its hall, rarest first.
//
// Nobody waits for a dead primary by a fixed clock, because a slow origin would
// then look like a dead primary to every host and all would go there at once.
// A primary that does not answer is passed over; one that answers but brings
// nothing is backed up only when no new chunk has shown up anywhere near for a
// while, in the order of ranks.
//
// One goroutine owns all state of a fetch and starts transfers; transfers and
// polls run in goroutines of their own and report back on one channel.
package fetch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/wheelcleat/wheelcleat/api/manifest"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/source"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/stage"
)

// Peer is another host that takes the version.
type Peer struct {
	Name    string
	Hall    string
	Address netip.AddrPort
}

// Swarm is all hosts that take a version, as an order names them.
type Swarm struct {
	// HallHosts are the hosts of the own hall, this one included, by name.
	HallHosts []Peer
	// Gateways are the hosts of every hall among which primaries are chosen.
	Gateways []Peer
	// Halls are all halls that are to take the version, also those that have
	// no gateways yet.
	Halls []string
}

// Policy says how chunks are found.
type Policy string

// The policies. The zero value means PolicySwarm; the others are baselines to
// measure it against.
const (
	PolicySwarm Policy = "swarm"
	// PolicyOriginOnly takes every chunk from the store or origin.
	PolicyOriginOnly Policy = "origin-only"
	// PolicyTree relays along a fixed tree of TreeFanOut over the hall's hosts.
	PolicyTree Policy = "tree"
	// PolicyNaive asks random peers for random chunks, and the origin for
	// chunks that no neighbour has.
	PolicyNaive Policy = "naive-swarm"
)

// TreeFanOut is the number of children in PolicyTree.
const TreeFanOut = 2

// Defaults of a Fetcher.
const (
	DefaultPeerWait    = 2 * time.Second
	DefaultPeerSlots   = 10
	DefaultOriginSlots = 1
	DefaultHallSlots   = 4
	// DefaultNeighbours is the number of hosts whose chunks a host follows.
	DefaultNeighbours = 16
	perPeerSlots      = 2
)

// Fetcher fetches versions for one host. Set the fields before use.
type Fetcher struct {
	Self, Hall string
	Stage      *stage.Stage
	Link       *source.Link
	// Sources are the store and the origin, cheapest first.
	Sources []*source.Source
	// Have asks a peer for the chunks that it gained.
	Have      func(ctx context.Context, peer netip.AddrPort, request *wire.HaveRequest) (*wire.HaveResponse, error)
	Telemetry *telemetry.Telemetry
	Policy    Policy
	// PeerWait varies DefaultPeerWait; 0 takes it.
	PeerWait time.Duration
	// PeerSlots, OriginSlots and HallSlots bound the transfers from peers of
	// the hall, from the store and origin, and from other halls; 0 takes the
	// defaults.
	PeerSlots, OriginSlots, HallSlots int
	// Neighbours varies DefaultNeighbours; 0 takes it.
	Neighbours int
	// Counters of what came from where; nil means nobody counts.
	OnBytes func(from Kind, bytes int64, useful bool)
}

// Kind says where a transfer comes from.
type Kind string

// The kinds of transfer.
const (
	FromPeer   Kind = "peer"   // an agent of the own hall
	FromHall   Kind = "hall"   // an agent of another hall
	FromOrigin Kind = "origin" // the store or origin
)

// SwarmSource returns the present swarm and a channel that closes when it
// changes.
type SwarmSource func() (Swarm, <-chan struct{})

// Manifest fetches a version's manifest, from peers first.
func (f *Fetcher) Manifest(ctx context.Context, version manifest.Digest, swarm Swarm) (*manifest.Manifest, error) {
	var last error
	peers := append([]Peer(nil), swarm.HallHosts...)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(2, len(peers))] {
		if peer.Name == f.Self {
			continue
		}
		data, err := f.Link.FetchPeerManifest(ctx, peer.Address, version)
		if err == nil {
			if m, err := manifest.Decode(data, version); err == nil {
				return m, nil
			}
		}
	}
	for _, from := range f.Sources {
		data, err := from.FetchManifest(ctx, version)
		if err != nil {
			last = err
			continue
		}
		m, err := manifest.Decode(data, version)
		if err == nil {
			return m, nil
		}
		last = fmt.Errorf("manifest %s from %s %s: %w", version.Short(), from.Name, from.Peer, err)
	}
	if last == nil {
		last = fmt.Errorf("manifest %s: no source is configured", version.Short())
	}
	return nil, last
}

// Fetch brings every chunk of a staged version here and verifies the whole. It
// returns when that is done, the context ends or the version is dropped.
func (f *Fetcher) Fetch(ctx context.Context, version *stage.Version, swarm SwarmSource) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := newRun(f, version)
	if err := r.loop(ctx, swarm); err != nil {
		return fmt.Errorf("fetch version %s: %w", version.ID.Short(), err)
	}
	return version.Verify()
}

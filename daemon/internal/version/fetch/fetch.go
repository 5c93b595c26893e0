// Package fetch downloads the chunks of one version to a host, cooperatively
// with all other hosts that need the version. Package install calls it.
//
// Rendezvous hashing over the hosts named in the order assigns each chunk a
// primary in every hall and a first hall, so the origin sends each chunk about
// once without a coordinator. Only the first hall's primary requests the chunk
// from the store or origin; primaries of other halls request it from a primary
// of a hall that ranks higher; all other hosts download chunks from neighbours
// in their hall, rare chunks first.
//
// A fixed timeout for primaries was rejected: a slow origin would look like a
// failed primary to every host, and all of them would send requests to the
// origin at once. A primary that does not respond is skipped. A primary that
// responds but gains no chunk is replaced by the next rank only after no new
// chunk has appeared at this host or its neighbours for an adaptive delay.
//
// One goroutine owns all state of a fetch and starts transfers; transfers and
// polls run in their own goroutines and report on one channel.
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

// Peer is a host that downloads the version.
type Peer struct {
	Name    string
	Hall    string
	Address netip.AddrPort
}

// Swarm lists the hosts that download a version, as named in an order.
type Swarm struct {
	// HallHosts are the hosts of the local hall, including this one, sorted by name.
	HallHosts []Peer
	// Gateways are the hosts of all halls that are eligible as primaries.
	Gateways []Peer
	// Halls are all halls that need the version, including halls without
	// gateways.
	Halls []string
}

// Policy selects the source of each chunk.
type Policy string

// The zero value means PolicySwarm; the other policies are baselines for
// benchmarks.
const (
	PolicySwarm Policy = "swarm"
	// PolicyOriginOnly downloads every chunk from the store or origin.
	PolicyOriginOnly Policy = "origin-only"
	// PolicyTree relays chunks along a fixed tree over the hall's hosts, with
	// TreeFanOut children per host.
	PolicyTree Policy = "tree"
	// PolicyNaive downloads random chunks from random peers, and chunks that no
	// neighbour holds from the origin.
	PolicyNaive Policy = "naive-swarm"
)

// TreeFanOut is the number of children in PolicyTree.
const TreeFanOut = 2

// Defaults of the Fetcher fields of the same names.
const (
	DefaultPeerWait       = 2 * time.Second
	DefaultPeerSlots      = 10
	DefaultOriginSlots    = 1
	DefaultOtherHallSlots = 4
	// DefaultNeighbours is the number of hosts that a host polls for chunks.
	DefaultNeighbours = 16
	transfersPerPeer  = 2
)

// Fetcher fetches versions for one host. Set the fields before use.
type Fetcher struct {
	// Self and Hall are the names of the local host and its hall.
	Self, Hall string
	Stage      *stage.Stage
	Downloader *source.Downloader
	// Sources are the store and the origin, in order of preference.
	Sources []*source.Source
	// Have polls a peer for the chunks that it has gained.
	Have      func(ctx context.Context, peer netip.AddrPort, request *wire.HaveRequest) (*wire.HaveResponse, error)
	Telemetry *telemetry.Telemetry
	Policy    Policy
	// PeerWait is the minimum delay before this host takes over a chunk from
	// its primary, and the time that a primary of another hall may wait for a
	// requested chunk; 0 means DefaultPeerWait.
	PeerWait time.Duration
	// PeerSlots, OriginSlots and OtherHallSlots limit concurrent transfers from
	// peers of the local hall, from the store and origin, and from other halls; 0
	// means the default.
	PeerSlots, OriginSlots, OtherHallSlots int
	// Neighbours is the number of hosts to poll; 0 means DefaultNeighbours.
	Neighbours int
	// OnBytes, if set, is called with the size of each transfer. useful is
	// false if the chunk failed or was already staged.
	OnBytes func(kind SourceKind, bytes int64, useful bool)
}

// SourceKind is the kind of source of a transfer.
type SourceKind string

// The kinds of sources.
const (
	FromPeer      SourceKind = "peer"   // an agent of the local hall
	FromOtherHall SourceKind = "hall"   // an agent of another hall
	FromOrigin    SourceKind = "origin" // the store or origin
)

// SwarmFunc returns the current swarm and a channel that is closed when it
// changes.
type SwarmFunc func() (Swarm, <-chan struct{})

// Manifest downloads a version's manifest, from up to two random peers of the
// hall first and then from the sources.
func (f *Fetcher) Manifest(ctx context.Context, version manifest.Digest, swarm Swarm) (*manifest.Manifest, error) {
	var lastErr error
	peers := append([]Peer(nil), swarm.HallHosts...)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(2, len(peers))] {
		if peer.Name == f.Self {
			continue
		}
		data, err := f.Downloader.FetchPeerManifest(ctx, peer.Address, version)
		if err == nil {
			if m, err := manifest.Decode(data, version); err == nil {
				return m, nil
			}
		}
	}
	for _, src := range f.Sources {
		data, err := src.FetchManifest(ctx, version)
		if err != nil {
			lastErr = err
			continue
		}
		m, err := manifest.Decode(data, version)
		if err == nil {
			return m, nil
		}
		lastErr = fmt.Errorf("manifest %s from %s %s: %w", version.Short(), src.Name, src.Address, err)
	}
	if lastErr == nil {
		lastErr = fmt.Errorf("manifest %s: no store or origin is configured", version.Short())
	}
	return nil, lastErr
}

// Fetch downloads every chunk of a staged version and verifies the digest of
// the complete file. It returns when the version is verified, ctx is done or the
// version is dropped from the stage.
func (f *Fetcher) Fetch(ctx context.Context, version *stage.Version, swarm SwarmFunc) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := newRun(f, version)
	if err := r.loop(ctx, swarm); err != nil {
		return fmt.Errorf("fetch version %s: %w", version.ID.Short(), err)
	}
	return version.Verify()
}

package reconcile

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// peerRetryDelay is the delay before the next query after a peer failed or did not have
	// the manifest, and peerHedgeDelay the time after which a second peer is queried beside
	// one that has not answered.
	peerRetryDelay = 60 * time.Millisecond
	peerHedgeDelay = 100 * time.Millisecond
	// leadStagger is the delay between the origin queries of consecutive hosts among the
	// first leadHosts of the ranking, and backupStagger the delay among all others. Without
	// a stagger well above the origin's response time, some 20 ms, all hosts would query the origin at
	// once, which resets most of the connections.
	leadStagger   = 250 * time.Millisecond
	backupStagger = 25 * time.Millisecond
	leadHosts     = 4
	// minOriginRetry is the minimum delay before one of the first leadHosts queries an origin again that
	// failed, and half of the maximum: an origin that is back is noticed within about 50 ms.
	minOriginRetry = 100 * time.Millisecond
	// rankingInterval is the interval in which a lookup reads the ranking again.
	rankingInterval = 500 * time.Millisecond
)

// ManifestLookup looks up the manifest of a version. All hosts compute the same ranking for a
// version. The first host queries the origin at once and each following one a while later,
// so that the origin is queried about once and never by all hosts together. Until its delay
// has passed a host queries its peers: the first hosts of the ranking, and between them
// random hosts, through which the manifest spreads. The exported fields but Rejected must be set.
//
// An answer of the origin may be corrupted, and nothing but the chunks shows that a digest is wrong. By then
// other hosts have the manifest, so a host that has found it wrong takes it from none of them. Waiting for two
// answers of the origin that agree was rejected: while the origin is busy, versions are complete a second later.
type ManifestLookup struct {
	// Self is this host, and Ranking returns all hosts that should have the version, best first. They
	// need not include Self.
	Self    netip.AddrPort
	Ranking func() []netip.AddrPort
	// QueryPeer and QueryOrigin make one call each and return the manifest unverified. If QueryOrigin is nil,
	// only peers are queried.
	QueryPeer   func(ctx context.Context, peer netip.AddrPort) (provider.Manifest, error)
	QueryOrigin func(ctx context.Context) (provider.Manifest, error)
	// Check validates a manifest against the declared version.
	Check func(provider.Manifest) error
	// Rejected is a manifest that the origin's chunks did not match, nil if there was none. Peers that have not
	// found it wrong yet still send it. The origin may send it again, since its chunks may have been corrupted.
	Rejected *provider.Manifest
	// OnOriginFailure is called when a query to the origin has failed. The lookup goes on.
	OnOriginFailure func(error)

	// queries counts the queries to peers, and pending holds the peers that have not
	// answered.
	queries int
	pending map[netip.AddrPort]bool
	// ranking is the last result of Ranking, which was called at rankedAt.
	ranking  []netip.AddrPort
	rankedAt time.Time
}

// LookupResult is a manifest and how it was found.
type LookupResult struct {
	Manifest provider.Manifest
	// From is the address of the host that sent it, or swarm.FromOrigin.
	From string
	// PeerQueries is the number of queries to peers.
	PeerQueries int
}

// queryResult is the result of one query. Its peer is invalid if the origin was queried.
type queryResult struct {
	peer     netip.AddrPort
	manifest provider.Manifest
	err      error
}

func (r queryResult) source() string {
	if r.peer.IsValid() {
		return r.peer.String()
	}
	return swarm.FromOrigin
}

// Find returns the first valid manifest. It fails if the origin no longer sends the version or the
// context ends. While the origin fails, the first hosts of the ranking query it again at short
// intervals and the others at long ones, so that its recovery is noticed at once although few hosts query
// it. A lookup that ended at each failure would start again with the delays of a new version.
func (l *ManifestLookup) Find(ctx context.Context) (LookupResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.pending = map[netip.AddrPort]bool{}
	results := make(chan queryResult)
	l.refreshRanking()
	originTimer := time.NewTimer(l.originDelay())
	defer originTimer.Stop()
	if l.QueryOrigin == nil {
		originTimer.Stop()
	}
	peerTimer := time.NewTimer(0)
	defer peerTimer.Stop()
	for {
		select {
		case <-originTimer.C:
			go l.query(ctx, results, netip.AddrPort{})
		case <-peerTimer.C:
			if peer, ok := l.nextPeer(); ok {
				l.pending[peer] = true
				go l.query(ctx, results, peer)
			}
			peerTimer.Reset(peerHedgeDelay)
		case r := <-results:
			switch {
			case r.err == nil:
				return LookupResult{Manifest: r.manifest, From: r.source(), PeerQueries: l.queries}, nil
			case r.peer.IsValid():
				delete(l.pending, r.peer)
				peerTimer.Reset(peerRetryDelay)
			case errors.Is(r.err, provider.ErrSuperseded):
				return LookupResult{}, r.err
			default:
				l.OnOriginFailure(r.err)
				originTimer.Reset(l.originRetryDelay())
			}
		case <-ctx.Done():
			return LookupResult{}, fmt.Errorf("look up manifest: %w", ctx.Err())
		}
	}
}

var errRejected = errors.New("manifest: the chunks of the origin did not match it")

// query makes one call, to the origin if the peer is invalid, and sends the result unless
// the lookup has ended.
func (l *ManifestLookup) query(ctx context.Context, results chan<- queryResult, peer netip.AddrPort) {
	callCtx, cancel := context.WithTimeout(ctx, swarm.ManifestTimeout)
	defer cancel()
	r := queryResult{peer: peer}
	if peer.IsValid() {
		r.manifest, r.err = l.QueryPeer(callCtx, peer)
	} else {
		r.manifest, r.err = l.QueryOrigin(callCtx)
	}
	if r.err == nil {
		r.err = l.Check(r.manifest)
	}
	if r.err == nil && peer.IsValid() && l.Rejected != nil && l.Rejected.Equal(r.manifest) {
		r.err = errRejected
	}
	select {
	case results <- r:
	case <-ctx.Done():
	}
}

// originDelay returns how long this host waits before it queries the origin.
func (l *ManifestLookup) originDelay() time.Duration {
	rank := l.rank()
	leads := min(rank, leadHosts)
	return time.Duration(leads)*leadStagger + time.Duration(rank-leads)*backupStagger
}

// originRetryDelay returns how long this host waits before it queries the origin again after a failure.
func (l *ManifestLookup) originRetryDelay() time.Duration {
	if l.rank() < leadHosts {
		return minOriginRetry + rand.N(minOriginRetry)
	}
	return l.originDelay() + rand.N(maxRetryDelay)
}

// rank returns this host's rank, or the number of hosts if it is not among them.
func (l *ManifestLookup) rank() int {
	if rank := slices.Index(l.ranking, l.Self); rank >= 0 {
		return rank
	}
	return len(l.ranking)
}

// refreshRanking reads the ranking again if it is old: a lookup may last as long as an outage.
func (l *ManifestLookup) refreshRanking() {
	if now := clock.Now(); l.rankedAt.IsZero() || now.Sub(l.rankedAt) > rankingInterval {
		l.ranking, l.rankedAt = l.Ranking(), now
	}
}

// nextPeer returns the next peer to query, or false if every candidate is still pending.
// A lead host cycles through the other lead hosts, so that it learns of the manifest before
// it queries the origin itself. Other hosts alternate between a lead host and a random one.
func (l *ManifestLookup) nextPeer() (netip.AddrPort, bool) {
	l.refreshRanking()
	leads := l.ranking[:min(leadHosts, len(l.ranking))]
	round, anyHost := l.queries, false
	if !slices.Contains(leads, l.Self) {
		round, anyHost = l.queries/2, l.queries%2 == 1
	}
	l.queries++
	if anyHost {
		return l.pick(l.ranking, rand.Int())
	}
	return l.pick(leads, round)
}

// pick returns the host at an index, modulo their number, among the hosts without a pending
// query.
func (l *ManifestLookup) pick(hosts []netip.AddrPort, index int) (netip.AddrPort, bool) {
	idle := slices.DeleteFunc(slices.Clone(hosts), func(host netip.AddrPort) bool {
		return host == l.Self || l.pending[host]
	})
	if len(idle) == 0 {
		return netip.AddrPort{}, false
	}
	return idle[index%len(idle)], true
}

// checkManifest validates a manifest against the plan.
func checkManifest(manifest provider.Manifest, plan Plan) error {
	switch {
	case manifest.Version != plan.Goal.Version:
		return fmt.Errorf("manifest: version: got %d, requested %d", manifest.Version, plan.Goal.Version)
	case len(manifest.Digests) != plan.Chunks:
		return fmt.Errorf("manifest: digests: got %d, the configuration declares %d chunks", len(manifest.Digests), plan.Chunks)
	case manifest.ChunkBytes != plan.ChunkBytes:
		return fmt.Errorf("manifest: chunk bytes: got %d, the configuration declares %d", manifest.ChunkBytes, plan.ChunkBytes)
	}
	return nil
}

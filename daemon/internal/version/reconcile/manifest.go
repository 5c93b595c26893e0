package reconcile

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// manifestTimeout bounds a call for a manifest.
	manifestTimeout = 700 * time.Millisecond
	// peerRetryDelay is the delay before the next query after a peer failed or did not have
	// the manifest, and peerHedgeDelay the time after which a second peer is queried beside
	// one that has not answered.
	peerRetryDelay = 60 * time.Millisecond
	peerHedgeDelay = 100 * time.Millisecond
	// leadStagger is the delay between the origin queries of consecutive hosts among the
	// first leadHosts of the ranking, and backupStagger the delay among all others. Without
	// a stagger well above the origin's response time all hosts would query the origin at
	// once, which resets most of the connections.
	leadStagger   = 250 * time.Millisecond
	backupStagger = 25 * time.Millisecond
	leadHosts     = 4
)

// Inquiry looks up the manifest of a version. All hosts compute the same ranking for a
// version. The first host queries the origin at once and each following one a while later,
// so that the origin is queried about once and never by all hosts together. Until its delay
// has passed a host queries its peers: the first hosts of the ranking, and between them
// random hosts, through which the manifest spreads. The exported fields must be set.
type Inquiry struct {
	// Own is this host, and Ranked all hosts that should have the version, best first. It
	// need not include Own.
	Own    netip.AddrPort
	Ranked []netip.AddrPort
	// AskPeer and AskOrigin make one call each and return the manifest unverified.
	AskPeer   func(ctx context.Context, peer netip.AddrPort) (provider.Manifest, error)
	AskOrigin func(ctx context.Context) (provider.Manifest, error)
	// Check validates a manifest against the declared version.
	Check func(provider.Manifest) error

	// queries counts the queries to peers, and pending holds the peers that have not
	// answered.
	queries int
	pending map[netip.AddrPort]bool
}

// Found is the result of a lookup.
type Found struct {
	Manifest provider.Manifest
	// From is the address of the host that sent it, or swarm.FromOrigin.
	From string
	// Asked is the number of queries to peers.
	Asked int
}

// reply is the result of one query. Its peer is invalid where the origin was queried.
type reply struct {
	peer     netip.AddrPort
	manifest provider.Manifest
	err      error
}

func (r reply) source() string {
	if r.peer.IsValid() {
		return r.peer.String()
	}
	return swarm.FromOrigin
}

// Find returns the first valid manifest. It fails where the origin fails or the context
// ends.
func (q *Inquiry) Find(ctx context.Context) (Found, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q.pending = map[netip.AddrPort]bool{}
	replies := make(chan reply)
	originTimer := time.NewTimer(q.originDelay())
	defer originTimer.Stop()
	peerTimer := time.NewTimer(0)
	defer peerTimer.Stop()
	for {
		select {
		case <-originTimer.C:
			go q.query(ctx, replies, netip.AddrPort{})
		case <-peerTimer.C:
			if peer, ok := q.nextPeer(); ok {
				q.pending[peer] = true
				go q.query(ctx, replies, peer)
			}
			peerTimer.Reset(peerHedgeDelay)
		case r := <-replies:
			if r.err == nil {
				return Found{Manifest: r.manifest, From: r.source(), Asked: q.queries}, nil
			}
			if !r.peer.IsValid() {
				return Found{}, r.err
			}
			delete(q.pending, r.peer)
			peerTimer.Reset(peerRetryDelay)
		case <-ctx.Done():
			return Found{}, fmt.Errorf("look up manifest: %w", ctx.Err())
		}
	}
}

// query makes one call, to the origin where the peer is invalid, and sends the reply unless
// the lookup has ended.
func (q *Inquiry) query(ctx context.Context, replies chan<- reply, peer netip.AddrPort) {
	callCtx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	r := reply{peer: peer}
	if peer.IsValid() {
		r.manifest, r.err = q.AskPeer(callCtx, peer)
	} else {
		r.manifest, r.err = q.AskOrigin(callCtx)
	}
	if r.err == nil {
		r.err = q.Check(r.manifest)
	}
	select {
	case replies <- r:
	case <-ctx.Done():
	}
}

// originDelay returns how long this host waits before it queries the origin.
func (q *Inquiry) originDelay() time.Duration {
	rank := slices.Index(q.Ranked, q.Own)
	if rank < 0 {
		rank = len(q.Ranked)
	}
	leads := min(rank, leadHosts)
	return time.Duration(leads)*leadStagger + time.Duration(rank-leads)*backupStagger
}

// nextPeer returns the next peer to query, or false where every candidate is still pending.
// A lead host cycles through the other lead hosts, so that it learns of the manifest before
// it queries the origin itself. Other hosts alternate between a lead host and a random one.
func (q *Inquiry) nextPeer() (netip.AddrPort, bool) {
	leads := q.Ranked[:min(leadHosts, len(q.Ranked))]
	round, anyHost := q.queries, false
	if !slices.Contains(leads, q.Own) {
		round, anyHost = q.queries/2, q.queries%2 == 1
	}
	q.queries++
	if anyHost {
		return q.pick(q.Ranked, rand.Int())
	}
	return q.pick(leads, round)
}

// pick returns the host at an index, modulo their number, among the hosts without a pending
// query.
func (q *Inquiry) pick(hosts []netip.AddrPort, index int) (netip.AddrPort, bool) {
	idle := slices.DeleteFunc(slices.Clone(hosts), func(host netip.AddrPort) bool {
		return host == q.Own || q.pending[host]
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

package keep

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
	// manifestAgain is the pause after a host that does not know the manifest, and
	// manifestSlow the time after which another host is asked beside a silent one.
	manifestAgain = 60 * time.Millisecond
	manifestSlow  = 100 * time.Millisecond
	// originStep is how much later than the host before it each of the first
	// manifestHosts hosts asks the origin, and laterStep the same for all others.
	// Several times what the origin takes for an answer, which is some 20 ms; asked by
	// all hosts at once it resets most connections.
	originStep    = 250 * time.Millisecond
	laterStep     = 25 * time.Millisecond
	manifestHosts = 4
)

// Inquiry finds the manifest of a version. For each version all hosts have the same
// ranking. The first asks the origin at once, and each of the next a while later, so
// that the origin is asked about once and never by all. Until its turn has come a host
// asks others: those that are first, and any others in between, which spread what they
// know. The exported fields must be set.
type Inquiry struct {
	// Own is this host, and Ranked all that are to have the version, this one
	// included or not.
	Own    netip.AddrPort
	Ranked []netip.AddrPort
	// AskPeer and AskOrigin ask once; what they return was not checked.
	AskPeer   func(ctx context.Context, peer netip.AddrPort) (provider.Manifest, error)
	AskOrigin func(ctx context.Context) (provider.Manifest, error)
	// Check compares a manifest with what was declared and asked for.
	Check func(provider.Manifest) error

	// asked counts the questions to other hosts, and open are those without an answer.
	asked int
	open  map[netip.AddrPort]bool
}

// Found is a manifest and how it was found.
type Found struct {
	Manifest provider.Manifest
	// From is the host that had it, or swarm.FromOrigin.
	From string
	// Asked is how many questions went to other hosts.
	Asked int
}

// answer is what one question led to. Peer is not valid where the origin was asked.
type answer struct {
	peer     netip.AddrPort
	manifest provider.Manifest
	err      error
}

func (a answer) from() string {
	if a.peer.IsValid() {
		return a.peer.String()
	}
	return swarm.FromOrigin
}

// Find asks until there is a manifest, the origin fails, or the context ends.
func (q *Inquiry) Find(ctx context.Context) (Found, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q.open = map[netip.AddrPort]bool{}
	answers := make(chan answer)
	turn := time.NewTimer(q.originTurn())
	defer turn.Stop()
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-turn.C:
			go q.ask(ctx, answers, netip.AddrPort{})
		case <-next.C:
			if peer, ok := q.nextPeer(); ok {
				q.open[peer] = true
				go q.ask(ctx, answers, peer)
			}
			next.Reset(manifestSlow)
		case a := <-answers:
			if a.err == nil {
				return Found{Manifest: a.manifest, From: a.from(), Asked: q.asked}, nil
			}
			if !a.peer.IsValid() {
				return Found{}, a.err
			}
			delete(q.open, a.peer)
			next.Reset(manifestAgain)
		case <-ctx.Done():
			return Found{}, fmt.Errorf("look for a manifest: %w", ctx.Err())
		}
	}
}

// ask asks once, the origin where the peer is not valid, and hands the answer over
// unless nobody waits for it any more.
func (q *Inquiry) ask(ctx context.Context, answers chan<- answer, peer netip.AddrPort) {
	limited, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	a := answer{peer: peer}
	if peer.IsValid() {
		a.manifest, a.err = q.AskPeer(limited, peer)
	} else {
		a.manifest, a.err = q.AskOrigin(limited)
	}
	if a.err == nil {
		a.err = q.Check(a.manifest)
	}
	select {
	case answers <- a:
	case <-ctx.Done():
	}
}

// originTurn is when it falls to this host to ask the origin.
func (q *Inquiry) originTurn() time.Duration {
	rank := slices.Index(q.Ranked, q.Own)
	if rank < 0 {
		rank = len(q.Ranked)
	}
	early := min(rank, manifestHosts)
	return time.Duration(early)*originStep + time.Duration(rank-early)*laterStep
}

// nextPeer chooses a host to ask next, and reports false where there is none. One of
// the first hosts asks these in turn, so that it hears of the manifest before its own
// turn comes; others ask by turns one of them and any host.
func (q *Inquiry) nextPeer() (netip.AddrPort, bool) {
	first := q.Ranked[:min(manifestHosts, len(q.Ranked))]
	round, anyHost := q.asked, false
	if !slices.Contains(first, q.Own) {
		round, anyHost = q.asked/2, q.asked%2 == 1
	}
	q.asked++
	if anyHost {
		return q.pick(q.Ranked, rand.Int())
	}
	return q.pick(first, round)
}

// pick returns the host at a place among those that owe no answer, counted around.
func (q *Inquiry) pick(hosts []netip.AddrPort, place int) (netip.AddrPort, bool) {
	free := slices.DeleteFunc(slices.Clone(hosts), func(host netip.AddrPort) bool {
		return host == q.Own || q.open[host]
	})
	if len(free) == 0 {
		return netip.AddrPort{}, false
	}
	return free[place%len(free)], true
}

// checkManifest compares a manifest with what was declared and asked for.
func checkManifest(manifest provider.Manifest, plan Plan) error {
	switch {
	case manifest.Version != plan.Goal.Version:
		return fmt.Errorf("manifest: version: %d where %d was asked for", manifest.Version, plan.Goal.Version)
	case len(manifest.Digests) != plan.Chunks:
		return fmt.Errorf("manifest: digests: %d where the configuration declares %d chunks", len(manifest.Digests), plan.Chunks)
	case manifest.ChunkBytes != plan.ChunkBytes:
		return fmt.Errorf("manifest: chunk bytes: %d where the configuration declares %d", manifest.ChunkBytes, plan.ChunkBytes)
	}
	return nil
}

package peering

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
)

const (
	// pullEvery is the interval between calls while the store is silent.
	pullEvery = 300 * time.Millisecond
	// pullSlowest is the longest pause between calls for a whole copy that failed, drawn at
	// random: all routers of a hall that starts may ask over the same link between regions.
	pullSlowest = 3 * time.Second
)

// Puller asks peers while the store does not answer.
type Puller struct {
	Client *http.Client
	// Follower is the one whose copy is kept up; the store is silent to it.
	Follower *replica.Follower
	// Peer returns the peer to ask now; false for none.
	Peer func() (netip.AddrPort, bool)
	// First is the prefix that is asked for before all else while nothing is known: that of
	// the routers of the own hall, whose copies are nearer. It may be empty.
	First string
	// Needed reports whether the store has been silent for too long.
	Needed func() bool
	// OnPull is called after each call. It may be nil.
	OnPull func(peer netip.AddrPort, fresh int, err error)

	// hasFirst says that a peer told what it has under First.
	hasFirst bool
	tomb     tomb.Tomb
}

// Start begins to watch for silence; Stop ends it.
func (p *Puller) Start() { p.tomb.Go(p.run) }

// Stop ends the puller and waits for it.
func (p *Puller) Stop() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
}

func (p *Puller) run() error {
	ctx := p.tomb.Context(nil) //nolint:staticcheck // nil asks the tomb for its own context
	pause := pullEvery
	for helpers.Pause(pause, p.tomb.Dying()) {
		pause = pullEvery
		if !p.Needed() {
			continue
		}
		peer, ok := p.Peer()
		if !ok {
			continue
		}
		if err := p.ask(ctx, peer); err != nil && p.Follower.Revision() == 0 {
			pause += rand.N(pullSlowest)
		}
	}
	return nil
}

// ask asks one peer for what is to be known next.
func (p *Puller) ask(ctx context.Context, peer netip.AddrPort) error {
	if p.First != "" && !p.hasFirst && p.Follower.Revision() == 0 {
		return p.pullFirst(ctx, peer)
	}
	return p.pull(ctx, peer)
}

// pullFirst asks one peer for what it has under First. That is no copy of the store, so
// nothing is complete by it.
func (p *Puller) pullFirst(ctx context.Context, peer netip.AddrPort) error {
	news, err := ask(ctx, p.Client, peer, question{prefix: p.First, packed: true})
	fresh := 0
	if err == nil {
		fresh = p.Follower.Table.Apply(news.Entries)
		p.hasFirst = news.Revision > 0
	}
	p.tell(peer, fresh, err)
	return err
}

// pull asks one peer for what is above the revision up to which the copy is
// complete. The highest revision that is known would not do: a copy that has it may
// lack older ones.
func (p *Puller) pull(ctx context.Context, peer netip.AddrPort) error {
	news, err := ask(ctx, p.Client, peer, question{prefix: p.Follower.Prefix, after: p.Follower.Revision(), packed: true})
	fresh := 0
	if err == nil {
		fresh = p.Follower.ApplyUpdate(news)
	}
	p.tell(peer, fresh, err)
	return err
}

func (p *Puller) tell(peer netip.AddrPort, fresh int, err error) {
	if p.OnPull != nil {
		p.OnPull(peer, fresh, err)
	}
}

// Choose returns one of some peers, by chance. Most times it is one of the near ones, whose
// links are wide: once of farOneOf it is one of the far ones.
func Choose(near, far []netip.AddrPort, farOneOf int) (netip.AddrPort, bool) {
	from := far
	if len(near) > 0 && (len(far) == 0 || rand.IntN(farOneOf) > 0) {
		from = near
	}
	if len(from) == 0 {
		return netip.AddrPort{}, false
	}
	return from[rand.IntN(len(from))], true
}

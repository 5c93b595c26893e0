package peering

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
)

// pullEvery is the interval between calls while the store is silent.
const pullEvery = 300 * time.Millisecond

// Puller asks peers while the store does not answer.
type Puller struct {
	Client *http.Client
	// Follower is the one whose copy is kept up; the store is silent to it.
	Follower *mirror.Follower
	// Peer returns the peer to ask now; false for none.
	Peer func() (netip.AddrPort, bool)
	// Needed reports whether the store has been silent for too long.
	Needed func() bool
	// OnPull is called after each call. It may be nil.
	OnPull func(peer netip.AddrPort, fresh int, err error)

	tomb tomb.Tomb
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
	for helpers.Pause(pullEvery, p.tomb.Dying()) {
		if !p.Needed() {
			continue
		}
		if peer, ok := p.Peer(); ok {
			p.pull(ctx, peer)
		}
	}
	return nil
}

// pull asks one peer for what is above the revision up to which the copy is
// complete. The highest revision that is known would not do: a copy that has it may
// lack older ones.
func (p *Puller) pull(ctx context.Context, peer netip.AddrPort) {
	news, err := ask(ctx, p.Client, peer, question{prefix: p.Follower.Prefix, after: p.Follower.At()})
	fresh := 0
	if err == nil {
		fresh = p.Follower.Adopt(news)
	}
	if p.OnPull != nil {
		p.OnPull(peer, fresh, err)
	}
}

// Choose returns one of some peers, by chance: three times of four one of the near
// ones, whose links are wide.
func Choose(near, far []netip.AddrPort) (netip.AddrPort, bool) {
	const nearOf, of = 3, 4
	from := far
	if len(near) > 0 && (len(far) == 0 || rand.IntN(of) < nearOf) {
		from = near
	}
	if len(from) == 0 {
		return netip.AddrPort{}, false
	}
	return from[rand.IntN(len(from))], true
}

package peering

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/backoff"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/call"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/readers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// NewsWait is how long a neighbour holds its answer while there is no news. It bounds
// how long one that froze stays unnoticed.
const NewsWait = replica.HopWait

const (
	// wholeWait is NewsWait for the whole copy, of one that may just be starting.
	wholeWait = time.Second
	// muteFor is how long a neighbour is not asked that did not answer, or has not
	// heard the store for too long.
	muteFor = 2 * time.Second
	// muteStarting is the same for one that is not up yet or knows nothing yet. It
	// says so within milliseconds, so that asking it again soon costs little; after a
	// loss of power all of a hall start together.
	muteStarting = 250 * time.Millisecond
)

// errStarting says that a neighbour knows nothing yet.
var errStarting = fmt.Errorf("it knows nothing yet: %w", replica.ErrStale)

// Neighbours asks daemons of the own hall in place of the store, for one follower.
// Client and Choose must be set.
type Neighbours struct {
	Client *http.Client
	// Choose returns the daemon to ask, among those that are usable; false where the
	// store is to be read.
	Choose func(usable func(netip.AddrPort) bool) (netip.AddrPort, bool)
	// Hold reports, where Choose has none, whether the store is to be left alone for now.
	// Nil means never.
	Hold func() bool
	// OnMute is called when a neighbour is not asked for a while. It may be nil.
	OnMute func(neighbour netip.AddrPort, reason error)
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	// muted are the neighbours that are not asked for a while, behind those of them that
	// answered.
	muted, behind backoff.List
	// followed is the neighbour whose whole copy was taken last, and generation that
	// copy's. Only News touches them, which one follower calls.
	followed   netip.AddrPort
	generation uint64
}

// News asks a neighbour for what its copy has under a prefix above a revision. It
// asks for all of it where that is 0, and where the neighbour's copy was read anew
// since all of it was taken last, or never was: it may have entries then that are
// below the revision and were missed by this daemon as by the one it followed before.
func (n *Neighbours) News(ctx context.Context, prefix string, after provider.Revision) (replica.Update, error) {
	neighbour, ok := n.Choose(n.usable)
	switch {
	case ok:
	case n.Hold != nil && n.Hold():
		return replica.Update{}, replica.ErrWait
	default:
		return replica.Update{}, replica.ErrNoPeer
	}
	if neighbour != n.followed {
		after = 0
	}
	news, err := n.ask(ctx, neighbour, prefix, after)
	if err == nil && after > 0 && news.Generation != n.generation {
		news, err = n.ask(ctx, neighbour, prefix, 0)
	}
	if err == nil && news.After == 0 {
		n.followed, n.generation = neighbour, news.Generation
	}
	return news, n.judge(ctx, neighbour, err)
}

func (n *Neighbours) ask(ctx context.Context, neighbour netip.AddrPort, prefix string, after provider.Revision) (replica.Update, error) {
	asked := question{prefix: prefix, after: after, wait: NewsWait, packed: true}
	if after == 0 {
		asked.wait = wholeWait
	}
	news, err := ask(ctx, n.Client, neighbour, asked)
	if err == nil && news.Revision == 0 {
		return news, fmt.Errorf("neighbour %s: %w", neighbour, errStarting)
	}
	if err == nil && news.Stale() {
		err = fmt.Errorf("neighbour %s, heard it %s ago: %w", neighbour, news.SinceData.Round(time.Millisecond), replica.ErrStale)
	}
	return news, err
}

// Engine asks a neighbour what the configuration says of an engine's service.
func (n *Neighbours) Engine(ctx context.Context, service string) (EngineNews, error) {
	neighbour, ok := n.Choose(n.usable)
	if !ok {
		return EngineNews{}, replica.ErrNoPeer
	}
	news, err := askEngine(ctx, n.Client, neighbour, service)
	return news, n.judge(ctx, neighbour, err)
}

// judge mutes a neighbour that failed, unless it was the caller that gave up.
func (n *Neighbours) judge(ctx context.Context, neighbour netip.AddrPort, err error) error {
	if err == nil || ctx.Err() != nil {
		return err
	}
	n.muted.Add(neighbour, muteTime(err), n.Now)
	if errors.Is(err, replica.ErrStale) {
		n.behind.Add(neighbour, muteTime(err), n.Now)
	}
	if n.OnMute != nil {
		n.OnMute(neighbour, err)
	}
	return err
}

// muteTime is how long a neighbour that failed is not asked.
func muteTime(err error) time.Duration {
	var status *call.StatusError
	unavailable := errors.As(err, &status) && status.Status == http.StatusServiceUnavailable
	if unavailable || errors.Is(err, errStarting) || errors.Is(err, syscall.ECONNREFUSED) {
		return muteStarting
	}
	return muteFor
}

// State is what is known of a neighbour.
func (n *Neighbours) State(neighbour netip.AddrPort) readers.State {
	switch {
	case !n.muted.Has(neighbour, n.Now):
		return readers.Usable
	case n.behind.Has(neighbour, n.Now):
		return readers.Stale
	default:
		return readers.Unreachable
	}
}

// usable reports whether a neighbour may be asked now.
func (n *Neighbours) usable(neighbour netip.AddrPort) bool { return !n.muted.Has(neighbour, n.Now) }

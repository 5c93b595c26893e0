package peering

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// NewsWait is how long a neighbour holds its answer while there is no news. It bounds
// how long one that froze stays unnoticed.
const NewsWait = 500 * time.Millisecond

const (
	// wholeWait is NewsWait for the whole copy, of one that may just be starting.
	wholeWait = time.Second
	// muteFor is how long a neighbour is not asked that did not answer, or has not
	// heard the store for too long.
	muteFor = 2 * time.Second
)

// ErrBehind says that a neighbour does not hear the store itself.
var ErrBehind = errors.New("it has not heard the store for too long")

// Neighbours asks daemons of the own hall in place of the store. Client and Choose
// must be set.
type Neighbours struct {
	Client *http.Client
	// Choose returns the daemon to ask, among those that are usable; false where the
	// store is to be read.
	Choose func(usable func(netip.AddrPort) bool) (netip.AddrPort, bool)
	// OnMute is called when a neighbour is not asked for a while. It may be nil.
	OnMute func(neighbour netip.AddrPort, reason error)
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu sync.Mutex
	// muted holds until when neighbours are not asked.
	muted map[netip.AddrPort]time.Time
}

// News asks a neighbour for what its copy has under a prefix above a revision, all
// of it where that is 0.
func (n *Neighbours) News(ctx context.Context, prefix string, after provider.Revision) (mirror.News, error) {
	asked := question{prefix: prefix, after: after, wait: NewsWait}
	if after == 0 {
		asked.wait = wholeWait
	}
	neighbour, ok := n.Choose(n.usable)
	if !ok {
		return mirror.News{}, mirror.ErrNoneNear
	}
	news, err := ask(ctx, n.Client, neighbour, asked)
	if err == nil && (news.At == 0 || news.Behind()) {
		err = fmt.Errorf("neighbour %s, heard it %s ago: %w", neighbour, news.Heard.Round(time.Millisecond), ErrBehind)
	}
	return news, n.judge(ctx, neighbour, err)
}

// Engine asks a neighbour what the configuration says of an engine's service.
func (n *Neighbours) Engine(ctx context.Context, service string) (EngineNews, error) {
	neighbour, ok := n.Choose(n.usable)
	if !ok {
		return EngineNews{}, mirror.ErrNoneNear
	}
	news, err := askEngine(ctx, n.Client, neighbour, service)
	return news, n.judge(ctx, neighbour, err)
}

// judge mutes a neighbour that failed, unless it was the caller that gave up.
func (n *Neighbours) judge(ctx context.Context, neighbour netip.AddrPort, err error) error {
	if err == nil || ctx.Err() != nil {
		return err
	}
	n.mu.Lock()
	if n.muted == nil {
		n.muted = map[netip.AddrPort]time.Time{}
	}
	n.muted[neighbour] = helpers.Now(n.Now).Add(muteFor)
	n.mu.Unlock()
	if n.OnMute != nil {
		n.OnMute(neighbour, err)
	}
	return err
}

func (n *Neighbours) usable(neighbour netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	until, ok := n.muted[neighbour]
	if ok && !helpers.Now(n.Now).Before(until) {
		delete(n.muted, neighbour)
		return true
	}
	return !ok
}

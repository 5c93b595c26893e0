package loader

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/schedule"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// roster lists the loaders of one view. It is computed once per view, because each round of
// the reconciliation reads it.
type roster struct {
	// view and settings are the inputs that the roster was computed from.
	view     *replica.View
	settings *settings.Loader
	// hosts holds the loaders of all engines of the service.
	hosts []swarm.Host
	// names holds the loaders' addresses as text, with this loader's first.
	names []string

	mu sync.Mutex
	// ranks caches this loader's rank among the names, by key.
	ranks map[string]int
}

// roster returns the roster of the newest view.
func (p *Process) roster() *roster {
	view, current := p.compiler.View(), p.current.Load()
	if cached := p.cachedRoster.Load(); cached != nil && cached.view == view && cached.settings == current {
		return cached
	}
	r := newRoster(view, current)
	p.cachedRoster.Store(r)
	return r
}

func newRoster(view *replica.View, current *settings.Loader) *roster {
	own := current.Listen.Peers
	r := &roster{view: view, settings: current, names: []string{own.String()}, ranks: map[string]int{}}
	for _, upstream := range view.Upstreams[current.Service] {
		// All loaders listen on the same port.
		host := swarm.Host{Address: netip.AddrPortFrom(upstream.Address.Addr(), own.Port()), Hall: upstream.Hall}
		if slices.Contains(r.hosts, host) {
			continue
		}
		r.hosts = append(r.hosts, host)
		if host.Address != own {
			r.names = append(r.names, host.Address.String())
		}
	}
	return r
}

// inHall reports whether the loader with an address, as text, is in a hall.
func (r *roster) inHall(loader, hall string) bool {
	return slices.ContainsFunc(r.hosts, func(host swarm.Host) bool {
		return host.Hall == hall && host.Address.String() == loader
	})
}

// rank returns this loader's rank in the order in which hosts load the version that key names.
func (r *roster) rank(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	rank, ok := r.ranks[key]
	if !ok {
		rank = schedule.Rank(key, r.names[0], r.names)
		r.ranks[key] = rank
	}
	return rank
}

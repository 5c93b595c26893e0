package loader

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/turn"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// roster is the loaders of one view. It is worked out once a view, because each
// look at the engine asks for it.
type roster struct {
	// view and settings are what the roster was worked out from.
	view     *replica.View
	settings *settings.Loader
	// hosts are the loaders of all engines of the service, by the hosts' addresses.
	hosts []swarm.Host
	// names are the loaders' addresses as text, the own first.
	names []string

	mu sync.Mutex
	// places are this loader's among the names, by key.
	places map[string]int
}

// roster returns the one of the newest view.
func (p *Process) roster() *roster {
	view, current := p.compiler.View(), p.current.Load()
	if known := p.listed.Load(); known != nil && known.view == view && known.settings == current {
		return known
	}
	made := newRoster(view, current)
	p.listed.Store(made)
	return made
}

func newRoster(view *replica.View, current *settings.Loader) *roster {
	own := current.Listen.Peers
	r := &roster{view: view, settings: current, names: []string{own.String()}, places: map[string]int{}}
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

// inHall reports whether a loader, by its address as text, stands in a hall.
func (r *roster) inHall(loader, hall string) bool {
	return slices.ContainsFunc(r.hosts, func(host swarm.Host) bool {
		return host.Hall == hall && host.Address.String() == loader
	})
}

// place is this loader's place in the order of turns of a key.
func (r *roster) place(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	place, ok := r.places[key]
	if !ok {
		place = turn.Place(key, r.names[0], r.names)
		r.places[key] = place
	}
	return place
}

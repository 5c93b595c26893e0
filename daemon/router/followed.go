package router

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// maxFollowed is how many loaders a router follows at most in its own hall, and in all
	// but for leastOthers of other halls. Engines beyond these are asked for a place when one
	// is needed. A feed shares its lines among its readers and holds a connection for each,
	// and without a bound its readers are all routers of the hall.
	maxFollowed = 32
	leastOthers = 8
)

// followed chooses the loaders whose loads a router follows: those of its hall first, and
// where there are many a part of them by a ranking of the router's own, so that each loader
// has as many readers as any other. Following all of a large fleet would cost each router
// more than the requests do.
func followed(engines []*provider.Upstream, hall, name string, port uint16) []netip.AddrPort {
	own, others := map[string]netip.AddrPort{}, map[string]netip.AddrPort{}
	for _, engine := range engines {
		loader := netip.AddrPortFrom(engine.Address.Addr(), port)
		if engine.Hall == hall {
			own[loader.String()] = loader
		} else {
			others[loader.String()] = loader
		}
	}
	result := firstOf(own, maxFollowed, name)
	return append(result, firstOf(others, max(leastOthers, maxFollowed-len(own)), name)...)
}

// firstOf returns the first of some loaders in a router's own ranking.
func firstOf(loaders map[string]netip.AddrPort, most int, router string) []netip.AddrPort {
	ranked := rendezvous.Rank("loads for "+router, slices.Collect(maps.Keys(loaders)))
	var first []netip.AddrPort
	for _, loader := range ranked[:min(len(ranked), most)] {
		first = append(first, loaders[loader])
	}
	return first
}

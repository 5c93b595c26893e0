package router

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// maxLoadFeeds bounds the loaders that a router follows in its own hall. In other halls it
	// follows as many as remain within that bound, and at least minRemoteFeeds. Any other loader
	// is queried for a place when one is needed. A feed holds a connection for each reader and
	// shares its reports among them, and without a bound every router of the hall would read
	// every feed.
	maxLoadFeeds   = 32
	minRemoteFeeds = 8
)

// chooseLoadFeeds returns the loaders whose load feeds a router follows: those of its own hall
// first. Where there are too many it takes a part of them by rendezvous hashing on the router's
// name, which spreads the readers evenly over the loaders. Following all loaders of a large fleet
// would cost a router more than its requests do.
func chooseLoadFeeds(engines []*provider.Upstream, hall, name string, port uint16) []netip.AddrPort {
	own, others := map[string]netip.AddrPort{}, map[string]netip.AddrPort{}
	for _, engine := range engines {
		loader := netip.AddrPortFrom(engine.Address.Addr(), port)
		if engine.Hall == hall {
			own[loader.String()] = loader
		} else {
			others[loader.String()] = loader
		}
	}
	result := topRanked(own, maxLoadFeeds, name)
	return append(result, topRanked(others, max(minRemoteFeeds, maxLoadFeeds-len(own)), name)...)
}

// topRanked returns the first n loaders in the router's rendezvous ranking.
func topRanked(loaders map[string]netip.AddrPort, n int, router string) []netip.AddrPort {
	ranked := rendezvous.Rank("loads for "+router, slices.Collect(maps.Keys(loaders)))
	var first []netip.AddrPort
	for _, loader := range ranked[:min(len(ranked), n)] {
		first = append(first, loaders[loader])
	}
	return first
}

package router

import (
	"net/netip"

	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// maxFollowed is how many loaders a router follows at most, but for those of its
// own hall, which it all follows. Of engines that it does not follow it knows
// its own requests, and what their records in the store say.
const maxFollowed = 96

// followed chooses the loaders whose loads a router follows: all of its hall,
// and of the others, while there are few, all too; else a few by a ranking of
// the router's own. Following all of a large fleet would cost each router more
// than the requests do.
func followed(engines []*provider.Upstream, hall, name string, port uint16) []netip.AddrPort {
	own := map[netip.AddrPort]bool{}
	others := map[string]netip.AddrPort{}
	for _, engine := range engines {
		loader := netip.AddrPortFrom(engine.Address.Addr(), port)
		if engine.Hall == hall {
			own[loader] = true
		} else {
			others[loader.String()] = loader
		}
	}
	var result []netip.AddrPort
	for loader := range own {
		result = append(result, loader)
	}
	names := make([]string, 0, len(others))
	for name := range others {
		names = append(names, name)
	}
	for _, other := range rendezvous.Rank("loads for "+name, names) {
		if len(result) >= maxFollowed {
			break
		}
		result = append(result, others[other])
	}
	return result
}

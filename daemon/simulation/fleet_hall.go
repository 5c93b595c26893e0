package simulation

import (
	"fmt"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/fanout"
)

// fleetHall is a data hall and the link from the store to it.
type fleetHall struct {
	sim       *fleetSim
	name      string
	storeLink *fleetLink
	routers   []*fleetRouter
	byName    map[string]*fleetRouter
	wasted    int
}

// add adds a router. The first routers of a hall have wide links.
func (h *fleetHall) add(index int) {
	count := h.sim.Routers / h.sim.Halls
	rate := h.sim.NarrowMbps
	if float64(index) < float64(count)*h.sim.WideShare {
		rate = h.sim.WideMbps
	}
	router := &fleetRouter{
		Router: fanout.Router{Name: fmt.Sprintf("%s-%d", h.name, index), LinkMbps: rate},
		hall:   h, uplink: fleetLink{rate: mbps(rate)},
		peers: map[string]bool{}, backoffs: map[string]backoff{},
	}
	if h.byName == nil {
		h.byName = map[string]*fleetRouter{}
	}
	h.routers = append(h.routers, router)
	h.byName[router.Name] = router
}

// candidates returns the hall's routers, all of them usable.
func (h *fleetHall) candidates() []fanout.Router {
	var all []fanout.Router
	for _, router := range h.routers {
		all = append(all, router.Router)
	}
	return all
}

// read makes a call to the store. It calls onDone when the last byte of the response has arrived,
// or onTimeout if the first byte was late; the response still occupies the link then.
func (h *fleetHall) read(bytes int, onDone, onTimeout func()) {
	s := h.sim
	s.store.calls++
	s.events.after(regionDelay+storeDelay, func() {
		begin, end := h.storeLink.send(s.events.now, bytes)
		if wait := begin - s.events.now; wait > firstByteTimeout {
			h.wasted += bytes
			s.events.after(firstByteTimeout, onTimeout)
			return
		}
		s.events.at(end+regionDelay, onDone)
	})
}

// announcedNames returns the hall's routers whose records are in the store.
func (h *fleetHall) announcedNames() []string {
	var names []string
	for _, router := range h.routers {
		if router.announced {
			names = append(names, router.Name)
		}
	}
	return names
}

// inShard returns the names that belong to a shard.
func inShard(names []string, shard string) []string {
	var listed []string
	for _, name := range names {
		if fanout.Shard(name) == shard {
			listed = append(listed, name)
		}
	}
	return listed
}

// startLoader makes a loader list the hall's routers in its shard, and, depending on the
// strategy, all upstreams from the store while it finds no router.
func (h *fleetHall) startLoader() {
	s := h.sim
	names := h.announcedNames()
	factor := s.Halls // all halls are listed and have the same size
	if s.Strategy.AwaitOwnRecord {
		names, factor = inShard(names, fanout.Shard(fmt.Sprint("loader-", s.rng.Uint32()))), 1
	}
	retry := func() { s.events.after(loaderListInterval, h.startLoader) }
	h.read(callBytes+factor*len(names)*memberBytes, func() {
		switch {
		case len(names) > 0:
		case s.Strategy.LoadersReadStore:
			h.read(s.Loaders*upstreamBytes, retry, retry)
		default:
			s.events.after(listInterval, h.startLoader)
		}
	}, retry)
}

package simulation

import (
	"fmt"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/fanout"
)

// Message sizes and delays.
const (
	// memberBytes and upstreamBytes are the sizes of records as the store sends them.
	memberBytes, upstreamBytes = 210, 330
	// compressionRatio is that of a snapshot, configurationCompressionRatio that of a
	// configuration.
	compressionRatio, configurationCompressionRatio = 3, 6
	// callBytes is the size of a request and an empty response.
	callBytes = 300
	// hallDelay and regionDelay are one-way delays within a hall and between regions, storeDelay
	// the store's response time.
	hallDelay, regionDelay = 100 * time.Microsecond, time.Millisecond
	storeDelay             = 4 * time.Millisecond
	// firstByteTimeout bounds the wait for the first byte of a response of the store.
	firstByteTimeout = 1500 * time.Millisecond
	// pollWait and snapshotPollWait are the times after which a router responds to a follower's
	// call without an update, pollGrace the additional time that the follower waits.
	pollWait, snapshotPollWait = 500 * time.Millisecond, time.Second
	pollGrace                  = 400 * time.Millisecond
	// defaultBackoff is the backoff of an unreachable router, startingBackoff that of one without
	// a snapshot.
	defaultBackoff, startingBackoff = 2 * time.Second, 250 * time.Millisecond
	// storeDebounce and peerDebounce are the pauses after an update from the store and from another
	// router, decidePause that between decisions.
	storeDebounce, peerDebounce, decidePause = 500 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond
	// listInterval is the interval between listings of the hall, maxListTime the time after which
	// a starting router stops listing.
	listInterval, maxListTime = 300 * time.Millisecond, 2 * time.Second
	// loaderListInterval is the interval between listings by a loader that has no router.
	loaderListInterval = 2 * time.Second
)

// fleetLink is a link that sends one message at a time.
type fleetLink struct {
	rate float64
	// freeAt is when the link has sent all queued messages, sent the total of their bytes.
	freeAt time.Duration
	sent   int
}

// send queues a message and returns when its transmission starts and ends.
func (l *fleetLink) send(now time.Duration, bytes int) (begin, end time.Duration) {
	begin = max(now, l.freeAt)
	l.freeAt = begin + time.Duration(float64(bytes)/l.rate*float64(time.Second))
	l.sent += bytes
	return begin, l.freeAt
}

type fleetStore struct {
	revision int
	calls    int
	// pendingWrites is the number of changes that are still to be written.
	pendingWrites int
	// watches are called at the next change.
	watches []func()
}

// notifyWatches calls and removes all watches.
func (s *fleetStore) notifyWatches() {
	watches := s.watches
	s.watches = nil
	for _, watch := range watches {
		watch()
	}
}

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

// backoff is a period in which a router is not called, because of its state.
type backoff struct {
	until time.Duration
	state fanout.State
}

// fleetRouter is a router that reads the store or follows another router.
type fleetRouter struct {
	fanout.Router
	hall *fleetHall
	// uplink is the link to the router's followers. The downlink never queues, because a router
	// makes one call at a time.
	uplink fleetLink
	// announced is set once the router's record is in the store.
	announced, crashed bool
	// peers are the hall's routers that this one has listed, backoffs those in backoff.
	peers    map[string]bool
	backoffs map[string]backoff
	// revision is the router's revision of the store, revisionAt when it was received, and
	// storeSeen when the router, or the one that it follows, last had a response of the store.
	revision              int
	revisionAt, storeSeen time.Duration
	// pendingPolls are the followers' calls that await an update.
	pendingPolls []func()
	readsStore   bool
	// following caches the last decision while nothing that it depends on has changed: no new
	// peers and no routers in backoff. It is nil otherwise.
	following *fleetRouter
	started   time.Duration
}

// start announces the router in the store and lists the others.
func (r *fleetRouter) start() {
	s := r.hall.sim
	r.started, r.storeSeen = s.events.now, s.events.now
	s.store.calls += 2 // a lease and the record
	if !s.Strategy.AwaitOwnRecord {
		r.listRouters()
	}
	s.events.after(2*(2*regionDelay+storeDelay), func() {
		r.announced = true
		if s.Strategy.AwaitOwnRecord {
			r.listRouters()
		}
	})
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

// listRouters lists the routers of all halls or of the own shard, depending on the strategy. The
// first router of a shard lists its whole hall.
func (r *fleetRouter) listRouters() {
	names := r.hall.announcedNames()
	if r.hall.sim.Strategy.AwaitOwnRecord {
		r.listNames(inShard(names, fanout.Shard(r.Name)), 1, func() {
			if action, _ := fanout.Decide(r.Router, r.view(), 0); action != fanout.Follow {
				r.listNames(r.hall.announcedNames(), 1, r.decide)
				return
			}
			r.decide()
		})
		return
	}
	r.listNames(names, r.hall.sim.Halls, r.decide)
}

// listNames reads the records of some routers. The response holds as many records for each name
// as factor says.
func (r *fleetRouter) listNames(names []string, factor int, then func()) {
	s := r.hall.sim
	r.hall.read(callBytes+factor*len(names)*memberBytes, func() {
		r.addPeers(names)
		then()
	}, func() {
		if s.events.now-r.started < maxListTime && s.Strategy.AwaitOwnRecord {
			s.events.after(listInterval, r.listRouters)
			return
		}
		r.decide()
	})
}

// addPeers adds listed routers of the hall.
func (r *fleetRouter) addPeers(names []string) {
	for _, name := range names {
		if !r.peers[name] {
			r.peers[name], r.following = true, nil
		}
	}
}

// view returns the other routers of the hall and their state as seen by this one.
func (r *fleetRouter) view() []fanout.Router {
	now := r.hall.sim.events.now
	var view []fanout.Router
	for name := range r.peers {
		if name == r.Name {
			continue
		}
		other := r.hall.byName[name].Router
		if m, ok := r.backoffs[name]; ok && m.until > now {
			other.State = m.state
		} else {
			delete(r.backoffs, name)
		}
		view = append(view, other)
	}
	return view
}

// decide applies the next decision.
func (r *fleetRouter) decide() {
	s := r.hall.sim
	if r.crashed {
		return
	}
	if r.following != nil {
		r.follow(r.following)
		return
	}
	action, name := s.Strategy.Decide(r.Router, r.view(), s.events.now-r.storeSeen)
	switch action {
	case fanout.Follow:
		if len(r.backoffs) == 0 {
			r.following = r.hall.byName[name]
		}
		r.follow(r.hall.byName[name])
	case fanout.Read:
		r.readsStore = true
		r.readStore()
	case fanout.Wait:
		s.events.after(decidePause, r.decide)
	}
}

// readStore reads a snapshot of the store first, and watches it afterwards.
func (r *fleetRouter) readStore() {
	s := r.hall.sim
	retry := func() { s.events.after(decidePause, r.decide) }
	if r.revision == 0 {
		at := s.store.revision
		r.hall.read(s.snapshotBytes(), func() { r.apply(at, s.events.now, storeDebounce) }, retry)
		return
	}
	r.storeSeen = s.events.now
	if r.revision < s.store.revision {
		r.readConfiguration()
		return
	}
	s.store.calls++
	s.store.watches = append(s.store.watches, r.readConfiguration)
}

// readConfiguration reads the newest configuration from the store.
func (r *fleetRouter) readConfiguration() {
	s := r.hall.sim
	if r.crashed {
		return
	}
	at := s.store.revision
	r.hall.read(s.ConfigurationBytes*4/3, func() { r.apply(at, s.events.now, storeDebounce) },
		func() { s.events.after(decidePause, r.decide) })
}

// apply records a revision and when the store was seen with it, responds to pending polls and
// decides again after a pause.
func (r *fleetRouter) apply(revision int, seenAt, pause time.Duration) {
	s := r.hall.sim
	if r.crashed {
		return
	}
	r.storeSeen = max(r.storeSeen, seenAt)
	if revision > r.revision {
		r.revision, r.revisionAt = revision, s.events.now
		if revision == s.store.revision {
			s.upToDate++
		}
		r.addPeers(r.hall.announcedNames())
	}
	pendingPolls := r.pendingPolls
	r.pendingPolls = nil
	for _, respond := range pendingPolls {
		respond()
	}
	s.events.after(pause, r.decide)
}

// follow long-polls another router for updates.
func (r *fleetRouter) follow(other *fleetRouter) {
	s := r.hall.sim
	wait := pollWait
	if r.revision == 0 {
		wait = snapshotPollWait
	}
	if other.crashed {
		s.events.after(wait+pollGrace, func() { r.backOff(other, defaultBackoff, fanout.Unreachable) })
		return
	}
	responded := false
	respond := func() {
		if responded || r.crashed {
			return
		}
		responded = true
		r.handleResponse(other)
	}
	s.events.after(hallDelay, func() {
		if other.revision > r.revision {
			respond()
			return
		}
		other.pendingPolls = append(other.pendingPolls, respond)
		s.events.after(wait, respond)
	})
}

// handleResponse processes the response of another router, with or without an update.
func (r *fleetRouter) handleResponse(other *fleetRouter) {
	s := r.hall.sim
	if other.crashed {
		r.backOff(other, defaultBackoff, fanout.Unreachable)
		return
	}
	switch {
	case other.revision == 0:
		r.backOff(other, startingBackoff, fanout.Stale)
	case other.revision > r.revision:
		bytes, revision, seenAt := s.updateBytes(r.revision == 0), other.revision, other.storeSeen
		_, end := other.uplink.send(s.events.now, bytes)
		s.events.at(end+hallDelay, func() { r.apply(revision, seenAt, peerDebounce) })
	default:
		r.storeSeen = max(r.storeSeen, other.storeSeen)
		r.decide()
	}
}

// backOff makes no calls to another router for a time.
func (r *fleetRouter) backOff(other *fleetRouter, length time.Duration, state fanout.State) {
	r.backoffs[other.Name] = backoff{until: r.hall.sim.events.now + length, state: state}
	r.following = nil
	r.decide()
}

// snapshotBytes returns the size of the store's snapshot.
func (s *fleetSim) snapshotBytes() int {
	return s.Routers*memberBytes + s.Loaders*upstreamBytes + s.ConfigurationBytes*4/3
}

// updateBytes returns the size of an update between routers, with or without a snapshot of all
// records.
func (s *fleetSim) updateBytes(snapshot bool) int {
	bytes := callBytes + s.ConfigurationBytes*4/3/configurationCompressionRatio
	if !snapshot {
		return bytes
	}
	records := s.Routers*memberBytes + s.Loaders*upstreamBytes
	if s.Strategy.Compressed {
		records /= compressionRatio
	}
	return bytes + records
}

// decideFlat makes the first router of a ranking by name read the store and all others follow it.
func decideFlat(own fanout.Router, hall []fanout.Router, _ time.Duration) (fanout.Action, string) {
	const maxStale = 3
	routers := append([]fanout.Router{own}, hall...)
	for i := range routers {
		routers[i].LinkMbps = 0
	}
	stale := 0
	for _, router := range fanout.Rank(routers) {
		switch {
		case router.Name == own.Name && stale < maxStale:
			return fanout.Read, ""
		case router.Name == own.Name:
			return fanout.Wait, ""
		case router.State == fanout.Usable:
			return fanout.Follow, router.Name
		case router.State == fanout.Stale:
			stale++
		}
	}
	return fanout.Wait, ""
}

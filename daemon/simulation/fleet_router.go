package simulation

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/fanout"
)

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

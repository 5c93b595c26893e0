package lab

import (
	"fmt"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/readers"
)

// Sizes of messages and times of calls in a fleet.
const (
	// memberBytes and upstreamBytes are a record as the store sends it.
	memberBytes, upstreamBytes = 210, 330
	// packedPart is the part of a copy that is left when it is packed together, and
	// packedConfiguration that of a configuration.
	packedPart, packedConfiguration = 3, 6
	// callBytes is what a call and an answer without news take.
	callBytes = 300
	// nearTrip and farTrip are one way within a hall and between regions; storeAnswers is how
	// long the store takes.
	nearTrip, farTrip = 100 * time.Microsecond, time.Millisecond
	storeAnswers      = 4 * time.Millisecond
	// firstBytes is how long an answer of the store may take to begin until it is given up.
	firstBytes = 1500 * time.Millisecond
	// heldFor and wholeHeldFor are how long a follower's call is held, and answersWithin what
	// it may take beyond that.
	heldFor, wholeHeldFor = 500 * time.Millisecond, time.Second
	answersWithin         = 400 * time.Millisecond
	// muted and mutedStarting are how long a router is not asked that gave no answer, or knew
	// nothing yet.
	muted, mutedStarting = 2 * time.Second, 250 * time.Millisecond
	// pauses after news of the store and of another router, and between looks.
	storePause, nearPause, lookPause = 500 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond
	// findPause is between two lists of the hall, findMost how long they go on.
	findPause, findMost = 300 * time.Millisecond, 2 * time.Second
	// loaderPause is between the lists of a loader that knows no router.
	loaderPause = 2 * time.Second
)

// fleetLink sends one thing after the other.
type fleetLink struct {
	rate float64
	// free is when it has sent all that it was given, and sent the bytes of that.
	free time.Duration
	sent int
}

// send returns when some bytes begin to go out, and when the last is sent.
func (l *fleetLink) send(now time.Duration, bytes int) (begin, end time.Duration) {
	begin = max(now, l.free)
	l.free = begin + time.Duration(float64(bytes)/l.rate*float64(time.Second))
	l.sent += bytes
	return begin, l.free
}

// fleetStore is the store.
type fleetStore struct {
	revision int
	calls    int
	// left is how many changes are still to be written.
	left int
	// watches are told of the next change.
	watches []func()
}

// tell has all watches answer.
func (s *fleetStore) tell() {
	watches := s.watches
	s.watches = nil
	for _, watch := range watches {
		watch()
	}
}

// fleetHall is a data hall, with the link from the store to it.
type fleetHall struct {
	play    *fleetPlay
	name    string
	region  *fleetLink
	routers []*fleetRouter
	byName  map[string]*fleetRouter
	wasted  int
}

// add adds a router; the first of a hall have wide links.
func (h *fleetHall) add(number int) {
	count := h.play.Routers / h.play.Halls
	rate := h.play.NarrowMbps
	if float64(number) < float64(count)*h.play.Wide {
		rate = h.play.WideMbps
	}
	router := &fleetRouter{
		Router: readers.Router{Name: fmt.Sprintf("%s-%d", h.name, number), LinkMbps: rate},
		hall:   h, out: fleetLink{rate: mbps(rate)},
		known: map[string]bool{}, muted: map[string]mutedRouter{},
	}
	if h.byName == nil {
		h.byName = map[string]*fleetRouter{}
	}
	h.routers = append(h.routers, router)
	h.byName[router.Name] = router
}

func (h *fleetHall) all() []readers.Router {
	var all []readers.Router
	for _, router := range h.routers {
		all = append(all, router.Router)
	}
	return all
}

// read has the store send an answer to the hall. Given is told when the last byte is there;
// gaveUp where the first one took too long, and the answer is sent in vain.
func (h *fleetHall) read(bytes int, given, gaveUp func()) {
	p := h.play
	p.store.calls++
	p.events.after(farTrip+storeAnswers, func() {
		begin, end := h.region.send(p.events.now, bytes)
		if wait := begin - p.events.now; wait > firstBytes {
			h.wasted += bytes
			p.events.after(firstBytes, gaveUp)
			return
		}
		p.events.at(end+farTrip, given)
	})
}

// announcedNames are the routers of the hall whose records are in the store.
func (h *fleetHall) announcedNames() []string {
	var names []string
	for _, router := range h.routers {
		if router.announced {
			names = append(names, router.Name)
		}
	}
	return names
}

// startLoader has a loader list a shard of the routers of its hall, and where it knows none
// all upstreams from the store.
func (h *fleetHall) startLoader() {
	p := h.play
	names := h.announcedNames()
	times := p.Halls // all halls are listed, and are alike
	if p.Spread.AwaitOwn {
		names, times = inShard(names, readers.Shard(fmt.Sprint("loader-", p.draw.Uint32()))), 1
	}
	again := func() { p.events.after(loaderPause, h.startLoader) }
	h.read(callBytes+times*len(names)*memberBytes, func() {
		switch {
		case len(names) > 0:
		case p.Spread.LoadersRead:
			h.read(p.Loaders*upstreamBytes, again, again)
		default:
			p.events.after(findPause, h.startLoader)
		}
	}, again)
}

// mutedRouter is one that is not asked for a while.
type mutedRouter struct {
	until time.Duration
	state readers.State
}

// fleetRouter is a router.
type fleetRouter struct {
	readers.Router
	hall *fleetHall
	// out is its link to those that follow it. Nothing waits for the way in, because a router
	// makes one call at a time.
	out fleetLink
	// announced says that its record is in the store, gone that it has ended.
	announced, gone bool
	// known are the routers of its hall that it knows, muted those that it does not ask.
	known map[string]bool
	muted map[string]mutedRouter
	// revision is what it knows of the store, newest when it learnt that, and heard when the
	// store was heard, by it or by whom it follows.
	revision      int
	newest, heard time.Duration
	// waiting are the calls that it holds.
	waiting []func()
	reads   bool
	// follows is the router that the last decision named, nil where it has to be made anew
	// because something that it depends on has changed. It holds while nobody is muted.
	follows *fleetRouter
	started time.Duration
}

// start announces the router and lists the others.
func (r *fleetRouter) start() {
	p := r.hall.play
	r.started, r.heard = p.events.now, p.events.now
	p.store.calls += 2 // a lease and the record
	if !p.Spread.AwaitOwn {
		r.list()
	}
	p.events.after(2*(2*farTrip+storeAnswers), func() {
		r.announced = true
		if p.Spread.AwaitOwn {
			r.list()
		}
	})
}

// inShard returns those of some routers that are listed with a shard.
func inShard(names []string, shard string) []string {
	var listed []string
	for _, name := range names {
		if readers.Shard(name) == shard {
			listed = append(listed, name)
		}
	}
	return listed
}

// list lists the routers of all halls, or those of the own shard, and those of the hall for
// the first of a shard.
func (r *fleetRouter) list() {
	names := r.hall.announcedNames()
	if r.hall.play.Spread.AwaitOwn {
		r.listSome(inShard(names, readers.Shard(r.Name)), 1, func() {
			if course, _ := readers.Decide(r.Router, r.view(), 0); course != readers.Follow {
				r.listSome(r.hall.announcedNames(), 1, r.decide)
				return
			}
			r.decide()
		})
		return
	}
	r.listSome(names, r.hall.play.Halls, r.decide)
}

// listSome lists some routers, as many times the bytes of their records.
func (r *fleetRouter) listSome(names []string, times int, then func()) {
	p := r.hall.play
	r.hall.read(callBytes+times*len(names)*memberBytes, func() {
		r.know(names)
		then()
	}, func() {
		if p.events.now-r.started < findMost && p.Spread.AwaitOwn {
			p.events.after(findPause, r.list)
			return
		}
		r.decide()
	})
}

// know takes the names of routers of the hall.
func (r *fleetRouter) know(names []string) {
	for _, name := range names {
		if !r.known[name] {
			r.known[name], r.follows = true, nil
		}
	}
}

// view is the other routers of the hall as this one sees them.
func (r *fleetRouter) view() []readers.Router {
	now := r.hall.play.events.now
	var view []readers.Router
	for name := range r.known {
		if name == r.Name {
			continue
		}
		other := r.hall.byName[name].Router
		if m, ok := r.muted[name]; ok && m.until > now {
			other.State = m.state
		} else {
			delete(r.muted, name)
		}
		view = append(view, other)
	}
	return view
}

// decide does what the decision says.
func (r *fleetRouter) decide() {
	p := r.hall.play
	if r.gone {
		return
	}
	if r.follows != nil {
		r.follow(r.follows)
		return
	}
	course, name := p.Spread.Decide(r.Router, r.view(), p.events.now-r.heard)
	switch course {
	case readers.Follow:
		if len(r.muted) == 0 {
			r.follows = r.hall.byName[name]
		}
		r.follow(r.hall.byName[name])
	case readers.Read:
		r.reads = true
		r.readStore()
	case readers.Wait:
		p.events.after(lookPause, r.decide)
	}
}

// readStore reads the whole store, or watches it.
func (r *fleetRouter) readStore() {
	p := r.hall.play
	again := func() { p.events.after(lookPause, r.decide) }
	if r.revision == 0 {
		at := p.store.revision
		r.hall.read(p.copyBytes(), func() { r.learn(at, p.events.now, storePause) }, again)
		return
	}
	r.heard = p.events.now
	if r.revision < p.store.revision {
		r.readChange()
		return
	}
	p.store.calls++
	p.store.watches = append(p.store.watches, r.readChange)
}

// readChange has the store send the newest configuration.
func (r *fleetRouter) readChange() {
	p := r.hall.play
	if r.gone {
		return
	}
	at := p.store.revision
	r.hall.read(p.ConfigurationBytes*4/3, func() { r.learn(at, p.events.now, storePause) },
		func() { p.events.after(lookPause, r.decide) })
}

// learn takes what is known of the store as it was heard at some time, and goes on after a
// pause.
func (r *fleetRouter) learn(revision int, heard, pause time.Duration) {
	p := r.hall.play
	if r.gone {
		return
	}
	r.heard = max(r.heard, heard)
	if revision > r.revision {
		r.revision, r.newest = revision, p.events.now
		if revision == p.store.revision {
			p.inForce++
		}
		r.know(r.hall.announcedNames())
	}
	waiting := r.waiting
	r.waiting = nil
	for _, answer := range waiting {
		answer()
	}
	p.events.after(pause, r.decide)
}

// follow asks another router for news.
func (r *fleetRouter) follow(other *fleetRouter) {
	p := r.hall.play
	held := heldFor
	if r.revision == 0 {
		held = wholeHeldFor
	}
	if other.gone {
		p.events.after(held+answersWithin, func() { r.mute(other, muted, readers.Unreachable) })
		return
	}
	settled := false
	answer := func() {
		if settled || r.gone {
			return
		}
		settled = true
		r.answered(other)
	}
	p.events.after(nearTrip, func() {
		if other.revision > r.revision {
			answer()
			return
		}
		other.waiting = append(other.waiting, answer)
		p.events.after(held, answer)
	})
}

// answered takes the answer of another router: its news, or that there is none.
func (r *fleetRouter) answered(other *fleetRouter) {
	p := r.hall.play
	if other.gone {
		r.mute(other, muted, readers.Unreachable)
		return
	}
	switch {
	case other.revision == 0:
		r.mute(other, mutedStarting, readers.Stale)
	case other.revision > r.revision:
		bytes, revision, heard := p.newsBytes(r.revision == 0), other.revision, other.heard
		_, end := other.out.send(p.events.now, bytes)
		p.events.at(end+nearTrip, func() { r.learn(revision, heard, nearPause) })
	default:
		r.heard = max(r.heard, other.heard)
		r.decide()
	}
}

// mute has another router not be asked for a while.
func (r *fleetRouter) mute(other *fleetRouter, length time.Duration, state readers.State) {
	r.muted[other.Name] = mutedRouter{until: r.hall.play.events.now + length, state: state}
	r.follows = nil
	r.decide()
}

// copyBytes is the whole store as it sends it.
func (p *fleetPlay) copyBytes() int {
	return p.Routers*memberBytes + p.Loaders*upstreamBytes + p.ConfigurationBytes*4/3
}

// newsBytes is what a router sends to one that follows it.
func (p *fleetPlay) newsBytes(whole bool) int {
	bytes := callBytes + p.ConfigurationBytes*4/3/packedConfiguration
	if !whole {
		return bytes
	}
	records := p.Routers*memberBytes + p.Loaders*upstreamBytes
	if p.Spread.Packed {
		records /= packedPart
	}
	return bytes + records
}

// decideFlat has the first router of a ranking by name send to all others.
func decideFlat(own readers.Router, hall []readers.Router, _ time.Duration) (readers.Action, string) {
	const mayRead = 3
	routers := append([]readers.Router{own}, hall...)
	for i := range routers {
		routers[i].LinkMbps = 0
	}
	behind := 0
	for _, router := range readers.Rank(routers) {
		switch {
		case router.Name == own.Name && behind < mayRead:
			return readers.Read, ""
		case router.Name == own.Name:
			return readers.Wait, ""
		case router.State == readers.Usable:
			return readers.Follow, router.Name
		case router.State == readers.Stale:
			behind++
		}
	}
	return readers.Wait, ""
}

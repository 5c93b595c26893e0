// Package readers decides which routers of a data hall read the store, and whom each
// other one follows.
//
// The load that it answers: every router of a hall needs each change of the store, and
// the hall shares one narrow link to the region in which the store stands. One reader
// for each hall crosses that link once, but sends each change to all others over its
// own link, which grows with the hall. So a large hall has relays between its reader
// and the rest, each with fanOut followers on average, and the routers with the widest
// links come first for both parts.
//
// All routers of a hall share one ranking, so that nothing has to be agreed upon: a
// router only ever follows one that ranks before it, which rules out cycles. A reader
// that is gone is replaced at once by the next of the ranking. One that lives and does
// not hear the store may be turned away alone, so the next two read at once too; every
// further one only after it has waited for longer than those before it.
//
// Rejected: several readers from the start, which costs the store the calls and the
// link the bytes of each; an election, which needs the store that is not heard.
package readers

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
)

const (
	// eager is how many routers of a hall may read the store at once, where those before
	// them do not hear it: with a third of them turned away, one of three hears it in 96
	// of 100 halls.
	eager = 3
	// firstWait is how long nothing may be heard until one more reads it, and nextWait how
	// much longer for each after that one. Changes are to be in force within 2 to 4 s.
	firstWait = 1500 * time.Millisecond
	nextWait  = time.Second
	// fanOut is the number of followers above which a hall has relays.
	fanOut = 32
)

// State is what a router knows of another one of its hall.
type State int

// The states.
const (
	// Usable routers may be asked.
	Usable State = iota
	// Behind ones live, but do not hear the store, or know nothing yet.
	Behind
	// Gone ones do not answer.
	Gone
)

// Router is one router of the hall.
type Router struct {
	Name string
	// LinkMbps is the rate of its link in megabits a second, 0 where it is not known.
	LinkMbps float64
	State    State
}

// Course is what a router does for news of the store.
type Course int

// The courses.
const (
	// Read the store.
	Read Course = iota
	// Follow another router.
	Follow
	// Hold, and look again soon.
	Hold
)

// shards is the number of parts of a hall's routers. One that starts lists its own part, and
// only the first of each part lists the hall: were each to list it, the bytes of a start would
// grow with the square of the hall.
const shards = 16

// Shard returns the part of its hall's routers that one is listed with, by its name.
func Shard(name string) string {
	return strconv.FormatUint(xxhash.Sum64String(name)%shards, shards)
}

// Rank returns routers in the order in which they read the store and relay: those with
// the widest links first, and among these by a hash of their names.
func Rank(routers []Router) []Router {
	all := make([]scored, len(routers))
	for i, router := range routers {
		all[i] = scored{router, rendezvous.Score("readers of the store", router.Name)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(
			cmp.Compare(b.router.LinkMbps, a.router.LinkMbps), cmp.Compare(b.score, a.score), cmp.Compare(a.router.Name, b.router.Name),
		)
	})
	ranked := make([]Router, len(all))
	for i, s := range all {
		ranked[i] = s.router
	}
	return ranked
}

// scored is a router and its score for the ranking.
type scored struct {
	router Router
	score  uint64
}

// Decide returns the course of a router, and the name of the one that it follows. Hall
// holds the others; unheard is for how long this one has heard nothing of the store,
// from anybody.
func Decide(own Router, hall []Router, unheard time.Duration) (Course, string) {
	own.State = Usable
	ranked := Rank(append([]Router{own}, withoutName(hall, own.Name)...))
	place := slices.IndexFunc(ranked, func(router Router) bool { return router.Name == own.Name })
	if relay, ok := relayFor(own, ranked, place); ok {
		return Follow, relay
	}
	behind := 0
	for _, router := range ranked[:place] {
		switch router.State {
		case Usable:
			return Follow, router.Name
		case Behind:
			behind++
		case Gone:
		}
	}
	if behind < eager || unheard >= firstWait+time.Duration(behind-eager)*nextWait {
		return Read, ""
	}
	return Hold, ""
}

// relayFor returns the relay that a router follows, false where it has none: in a small
// hall, as a relay itself, and where no relay is usable.
func relayFor(own Router, ranked []Router, place int) (string, bool) {
	relays := relaysOf(len(ranked))
	if place <= relays {
		return "", false
	}
	var usable []string
	for _, router := range ranked[1 : relays+1] {
		if router.State == Usable {
			usable = append(usable, router.Name)
		}
	}
	relay := rendezvous.First("relay for "+own.Name, usable)
	return relay, relay != ""
}

// relaysOf returns how many relays a hall of some routers has, those after the first of
// the ranking.
func relaysOf(routers int) int {
	if routers <= fanOut+1 {
		return 0
	}
	return (routers - 1 + fanOut - 1) / fanOut
}

func withoutName(routers []Router, name string) []Router {
	others := make([]Router, 0, len(routers))
	for _, router := range routers {
		if router.Name != name {
			others = append(others, router)
		}
	}
	return others
}

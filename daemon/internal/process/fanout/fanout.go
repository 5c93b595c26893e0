// Package fanout decides which routers of a data hall read the store, and which router
// each of the others follows.
//
// Every router needs each change of the store, over the narrow link that a hall shares to
// the store's region. One reader per hall minimizes the use of that link, but its fan-out
// grows with the hall. So a large hall has relays between the reader and the rest, each
// with fanOut followers on average. Routers with the widest links become reader and
// relays.
//
// All routers of a hall compute the same ranking and need no agreement. A router follows
// only routers that rank before it, which rules out cycles. The next in the ranking
// replaces an unreachable reader at once. A stale reader may be the only one that the
// store rejects, so the next two read the store at once as well; each further router
// starts only after a longer wait.
//
// Rejected: several readers from the start, which multiplies the load on the store and the
// link; an election, which needs the store that does not answer.
package fanout

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
)

const (
	// maxImmediateReaders is the number of routers that may read the store at once while
	// those before them are stale. If the store rejects a third of the routers, one of
	// three is very likely to reach it.
	maxImmediateReaders = 3
	// firstReaderDelay is the time without data from the store after which one more router
	// reads it, and nextReaderDelay the additional time for each further one. Changes are to be in
	// force everywhere within 2 to 4 s.
	firstReaderDelay = 1500 * time.Millisecond
	nextReaderDelay  = time.Second
	// fanOut is the number of followers above which a hall has relays.
	fanOut = 32
)

// State is the state of a router, as another one of its hall sees it.
type State int

// The states.
const (
	// Usable routers may be queried.
	Usable State = iota
	// Stale routers answer, but their replica is stale or still empty.
	Stale
	// Unreachable routers do not answer.
	Unreachable
)

// Router is one router of the hall.
type Router struct {
	Name string
	// LinkMbps is the rate of its link in megabits per second, 0 if unknown.
	LinkMbps float64
	State    State
}

// Action is how a router gets updates of the store.
type Action int

// The actions.
const (
	// Read the store.
	Read Action = iota
	// Follow another router.
	Follow
	// Wait: call neither the store nor a router for now.
	Wait
)

// shards is the number of parts into which a hall's routers are divided. A router that
// starts lists its shard, and only the first router of each shard lists the hall: if all
// listed the hall, the bytes of a simultaneous start would grow with the square of its size.
const shards = 16

// Shard returns the shard of a router, as one hexadecimal digit.
func Shard(name string) string {
	return strconv.FormatUint(xxhash.Sum64String(name)%shards, shards)
}

// Rank returns routers in the order in which they become reader and relays: by the rate of
// their links, widest first, and then by a hash of their names. The text that is hashed
// must be the same in all routers of a hall.
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

// scored is a router and its hash for the ranking.
type scored struct {
	router Router
	score  uint64
}

// Decide returns the action of a router, and the name of the router that it follows. Hall
// holds the other routers, and sinceData is the time since this one last received data of
// the store, directly or through another.
func Decide(self Router, hall []Router, sinceData time.Duration) (Action, string) {
	self.State = Usable
	ranked := Rank(append([]Router{self}, withoutName(hall, self.Name)...))
	rank := slices.IndexFunc(ranked, func(router Router) bool { return router.Name == self.Name })
	if relay, ok := relayFor(self, ranked, rank); ok {
		return Follow, relay
	}
	stale := 0
	for _, router := range ranked[:rank] {
		switch router.State {
		case Usable:
			return Follow, router.Name
		case Stale:
			stale++
		case Unreachable:
		}
	}
	if stale < maxImmediateReaders || sinceData >= firstReaderDelay+time.Duration(stale-maxImmediateReaders)*nextReaderDelay {
		return Read, ""
	}
	return Wait, ""
}

// relayFor returns the relay that a router follows. It returns false if there is none: in
// a small hall, for the reader and the relays, and if no relay is usable.
func relayFor(self Router, ranked []Router, rank int) (string, bool) {
	relays := relayCount(len(ranked))
	if rank <= relays {
		return "", false
	}
	var usable []string
	for _, router := range ranked[1 : relays+1] {
		if router.State == Usable {
			usable = append(usable, router.Name)
		}
	}
	relay := rendezvous.First("relay for "+self.Name, usable)
	return relay, relay != ""
}

// relayCount returns the number of relays of a hall. They follow the reader in the
// ranking.
func relayCount(routers int) int {
	if routers <= fanOut+1 {
		return 0
	}
	return (routers - 1 + fanOut - 1) / fanOut
}

// withoutName returns the routers with other names.
func withoutName(routers []Router, name string) []Router {
	others := make([]Router, 0, len(routers))
	for _, router := range routers {
		if router.Name != name {
			others = append(others, router)
		}
	}
	return others
}

// Package fairshare decides which requests get the last places of an engine while places are scarce:
// more urgent ranks precede, and within a rank the accounts below their max-min fair share of the
// engine's time. A place is an execution slot of an engine.
//
// It runs in the loader beside each engine, on each query for a place. The load that it handles is
// an overload of 1.2 to 2 times the room of 40 to 76 engines: an engine frees a place about every
// 100 ms and gets some 50 queries a second, since a search queries up to eight engines. The limits
// follow from that. A place can wait only a few tens of milliseconds for a better claim: in that
// time one to three queries arrive, and a wait of 50 ms costs at most 4 in 100 of the 1.2 s for which
// a place is held.
//
// A place is offered as in a Dutch auction. A request that others precede gets it only after it
// has been kept free for a time that grows with the number of ranks before it, and any request gets
// it after MaxHold. This needs no forecast of arrivals and is work-conserving: a place is kept only
// while a request that takes precedence was denied within claimTTL, and only the last two places of
// an engine are kept.
//
// A request that is denied everywhere is seen by eight loaders, and one that is granted at once by
// one. So shares are not derived from numbers of queries. The demand of an account is the number of
// searches that began here, which counts each request at exactly one loader, and its use is the
// engine time granted. Queries after the first only mark that a claim exists, without a count.
package fairshare

import (
	"math"
	"slices"
	"time"
)

const (
	// window is the time constant with which use and demand decay. An engine grants 16 to 20
	// places in it.
	window = 2 * time.Second
	// scarceFor is how long places count as scarce after a search ended here without a place.
	scarceFor = time.Second
	// settleFor is the time after the first query in which places are granted first come, first
	// served, because the past use is unknown.
	settleFor = 500 * time.Millisecond
	// claimTTL is how long a denied request counts as a claim. Ranks that ask at least four times a
	// second have a claim most of the time, while a rare one does not block places for long.
	claimTTL = 250 * time.Millisecond
	// MaxHold is the longest time for which a place is kept free while requests are denied, and
	// that for which it is kept for accounts below their share. One to three queries arrive in it.
	MaxHold = 60 * time.Millisecond
	// maxRankHold is the longest time for which a place is kept for more urgent ranks. Ranks ask
	// more often than single accounts.
	maxRankHold = 25 * time.Millisecond
	// keptPlaces is the number of an engine's places that are kept for claims. With one, half of the
	// places are granted before they are the last, and a busy account gets most of these.
	keptPlaces = 2
	// rankFloor and accountFloor are the fractions of the overall service ratio below which a rank
	// and an account need not give precedence. Both exceed the required half and quarter, because a
	// loader sees few requests of each and the ratios scatter.
	rankFloor, accountFloor = 0.7, 0.35
	// maxAccounts is the number of accounts that are kept; the others share one entry.
	maxAccounts = 256
	// maxRanks is the number of ranks that are distinguished.
	maxRanks = 16
	// minCost and maxCost bound the cost of a request relative to the mean.
	minCost, maxCost = 0.25, 4
	// sizeWeight is the weight of a request in the moving mean of sizes.
	sizeWeight = 0.02
	// forgotten is the decayed count below which an account is dropped.
	forgotten = 0.01
)

// Reason is why a place is denied.
type Reason string

// Reasons.
const (
	Granted Reason = ""
	Full    Reason = "full"  // the request does not fit
	ByRank  Reason = "rank"  // the place is kept for a more urgent rank
	ByShare Reason = "share" // the place is kept for an account below its share
)

// Query is a query for a place.
type Query struct {
	Account string
	// Rank is the rank of the request, 0 for the most urgent, and Ranks their number. A rank
	// outside of them is unknown and counts as the least urgent that was seen.
	Rank, Ranks int
	// Retry means that the caller retries after a refusal.
	Retry bool
	// First and Last mark the first and the last query of a search.
	First, Last bool
	// Size is the amount of work in any unit; 0 means the mean.
	Size float64
}

// Room describes whether a request fits at the engine.
type Room struct {
	Fits bool
	// InUse is the number of places in use, and Max the highest number at which the request is
	// admitted.
	InUse, Max int
}

// last reports whether the request would take one of the last places.
func (r Room) last() bool { return r.InUse+keptPlaces > r.Max }

// usage is what an account or a rank asked for and got, decayed.
type usage struct {
	// requests counts the searches that began here, grants the places granted.
	requests, grants float64
	// time is the engine time granted, in requests of mean size.
	time float64
}

func (u *usage) scale(factor float64) {
	u.requests *= factor
	u.grants *= factor
	u.time *= factor
}

// below reports whether less than a fraction of a service ratio was served.
func (u *usage) below(ratio float64) bool { return u.grants < ratio*u.requests }

// account is the state of one account.
type account struct {
	usage
	// claims holds when a request of each rank was last denied.
	claims [maxRanks]time.Time
	seen   time.Time
}

// demand returns the engine time that the account asked for: that of the searches that began here,
// or that which it got.
func (a *account) demand() float64 {
	cost := 1.0
	if a.grants > 0 {
		cost = a.time / a.grants
	}
	return max(a.time, a.requests*cost)
}

// rank is the state of one rank.
type rank struct {
	usage
	claimed, seen time.Time
}

// Divider divides the places of one engine. It is not safe for concurrent use. The zero value is
// ready to use.
type Divider struct {
	accounts map[string]*account
	ranks    [maxRanks]rank
	total    usage
	meanSize float64
	// updated is the time up to which counts are decayed, started that of the first query, and
	// ranked that of the last one with a rank.
	updated, started, ranked time.Time
	// refused is when a search last ended here without a place.
	refused time.Time
	// kept holds, for each place that is kept free for others, when a request was first denied it,
	// oldest first. inUse is the number of places in use at the last query.
	kept  []time.Time
	inUse int
}

// Applies reports whether the division applies to a query: if its rank is known, or if queries with a
// rank were seen within the window.
func (d *Divider) Applies(q Query, now time.Time) bool {
	return q.Ranks > 1 || recent(d.ranked, now, window)
}

// Decide decides on a query. A request that is granted its place must be recorded by Grant.
func (d *Divider) Decide(q Query, room Room, now time.Time) Reason {
	d.decay(now)
	index := d.rankOf(q, now)
	r, a := &d.ranks[index], d.account(q.Account)
	a.seen = d.updated
	if q.Ranks > 1 {
		r.seen, d.ranked = d.updated, d.updated
	}
	if q.First && !q.Retry {
		for _, u := range []*usage{&r.usage, &a.usage, &d.total} {
			u.requests++
		}
	}
	d.take(room.InUse)
	reason := d.check(index, a, room)
	if reason == Granted {
		return Granted
	}
	for reason != Full && len(d.kept) <= room.Max-room.InUse {
		d.kept = append(d.kept, d.updated)
	}
	if !q.Retry {
		r.claimed, a.claims[index] = d.updated, d.updated
		if q.Last {
			d.refused = d.updated
		}
	}
	return reason
}

// Grant records that a request got a place.
func (d *Divider) Grant(q Query, room Room, now time.Time) {
	d.decay(now)
	cost := d.cost(q.Size)
	for _, u := range []*usage{&d.ranks[d.rankOf(q, now)].usage, &d.account(q.Account).usage, &d.total} {
		u.grants++
		u.time += cost
	}
	d.take(room.InUse + 1)
}

// take updates the kept places after a change of the number of places in use. Those that were kept
// longest count as taken first.
func (d *Divider) take(inUse int) {
	taken := min(max(inUse-d.inUse, 0), len(d.kept))
	d.kept = d.kept[taken:]
	d.inUse = inUse
}

// check returns why a request is denied, Granted if it is not.
func (d *Divider) check(index int, a *account, room Room) Reason {
	switch {
	case !room.Fits:
		return Full
	case !room.last() || !recent(d.refused, d.updated, scarceFor) || d.updated.Sub(d.started) < settleFor:
		return Granted
	}
	var held time.Duration
	if len(d.kept) > 0 {
		held = d.updated.Sub(d.kept[0])
	}
	switch {
	case held >= MaxHold:
		return Granted
	case held < d.rankHold(index):
		return ByRank
	case held < d.shareHold(index, a):
		return ByShare
	default:
		return Granted
	}
}

// rankHold returns how long a place is kept from a rank, in favor of more urgent ones with claims. A
// rank that is served less than its floor waits no longer than the next more urgent one, so that it
// does not overtake that.
func (d *Divider) rankHold(index int) time.Duration {
	floor := rankFloor * d.served()
	level, before, others := 0, 0, -1
	for i := range d.ranks {
		if i != index && !recent(d.ranks[i].claimed, d.updated, claimTTL) {
			continue
		}
		if others++; !d.ranks[i].below(floor) {
			level = others
		}
		if i == index {
			before = level
		}
	}
	return maxRankHold * time.Duration(before) / time.Duration(max(others, 1))
}

// shareHold returns how long a place is kept from an account above its share, in favor of accounts
// below theirs with claims in the same rank.
func (d *Divider) shareHold(index int, a *account) time.Duration {
	if a.below(accountFloor * d.served()) {
		return 0
	}
	share := d.Share()
	if a.time <= share {
		return 0
	}
	for _, other := range d.accounts {
		if other.time < share && recent(other.claims[index], d.updated, claimTTL) {
			return MaxHold
		}
	}
	return 0
}

// served returns the ratio of grants to requests of all callers.
func (d *Divider) served() float64 {
	if d.total.requests == 0 {
		return 0
	}
	return min(1, d.total.grants/d.total.requests)
}

// Share returns the max-min fair share of an account: the level at which the accounts' demands, each
// cut at the level, add up to the engine time granted.
func (d *Divider) Share() float64 {
	demands, remaining := make([]float64, 0, len(d.accounts)), 0.0
	for _, a := range d.accounts {
		demands = append(demands, a.demand())
		remaining += a.time
	}
	slices.Sort(demands)
	for i, demand := range demands {
		level := remaining / float64(len(demands)-i)
		if demand >= level {
			return level
		}
		remaining -= demand
	}
	return math.Inf(1)
}

// cost returns the engine time of a request in requests of mean size. The bounds limit what a
// false size can shift.
func (d *Divider) cost(size float64) float64 {
	if !(size > 0) || math.IsInf(size, 0) {
		return 1
	}
	if d.meanSize == 0 {
		d.meanSize = size
	}
	d.meanSize += sizeWeight * (min(size, maxCost*d.meanSize) - d.meanSize)
	return min(max(size/d.meanSize, minCost), maxCost)
}

// rankOf returns the index of a query's rank.
func (d *Divider) rankOf(q Query, now time.Time) int {
	if q.Rank >= 0 && q.Rank < q.Ranks {
		return min(q.Rank, maxRanks-1)
	}
	for i := maxRanks - 1; i > 0; i-- {
		if recent(d.ranks[i].seen, now, window) {
			return i
		}
	}
	return 0
}

// overflow is the entry of accounts beyond maxAccounts. Names of accounts contain no zero byte.
const overflow = "\x00"

// account returns the entry of an account.
func (d *Divider) account(name string) *account {
	if a := d.accounts[name]; a != nil {
		return a
	}
	if len(d.accounts) >= maxAccounts {
		name = overflow
	}
	if d.accounts == nil {
		d.accounts = map[string]*account{}
	}
	if d.accounts[name] == nil {
		d.accounts[name] = &account{}
	}
	return d.accounts[name]
}

// decay decays all counts up to now. A time before the last update counts as that.
func (d *Divider) decay(now time.Time) {
	if d.started.IsZero() {
		d.started, d.updated = now, now
	}
	elapsed := now.Sub(d.updated)
	if elapsed <= 0 {
		return
	}
	d.updated = now
	factor := math.Exp(-float64(elapsed) / float64(window))
	d.total.scale(factor)
	for i := range d.ranks {
		d.ranks[i].scale(factor)
	}
	for name, a := range d.accounts {
		a.scale(factor)
		if a.requests+a.grants < forgotten && !recent(a.seen, now, window) {
			delete(d.accounts, name)
		}
	}
}

// recent reports whether an event happened within a time before now.
func recent(event, now time.Time, within time.Duration) bool {
	return !event.IsZero() && now.Sub(event) < within
}

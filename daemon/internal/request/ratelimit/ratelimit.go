// Package ratelimit decides which requests may go to an upstream that names, in its answers,
// the requests a second that it takes from all routers together.
//
// One process counts for all routers: the loader beside the upstream, which gives each place
// there anyhow (package places). Where no loader answers, or there is none, each router takes
// turns: an equal share of a part of the limit, at times that differ by chance. A turn that is
// not used in time is over, because hundreds of idle routers would save up a burst.
//
// Invariants: the newest answer decides, from whichever process it was heard, and the end of a
// limit is as old as the request whose answer named none. Loader and turns together stay within
// what an upstream allows beyond its limit. The package has no clock and no network.
//
// Rejected: one router that counts for upstreams without a loader, of which there are two while
// views of the fleet differ; a limit kept in the store, whose calls are bounded, and which may be
// away.
package ratelimit

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// leastPerSecond is the limit by which those below it are kept.
	leastPerSecond = 0.2
	// maxBurst bounds the credit that an idle limiter accumulates.
	maxBurst = 100 * time.Millisecond
	// turnLasts is how long a turn may be used.
	turnLasts = time.Second
	// longestPeriod bounds the time between two turns.
	longestPeriod = time.Hour
	// mostWait bounds the time after which an upstream is tried again, which may have ended
	// its limit meanwhile.
	mostWait = 2 * time.Second
	// endGrace delays the end of a limit, since responses may arrive out of order.
	endGrace = time.Second
	// clockSkew is the difference below which two reports count as equally old.
	clockSkew = 300 * time.Millisecond
	// tellEvery and tellStep bound what is told of a limit that changes with each answer: a
	// change of a quarter, twice a second.
	tellEvery = 500 * time.Millisecond
	tellStep  = 0.25
	// endTold is how long others are told that a limit has ended.
	endTold = 30 * time.Second
	// mostKnown bounds the table.
	mostKnown = 4096
)

// Upstream names one start of an upstream: what an earlier one by the same id named is over,
// and so is what one at another address did.
type Upstream struct {
	ID      string         `json:"id"`
	Address netip.AddrPort `json:"address,omitzero"`
	// Started is zero where it is not told.
	Started time.Time `json:"started,omitzero"`
}

// key is an upstream as maps know it: the same time may be written in two ways.
type key struct {
	id      string
	address netip.AddrPort
	started int64
}

func (u Upstream) key() key {
	k := key{id: u.ID, address: u.Address}
	if !u.Started.IsZero() {
		k.started = u.Started.UnixNano()
	}
	return k
}

// Note is what is known of an upstream's limit, as one process tells it to another.
type Note struct {
	// PerSecond is the limit, in requests a second.
	PerSecond float64 `json:"perSecond"`
	// Ended says that there is none any more.
	Ended bool `json:"ended,omitempty"`
	// Age is how old that is, in nanoseconds.
	Age time.Duration `json:"age"`
}

// same reports whether two notes say the same, whatever their age.
func (n Note) same(other Note) bool { return n.Ended == other.Ended && n.PerSecond == other.PerSecond }

// Change is what a note changed.
type Change struct {
	// Changed says that another limit holds now, or that none does.
	Changed bool
	// Tell says that others are to hear of it.
	Tell bool
	// Before and After are what was known before, which may be nothing, and by now. Others are
	// told After, with its age: an end is as old as the request that showed it.
	Before, After Note
}

// Share is the part of a limit that one process may use.
type Share struct {
	// Of is how many processes share it; 1 is who counts alone.
	Of int
	// Part is the part of the limit that all of them use, from 0 to 1.
	Part float64
}

// The shares.
var (
	// Whole is that of a loader, which counts for all routers.
	Whole = Share{Of: 1, Part: 1}
	// PastLoader is that of routers whose loader does not answer, Without that of those whose
	// upstream has none.
	PastLoader = Share{Part: 0.25}
	Without    = Share{Part: 0.7}
)

// Among returns the share of one of some routers.
func (s Share) Among(routers int) Share {
	s.Of = max(routers, 1)
	return s
}

// Table is the limits that a process knows. The zero value is empty and ready to use. It is
// not safe for use by several goroutines.
type Table struct {
	// Draw returns a number from 0 to 1 by chance; nil means rand.Float64.
	Draw func() float64

	limits map[key]*limit
}

// limit is what is known of one upstream's.
type limit struct {
	upstream Upstream
	note     Note // its Age is not used, but at
	at       time.Time
	// due is when the next request may go there; zero before the first.
	due time.Time
	// denied counts those that came too early since the last that did not.
	denied int
	// told is what others were told last, and toldAt when.
	told   Note
	toldAt time.Time
}

// Heard takes what an answer says whose request was sent at some time.
func (t *Table) Heard(upstream Upstream, said Said, sent, now time.Time) Change {
	switch said.Kind {
	case Limited:
		return t.take(upstream, Note{PerSecond: said.PerSecond}, now, now, 0)
	case Unlimited:
		return t.take(upstream, Note{Ended: true}, sent.Add(-endGrace), now, 0)
	default:
		return Change{}
	}
}

// Told takes what another process knows.
func (t *Table) Told(upstream Upstream, note Note, now time.Time) Change {
	return t.take(upstream, note, now.Add(-max(note.Age, 0)), now, clockSkew)
}

// take takes what was so at some time. What says the same as is known is no news unless it is
// newer by more than some time.
func (t *Table) take(upstream Upstream, note Note, at, now time.Time, slack time.Duration) Change {
	known := t.limits[upstream.key()]
	if known == nil {
		if note.Ended {
			return Change{}
		}
		known = t.add(upstream, at)
	} else if !at.After(known.at) {
		return Change{}
	}
	if note.same(known.note) {
		if at.Sub(known.at) > slack {
			known.at = at
		}
		return Change{}
	}
	change := Change{Changed: true, Before: known.note}
	known.note, known.at = note, at
	change.After, change.Tell = known.noted(now), known.tell(now)
	return change
}

// tell reports whether others are to hear of what is known, and notes that they do.
func (l *limit) tell(now time.Time) bool {
	turned := l.note.Ended != l.told.Ended
	if !turned && now.Sub(l.toldAt) < tellEvery {
		return false
	}
	if !turned && math.Abs(l.note.PerSecond-l.told.PerSecond) < tellStep*l.told.PerSecond {
		return false
	}
	l.told, l.toldAt = l.note, now
	return true
}

// add makes room for an upstream that has named no limit so far.
func (t *Table) add(upstream Upstream, at time.Time) *limit {
	if t.limits == nil {
		t.limits = map[key]*limit{}
	}
	if len(t.limits) >= mostKnown {
		t.dropOldest()
	}
	none := Note{Ended: true}
	made := &limit{upstream: upstream, note: none, told: none, at: at}
	t.limits[upstream.key()] = made
	return made
}

// dropOldest makes room by what was heard of longest ago.
func (t *Table) dropOldest() {
	var oldest key
	var at time.Time
	for k, l := range t.limits {
		if at.IsZero() || l.at.Before(at) {
			oldest, at = k, l.at
		}
	}
	delete(t.limits, oldest)
}

// Known returns what is to be told of an upstream, false where it never named a limit, or
// ended it long ago.
func (t *Table) Known(upstream Upstream, now time.Time) (Note, bool) {
	known := t.limits[upstream.key()]
	if known == nil || known.note.Ended && now.Sub(known.at) > endTold {
		return Note{}, false
	}
	return known.noted(now), true
}

func (l *limit) noted(now time.Time) Note {
	note := l.note
	note.Age = max(now.Sub(l.at), 0)
	return note
}

// Named is what is known of one upstream.
type Named struct {
	Upstream Upstream `json:"upstream"`
	Note
}

// All returns what is to be told of all upstreams.
func (t *Table) All(now time.Time) []Named {
	all := make([]Named, 0, len(t.limits))
	for _, l := range t.limits {
		if note, ok := t.Known(l.upstream, now); ok {
			all = append(all, Named{l.upstream, note})
		}
	}
	return all
}

// Limited reports whether an upstream has a limit.
func (t *Table) Limited(upstream Upstream) bool {
	known := t.limits[upstream.key()]
	return known != nil && !known.note.Ended
}

// Allow reports whether a request may go to an upstream now, by some share of its limit, and
// counts it. Else it returns after what time to ask again.
func (t *Table) Allow(upstream Upstream, share Share, now time.Time) (wait time.Duration, ok bool) {
	known := t.limits[upstream.key()]
	if known == nil || known.note.Ended {
		return 0, true
	}
	period := periodOf(known.note.PerSecond, share)
	if share.Of > 1 {
		known.turn(period, now, t.draw)
	} else {
		known.catchUp(period, now)
	}
	if known.due.After(now) {
		known.denied++
		return known.wait(period, share, now), false
	}
	known.due, known.denied = known.due.Add(period), 0
	return 0, true
}

// periodOf is the time between two requests by a share of a limit.
func periodOf(perSecond float64, share Share) time.Duration {
	rate := max(perSecond, leastPerSecond) * share.Part / float64(share.Of)
	return time.Duration(min(float64(time.Second)/rate, float64(longestPeriod)))
}

// catchUp moves the next request of who counts alone: what was not used is lost but for a
// little, and a limit that rose counts at once.
func (l *limit) catchUp(period time.Duration, now time.Time) {
	if least := now.Add(-maxBurst); l.due.Before(least) {
		l.due = least
	}
	if most := now.Add(period); l.due.After(most) {
		l.due = most
	}
}

// turn moves the next turn: the first comes by chance, and one that was not used is over.
func (l *limit) turn(period time.Duration, now time.Time, draw func() float64) {
	if l.due.IsZero() || l.due.After(now.Add(period)) {
		l.due = now.Add(time.Duration(draw() * float64(period)))
		return
	}
	if over := now.Sub(l.due) - turnLasts; over > 0 && period > 0 {
		l.due = l.due.Add((over/period + 1) * period)
	}
}

// wait is after what time to ask again. Who counts for others has them come one after the
// other.
func (l *limit) wait(period time.Duration, share Share, now time.Time) time.Duration {
	wait := l.due.Sub(now)
	if share.Of == 1 {
		wait += time.Duration(min(l.denied-1, int(mostWait/max(period, 1)))) * period
	}
	return min(wait, mostWait)
}

func (t *Table) draw() float64 {
	if t.Draw != nil {
		return t.Draw()
	}
	return rand.Float64()
}

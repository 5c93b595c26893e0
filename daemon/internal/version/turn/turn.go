// Package turn spreads the loads of a new version over time.
//
// An engine that takes a version serves nothing while it does. Each host works
// out its own time from what all hosts know, the declarations and the list of
// hosts, so no one gives turns and nothing waits for a dead host. A token that
// goes round was rejected: it stops with the host that holds it.
package turn

import (
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
)

const (
	// firstPart is the part of the time for a version before which no turns lie: the
	// chunks are on their way. lastLeft is the time after the last turn, for what runs then
	// and for the load itself, lastPart the same as a part where the whole time is short.
	firstPart = 0.45
	lastPart  = 0.86
	lastLeft  = 1120 * time.Millisecond
	// earlyPart is before any host can have the chunks: the early hosts' turn
	// has come once they do.
	earlyPart = 0.25
	// earlyHosts is how many hosts are to be done with a version before the
	// others: it shows soon whether the version loads at all. More than one,
	// because one may be slow or gone.
	earlyHosts = 2
)

// Window is the time in which the turns of a version lie.
type Window struct {
	// Early is the turn of the early hosts, and the others' lie from First to
	// Last.
	Early, First, Last time.Time
}

// IsEarly reports whether the host at a place is one of the early ones.
func IsEarly(place int) bool { return place < earlyHosts }

// NewWindow returns the window of a version declared at some time that must
// serve everywhere within apply. Due is when an older version that engines have
// not reached must serve, zero if there is none: reaching the newer one by then
// saves a load.
func NewWindow(declared time.Time, apply time.Duration, due time.Time) Window {
	w := Window{
		Early: declared.Add(part(earlyPart, apply)),
		First: declared.Add(part(firstPart, apply)), Last: declared.Add(apply - left(apply)),
	}
	if earlier := due.Add(-left(apply)); !due.IsZero() && earlier.Before(w.Last) {
		w.Last = earlier
	}
	if w.Last.Before(w.First) {
		w.Last = w.First
	}
	return w
}

// left is the time after the last turn.
func left(apply time.Duration) time.Duration { return min(part(1-lastPart, apply), lastLeft) }

// After returns the window of a host whose copy was whole at some time. Hosts that have it
// late, because the origin was away, take the rest of the time one after the other. As all
// turns had passed 69 engines of 76 were ordered within 0.7 s, and half of the worth of the
// two seconds after that was lost.
func (w Window) After(whole time.Time) Window {
	if whole.After(w.First) {
		w.First = whole
	}
	if whole.After(w.Early) {
		w.Early = whole
	}
	if w.Last.Before(w.First) {
		w.Last = w.First
	}
	return w
}

// Of returns the turn of the host at a place among some hosts.
func (w Window) Of(place, hosts int) time.Time {
	if IsEarly(place) {
		return w.Early
	}
	steps := max(hosts-1-earlyHosts, 1)
	return w.First.Add(w.Last.Sub(w.First) * time.Duration(place-earlyHosts) / time.Duration(steps))
}

// Place returns a host's place among all hosts in the order of their turns.
func Place(key, own string, hosts []string) int {
	return max(slices.Index(rendezvous.Rank("turn of "+key, hosts), own), 0)
}

func part(share float64, whole time.Duration) time.Duration {
	return time.Duration(share * float64(whole))
}

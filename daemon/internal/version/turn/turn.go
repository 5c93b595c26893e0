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
	// firstPart and lastPart are the parts of the time for a version between
	// which turns lie: before the first the chunks are on their way, and what
	// is after the last is for the load itself.
	firstPart = 0.45
	lastPart  = 0.86
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
		First: declared.Add(part(firstPart, apply)), Last: declared.Add(part(lastPart, apply)),
	}
	if earlier := due.Add(-part(1-lastPart, apply)); !due.IsZero() && earlier.Before(w.Last) {
		w.Last = earlier
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

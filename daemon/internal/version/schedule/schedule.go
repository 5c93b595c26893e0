// Package schedule spreads the loads of a new version over time, because an engine serves nothing
// while it loads. Package loader computes the scheduled load time of its engine with it.
//
// Each host computes its load time from data that all hosts share: the declared versions and
// the list of hosts. So no coordinator is needed and no host waits for a crashed one. A token
// that is passed from host to host was rejected, because it is lost with the host that holds
// it.
package schedule

import (
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
)

const (
	// firstShare is the share of the apply time before the first scheduled load, in which the
	// chunks are transferred.
	firstShare = 0.45
	// loadReserve is the time between the last scheduled load and the end of the apply time,
	// for requests that are running then and for the load itself. If the apply time is short,
	// the last load is scheduled at lastShare of it instead.
	lastShare   = 0.86
	loadReserve = 1120 * time.Millisecond
	// earlyShare is the share of the apply time before the early hosts may load. No host has
	// all chunks by then, so early hosts load as soon as they have them.
	earlyShare = 0.25
	// earlyHosts is the number of hosts that load a version before all others, to show early
	// whether it loads at all. There is more than one because one may be slow or crashed.
	earlyHosts = 2
)

// Window holds the scheduled load times of a version.
type Window struct {
	// Early is the load time of the early hosts. Those of the others are spread from First to
	// Last.
	Early, First, Last time.Time
}

// IsEarly reports whether the host of a rank is an early host.
func IsEarly(rank int) bool { return rank < earlyHosts }

// NewWindow returns the window of a version that was declared at some time and must serve
// everywhere within the apply time. If due is not zero, an older version that the engine has
// not loaded must serve by then: an engine that loads the newer version instead saves one load.
func NewWindow(declared time.Time, apply time.Duration, due time.Time) Window {
	w := Window{
		Early: declared.Add(fraction(earlyShare, apply)),
		First: declared.Add(fraction(firstShare, apply)), Last: declared.Add(apply - reserve(apply)),
	}
	if earlier := due.Add(-reserve(apply)); !due.IsZero() && earlier.Before(w.Last) {
		w.Last = earlier
	}
	if w.Last.Before(w.First) {
		w.Last = w.First
	}
	return w
}

// reserve returns the time between the last scheduled load and the end of the apply time.
func reserve(apply time.Duration) time.Duration {
	return min(fraction(1-lastShare, apply), loadReserve)
}

// Delayed returns the window of a host whose copy was complete at some time. Hosts whose copies
// are late, for example after an outage of the origin, are spread over the rest of the window:
// otherwise all of their load times would have passed and their engines would load at once.
func (w Window) Delayed(completed time.Time) Window {
	if completed.After(w.First) {
		w.First = completed
	}
	if completed.After(w.Early) {
		w.Early = completed
	}
	if w.Last.Before(w.First) {
		w.Last = w.First
	}
	return w
}

// LoadTime returns the scheduled load time of the host with a rank among a number of hosts.
func (w Window) LoadTime(rank, hosts int) time.Time {
	if IsEarly(rank) {
		return w.Early
	}
	steps := max(hosts-1-earlyHosts, 1)
	return w.First.Add(w.Last.Sub(w.First) * time.Duration(rank-earlyHosts) / time.Duration(steps))
}

// Rank returns the rank of a host in the order in which all hosts load the version that key
// names.
func Rank(key, self string, hosts []string) int {
	return max(slices.Index(rendezvous.Rank("turn of "+key, hosts), self), 0)
}

func fraction(share float64, of time.Duration) time.Duration {
	return time.Duration(share * float64(of))
}

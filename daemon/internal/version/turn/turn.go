// Package turn spreads the loads of a new version over time.
//
// An engine that takes a version serves nothing while it does. Each host works
// out its own time from what all hosts know, the declaration and the list of
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
	firstPart = 0.36
	lastPart  = 0.72
)

// Wait returns how long after a version was declared this host's turn is.
// Spread is the time in which the version must serve everywhere.
func Wait(key, own string, hosts []string, spread time.Duration) time.Duration {
	ranked := rendezvous.Rank("turn of "+key, hosts)
	place := max(slices.Index(ranked, own), 0)
	part := firstPart
	if len(ranked) > 1 {
		part += (lastPart - firstPart) * float64(place) / float64(len(ranked)-1)
	}
	return time.Duration(part * float64(spread))
}

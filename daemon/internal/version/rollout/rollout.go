// Package rollout decides which of the declared versions a loader fetches, and from where, whether
// its engine closes ahead of a load, and when the engine is expected to serve its next version.
// Package reconcile collects the inputs and applies the decisions.
//
// The load that it handles: a version is declared while the one before it is still being fetched,
// and the origin becomes unavailable in between. If a loader then gives up the older version, it
// waits for one that no host can fetch, although all chunks of the older one may be in the fleet.
// Engines must not serve the version before both of them for longer than the apply time, so
// they serve nothing until the origin is back and has sent a complete copy.
//
// The limits follow from what engines need: the newest version takes the link whenever it makes
// progress, because each load of an intermediate version costs an engine a pause; and the origin
// sends chunks of an older version only if that version can then be served in time, because the
// newest one waits for its link meanwhile.
//
// The decision uses only what a host sees by itself: its copies and the reports of its
// neighbours. Neighbours see nearly the same and so decide alike, without a message
// between them.
package rollout

import (
	"fmt"
	"time"
)

const (
	// StallTime is the time without progress of a fetch after which its version counts as unavailable.
	// It exceeds the time in which the first chunks arrive after a pause, while several hosts
	// share the origin's link, and is short compared with the apply time.
	StallTime = 800 * time.Millisecond
	// tailTime is the time from the last chunk's arrival at its first host to a complete copy on
	// most hosts: a hop to each hall and one within the hall.
	tailTime = 500 * time.Millisecond
	// keepMargin is how much later an older version that was preferred before may be complete.
	// Without it a small delay near the limit would waste what the origin has sent.
	keepMargin = 500 * time.Millisecond
	// loadPause is the engine time that a load of its own costs: the engine closes ahead of it, drains,
	// and loads.
	loadPause = 2 * time.Second
	// nearlyCompleteShare and maxNearlyComplete bound a fetch that ends before the newest version's
	// begins: the share of chunks on this host, and the time since its start.
	nearlyCompleteShare = 0.6
	maxNearlyComplete   = 6 * time.Second
)

// Sources is the set of sources from which a version may be fetched.
type Sources uint8

// The sources, which may be combined.
const (
	Peers Sources = 1 << iota
	Origin
	None Sources = 0
	All          = Peers | Origin
)

// Has reports whether all given sources are in the set.
func (s Sources) Has(sources Sources) bool { return s&sources == sources }

func (s Sources) String() string {
	return [...]string{"paused", "from peers", "from the origin", "from peers and the origin"}[s&All]
}

// Version is the state of the fetch of a version that is not complete on this host.
type Version struct {
	Number int
	// Due is the time at which engines must serve this version or a newer one, zero if not known.
	Due time.Time
	// HasManifest is set once the manifest is known. Otherwise no chunk can be fetched.
	HasManifest bool
	// Chunks is the number of chunks. Missing is the number that this host lacks, and Offered the
	// number of those that responsive neighbours have.
	Chunks, Missing, Offered int
	// Quiet is the time since this host last received a chunk, or saw one that no host had before.
	Quiet time.Duration
	// OriginFails is set while the origin fails the requests of this host, and OriginGone once it has answered
	// that it no longer sends this version.
	OriginFails, OriginGone bool
	// Fetched is the time since the start of the fetch.
	Fetched time.Duration
	// Preferred is set if the previous decision preferred this version to the newest one.
	Preferred bool
}

// available reports whether the version makes progress.
func (v Version) available() bool {
	return v.HasManifest && v.Quiet < StallTime && (v.Offered > 0 || !v.OriginFails)
}

// originOnly returns the number of chunks that only the origin can send.
func (v Version) originOnly() int { return v.Missing - v.Offered }

// obtainable reports whether no missing chunk is known to be gone.
func (v Version) obtainable() bool { return v.HasManifest && (!v.OriginGone || v.originOnly() == 0) }

// nearlyComplete reports whether the fetch should end before that of the newest version begins.
func (v Version) nearlyComplete() bool {
	return v.obtainable() && float64(v.Chunks-v.Missing) >= nearlyCompleteShare*float64(v.Chunks) &&
		v.Fetched < maxNearlyComplete
}

// Rates are the times that one chunk takes over the origin's link and over the host's; 0 means that
// a time is not known.
type Rates struct {
	OriginChunk, LinkChunk time.Duration
}

// complete returns the time at which a version would be complete on most hosts if it were fetched alone from
// now on. While the origin has to send chunks, only what all hosts know alike counts: each chunk is assigned to
// one host, so all would wait for the chunks of a host that decided otherwise.
func (r Rates) complete(v Version, now time.Time) time.Time {
	left := time.Duration(v.originOnly()) * r.OriginChunk
	if left == 0 {
		left = time.Duration(v.Missing) * r.LinkChunk
	}
	return now.Add(left + tailTime)
}

// Choice is the decision for one version.
type Choice struct {
	Sources Sources
	// Preferred is set for an older version that is completed before the newest one.
	Preferred bool
	// Reason explains the choice, for operators.
	Reason string
}

// Decide returns the choice for each version, given newest first. All of them are newer than the version
// that the engine serves and incomplete, and there is at least one.
func Decide(versions []Version, rates Rates, now time.Time) []Choice {
	choices := make([]Choice, len(versions))
	newest := versions[0]
	choices[0] = Choice{Sources: All, Reason: "newest version"}
	newerAvailable := newest.available()
	for i, older := range versions[1:] {
		choice := &choices[i+1]
		switch {
		case !newest.Due.IsZero() && !now.Before(newest.Due):
			*choice = Choice{Reason: "too old to be served"}
		case i == 0 && rates.olderIsInTime(newest, older, now):
			*choice = Choice{Sources: older.sources(All), Preferred: true, Reason: "can be complete in time, and the newest version cannot"}
			choices[0] = Choice{Reason: fmt.Sprintf("version %d can be complete in time", older.Number)}
			if older.originOnly() == 0 {
				choice.Sources, choices[0].Sources = Peers, Origin
			}
		case !newerAvailable:
			*choice = Choice{Sources: Peers, Reason: unavailableReason(newest)}
			if !newest.HasManifest && !older.Due.IsZero() && !rates.complete(older, now).After(older.Due) {
				choice.Sources = older.sources(All)
			}
		case i == 0 && older.nearlyComplete() && older.available():
			*choice = Choice{Sources: older.sources(All), Preferred: true, Reason: "nearly complete"}
			choices[0] = Choice{Sources: All &^ choice.Sources, Reason: fmt.Sprintf("version %d is nearly complete", older.Number)}
		default:
			*choice = Choice{Reason: "a newer version is available"}
		}
		newerAvailable = newerAvailable || older.available()
	}
	return choices
}

func (v Version) sources(allowed Sources) Sources {
	if v.OriginGone {
		return allowed &^ Origin
	}
	return allowed
}

// olderIsInTime reports whether the missing chunks of the older version can be fetched before that must
// be in force, while engines would have to wait too long for the newest one after that.
func (r Rates) olderIsInTime(newest, older Version, now time.Time) bool {
	if !older.obtainable() || older.Due.IsZero() {
		return false
	}
	limit := older.Due
	if older.Preferred {
		limit = limit.Add(keepMargin)
	}
	if r.complete(older, now).After(limit) {
		return false
	}
	if older.originOnly() == 0 {
		return r.complete(newest, now).After(older.Due)
	}
	// The newest version waits for the origin's link meanwhile. That is worth it only if engines
	// would otherwise serve nothing for longer than the load of the older version costs them.
	delay := time.Duration(older.originOnly()) * r.OriginChunk
	fails := older.OriginFails || newest.OriginFails
	return !fails && r.complete(newest, now).After(older.Due.Add(loadPause+delay))
}

func unavailableReason(newest Version) string {
	switch {
	case !newest.HasManifest:
		return fmt.Sprintf("no manifest of version %d yet", newest.Number)
	case newest.OriginFails:
		return fmt.Sprintf("the origin fails, and no neighbour offers a missing chunk of version %d", newest.Number)
	default:
		return fmt.Sprintf("version %d makes no progress", newest.Number)
	}
}

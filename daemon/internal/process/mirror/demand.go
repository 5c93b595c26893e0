package mirror

import "time"

const (
	// preferFrom and preferFull are the times before the end of a version's time between
	// which upstreams that lack it are avoided more and more: loads are under way then,
	// and a host whose link or loader has failed is to be empty before its
	// version's time is over.
	preferFrom = 2240 * time.Millisecond
	preferFull = 1200 * time.Millisecond
	// oldLeft is the time before the end in which they get nothing more: what waits in
	// their queues, or on the way, needs it. It needs no more where a version has more time:
	// 12 in 100 of 13.4 s had engines stand idle that were still to load.
	oldLeft = 960 * time.Millisecond
	// shortest is the time of a version below which these are parts of it.
	shortest = 8 * time.Second
)

// before returns the time that has passed when so much is left of a version's time.
func before(left, apply time.Duration) time.Duration {
	if apply < shortest {
		left = time.Duration(float64(left) * float64(apply) / float64(shortest))
	}
	return apply - left
}

// Demand says on which versions of a model requests may run.
type Demand struct {
	// Lowest is the lowest version that serves, 0 for any.
	Lowest int
	// Preferred is the version below which upstreams are avoided, 0 for none, and
	// Avoid how much: from 0, not at all, to 1.
	Preferred int
	Avoid     float64
}

// Demand returns what holds now for a model's newest declaration and those
// before it. Apply is the time that a declaration has.
func (d *Declared) Demand(now time.Time, apply time.Duration) Demand {
	demand := Demand{Lowest: d.Required(now, before(oldLeft, apply), apply)}
	from, full := before(preferFrom, apply), before(preferFull, apply)
	if declared := d.olderThan(from, now, apply); declared != nil {
		passed := now.Sub(declared.Since(apply))
		demand.Preferred = declared.Version
		demand.Avoid = min(float64(passed-from)/float64(full-from), 1)
	}
	return demand
}

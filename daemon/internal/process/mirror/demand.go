package mirror

import "time"

const (
	// preferFrom and preferFull are the parts of a version's time between which
	// upstreams that lack it are avoided more and more: loads are under way then,
	// and a host whose link or loader has failed is to be empty before its
	// version's time is over.
	preferFrom = 0.72
	preferFull = 0.85
	// oldShare is the part after which they get nothing more: what waits in
	// their queues, or on the way, needs the rest.
	oldShare = 0.88
)

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
	part := func(share float64) time.Duration { return time.Duration(share * float64(apply)) }
	demand := Demand{Lowest: d.Required(now, part(oldShare), apply)}
	if declared := d.olderThan(part(preferFrom), now, apply); declared != nil {
		passed := float64(now.Sub(declared.Since(apply))) / float64(apply)
		demand.Preferred = declared.Version
		demand.Avoid = min((passed-preferFrom)/(preferFull-preferFrom), 1)
	}
	return demand
}

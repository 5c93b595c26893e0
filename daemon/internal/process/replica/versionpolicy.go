package replica

import "time"

const (
	// avoidStart and avoidFull are the times remaining before a version's deadline at
	// which upstreams that lack it begin to be avoided, and are avoided fully. The
	// gradual shift drains hosts whose link or loader has failed before the deadline.
	avoidStart = 2240 * time.Millisecond
	avoidFull  = 1200 * time.Millisecond
	// cutoff is the time remaining before the deadline from which such upstreams get no
	// requests: those queued or in flight there need it to finish. It does not grow with the
	// apply timeout, since engines that are still to load would be idle.
	cutoff = 960 * time.Millisecond
	// unansweredCutoff replaces cutoff where the loader of an upstream does not answer. Its host's link may be
	// full, on which a request takes seconds to arrive, and its cancellation follows it as slowly.
	unansweredCutoff = 3200 * time.Millisecond
	// referenceTimeout is the apply timeout below which these times shrink in proportion.
	referenceTimeout = 8 * time.Second
)

// elapsedAt returns the time since a declaration at which the given part of its apply
// timeout remains.
func elapsedAt(remaining, applyTimeout time.Duration) time.Duration {
	if applyTimeout < referenceTimeout {
		remaining = time.Duration(float64(remaining) * float64(applyTimeout) / float64(referenceTimeout))
	}
	return applyTimeout - remaining
}

// VersionPolicy specifies on which versions of a model requests may run.
type VersionPolicy struct {
	// MinVersion is the lowest version that may serve, 0 for any, and MinVersionUnanswered that of upstreams
	// whose loader does not answer.
	MinVersion, MinVersionUnanswered int
	// PreferredVersion is the version below which upstreams are avoided, 0 for none, and
	// AvoidWeight how strongly: from 0, not at all, to 1.
	PreferredVersion int
	AvoidWeight      float64
}

// Cutoff returns when the declared version becomes the lowest that may serve.
func (d *Declaration) Cutoff(applyTimeout time.Duration) time.Time {
	return d.DeclaredAt(applyTimeout).Add(elapsedAt(cutoff, applyTimeout))
}

// VersionPolicy returns the policy in force for a model's newest declaration and those
// before it, each of which is to be applied within applyTimeout.
func (d *Declaration) VersionPolicy(now time.Time, applyTimeout time.Duration) VersionPolicy {
	policy := VersionPolicy{
		MinVersion:           d.MinVersion(now, elapsedAt(cutoff, applyTimeout), applyTimeout),
		MinVersionUnanswered: d.MinVersion(now, elapsedAt(unansweredCutoff, applyTimeout), applyTimeout),
	}
	start, full := elapsedAt(avoidStart, applyTimeout), elapsedAt(avoidFull, applyTimeout)
	if declared := d.olderThan(start, now, applyTimeout); declared != nil {
		elapsed := now.Sub(declared.DeclaredAt(applyTimeout))
		policy.PreferredVersion = declared.Version
		policy.AvoidWeight = min(float64(elapsed-start)/float64(full-start), 1)
	}
	return policy
}

// Package pace computes which chunks of a version a host may request from an origin whose link
// many hosts share, and for how long a chunk is overdue. Package swarm keeps one timeline for
// each version that it fetches.
//
// Each chunk is assigned to one host, and others take over once it is overdue. If the timeline
// ran on during an outage of the origin, every chunk would be overdue when the origin recovers:
// all hosts would request chunks at random at once and share the link, so that no host would
// have a chunk to pass on until nearly all chunks have arrived, and some would be sent twice.
//
// Therefore the timeline is paused while no chunk appears that no host had before. It resumes
// where it stopped, at the origin's rate, and otherwise ignores the reports of other hosts: in a
// large fleet they are up to a second old, and waiting for them would leave the origin idle.
// While the timeline is paused a few chunks stay due, so that the recovery is noticed.
//
// Overdue time goes on for hosts that do not see the origin fail, because the assigned host may
// have crashed. For a host that sees it fail only a small share of the outage counts, and a host
// that was taking over a chunk restarts its wait, because the origin was the cause. After the
// recovery chunks are granted the additional time that the burst of requests takes.
//
// Rejected: a deadline per chunk that hosts agree on, which an outage makes wrong for all of
// them; querying the origin for its load, which it does not report; and a fixed window of chunks
// that no host has, which a large fleet fills with chunks that are not reported yet.
package pace

import "time"

const (
	// StallThreshold is the time without a new chunk after which the timeline is paused.
	StallThreshold = 400 * time.Millisecond
	// lookahead is the number of chunks beyond the timeline's position that are due. It covers
	// the chunks that are in flight between hosts and halls.
	lookahead = 12
	// pausedWindow is the maximum number of chunks due beyond those that were seen at any host
	// while the timeline is paused. As many are requested at once when the origin recovers.
	pausedWindow = 2 * lookahead
	// outageShare is the share of an outage that counts as overdue time. It is so small that
	// an outage of a few seconds does not make hosts take over from each other, which the first
	// does after a second.
	outageShare = 1.0 / 16
)

// Timeline tracks which chunks of one version are due or overdue at one host. Start must be
// called first.
type Timeline struct {
	// Chunks is the number of chunks, and CopyTime how long the origin takes to send all of
	// them; 0 means that it is not known, and all chunks are due at once.
	Chunks   int
	CopyTime time.Duration

	startedAt time.Time
	// paused is the total time for which the timeline was paused.
	paused time.Duration
	// lastNewAt is when a chunk last appeared that no host had before.
	lastNewAt time.Time
	// lastReceivedAt is when this host last received a chunk, and stalled the total time in
	// which it received none although other hosts had them.
	lastReceivedAt time.Time
	stalled        time.Duration
	// failedAt is when the origin started to fail requests of this host, zero while it
	// answers them.
	failedAt time.Time
	// grace is the additional time that chunks are granted after failures of the origin.
	grace time.Duration
}

// Start starts the timeline.
func (t *Timeline) Start(now time.Time) { t.startedAt, t.lastNewAt, t.lastReceivedAt = now, now, now }

// Elapsed returns the time since the start of the timeline.
func (t *Timeline) Elapsed(now time.Time) time.Duration { return now.Sub(t.startedAt) }

// OriginFailed records that the origin failed a request of this host for a chunk.
func (t *Timeline) OriginFailed(index int, now time.Time) {
	t.grace += max(0, t.OriginOverdue(index, now))
	if t.failedAt.IsZero() {
		t.failedAt = now
	}
}

// OriginWithheld records that this host may not request chunks of the version from the origin for
// now. Like an outage, that time makes no host take over chunks from others.
func (t *Timeline) OriginWithheld(now time.Time) {
	if t.failedAt.IsZero() {
		t.failedAt = now
	}
}

// OriginFails reports whether the origin fails the requests of this host, or is withheld.
func (t *Timeline) OriginFails() bool { return !t.failedAt.IsZero() }

// Resume continues a fetch that was suspended for some time, which counts neither as progress nor as
// overdue.
func (t *Timeline) Resume(suspended time.Duration, now time.Time) {
	t.paused += suspended
	t.lastNewAt, t.lastReceivedAt = now, now
	if !t.failedAt.IsZero() {
		t.failedAt = now
	}
}

// Quiet returns the time since this host last received a chunk or a chunk appeared that no host
// had before.
func (t *Timeline) Quiet(now time.Time) time.Duration {
	return min(now.Sub(t.lastNewAt), now.Sub(t.lastReceivedAt))
}

// ChunkReceived records that this host received a chunk. Of the time since the chunk before it
// only the first StallThreshold counts as overdue time of other chunks.
func (t *Timeline) ChunkReceived(now time.Time) {
	if gap := now.Sub(t.lastReceivedAt); t.failedAt.IsZero() && gap > StallThreshold {
		t.stalled += gap - StallThreshold
	}
	t.lastReceivedAt = now
}

// NewChunkSeen records that a chunk appeared that no host had before, and that seen chunks have
// now been seen at any host. It resumes a paused timeline.
func (t *Timeline) NewChunkSeen(seen int, now time.Time) {
	if t.isPaused(now) {
		// Resume in the middle of the chunk at which the timeline was paused, so that rounding
		// does not change the number of chunks due.
		position := time.Duration(t.DueChunks(now, seen) - lookahead)
		t.paused = max(t.paused, now.Sub(t.startedAt)-(2*position+1)*t.CopyTime/time.Duration(2*t.Chunks))
	}
	if !t.failedAt.IsZero() {
		t.grace = max(t.grace, t.CopyTime*pausedWindow/time.Duration(t.Chunks))
		t.failedAt, t.lastReceivedAt = time.Time{}, now
	}
	t.lastNewAt = now
}

// OriginAnswered records that the origin sent this host a chunk, which other hosts may have
// already.
func (t *Timeline) OriginAnswered(seen int, now time.Time) {
	if !t.failedAt.IsZero() {
		t.NewChunkSeen(seen, now)
	}
}

// isPaused reports whether the timeline is paused: the origin fails requests of this host, or
// no new chunk has appeared for longer than StallThreshold.
func (t *Timeline) isPaused(now time.Time) bool {
	return !t.failedAt.IsZero() || now.Sub(t.lastNewAt) > StallThreshold
}

// DueChunks returns the number of chunks, in index order, that may be requested from the origin
// by now, given how many were seen at any host. All hosts request chunks in index order at the
// rate of the origin's link: if each requested all of its chunks at once, they would share the
// link and even the first chunk would be late.
func (t *Timeline) DueChunks(now time.Time, seen int) int {
	if t.CopyTime <= 0 {
		return t.Chunks
	}
	// A host that starts late, for example because it was restarted or got the manifest late, is behind the
	// other hosts. They would wait for its chunks at the end.
	least := min(t.Chunks, seen+lookahead/2)
	if !t.isPaused(now) {
		return max(least, t.dueAt(now))
	}
	pausedAt := t.lastNewAt.Add(StallThreshold)
	if !t.failedAt.IsZero() && t.failedAt.Before(pausedAt) {
		pausedAt = t.failedAt
	}
	return max(least, min(t.dueAt(pausedAt), seen+pausedWindow))
}

// dueAt returns the number of chunks that are due at a time while the timeline runs.
func (t *Timeline) dueAt(now time.Time) int {
	progress := float64(now.Sub(t.startedAt)-t.paused) / float64(t.CopyTime)
	return min(t.Chunks, int(progress*float64(t.Chunks))+lookahead)
}

// InFlightTime returns how long the origin takes to send the chunks that are requested at once.
func (t *Timeline) InFlightTime() time.Duration {
	return t.CopyTime * lookahead / time.Duration(max(t.Chunks, 1))
}

// OriginOverdue returns for how long a chunk from the origin is overdue, negative if it is not
// due yet.
func (t *Timeline) OriginOverdue(index int, now time.Time) time.Duration {
	counted := time.Duration(outageShare * float64(t.outage(now)))
	return t.PeerOverdue(index, now) - t.outage(now) - t.grace + counted
}

// PeerOverdue returns for how long a chunk that another host has is overdue. Failures of the
// origin do not reduce it, because they are not the cause.
func (t *Timeline) PeerOverdue(index int, now time.Time) time.Duration {
	dueAfter := t.CopyTime * time.Duration(index+1) / time.Duration(t.Chunks)
	return now.Sub(t.startedAt) - dueAfter - t.paused - t.stalled
}

// outage returns for how long the origin has failed requests of this host, 0 while it answers
// them.
func (t *Timeline) outage(now time.Time) time.Duration {
	if t.failedAt.IsZero() {
		return 0
	}
	return now.Sub(t.failedAt)
}

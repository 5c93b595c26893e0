// Package pace says which chunks of a version are due from an origin that many hosts
// share, and for how long a chunk is overdue.
//
// The load that it answers: some hundred hosts want the same hundred chunks, the
// origin's link takes seconds for one copy of them, and in the middle of it the origin
// is gone for longer than that. Each chunk falls to one host, and others stand in once
// it is overdue. If time ran on while the origin is gone, every chunk would be overdue
// at its return, all hosts would ask for chunks at random at once, and since they share
// the link none would be whole anywhere before nearly all are: hosts could hand on
// nothing meanwhile, and some chunks would be sent twice. Seen with 202 hosts: the
// first was whole 5.1 s after the return, where one copy takes 2.6 s.
//
// So the time line stands still while no chunk appears anywhere that nobody had, and goes
// on from where it stood once one does, at the origin's pace and with no regard to what
// is heard of other hosts: in a fleet of hundreds that is up to a second old, and waiting
// for it had the origin idle for half of the time. While the line stands still a few
// chunks are asked for, so that the return shows. What is overdue goes on for those who do
// not find the origin gone themselves, since a host may have died; for those who do only a
// small part counts. Who finds it gone as it stands in for another host begins to wait
// anew, because the origin was the cause. And after the return chunks have as much more
// time as those take that are asked for at once then.
//
// Rejected: a time for each chunk that hosts agree on, which an outage makes wrong for
// all; asking the origin how busy it is, which it does not tell; a window of unseen chunks
// at all times, which a large fleet fills with what it has not heard of yet.
package pace

import "time"

const (
	// Standstill is the longest pause between chunks that is none.
	Standstill = 400 * time.Millisecond
	// ahead is how many chunks are asked of the origin at the same time while it keeps
	// its pace: as many as are under way to other hosts and halls meanwhile.
	ahead = 12
	// window is how many chunks that nobody has are asked for while none appears. At the
	// return of an origin so many are asked for at once.
	window = 2 * ahead
	// outageShare is the part of an outage that counts as time: 6 s of it are far less than
	// the second after which the first host stands in for another.
	outageShare = 1.0 / 16
)

// Pace is the time line of one version at one host. The zero value has not begun.
type Pace struct {
	// Chunks is how many there are, and CopyTime how long the origin takes for all of
	// them; 0 means that it is not known, and all are due at once.
	Chunks   int
	CopyTime time.Duration

	begun time.Time
	// stood is the time in which no chunk appeared that nobody had.
	stood time.Duration
	// newsAt is when one last did.
	newsAt time.Time
	// progressed is when a chunk last came to this host, and slow the time in which none
	// did although others had them.
	progressed time.Time
	slow       time.Duration
	// failedAt is when the origin began to fail this host, zero where it does not.
	failedAt time.Time
	// grace is how much later than due chunks may be for want of the origin.
	grace time.Duration
}

// Begin starts the time line.
func (p *Pace) Begin(now time.Time) { p.begun, p.newsAt, p.progressed = now, now, now }

// Since is the time since the begin.
func (p *Pace) Since(now time.Time) time.Duration { return now.Sub(p.begun) }

// Failed notes that the origin failed this host, which had asked it for a chunk.
func (p *Pace) Failed(index int, now time.Time) {
	p.grace += max(0, p.Late(index, now))
	if p.failedAt.IsZero() {
		p.failedAt = now
	}
}

// Came notes that a chunk came to this host. A pause before it does not count in what it
// waits for, but for the part that is none.
func (p *Pace) Came(now time.Time) {
	if pause := now.Sub(p.progressed); p.failedAt.IsZero() && pause > Standstill {
		p.slow += pause - Standstill
	}
	p.progressed = now
}

// Seen notes that a chunk came to some host, this one or another, which none had before,
// where some were seen until then.
func (p *Pace) Seen(seen int, now time.Time) {
	if p.standing(now) {
		asked := time.Duration(p.Due(now, seen) - ahead)
		p.stood = max(p.stood, now.Sub(p.begun)-(2*asked+1)*p.CopyTime/time.Duration(2*p.Chunks))
	}
	if !p.failedAt.IsZero() {
		p.grace = max(p.grace, p.CopyTime*window/time.Duration(p.Chunks))
		p.failedAt, p.progressed = time.Time{}, now
	}
	p.newsAt = now
}

// Answered notes that the origin sent this host a chunk, which others may have had.
func (p *Pace) Answered(seen int, now time.Time) {
	if !p.failedAt.IsZero() {
		p.Seen(seen, now)
	}
}

// standing reports whether the time line stands still: the origin fails this host, or
// nothing appeared for long.
func (p *Pace) standing(now time.Time) bool {
	return !p.failedAt.IsZero() || now.Sub(p.newsAt) > Standstill
}

// Due is how many chunks may have been asked of the origin by now, where some were seen
// at any host. All hosts ask for chunks in the order of their places, at the pace of the
// origin's link: if each asked for all of its chunks at once, the link would be shared
// among all of them and even the first chunk would be late.
func (p *Pace) Due(now time.Time, seen int) int {
	if p.CopyTime <= 0 {
		return p.Chunks
	}
	if !p.standing(now) {
		return p.dueAt(now)
	}
	since := p.newsAt.Add(Standstill)
	if !p.failedAt.IsZero() && p.failedAt.Before(since) {
		since = p.failedAt
	}
	return min(p.dueAt(since), seen+window)
}

// dueAt is what the time line says.
func (p *Pace) dueAt(now time.Time) int {
	passed := float64(now.Sub(p.begun)-p.stood) / float64(p.CopyTime)
	return min(p.Chunks, int(passed*float64(p.Chunks))+ahead)
}

// UnderWay is how long the origin takes for the chunks that are asked of it at the same time.
func (p *Pace) UnderWay() time.Duration {
	return p.CopyTime * ahead / time.Duration(max(p.Chunks, 1))
}

// Late is for how long a chunk is overdue from the origin, below 0 where it is not.
func (p *Pace) Late(index int, now time.Time) time.Duration {
	counts := time.Duration(outageShare * float64(p.outage(now)))
	return p.Waited(index, now) - p.outage(now) - p.grace + counts
}

// Waited is for how long a chunk is overdue that some host has: the origin is not the
// cause.
func (p *Pace) Waited(index int, now time.Time) time.Duration {
	due := p.CopyTime * time.Duration(index+1) / time.Duration(p.Chunks)
	return now.Sub(p.begun) - due - p.stood - p.slow
}

// outage is for how long the origin has failed this host by now, 0 where it does not.
func (p *Pace) outage(now time.Time) time.Duration {
	if p.failedAt.IsZero() {
		return 0
	}
	return now.Sub(p.failedAt)
}

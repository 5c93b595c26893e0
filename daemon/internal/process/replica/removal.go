package replica

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file decides what stays of an upstream or a router whose entry is removed: those with a grace period stay
// in use until it ends, and one that was leaving never becomes ready again.

// memberRestoreGrace is how long a router stays in use after its entry was lost in a restore. Routers
// write theirs again spread over some seconds.
const memberRestoreGrace = 20 * time.Second

// leftRetention is how long it is kept that an upstream is leaving after its entry was last seen.
const leftRetention = 15 * time.Minute

// expiredUpstream is an upstream whose entry was removed, and until when it stays in use.
type expiredUpstream struct {
	registeredUpstream
	until time.Time
}

// lostMember is a router whose entry was lost in a restore, and until when it stays in use.
type lostMember struct {
	*provider.Member
	until time.Time
}

// upstreamRun identifies one run of an upstream.
type upstreamRun struct {
	id      string
	started int64
}

func runOf(upstream *provider.Upstream) upstreamRun {
	return upstreamRun{id: upstream.ID, started: upstream.Started.UnixNano()}
}

// keepExpired keeps the upstream or router of a removed entry that has a grace period, and reports
// whether it has kept an upstream. One that was leaving does not register again.
func (c *Compiler) keepExpired(entry provider.Entry) bool {
	now := c.now()
	if member := c.members[entry.Key]; member != nil && entry.Grace.Reason == provider.GraceRestore {
		c.lostMembers[entry.Key] = lostMember{Member: member, until: now.Add(memberRestoreGrace)}
	}
	upstream, ok := c.upstreams[entry.Key]
	if !ok || upstream.Leaving || entry.Grace.For <= 0 {
		return false
	}
	copied := *upstream.Upstream
	copied.KeptSince = now
	upstream.Upstream = &copied
	c.expired[entry.Key] = expiredUpstream{registeredUpstream: upstream, until: now.Add(entry.Grace.For)}
	return true
}

// pruneExpired drops the expired upstreams that registered again or whose grace period is
// over.
func (c *Compiler) pruneExpired() {
	for key, upstream := range c.expired {
		_, registered := c.upstreams[key]
		if !registered && c.now().Before(upstream.until) {
			continue
		}
		delete(c.expired, key)
		if c.OnKeptEnd != nil {
			c.OnKeptEnd(upstream.Upstream, registered)
		}
	}
	for key, member := range c.lostMembers {
		if c.members[key] != nil || !c.now().Before(member.until) {
			delete(c.lostMembers, key)
		}
	}
	for run, seen := range c.left {
		if c.now().Sub(seen) > leftRetention {
			delete(c.left, run)
		}
	}
}

// nextExpiry returns the time until the next grace period of an upstream or router whose entry was
// removed is over, and false if there is none.
func (c *Compiler) nextExpiry() (time.Duration, bool) {
	var next time.Time
	earliest := func(until time.Time) {
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	for _, upstream := range c.expired {
		earliest(upstream.until)
	}
	for _, member := range c.lostMembers {
		earliest(member.until)
	}
	return max(next.Sub(c.now()), 0), !next.IsZero()
}

// scheduleRecompile schedules Recompile for the end of the next grace period.
func (c *Compiler) scheduleRecompile() {
	if c.expiry != nil {
		c.expiry.Stop()
	}
	if remaining, ok := c.nextExpiry(); ok && c.Recompile != nil {
		c.expiry = time.AfterFunc(remaining, c.Recompile)
	}
}

// keepLeaving marks an upstream as leaving if an earlier record of the same run did.
func (c *Compiler) keepLeaving(upstream *provider.Upstream) {
	run := runOf(upstream)
	if _, left := c.left[run]; left || upstream.Leaving {
		upstream.Leaving = true
		c.left[run] = c.now()
	}
}

// forgetLeft forgets that an upstream was leaving whose entry is removed and does not tell when it
// started: an entry under the same key may be that of a later run.
func (c *Compiler) forgetLeft(key string) {
	if upstream, ok := c.upstreams[key]; ok && upstream.Started.IsZero() {
		delete(c.left, runOf(upstream.Upstream))
	}
}

package soak

import (
	"slices"
	"time"
)

// This file checks that upstreams that leave get no more requests, and measures what the machine of the run adds to
// the bounds of all checks.

const (
	// leaveBound is the time after which routers must not send to an upstream whose leaving the store has
	// acknowledged.
	leaveBound = 2 * time.Second
	// contactTime is how long a router must have been in touch with the store for that to bind it.
	contactTime = 3 * time.Second
	// heartbeatInterval is the interval at which the harness measures how late it is scheduled.
	heartbeatInterval = 20 * time.Millisecond
)

// leave makes an upstream announce that it leaves, serve for drainTime, and exit.
func (f *fleet) leave(h *host) {
	f.depart(h, UpstreamLeave, func() { h.currentUpstream().StartDraining() })
}

// unlist removes the record of an upstream that announces nothing, serves for drainTime, and exits.
func (f *fleet) unlist(h *host) {
	f.depart(h, UpstreamUnlist, func() { h.currentUpstream().Unlist() })
}

// depart lets an upstream leave in the given way, and replaces it.
func (f *fleet) depart(h *host, kind Kind, begin func()) {
	if !h.claim() {
		return
	}
	defer h.release()
	f.injectOnce(kind, h.address.String(), func() {
		begin()
		f.oracle.RecordLeaving(h.currentUpstream().Record.ID)
		f.wait(drainTime)
		f.stopUpstream(h, 0)
		h.nextID()
		f.restartUpstream(h, 0)
	})
}

// departure is the leaving of an upstream.
type departure struct {
	// at is when the store acknowledged it, and stable is set if the store was stable then.
	at     time.Time
	stable bool
}

// RecordLeaving records that the store has acknowledged that an upstream leaves.
func (o *Oracle) RecordLeaving(upstream string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	set(&o.leaving, upstream, departure{at: now, stable: !o.activeSince(now.Add(-contactTime), "", "store")})
}

// RecordRestored records that an upstream is in use again after RecordLeaving.
func (o *Oracle) RecordRestored(upstream string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.leaving, upstream)
}

// checkLeaving checks a request that arrived at an upstream. It must be called with mu held.
func (o *Oracle) checkLeaving(id, upstream string, now time.Time) {
	left, leaves := o.leaving[upstream]
	if !leaves || !left.stable || !o.inTouch(o.routerOf[id], now) {
		return
	}
	since := now.Sub(left.at)
	if bound := leaveBound + o.slack(left.at); since > bound {
		o.violatef(CheckLeaving, id, "%s received a request from %s %s after the store acknowledged that it leaves, %s are allowed",
			upstream, o.routerOf[id], since.Round(time.Millisecond), bound.Round(time.Millisecond))
	}
}

// inTouch reports whether a router, its links and the store have had no fault for contactTime. It must be called
// with mu held.
func (o *Oracle) inTouch(router string, now time.Time) bool {
	return !o.activeSince(now.Add(-contactTime), router, "store", "router", "all", "link")
}

// activeSince is faultActive without the time after a fault for which checks stay suspended.
func (o *Oracle) activeSince(from time.Time, router string, components ...string) bool {
	return slices.ContainsFunc(o.spans, func(s *faultSpan) bool {
		return (s.to.IsZero() || !s.to.Before(from)) && s.affects(router, components)
	})
}

// RunHeartbeat measures how late the harness is scheduled, until done is closed.
func (o *Oracle) RunHeartbeat(done <-chan struct{}) {
	for last := time.Now(); ; {
		select {
		case <-done:
			return
		case <-time.After(heartbeatInterval):
		}
		now := time.Now()
		o.recordHeartbeat(now, now.Sub(last)-heartbeatInterval)
		last = now
	}
}

// delay is a heartbeat that was late.
type delay struct {
	at time.Time
	by time.Duration
}

// minDelay is the lateness of a heartbeat on an idle machine, which is not recorded.
const minDelay = 5 * time.Millisecond

func (o *Oracle) recordHeartbeat(now time.Time, late time.Duration) {
	if late < minDelay {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.delays = append(o.delays, delay{at: now, by: late})
}

// slack returns what is added to a bound that runs from a time.
func (o *Oracle) slack(since time.Time) time.Duration { return o.Slack + o.lateness(since) }

// lateness returns how late the heartbeats were together since a time. It must be called with mu held.
func (o *Oracle) lateness(since time.Time) time.Duration {
	total := time.Duration(0)
	for _, d := range slices.Backward(o.delays) {
		if d.at.Before(since) {
			break
		}
		total += d.by
	}
	return total
}

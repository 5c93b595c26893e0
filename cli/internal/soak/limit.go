package soak

import (
	"strconv"
	"time"
)

const (
	// From limitGrace after an upstream announced its limit, it may receive in any limitWindow
	// limitSlack times the requests that the limit allows, plus limitExtra. Oracle.Slack is not
	// added, since a slow machine sends fewer requests, not more.
	limitGrace             = 3 * time.Second
	limitWindow            = 4 * time.Second
	limitSlack, limitExtra = 1.5, 5.0
	// maxUpstreamLimit is the limit that a step of strength 1 announces, in requests per second.
	maxUpstreamLimit = 10.0
)

// upstreamLimit is the rate limit that an upstream currently announces, with the requests
// that arrived in the last limitWindow.
type upstreamLimit struct {
	perSecond float64
	since     time.Time
	arrivals  arrivals
}

// arrivals holds the times of the requests that arrived in a window, from oldest to newest.
type arrivals []time.Time

// add adds a request that arrives now, and returns the number of those within the last window.
func (a *arrivals) add(now time.Time, window time.Duration) int {
	*a = append(*a, now)
	for now.Sub((*a)[0]) >= window {
		*a = (*a)[1:]
	}
	return len(*a)
}

// limitUpstream makes an upstream announce a rate limit for the duration of the step.
func (f *fleet) limitUpstream(h *host, step Step) {
	perSecond := maxUpstreamLimit * step.Strength
	f.injectFor(step.Kind, h.address.String(), time.Duration(step.For), func(on bool) {
		u := h.currentUpstream()
		if !on {
			u.SetLimit("")
			f.oracle.RecordLimitCleared(u.Record.ID)
			return
		}
		u.SetLimit(strconv.FormatFloat(perSecond, 'g', -1, 64))
		f.oracle.RecordLimit(u.Record.ID, perSecond)
	})
}

// RecordLimit records that an upstream announces a limit of perSecond requests over all routers.
func (o *Oracle) RecordLimit(upstream string, perSecond float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	set(&o.limits, upstream, &upstreamLimit{perSecond: perSecond, since: time.Now()})
}

// RecordLimitCleared records that an upstream no longer announces a limit.
func (o *Oracle) RecordLimitCleared(upstream string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.limits, upstream)
}

// checkLimit counts a request that arrived at an upstream and reports a limit that is
// exceeded. Requests of routers that were recently stopped, killed or frozen don't count.
// It must be called with mu held.
func (o *Oracle) checkLimit(id, upstream string, now time.Time) {
	l := o.limits[upstream]
	if l == nil || now.Sub(l.since) < limitGrace+o.lateness(l.since) || o.faultActive(l.since, now, o.routerOf[id], "router", "all") {
		return
	}
	received := l.arrivals.add(now, limitWindow)
	if allowed := limitSlack*l.perSecond*limitWindow.Seconds() + limitExtra; float64(received) > allowed {
		o.violatef(CheckLimit, id, "%s announces a limit of %g requests per second and received %d requests in %s, %.0f allowed", upstream, l.perSecond, received, limitWindow, allowed)
	}
}

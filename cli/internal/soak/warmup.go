package soak

import "time"

const (
	// coldRate is the number of requests per second that a cold upstream sustains. In each
	// coldWindow it may receive coldSlack times as many, plus coldExtra. Oracle.Slack is not added,
	// since a slow machine sends fewer requests, not more.
	coldRate             = 4.0
	coldWindow           = time.Second
	coldSlack, coldExtra = 1.5, 5.0
	// minColdTime is added to the duration of a step, so that several windows are checked.
	minColdTime = 3 * time.Second
)

// coldUpstream is an upstream in its warm-up, with the requests that arrived in the last coldWindow.
type coldUpstream struct {
	until    time.Time
	arrivals arrivals
}

// startCold replaces an upstream by one that is cold after its start.
func (f *fleet) startCold(h *host, duration time.Duration) {
	if !h.claim() {
		return
	}
	defer h.release()
	f.injectOnce(UpstreamCold, h.address.String(), func() {
		f.stopUpstream(h, 0)
		h.nextID()
		f.restartUpstream(h, minColdTime+duration)
		f.wait(minColdTime + duration)
	})
}

// RecordCold records that an upstream starts and is cold for a time.
func (o *Oracle) RecordCold(upstream string, remaining time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	set(&o.cold, upstream, &coldUpstream{until: time.Now().Add(remaining)})
}

// checkCold counts a request that arrived at an upstream and reports too many of them in its warm-up.
// A faulty link may deliver the requests of several seconds in one. It must be called with mu held.
func (o *Oracle) checkCold(id, upstream string, now time.Time) {
	c := o.cold[upstream]
	if c == nil || now.After(c.until) || o.faultActive(now, now, o.routerOf[id], "link") {
		return
	}
	received := c.arrivals.add(now, coldWindow)
	if allowed := coldSlack*coldRate*coldWindow.Seconds() + coldExtra; float64(received) > allowed {
		o.violatef(CheckCold, id, "%s, which is cold for another %s and sustains %g requests per second, received %d requests in %s, %.0f allowed",
			upstream, c.until.Sub(now).Round(time.Millisecond), coldRate, received, coldWindow, allowed)
	}
}

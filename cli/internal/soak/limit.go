package soak

import (
	"strconv"
	"time"
)

// This file has upstreams name the requests a second that they take from all routers, and
// counts what comes to them.

const (
	// An upstream that named a limit may get, in any limitWindow that begins limitBound later,
	// limitSlack times what that allows and limitExtra requests more. No patience is added: a
	// slow machine sends less.
	limitBound            = 3*time.Second + boundSlack
	limitWindow           = 4 * time.Second
	limitSlack, limitMore = 1.5, 5.0
	// mostNamed is the limit that an upstream names at a strength of 1, in requests a second.
	mostNamed = 10.0
)

// namedLimit is an upstream's limit while it names one.
type namedLimit struct {
	perSecond float64
	since     time.Time
	arrivals  []time.Time
}

// limit has an upstream name a limit for a while.
func (f *fleet) limit(h *host, step Step) {
	perSecond := mostNamed * step.Strength
	f.during(step.Kind, h.address.String(), time.Duration(step.For), func(on bool) {
		u := h.current()
		if !on {
			u.SetLimit("")
			f.oracle.Unlimited(u.Record.ID)
			return
		}
		u.SetLimit(strconv.FormatFloat(perSecond, 'g', -1, 64))
		f.oracle.Limited(u.Record.ID, perSecond)
	})
}

// Limited notes that an upstream names a limit, and Unlimited that it names none any more.
func (o *Oracle) Limited(upstream string, perSecond float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	set(&o.limits, upstream, &namedLimit{perSecond: perSecond, since: time.Now()})
}

// Unlimited ends what Limited began.
func (o *Oracle) Unlimited(upstream string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.limits, upstream)
}

// checkLimit counts a request that came to an upstream. Routers that were stopped, killed or
// frozen of late are excused; mu must be held.
func (o *Oracle) checkLimit(id, upstream string, now time.Time) {
	l := o.limits[upstream]
	if l == nil || now.Sub(l.since) < limitBound || o.disturbed(l.since, now, o.router[id], "router", "all") {
		return
	}
	l.arrivals = append(l.arrivals, now)
	for now.Sub(l.arrivals[0]) >= limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	if most := limitSlack*l.perSecond*limitWindow.Seconds() + limitMore; float64(len(l.arrivals)) > most {
		o.violatef(CheckLimit, id, "%s, which names a limit of %g a second, got %d requests in %s, %.0f allowed", upstream, l.perSecond, len(l.arrivals), limitWindow, most)
	}
}

package soak

import (
	"net/http"
	"strconv"
	"time"

	"github.com/wheelcleat/wheelcleat/platform/standin"
)

const (
	// statedLeaveBound is the time after which a router must not send to an upstream that stated
	// to it that it leaves.
	statedLeaveBound = 2 * time.Second
	// From pauseGrace after an upstream asked a router for a pause, maxInPause requests of that
	// router may arrive until its end.
	pauseGrace = 500 * time.Millisecond
	maxInPause = 2
	// longestPause is the pause that a step of strength 1 asks for.
	longestPause = 5 * time.Second
)

// withdrawal is what the responses of an upstream stated about further requests.
type withdrawal struct {
	// stated is when a response first stated to each router that the upstream leaves, and pauses
	// holds the pauses that it asked each router for.
	stated map[string]time.Time
	pauses map[string][]*statedPause
}

// statedPause is a pause that an upstream asked a router for, and the requests that arrived in it.
type statedPause struct {
	from, until time.Time
	arrivals    int
}

// leaveUnrecorded makes an upstream state in its responses that it leaves, serve for drainTime, and
// exit. The store keeps the record of a ready upstream, as if it did not receive the new one.
func (f *fleet) leaveUnrecorded(h *host) {
	if !h.claim() {
		return
	}
	defer h.release()
	f.injectOnce(UpstreamLeaveUnrecorded, h.address.String(), func() {
		h.currentUpstream().SetLeaving()
		f.wait(drainTime)
		f.stopUpstream(h, 0)
		h.nextID()
		f.restartUpstream(h, 0)
	})
}

// pauseUpstream makes an upstream reject each request and ask for a pause, for the duration of the
// step.
func (f *fleet) pauseUpstream(h *host, step Step) {
	pause := step.Strength * longestPause.Seconds()
	f.injectFor(step.Kind, h.address.String(), time.Duration(step.For), func(on bool) {
		seconds := ""
		if on {
			seconds = strconv.FormatFloat(pause, 'f', -1, 64)
		}
		h.currentUpstream().SetRetryAfter(seconds)
	})
}

// RecordResponse records what the response of an upstream states about further requests of the
// router that sent the request.
func (o *Oracle) RecordResponse(id, upstream string, header http.Header) {
	leaving, retryAfter := header.Get(standin.HeaderLeaving) != "", header.Get("Retry-After")
	if !leaving && retryAfter == "" {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now, router := time.Now(), o.routerOf[id]
	w := o.withdrawals[upstream]
	if w == nil {
		w = &withdrawal{stated: map[string]time.Time{}, pauses: map[string][]*statedPause{}}
		set(&o.withdrawals, upstream, w)
	}
	if _, ok := w.stated[router]; !ok && leaving {
		w.stated[router] = now
	}
	if seconds, err := strconv.ParseFloat(retryAfter, 64); err == nil {
		until := now.Add(time.Duration(seconds * float64(time.Second)))
		w.pauses[router] = append(w.pauses[router], &statedPause{from: now, until: until})
	}
}

// checkWithdrawal checks a request that arrived at an upstream against what the upstream stated to
// its router before. Routers that were stopped, killed or frozen meanwhile may have forgotten it,
// and a faulty link may have kept a response from them. It must be called with mu held.
func (o *Oracle) checkWithdrawal(id, upstream string, now time.Time) {
	w, router := o.withdrawals[upstream], o.routerOf[id]
	if w == nil {
		return
	}
	if stated, ok := w.stated[router]; ok && now.Sub(stated) > statedLeaveBound+o.slack(stated) && !o.withdrawalExcused(stated, now, router) {
		o.violatef(CheckStatedLeaving, id, "%s received a request from %s %s after its response to that router stated that it leaves",
			upstream, router, now.Sub(stated).Round(time.Millisecond))
	}
	for _, p := range w.pauses[router] {
		if now.Before(p.from.Add(pauseGrace+o.slack(p.from))) || !now.Before(p.until) {
			continue
		}
		if p.arrivals++; p.arrivals > maxInPause && !o.withdrawalExcused(p.from, now, router) {
			o.violatef(CheckPause, id, "%s asked %s for a pause of %s and received request %d of it after %s",
				upstream, router, p.until.Sub(p.from), p.arrivals, now.Sub(p.from).Round(time.Millisecond))
		}
	}
}

// withdrawalExcused reports whether a router may lack what an upstream stated to it. It must be
// called with mu held.
func (o *Oracle) withdrawalExcused(from, to time.Time, router string) bool {
	return o.faultActive(from, to, router, "router", "all", "link")
}

package simulation

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/dispatch"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// router runs the decision packages of a router. Its loop over the engines stands in for the one
// in package dispatch.
type router struct {
	sim           *loadSim
	pool          balance.Pool
	loadTracker   dispatch.LoadTracker
	retryDetector admission.RetryDetector
	upstreams     []*provider.Upstream
}

func newRouter(s *loadSim, index int) *router {
	r := &router{sim: s}
	r.pool.Hall, r.pool.Now, r.pool.Rand = hallOf(index, s.Halls), s.now, s.rng.Float64
	r.loadTracker.Now, r.retryDetector.Now = s.now, s.now
	for _, e := range s.engines {
		r.upstreams = append(r.upstreams, e.upstream)
	}
	return r
}

// scheduleReports starts the periodic polls of the loaders and the load reports to the routers.
// They end some time after the last arrival.
func (s *loadSim) scheduleReports() {
	for _, e := range s.engines {
		s.repeat(pollInterval, e.poll)
		s.repeat(reportInterval, func() { s.reportLoad(e) })
	}
}

// repeat schedules a function periodically, at a random phase.
func (s *loadSim) repeat(every time.Duration, fn func()) {
	const reportTail = 8 * time.Second
	var tick func()
	tick = func() {
		fn()
		if s.events.now < s.Duration+reportTail {
			s.events.after(every, tick)
		}
	}
	s.events.at(time.Duration(s.rng.Int64N(int64(every))), tick)
}

// reportLoad sends an engine's load to all routers.
func (s *loadSim) reportLoad(e *engine) {
	if s.events.now < e.unavailableUntil && !e.loaded {
		return // an engine in an outage sends no reports
	}
	load := e.load()
	report := balance.LoadReport{Running: load.Running, Waiting: load.Waiting, Loading: load.Loading, Models: e.upstream.Models}
	if closesAt := e.closesAt(); !closesAt.IsZero() {
		report.ClosesIn = max(closesAt.Sub(s.now()), time.Millisecond)
	}
	for _, r := range s.routers {
		r.pool.Report(e.upstream.ID, report)
	}
}

// handle sends a caller's request to an engine that grants a place, or refuses it.
func (r *router) handle(c *caller) {
	if c.finished {
		return
	}
	c.detectedRetry = r.sim.detectRetry(r, c)
	e, choice, ok := r.acquirePlace(c)
	if !ok {
		r.retryDetector.RecordRefusal()
		r.refuse(c)
		return
	}
	r.send(c, e, choice)
}

// send sends a caller's request to an engine. The engine may refuse it and ask for a pause.
func (r *router) send(c *caller, e *engine, choice balance.Choice) {
	c.sends++
	c.onDone = func(outcome balance.Outcome) {
		choice.Done(outcome)
		if outcome == balance.Served {
			r.loadTracker.RecordServed(service, c.lastByte-c.firstByte)
		}
	}
	sent := r.sim.now()
	r.sim.events.after(networkDelay, func() {
		if e.pausing() {
			e.countPaused(r)
			r.sim.events.after(networkDelay, func() { r.resend(c, choice) })
			return
		}
		r.pool.EndPause(e.upstream, sent)
		e.enqueue(c)
	})
}

// maxSends is the number of engines to which one attempt of a caller is sent.
const maxSends = 2

// resend sends a request that an engine refused to another one, or refuses it.
func (r *router) resend(c *caller, refused balance.Choice) {
	r.pool.Pause(refused.Upstream, r.sim.Pattern.Pauses.RetryAfter)
	refused.Done(balance.Full)
	c.onDone = nil
	if c.sends < maxSends {
		if e, choice, ok := r.acquirePlace(c); ok {
			r.send(c, e, choice)
			return
		}
	}
	c.sends = 0
	r.retryDetector.RecordRefusal()
	r.refuse(c)
}

// service is the name of the only service.
const service = "s"

// serviceState returns the router's view of the service's engines.
func (r *router) serviceState() admission.Service {
	spec := r.sim.Engine
	return admission.Service{
		Places: spec.Places, ReadTime: r.sim.readTime(), Objective: r.sim.objective(),
		PlaceInterval: r.loadTracker.HoldTime(service) / time.Duration(spec.Places), Saturation: r.loadTracker.Saturation(service),
	}
}

// acquirePlace requests a place from one engine after the other.
func (r *router) acquirePlace(c *caller) (*engine, balance.Choice, bool) {
	state := r.serviceState()
	search := admission.Search{Service: state, Request: admission.Request{Retry: c.detectedRetry}}
	if r.sim.policy.Search != nil {
		search.Policy = *r.sim.policy.Search
	}
	duration := admission.HoldTime(state, r.loadTracker.HoldTime(service), c.lengthHint, r.sim.meanAnswer())
	query := balance.Query{Model: model, Duration: duration}
	for !search.Done() {
		choice, ok := r.pool.Choose(r.upstreams, query)
		if !ok {
			break
		}
		limit := search.Limit(choice.Candidates == 1)
		if limit != admission.Unlimited {
			limit.Duration = duration
		}
		e := r.engineOf(choice)
		load, granted := e.ledger.Reserve(places.Request{Limit: limit, Engine: ratelimit.Upstream{ID: e.upstream.ID}, RateLimit: e.limitReport()})
		r.pool.ReportLoad(choice.Upstream.ID, balance.LoadReport{Running: load.Running, Waiting: load.Waiting, Loading: load.Loading})
		choice.RecordPlace(granted)
		if granted {
			r.loadTracker.RecordFull(service, load.Running+load.Waiting >= choice.Upstream.Places)
			return e, choice, true
		}
		if load.RetryAfter > 0 {
			r.pool.Throttle(choice.Upstream.ID, load.RetryAfter)
		} else {
			search.AddDenied(load)
		}
		choice.Done(balance.Canceled)
		query.Exclude = append(query.Exclude, choice.Upstream.ID)
	}
	r.loadTracker.RecordFull(service, search.AllFull())
	return nil, balance.Choice{}, false
}

// engineOf returns the chosen engine.
func (r *router) engineOf(choice balance.Choice) *engine {
	for _, e := range r.sim.engines {
		if e.upstream == choice.Upstream {
			return e
		}
	}
	return nil
}

// refuse sends a caller the time after which to retry.
func (r *router) refuse(c *caller) {
	c.handleRefusal(r.sim.policy.retryDelay(r.sim.rng, c))
}

package lab

import (
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/dispatch"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// router is one router: the packages by which a real one decides, and the loop over them
// that asks one engine after the other.
type router struct {
	play    *play
	pool    balance.Pool
	pace    dispatch.LoadTracker
	callers admission.RetryDetector
	list    []*provider.Upstream
}

func newRouter(p *play, number int) *router {
	r := &router{play: p}
	r.pool.Hall, r.pool.Now, r.pool.Rand = hallOf(number, p.Halls), p.now, p.draw.Float64
	r.pace.Now, r.callers.Now = p.now, p.now
	for _, e := range p.engines {
		r.list = append(r.list, e.record)
	}
	return r
}

// follow has loaders look at their engines and routers hear of it, until callers no longer
// come.
func (p *play) follow() {
	for _, e := range p.engines {
		p.repeat(lookEvery, e.look)
		p.repeat(tellEvery, func() { p.tell(e) })
	}
}

// repeat has something happen again and again, the first time at a moment of its own.
func (p *play) repeat(every time.Duration, do func()) {
	const after = 8 * time.Second
	var again func()
	again = func() {
		do()
		if p.events.now < p.Length+after {
			p.events.after(every, again)
		}
	}
	p.events.at(time.Duration(p.draw.Int64N(int64(every))), again)
}

// tell has all routers hear of an engine's load.
func (p *play) tell(e *engine) {
	if p.events.now < e.out && !e.taken {
		return // a lost one says nothing
	}
	load := e.load()
	told := balance.LoadReport{Running: load.Running, Waiting: load.Waiting, Loading: load.Loading, Models: e.record.Models}
	if closes := e.closes(); !closes.IsZero() {
		told.ClosesIn = max(closes.Sub(p.now()), time.Millisecond)
	}
	for _, r := range p.routers {
		r.pool.Report(e.record.ID, told)
	}
}

// take answers a caller: with an engine's place, or with a refusal.
func (r *router) take(c *caller) {
	if c.ended {
		return
	}
	c.knownBack = r.play.cameBack(r, c)
	e, choice, ok := r.place(c)
	if !ok {
		r.callers.RecordRefusal()
		r.refuse(c)
		return
	}
	c.done = func(outcome balance.Outcome) {
		choice.Done(outcome)
		if outcome == balance.Served {
			r.pace.RecordServed(service, c.lastByte-c.firstByte)
		}
	}
	r.play.events.after(travel, func() { e.add(c) })
}

// service is the only one.
const service = "s"

// known is what the router knows of the service's engines.
func (r *router) known() admission.Service {
	spec := r.play.Engine
	return admission.Service{
		Places: spec.Places, ReadTime: r.play.readTime(), Objective: r.play.objective(),
		PlaceInterval: r.pace.HoldTime(service) / time.Duration(spec.Places), Saturation: r.pace.FullShare(service),
	}
}

// place asks engines for a place, as a real router does.
func (r *router) place(c *caller) (*engine, balance.Choice, bool) {
	known := r.known()
	search := admission.Search{Service: known, Request: admission.Request{Retry: c.knownBack}}
	if r.play.policy.Ways != nil {
		search.Policy = *r.play.policy.Ways
	}
	lasts := admission.HoldTime(known, r.pace.HoldTime(service), c.hint, r.play.usualAnswer())
	query := balance.Query{Model: model, Duration: lasts}
	for !search.Done() {
		choice, ok := r.pool.Choose(r.list, query)
		if !ok {
			break
		}
		limit := search.Limit(choice.Candidates == 1)
		if limit != admission.Unlimited {
			limit.Duration = lasts
		}
		e := r.engine(choice)
		load, given := e.ledger.Reserve(places.Request{Limit: limit, Engine: ratelimit.Upstream{ID: e.record.ID}, RateLimit: e.known()})
		r.pool.ReportLoad(choice.Upstream.ID, load.Running, load.Waiting, load.Loading)
		if given {
			r.pace.RecordFull(service, load.Running+load.Waiting >= choice.Upstream.Places)
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
	r.pace.RecordFull(service, search.AllFull())
	return nil, balance.Choice{}, false
}

// engine returns the chosen one.
func (r *router) engine(choice balance.Choice) *engine {
	for _, e := range r.play.engines {
		if e.record == choice.Upstream {
			return e
		}
	}
	return nil
}

// refuse tells a caller when to come back.
func (r *router) refuse(c *caller) {
	c.refused(r.play.policy.back(r.play.draw, c))
}

package admission_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
)

// This file simulates a fleet of engines with a virtual clock. An engine works in passes: it reads
// as many waiting prompts as fit and then decodes a few tokens of every running request.

const (
	engines       = 40
	enginePlaces  = 8
	readRate      = 13.8 // prompt tokens per millisecond
	maxPassPrompt = 2048 // prompt tokens per pass
	passTokens    = 5    // tokens decoded per request and pass
	passTime      = 70 * time.Millisecond
	meanPrompt    = 900 // tokens
	meanAnswer    = 70  // tokens
	objective     = 500 * time.Millisecond
	// tick is the step of the clock, and arrivalTime the time during which requests arrive.
	tick        = 5 * time.Millisecond
	arrivalTime = 24 * time.Second
	// retryAfter is the delay of a refused request's single retry.
	retryAfter = 1500 * time.Millisecond
)

// request is one request of a caller; times count from the start of the simulation.
type request struct {
	arrival           time.Duration
	prompt, remaining int
	hint              float64 // answer tokens that the caller expects
	firstByte         time.Duration
	refusals          int
	served, ended     bool
}

// engine is one simulated engine.
type engine struct {
	waiting, reading, running []*request
	passEnds                  time.Duration
	busy                      bool
	// loadAt is the scheduled load time of a version, from which the engine accepts no requests.
	// It loads once drained and serves again at readyAt. Zero if no load is scheduled.
	loadAt, readyAt time.Duration
}

// unavailable reports whether the engine drains or loads a version.
func (e *engine) unavailable(now time.Duration) bool {
	return e.loadAt > 0 && now >= e.loadAt && (e.readyAt == 0 || now < e.readyAt)
}

// loadIfDrained starts the scheduled load once the engine is drained.
func (e *engine) loadIfDrained(now time.Duration) {
	const loadTime = 300 * time.Millisecond
	if e.unavailable(now) && e.readyAt == 0 && len(e.waiting)+len(e.reading)+len(e.running) == 0 {
		e.readyAt = now + loadTime
	}
}

// rollout schedules the load of a version: the load times of the first and the last engine, and how
// long before its load time an engine closes to requests that would run past it.
type rollout struct{ first, last, closeBefore time.Duration }

// schedule sets the load time of each engine.
func (r rollout) schedule(fleet []*engine) {
	for i, e := range fleet {
		e.loadAt = r.first + (r.last-r.first)*time.Duration(i)/time.Duration(len(fleet)-1)
	}
}

// closed reports whether an engine is closed to a request that would run past its load time.
func (r rollout) closed(e *engine, req *request, now time.Duration) bool {
	s := admission.Service{ReadTime: readTime(meanPrompt)}
	duration := admission.HoldTime(s, passTime*meanAnswer/passTokens, req.hint, meanAnswer)
	return e.loadAt > now && e.loadAt-now <= r.closeBefore && now+duration > e.loadAt
}

// readTime returns how long an engine takes to read prompt tokens.
func readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / readRate * float64(time.Millisecond))
}

// pass starts the next pass.
func (e *engine) pass(now time.Duration) {
	tokens := 0
	for len(e.waiting) > 0 && len(e.running)+len(e.reading) < enginePlaces && tokens+e.waiting[0].prompt <= maxPassPrompt {
		tokens += e.waiting[0].prompt
		e.reading = append(e.reading, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	duration := readTime(tokens)
	if len(e.running) > 0 {
		duration += passTime
	}
	e.busy = duration > 0
	e.passEnds = now + duration
}

// step completes a pass whose time is over and starts the next one.
func (e *engine) step(now time.Duration) {
	if now < e.passEnds {
		return
	}
	if e.busy {
		for _, req := range e.running {
			if req.firstByte == 0 {
				req.firstByte = now
			}
			if req.remaining -= passTokens; req.remaining <= 0 {
				req.served, req.ended = true, true
			}
		}
		e.running = append(slices.DeleteFunc(e.running, func(req *request) bool { return req.ended }), e.reading...)
		e.reading = nil
	}
	e.pass(now)
}

func (e *engine) load() places.EngineLoad {
	return places.EngineLoad{Running: len(e.running), Waiting: len(e.waiting) + len(e.reading)}
}

// policy sets the number of queries and the load limit of each.
type policy struct {
	queries int
	rollout rollout
	limit   func(s admission.Service, r admission.Request, denied int, last bool) places.Limit
}

// result holds the fractions of requests by result.
type result struct{ inTime, late, refused, refusedTwice float64 }

// score weights the results: a late response counts a quarter of one in time, and a second refusal
// counts negatively.
func (r result) score() float64 { return r.inTime + r.late/4 - 0.3*r.refusedTwice }

// simulate runs requests that arrive at a rate given as a fraction of the engines' capacity.
func simulate(p policy, rate func(now time.Duration) float64) result {
	const capacity = 4.4 // requests per second and engine
	rng, hints := rand.New(rand.NewPCG(7, 7)), rand.New(rand.NewPCG(8, 8))
	fleet := make([]*engine, engines)
	for i := range fleet {
		fleet[i] = &engine{}
	}
	if p.rollout.last > 0 {
		p.rollout.schedule(fleet)
	}
	var requests []*request
	var retries []*request
	saturation := 0.0
	for now := time.Duration(0); now < arrivalTime+10*time.Second; now += tick {
		for _, e := range fleet {
			e.step(now)
			e.loadIfDrained(now)
		}
		for len(retries) > 0 && retries[0].arrival+retryAfter <= now {
			saturation = search(p, fleet, retries[0], now, saturation, rng)
			retries = retries[1:]
		}
		expected := rate(now) * capacity * engines * tick.Seconds()
		for now < arrivalTime && rng.Float64() < expected {
			expected--
			req := &request{arrival: now, prompt: 200 + int(rng.ExpFloat64()*(meanPrompt-200)), remaining: 5 + int(rng.ExpFloat64()*(meanAnswer-5))}
			req.prompt = min(req.prompt, maxPassPrompt)
			req.hint = float64(req.remaining) * hintError(hints)
			requests = append(requests, req)
			saturation = search(p, fleet, req, now, saturation, rng)
			if req.refusals > 0 {
				retries = append(retries, req)
			}
		}
	}
	return summarize(requests)
}

// search queries engines for a place, in the order of their load, and returns the updated moving
// share of searches that found all engines full.
func search(p policy, fleet []*engine, req *request, now time.Duration, saturation float64, rng *rand.Rand) float64 {
	const weight = 0.01
	s := admission.Service{
		Places: enginePlaces, ReadTime: readTime(meanPrompt),
		PlaceInterval: 1500 * time.Millisecond / enginePlaces, Objective: objective, Saturation: saturation,
	}
	order := rng.Perm(len(fleet))[:2*p.queries]
	score := func(i int) int {
		const penalty = 10
		if p.rollout.closed(fleet[i], req, now) || fleet[i].unavailable(now) {
			return penalty + fleet[i].load().Waiting
		}
		return fleet[i].load().Waiting
	}
	slices.SortStableFunc(order, func(a, b int) int { return score(a) - score(b) })
	allFull := 1.0
	for denied, i := range order[:p.queries] {
		limit := p.limit(s, admission.Request{Retry: req.refusals > 0}, denied, denied == p.queries-1)
		load := fleet[i].load()
		if load.Running+load.Waiting < enginePlaces {
			allFull = 0
		}
		if fleet[i].unavailable(now) || p.rollout.closed(fleet[i], req, now) {
			continue
		}
		if load.Waiting <= limit.Waiting && load.Running+load.Waiting <= limit.InUse {
			fleet[i].waiting = append(fleet[i].waiting, req)
			return saturation + weight*(allFull-saturation)
		}
	}
	req.refusals++
	return saturation + weight*(allFull-saturation)
}

// hintError draws the factor by which a caller's estimate of its answer's length is off.
func hintError(rng *rand.Rand) float64 {
	const spread = 0.7
	return math.Exp(spread * rng.NormFloat64())
}

func summarize(requests []*request) result {
	var r result
	fraction := 1 / float64(len(requests))
	for _, req := range requests {
		switch {
		case req.served && req.firstByte-req.arrival <= objective:
			r.inTime += fraction
		case req.served:
			r.late += fraction
		case req.refusals > 1:
			r.refusedTwice += fraction
		default:
			r.refused += fraction
		}
	}
	return r
}

package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/reconcile"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// EngineSpec describes the speed of an engine. An engine works in passes: each pass reads waiting
// prompts and generates tokens for all running requests.
type EngineSpec struct {
	// Places is the number of requests that run concurrently.
	Places int
	// PromptRate is the number of prompt tokens read per second; MaxPromptTokens limits the prompt
	// tokens of one pass.
	PromptRate      float64
	MaxPromptTokens int
	// TokenTime is the time to generate one token for the whole batch; TokenTimePerRequest is
	// added for each request in the batch.
	TokenTime, TokenTimePerRequest time.Duration
	// TokensPerPass is the number of tokens that a pass generates for each request. They arrive
	// together.
	TokensPerPass int
	// LoadTime is the time an idle engine needs to load a version.
	LoadTime time.Duration
}

// DefaultEngine returns an engine of 12 places that reads 19,100 prompt tokens per second.
func DefaultEngine() EngineSpec {
	return EngineSpec{
		Places: 12, PromptRate: 19100, MaxPromptTokens: 10240, TokenTime: 8870 * time.Microsecond, TokenTimePerRequest: 60 * time.Microsecond,
		TokensPerPass: 5, LoadTime: 300 * time.Millisecond,
	}
}

const (
	// pollInterval is the interval at which a loader polls a busy engine, reportInterval that of
	// load reports to routers, and networkDelay the one-way message delay.
	pollInterval   = reconcile.BusyInterval
	reportInterval = 50 * time.Millisecond
	networkDelay   = 2 * time.Millisecond
)

// engine is an engine and its loader.
type engine struct {
	sim      *loadSim
	index    int
	upstream *provider.Upstream
	ledger   places.Ledger

	waiting, reading, running []*caller
	busy                      bool
	// unavailableUntil is when an outage or a load ends. generation counts outages, so that the
	// end of a pass that an outage aborted is ignored.
	unavailableUntil time.Duration
	generation       int
	// loadAt is the scheduled load time of the new version, zero if there is none. draining is
	// set while the engine waits for running requests to finish, loaded once it has the version.
	loadAt           time.Duration
	draining, loaded bool
	// limitedArrivals are the arrival times of requests while the engine was limited.
	limitedArrivals []time.Duration
	// pausedAt holds when the engine last asked each router for a pause, and inPause how many
	// requests of the router arrived since, later than pauseGrace. mostInPause is the highest.
	pausedAt    map[*router]time.Duration
	inPause     map[*router]int
	mostInPause int
}

func newEngine(s *loadSim, index int) *engine {
	e := &engine{sim: s, index: index}
	e.upstream = &provider.Upstream{
		ID: fmt.Sprintf("e%d", index), Hall: hallOf(index, s.Halls), Places: s.Engine.Places,
		Models: []provider.LoadedModel{{Model: model, Version: 1}},
	}
	e.ledger.Now = s.now
	return e
}

const model = "m"

func hallOf(index, halls int) string { return fmt.Sprintf("hall-%d", index%halls) }

// load returns the load that the engine reports.
func (e *engine) load() places.EngineLoad {
	return places.EngineLoad{Running: len(e.running), Waiting: len(e.waiting) + len(e.reading), Loading: e.unavailable()}
}

func (e *engine) unavailable() bool { return e.sim.events.now < e.unavailableUntil || e.draining }

// poll updates the loader's view of its engine.
func (e *engine) poll() {
	e.ledger.CloseAt(e.closesAt())
	e.ledger.Observe(e.load(), e.sim.events.now >= e.unavailableUntil)
}

// closesAt returns the scheduled load time if it is within reconcile.CloseLeadTime, else the zero time.
func (e *engine) closesAt() time.Time {
	if e.loadAt == 0 || e.loaded || e.loadAt-e.sim.events.now > reconcile.CloseLeadTime {
		return time.Time{}
	}
	return epoch.Add(e.loadAt)
}

// pausing reports whether the engine refuses requests and asks for a pause.
func (e *engine) pausing() bool {
	return e.sim.Pattern.Pauses.active(e.index, len(e.sim.engines), e.sim.events.now)
}

// pauseGrace is the time after a refusal in which requests that were sent before it arrive.
const pauseGrace = 500 * time.Millisecond

// countPaused counts a request that arrived while the engine was pausing.
func (e *engine) countPaused(r *router) {
	if e.pausedAt == nil {
		e.pausedAt, e.inPause = map[*router]time.Duration{}, map[*router]int{}
	}
	now := e.sim.events.now
	at, paused := e.pausedAt[r]
	elapsed := now - at
	switch {
	case !paused || elapsed >= e.sim.Pattern.Pauses.RetryAfter:
		e.pausedAt[r], e.inPause[r] = now, 0
	case elapsed >= pauseGrace:
		e.inPause[r]++
		e.mostInPause = max(e.mostInPause, e.inPause[r])
	}
}

// limited reports whether the engine announces a limit.
func (e *engine) limited() bool {
	return e.sim.Pattern.Limits.active(e.index, len(e.sim.engines), e.sim.events.now)
}

// limitReport returns the routers' view of the engine's limit. Routers exchange limits within
// milliseconds, so the simulation gives all of them the current one.
func (e *engine) limitReport() *ratelimit.Report {
	switch limits := e.sim.Pattern.Limits; {
	case limits == nil:
		return nil
	case e.limited():
		return &ratelimit.Report{PerSecond: limits.PerSecond}
	default:
		return &ratelimit.Report{Lifted: true}
	}
}

// maxInWindow returns the highest number of requests that arrived within one window while the
// engine was limited.
func (e *engine) maxInWindow(window time.Duration) int {
	highest, first := 0, 0
	for last, at := range e.limitedArrivals {
		for at-e.limitedArrivals[first] >= window {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

// enqueue adds a request to the engine. During an outage the request fails at once.
func (e *engine) enqueue(c *caller) {
	if e.sim.events.now < e.unavailableUntil {
		c.abort()
		return
	}
	if e.limited() {
		e.limitedArrivals = append(e.limitedArrivals, e.sim.events.now)
	}
	e.waiting = append(e.waiting, c)
	if !e.busy {
		e.startPass()
	}
}

// startPass starts the next pass.
func (e *engine) startPass() {
	spec, tokens := e.sim.Engine, 0
	for len(e.waiting) > 0 && len(e.running)+len(e.reading) < spec.Places && tokens < spec.MaxPromptTokens {
		tokens += e.waiting[0].prompt
		e.reading = append(e.reading, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	batch := len(e.running) + len(e.reading)
	e.busy = batch > 0
	if !e.busy {
		e.loadVersion()
		return
	}
	passTime := time.Duration(float64(tokens) / spec.PromptRate * float64(time.Second))
	passTime += time.Duration(spec.TokensPerPass) * (spec.TokenTime + time.Duration(batch)*spec.TokenTimePerRequest)
	generation := e.generation
	e.sim.events.after(passTime, func() {
		if generation == e.generation {
			e.finishPass()
		}
	})
}

// finishPass delivers the tokens of a pass to all running requests.
func (e *engine) finishPass() {
	e.running = append(e.running, e.reading...)
	e.reading = nil
	now := e.sim.events.now
	for _, c := range e.running {
		c.receiveTokens(now, e.sim.Engine.TokensPerPass)
	}
	e.running = slices.DeleteFunc(e.running, func(c *caller) bool { return c.finished })
	e.waiting = slices.DeleteFunc(e.waiting, func(c *caller) bool { return c.finished })
	e.startPass()
}

// startDrain stops admission and loads the version once no request is running.
func (e *engine) startDrain() {
	e.draining = true
	if !e.busy {
		e.loadVersion()
	}
}

func (e *engine) loadVersion() {
	if !e.draining {
		return
	}
	e.draining, e.loaded = false, true
	e.unavailableUntil = e.sim.events.now + e.sim.Engine.LoadTime
}

// fail aborts all requests and makes the engine unavailable for a duration.
func (e *engine) fail(duration time.Duration) {
	e.generation++
	e.unavailableUntil, e.busy = e.sim.events.now+duration, false
	for _, list := range [][]*caller{e.waiting, e.reading, e.running} {
		for _, c := range list {
			c.abort()
		}
	}
	e.waiting, e.reading, e.running = nil, nil, nil
}

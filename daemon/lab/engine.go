package lab

import (
	"fmt"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/reconcile"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// EngineSpec says how fast an engine is. It works in passes: it reads the prompts that wait,
// and has all that run write some tokens.
type EngineSpec struct {
	// Places is how many requests run at once.
	Places int
	// ReadRate is the prompt tokens read in a second, ReadMost those of a pass.
	ReadRate float64
	ReadMost int
	// Step is the time of a token of all that run, StepEach what each that runs adds to it.
	Step, StepEach time.Duration
	// Stride is the tokens that a pass writes for each that runs; they arrive together.
	Stride int
	// Load is the time in which an engine takes a version, nothing running.
	Load time.Duration
}

// DefaultEngine reads 19,100 tokens a second and writes some 100 at each of 12 places.
func DefaultEngine() EngineSpec {
	return EngineSpec{
		Places: 12, ReadRate: 19100, ReadMost: 10240, Step: 8870 * time.Microsecond, StepEach: 60 * time.Microsecond,
		Stride: 5, Load: 300 * time.Millisecond,
	}
}

const (
	// lookEvery is how often a loader looks at its engine, as one does at a busy one, tellEvery
	// how often a router hears of a load, and travel what a message takes one way.
	lookEvery = reconcile.BusyInterval
	tellEvery = 50 * time.Millisecond
	travel    = 2 * time.Millisecond
)

// engine is one engine and the loader beside it.
type engine struct {
	play   *play
	number int
	record *provider.Upstream
	ledger places.Ledger

	waiting, reading, running []*caller
	busy                      bool
	// out is until when the engine serves nothing, and life counts its losses.
	out  time.Duration
	life int
	// turn is when it is to take a version, zero where it takes none; taking says that it
	// waits for what runs, taken that it has the version.
	turn          time.Duration
	taking, taken bool
	// arrived is when requests came while it named a limit.
	arrived []time.Duration
}

func newEngine(p *play, number int) *engine {
	e := &engine{play: p, number: number}
	e.record = &provider.Upstream{
		ID: fmt.Sprintf("e%d", number), Hall: hallOf(number, p.Halls), Places: p.Engine.Places,
		Models: []provider.LoadedModel{{Model: model, Version: 1}},
	}
	e.ledger.Now = p.now
	return e
}

// model is what all engines serve.
const model = "m"

func hallOf(number, halls int) string { return fmt.Sprintf("hall-%d", number%halls) }

// load is what the engine says of itself.
func (e *engine) load() places.Load {
	return places.Load{Running: len(e.running), Waiting: len(e.waiting) + len(e.reading), Loading: e.isOut()}
}

func (e *engine) isOut() bool { return e.play.events.now < e.out || e.taking }

// look has the loader look at its engine.
func (e *engine) look() {
	e.ledger.CloseAt(e.closes())
	e.ledger.Observe(e.load(), e.play.events.now >= e.out)
}

// closes is the engine's turn if that is soon.
func (e *engine) closes() time.Time {
	if e.turn == 0 || e.taken || e.turn-e.play.events.now > reconcile.CloseLeadTime {
		return time.Time{}
	}
	return start.Add(e.turn)
}

// limited reports whether the engine names a limit.
func (e *engine) limited() bool {
	return e.play.Pattern.Limits.names(e.number, len(e.play.engines), e.play.events.now)
}

// known is what routers know of the engine's limit: they tell each other within milliseconds,
// so here all know at once.
func (e *engine) known() *ratelimit.Report {
	switch limits := e.play.Pattern.Limits; {
	case limits == nil:
		return nil
	case e.limited():
		return &ratelimit.Report{PerSecond: limits.PerSecond}
	default:
		return &ratelimit.Report{Lifted: true}
	}
}

// worst is the most requests that came in a window while the engine named a limit.
func (e *engine) worst(window time.Duration) int {
	most, first := 0, 0
	for last, at := range e.arrived {
		for at-e.arrived[first] >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// add gives the engine a request, which a loss of it ends.
func (e *engine) add(c *caller) {
	if e.play.events.now < e.out {
		c.broken()
		return
	}
	if e.limited() {
		e.arrived = append(e.arrived, e.play.events.now)
	}
	e.waiting = append(e.waiting, c)
	if !e.busy {
		e.pass()
	}
}

// pass begins the next pass.
func (e *engine) pass() {
	spec, tokens := e.play.Engine, 0
	for len(e.waiting) > 0 && len(e.running)+len(e.reading) < spec.Places && tokens < spec.ReadMost {
		tokens += e.waiting[0].prompt
		e.reading = append(e.reading, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	writers := len(e.running) + len(e.reading)
	e.busy = writers > 0
	if !e.busy {
		e.takeVersion()
		return
	}
	took := time.Duration(float64(tokens) / spec.ReadRate * float64(time.Second))
	took += time.Duration(spec.Stride) * (spec.Step + time.Duration(writers)*spec.StepEach)
	life := e.life
	e.play.events.after(took, func() {
		if life == e.life {
			e.passed()
		}
	})
}

// passed ends a pass: what was read and what runs have written.
func (e *engine) passed() {
	e.running = append(e.running, e.reading...)
	e.reading = nil
	now := e.play.events.now
	for _, c := range e.running {
		c.wrote(now, e.play.Engine.Stride)
	}
	e.running = slices.DeleteFunc(e.running, func(c *caller) bool { return c.ended })
	e.waiting = slices.DeleteFunc(e.waiting, func(c *caller) bool { return c.ended })
	e.pass()
}

// begin is the engine's turn: it takes nothing new, and the version once nothing runs.
func (e *engine) begin() {
	e.taking = true
	if !e.busy {
		e.takeVersion()
	}
}

func (e *engine) takeVersion() {
	if !e.taking {
		return
	}
	e.taking, e.taken = false, true
	e.out = e.play.events.now + e.play.Engine.Load
}

// lose has the engine break off what it does, and serve nothing for a while.
func (e *engine) lose(wait time.Duration) {
	e.life++
	e.out, e.busy = e.play.events.now+wait, false
	for _, list := range [][]*caller{e.waiting, e.reading, e.running} {
		for _, c := range list {
			c.broken()
		}
	}
	e.waiting, e.reading, e.running = nil, nil, nil
}

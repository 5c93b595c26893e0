// Package lab plays engines, routers and callers in simulated time, on the decision packages
// that routers and loaders run, so that a way to decide is measured in a second instead of
// on a fleet in minutes, and beside the best that the engines could do.
//
// Played are: engines that work in passes, loaders that hand out their places and tell their
// load some ten milliseconds late, routers that ask for places, and callers who come at a
// rate that changes, who name times of their own, come back when told to, once, and leave
// when their time is over. Not played are networks, stores, processor time and plain
// upstreams: what depends on those is measured on processes.
//
// A run depends on its seed alone. Running the daemons' own handlers under a simulated
// clock was rejected: they wait in goroutines, which no clock of ours can order.
package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Setup is a fleet, its callers and the load that they bring.
type Setup struct {
	Engines, Routers, Halls int
	Engine                  EngineSpec
	Kinds                   []Kind
	// Patience is the part by which callers' times differ: each has its kind's, or up to so
	// much less.
	Patience float64
	// Rate is how many callers come a second at 1.0 of the pattern.
	Rate float64
	// Length is how long callers come, Warm the time before what is measured.
	Length, Warm time.Duration
	Pattern      Pattern
	Seed         uint64
}

// Default is a fleet of 45 engines in three halls with three kinds of callers, which bear
// 1.0 of its rate.
func Default() Setup {
	return Setup{
		Engines: 45, Routers: 15, Halls: 3, Engine: DefaultEngine(), Kinds: DefaultKinds(),
		Patience: 0.15, Rate: 365, Length: 30 * time.Second, Warm: 4 * time.Second, Seed: 1,
	}
}

// ErrSetup says that a setup cannot be played.
var ErrSetup = errors.New("setup cannot be played")

// check returns what is wrong with a setup.
func (s Setup) check() error {
	switch {
	case s.Engines < 1 || s.Routers < 1 || s.Halls < 1:
		return fmt.Errorf("%w: it takes at least one engine, one router and one hall", ErrSetup)
	case s.Engine.Places < 1 || s.Engine.ReadRate <= 0 || s.Engine.Stride < 1:
		return fmt.Errorf("%w: engines need places, a rate of reading and tokens a pass", ErrSetup)
	case len(s.Kinds) == 0 || s.Rate <= 0 || s.Length <= s.Warm:
		return fmt.Errorf("%w: no callers come after the first %s", ErrSetup, s.Warm)
	case s.Patience < 0 || s.Patience >= 1:
		return fmt.Errorf("%w: patience %.2f is not in [0, 1)", ErrSetup, s.Patience)
	}
	return nil
}

// play is a run under way.
type play struct {
	Setup
	policy  Policy
	knows   knows
	events  events
	engines []*engine
	routers []*router
	callers []*caller
	rates   *rand.Rand // of arrivals, the same for all policies
	draw    *rand.Rand
}

// start is the simulated begin; decision packages take a zero time for none.
var start = time.Unix(1_000_000, 0)

func (p *play) now() time.Time { return start.Add(p.events.now) }

// Play runs a setup with a policy.
func Play(setup Setup, policy Policy) (*Result, error) {
	if err := setup.check(); err != nil {
		return nil, err
	}
	p := &play{
		Setup: setup, policy: policy, knows: policy.newKnows(),
		rates: rand.New(rand.NewPCG(setup.Seed, 1)), draw: rand.New(rand.NewPCG(setup.Seed, 2)),
	}
	for i := range setup.Engines {
		p.engines = append(p.engines, newEngine(p, i))
	}
	for i := range setup.Routers {
		p.routers = append(p.routers, newRouter(p, i))
	}
	p.bring()
	p.follow()
	p.disturb()
	p.events.run()
	return p.judge(), nil
}

// bring has callers come, each at a router of the hall that the draw picks.
func (p *play) bring() {
	for at := time.Duration(0); at < p.Length; {
		rate := p.Rate * p.Pattern.rate(at)
		at += time.Duration(p.rates.ExpFloat64() / max(rate, 1) * float64(time.Second))
		c := p.newCaller(at)
		p.callers = append(p.callers, c)
		p.events.at(at, func() { p.meet(c) })
	}
}

// meet has a caller meet a router, each time another one.
func (p *play) meet(c *caller) {
	r := p.routers[p.draw.IntN(len(p.routers))]
	r.take(c)
}

// disturb has what the pattern does to engines happen.
func (p *play) disturb() {
	for _, d := range p.Pattern.Disturbances {
		for _, e := range p.engines {
			if d.strikes(e.number, len(p.engines)) {
				p.events.at(d.At, func() { e.lose(d.For) })
			}
		}
	}
	if v := p.Pattern.Version; v != nil {
		for _, e := range p.engines {
			e.turn = v.turnOf(e.number, len(p.engines))
			p.events.at(e.turn, e.begin)
		}
	}
}

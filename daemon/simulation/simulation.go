// Package simulation runs the production decision packages (balance, admission, dispatch, places,
// ratelimit, fanout) in virtual time on simulated engines, loaders, routers and callers. A policy
// can be compared in seconds, without starting processes, and against an upper bound computed by
// an oracle. The bench commands of the CLI call it.
//
// Run simulates batching engines, loaders that grant places and report load with a delay, routers
// that request places, and callers with varying arrival rates and deadlines that retry once after
// a refusal. A place is one execution slot of an engine. RunLimit simulates upstreams that announce
// rate limits, and RunFleet the propagation of a configuration to all routers. Only RunFleet models
// the store and the rates of links. Processor time is not modelled.
//
// A run is deterministic for a given seed. The daemons' HTTP handlers are not run under the
// virtual clock, because they block in goroutines whose order it cannot control.
package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Setup describes a fleet, its callers and the offered load.
type Setup struct {
	Engines, Routers, Halls int
	Engine                  EngineSpec
	Kinds                   []Kind
	// DeadlineSpread is the maximum relative reduction of a caller's deadline: each caller gets the
	// deadline of its kind, reduced by a random share of up to this value.
	DeadlineSpread float64
	// Rate is the number of callers per second at pattern level 1.
	Rate float64
	// Duration is the time during which callers arrive. Callers that arrive within WarmUp are
	// excluded from the results.
	Duration, WarmUp time.Duration
	Pattern          Pattern
	Seed             uint64
}

// Default returns a fleet of 45 engines in three halls with three kinds of callers, loaded to its
// capacity at pattern level 1.
func Default() Setup {
	return Setup{
		Engines: 45, Routers: 15, Halls: 3, Engine: DefaultEngine(), Kinds: DefaultKinds(),
		DeadlineSpread: 0.15, Rate: 365, Duration: 30 * time.Second, WarmUp: 4 * time.Second, Seed: 1,
	}
}

// ErrSetup is returned for an invalid setup.
var ErrSetup = errors.New("invalid setup")

func (s Setup) validate() error {
	switch {
	case s.Engines < 1 || s.Routers < 1 || s.Halls < 1:
		return fmt.Errorf("%w: at least one engine, one router and one hall are required", ErrSetup)
	case s.Engine.Places < 1 || s.Engine.PromptRate <= 0 || s.Engine.TokensPerPass < 1:
		return fmt.Errorf("%w: places, prompt token rate and tokens per pass of engines must be positive", ErrSetup)
	case len(s.Kinds) == 0 || s.Rate <= 0 || s.Duration <= s.WarmUp:
		return fmt.Errorf("%w: kinds of callers, a positive rate and a duration above the warm-up of %s are required", ErrSetup, s.WarmUp)
	case s.DeadlineSpread < 0 || s.DeadlineSpread >= 1:
		return fmt.Errorf("%w: deadline spread %.2f is not in [0, 1)", ErrSetup, s.DeadlineSpread)
	}
	return nil
}

// loadSim is the state of one run.
type loadSim struct {
	Setup
	policy      Policy
	isRetry     retryClassifier
	events      eventLoop
	engines     []*engine
	routers     []*router
	callers     []*caller
	arrivalRand *rand.Rand // for arrivals, independent of the policy
	rng         *rand.Rand
}

// epoch is the start of virtual time. It is not the zero time, which decision packages read as
// unset.
var epoch = time.Unix(1_000_000, 0)

func (s *loadSim) now() time.Time { return epoch.Add(s.events.now) }

// Run simulates a setup under a policy.
func Run(setup Setup, policy Policy) (*Result, error) {
	if err := setup.validate(); err != nil {
		return nil, err
	}
	s := &loadSim{
		Setup: setup, policy: policy, isRetry: policy.newClassifier(),
		arrivalRand: rand.New(rand.NewPCG(setup.Seed, 1)), rng: rand.New(rand.NewPCG(setup.Seed, 2)),
	}
	for i := range setup.Engines {
		s.engines = append(s.engines, newEngine(s, i))
	}
	for i := range setup.Routers {
		s.routers = append(s.routers, newRouter(s, i))
	}
	s.scheduleArrivals()
	s.scheduleReports()
	s.scheduleFaults()
	s.events.run()
	return s.summarize(), nil
}

// scheduleArrivals draws the arrival of each caller and schedules its first request.
func (s *loadSim) scheduleArrivals() {
	for at := time.Duration(0); at < s.Duration; {
		rate := s.Rate * s.Pattern.rate(at)
		at += time.Duration(s.arrivalRand.ExpFloat64() / max(rate, 1) * float64(time.Second))
		c := s.newCaller(at)
		s.callers = append(s.callers, c)
		s.events.at(at, func() { s.submit(c) })
	}
}

// submit sends a caller's request to a random router.
func (s *loadSim) submit(c *caller) {
	r := s.routers[s.rng.IntN(len(s.routers))]
	r.handle(c)
}

// scheduleFaults schedules the pattern's outages and its rollout.
func (s *loadSim) scheduleFaults() {
	for _, outage := range s.Pattern.Outages {
		for _, e := range s.engines {
			if outage.affects(e.index, len(s.engines)) {
				s.events.at(outage.At, func() { e.fail(outage.Duration) })
			}
		}
	}
	if rollout := s.Pattern.Rollout; rollout != nil {
		for _, e := range s.engines {
			e.loadAt = rollout.loadTimeOf(e.index, len(s.engines))
			s.events.at(e.loadAt, e.startDrain)
		}
	}
}

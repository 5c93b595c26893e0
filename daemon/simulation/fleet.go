package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/fanout"
)

// This file simulates how a configuration change reaches every router of a fleet: which routers
// read the store, which follow another router, and how much the links between halls and those of
// the hosts carry. Decisions are those of package fanout; links, the store and messages are
// modelled. A link sends one message at a time, so the times include queueing. Processor time is
// not modelled.

// FleetSetup describes a run. All counts must be positive.
type FleetSetup struct {
	Routers, Loaders, Halls int
	// WideShare is the share of each hall's routers that have links of WideMbps; all others have
	// NarrowMbps.
	WideShare            float64
	WideMbps, NarrowMbps float64
	// RegionMbps is the rate of the link from the store's region to each other hall.
	RegionMbps         float64
	ConfigurationBytes int
	Fault              FleetFault
	Strategy           FleetStrategy
	Seed               uint64
}

// DefaultFleet returns a fleet of 546 routers and 440 loaders in 5 halls.
func DefaultFleet() FleetSetup {
	return FleetSetup{
		Routers: 546, Loaders: 440, Halls: 5, WideShare: 0.1, WideMbps: 1000, NarrowMbps: 40, RegionMbps: 26,
		ConfigurationBytes: 80_000, Fault: FleetStart, Strategy: StrategyCurrent, Seed: 1,
	}
}

// FleetFault is the event that a run measures.
type FleetFault string

// The faults.
const (
	// FleetStart starts all processes within 0.3 s, with an empty store.
	FleetStart FleetFault = "start"
	// FleetPowerCycle starts all processes while the store still lists the routers of the previous
	// run.
	FleetPowerCycle FleetFault = "power"
	// FleetChange writes one configuration, FleetStorm nine in quick succession.
	FleetChange FleetFault = "change"
	FleetStorm  FleetFault = "storm"
	// FleetReaderCrash crashes the reader of each hall as a configuration is written.
	FleetReaderCrash FleetFault = "reader"
	// FleetTenthCrash crashes a tenth of all routers as a configuration is written.
	FleetTenthCrash FleetFault = "tenth"
)

// FleetFaultNames returns the names of all faults.
func FleetFaultNames() []string {
	return []string{
		string(FleetStart), string(FleetPowerCycle), string(FleetChange), string(FleetStorm), string(FleetReaderCrash), string(FleetTenthCrash),
	}
}

// FindFleetFault returns the fault of a name.
func FindFleetFault(name string) (FleetFault, error) {
	if !slices.Contains(FleetFaultNames(), name) {
		return "", fmt.Errorf("unknown fault %q; use one of %v", name, FleetFaultNames())
	}
	return FleetFault(name), nil
}

// FleetResult summarizes a run. Times are relative to the fault and cover the routers that did
// not crash.
type FleetResult struct {
	Fault    FleetFault `json:"fault"`
	Strategy string     `json:"spread"`
	Routers  int        `json:"routers"`
	Loaders  int        `json:"loaders"`
	// FirstSeconds, MedianSeconds, P99Seconds and LastSeconds are the times in seconds at which
	// the newest configuration was in force at the first router, at half of them, at 99% and at
	// the last; -1 if it never was.
	FirstSeconds  float64 `json:"first"`
	MedianSeconds float64 `json:"half"`
	P99Seconds    float64 `json:"most"`
	LastSeconds   float64 `json:"last"`
	// StoreCalls is the number of calls to the store, Readers the number of routers that read it.
	StoreCalls int `json:"storeCalls"`
	Readers    int `json:"readers"`
	// RegionBytes is the number of bytes over the busiest link between regions, SenderBytes that
	// of the busiest router's uplink, and WastedBytes the bytes of responses whose call had timed
	// out.
	RegionBytes int `json:"regionBytes"`
	SenderBytes int `json:"senderBytes"`
	WastedBytes int `json:"wasted"`
}

// Validate checks the setup.
func (f *FleetSetup) Validate() error {
	const maxRouters = 20_000
	switch {
	case f.Routers < 1 || f.Routers > maxRouters:
		return fmt.Errorf("routers: %d is not between 1 and %d", f.Routers, maxRouters)
	case f.Loaders < 0 || f.Loaders > maxRouters:
		return fmt.Errorf("loaders: %d is not between 0 and %d", f.Loaders, maxRouters)
	case f.Halls < 1 || f.Halls > f.Routers:
		return fmt.Errorf("halls: %d is not between 1 and the number of routers", f.Halls)
	case f.RegionMbps <= 0 || f.NarrowMbps <= 0 || f.WideMbps <= 0:
		return errors.New("links: rates must be positive")
	default:
		return nil
	}
}

// RunFleet simulates one fault.
func RunFleet(setup FleetSetup) (*FleetResult, error) {
	if err := setup.Validate(); err != nil {
		return nil, err
	}
	s := newFleetSim(setup)
	s.scheduleFault()
	s.events.runUntil(s.faultAt+maxFleetRun, s.done)
	return s.result(), nil
}

// maxFleetRun limits the simulated time after the fault.
const maxFleetRun = 25 * time.Second

// done reports whether the newest configuration is in force at every live router.
func (s *fleetSim) done() bool {
	return s.events.now >= s.faultAt && s.store.pendingWrites == 0 && s.upToDate >= s.liveRouters()
}

// liveRouters returns the number of routers that have not crashed.
func (s *fleetSim) liveRouters() int { return s.Routers - s.crashed }

// fleetSim is the state of one run.
type fleetSim struct {
	FleetSetup
	events  eventLoop
	rng     *rand.Rand
	halls   []*fleetHall
	store   fleetStore
	faultAt time.Duration
	// crashed is the number of crashed routers, upToDate the number of routers that hold the
	// newest configuration.
	crashed, upToDate int
}

func newFleetSim(setup FleetSetup) *fleetSim {
	s := &fleetSim{FleetSetup: setup, rng: rand.New(rand.NewPCG(setup.Seed, setup.Seed))}
	for i := range setup.Halls {
		hall := &fleetHall{sim: s, name: fmt.Sprint("hall-", i), storeLink: &fleetLink{rate: mbps(setup.RegionMbps)}}
		if i == 0 { // the hall of the store
			hall.storeLink.rate = mbps(setup.WideMbps)
		}
		s.halls = append(s.halls, hall)
	}
	for i := range setup.Routers {
		s.halls[i%setup.Halls].add(i / setup.Halls)
	}
	return s
}

// scheduleFault schedules the fault. Unless that is a start, the fleet starts first, and the fault
// follows once the fleet has settled.
func (s *fleetSim) scheduleFault() {
	const settleTime = 6 * time.Second
	s.store.revision = 1
	listed := s.Fault == FleetPowerCycle
	s.startAll(listed)
	if s.Fault == FleetStart || s.Fault == FleetPowerCycle {
		return
	}
	s.faultAt = settleTime
	s.store.pendingWrites = 1
	if s.Fault == FleetStorm {
		s.store.pendingWrites = stormLength
	}
	s.events.at(settleTime, func() {
		s.resetCounters()
		s.injectCrashes()
		s.writeConfigurations()
	})
}

// startAll starts all processes at random times within a short interval. If listed is set, the
// store already lists the routers.
func (s *fleetSim) startAll(listed bool) {
	const startSpread = 300 * time.Millisecond
	for index, hall := range s.halls {
		for _, router := range hall.routers {
			router.announced = listed
			s.events.at(randBelow(s.rng, startSpread), router.start)
		}
		for i := index; i < s.Loaders; i += s.Halls {
			s.events.at(randBelow(s.rng, startSpread), hall.startLoader)
		}
	}
}

// resetCounters restarts the counts of calls and bytes.
func (s *fleetSim) resetCounters() {
	s.store.calls = 0
	for _, hall := range s.halls {
		hall.storeLink.sent, hall.wasted = 0, 0
		for _, router := range hall.routers {
			router.uplink.sent, router.readsStore = 0, false
		}
	}
}

// injectCrashes crashes the routers that the fault selects.
func (s *fleetSim) injectCrashes() {
	for _, hall := range s.halls {
		switch s.Fault {
		case FleetReaderCrash:
			ranked := fanout.Rank(hall.candidates())
			for _, router := range hall.routers {
				if router.Name == ranked[0].Name {
					s.crash(router)
				}
			}
		case FleetTenthCrash:
			for _, router := range hall.routers {
				if s.rng.IntN(10) == 0 {
					s.crash(router)
				}
			}
		default:
		}
	}
}

func (s *fleetSim) crash(router *fleetRouter) {
	router.crashed = true
	s.crashed++
}

// Number and interval of the configurations of a storm.
const (
	stormLength   = 9
	stormInterval = 330 * time.Millisecond
)

// writeConfigurations schedules the writes of the fault.
func (s *fleetSim) writeConfigurations() {
	for i := range s.store.pendingWrites {
		s.events.after(time.Duration(i)*stormInterval, func() {
			s.store.pendingWrites--
			s.store.revision++
			s.upToDate = 0
			s.store.notifyWatches()
		})
	}
}

func (s *fleetSim) result() *FleetResult {
	result := &FleetResult{
		Fault: s.Fault, Strategy: s.Strategy.Name, Routers: s.Routers, Loaders: s.Loaders, StoreCalls: s.store.calls,
	}
	var times []float64
	for _, hall := range s.halls {
		result.RegionBytes = max(result.RegionBytes, hall.storeLink.sent)
		result.WastedBytes += hall.wasted
		for _, router := range hall.routers {
			result.SenderBytes = max(result.SenderBytes, router.uplink.sent)
			if router.readsStore {
				result.Readers++
			}
			switch {
			case router.crashed:
			case router.revision < s.store.revision:
				times = append(times, -1)
			default:
				times = append(times, (router.revisionAt - s.faultAt).Seconds())
			}
		}
	}
	slices.Sort(times)
	result.FirstSeconds, result.MedianSeconds = times[0], times[len(times)/2]
	result.P99Seconds, result.LastSeconds = times[len(times)*99/100], times[len(times)-1]
	if times[0] < 0 {
		result.LastSeconds = -1
	}
	return result
}

// mbps converts megabits per second to bytes per second.
func mbps(rate float64) float64 { return rate * 1e6 / 8 }

// randBelow returns a random duration below a limit.
func randBelow(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}

package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/readers"
)

// This file plays how a change of the store reaches every router of a fleet: which routers
// read the store, which follow which, and what the links between halls and those of the hosts
// carry meanwhile. Decisions are those of package readers; links, the store and the messages
// are models. A link sends one thing after the other, so times are those of a busy link, and
// processors cost nothing.

// Fleet describes a play. All counts must be above 0.
type Fleet struct {
	Routers, Loaders, Halls int
	// Wide is the part of each hall's routers whose links carry WideMbps, the others' carry
	// NarrowMbps.
	Wide                 float64
	WideMbps, NarrowMbps float64
	// RegionMbps is what the link from the store's region to each other hall carries.
	RegionMbps float64
	// ConfigurationBytes is the size of a configuration.
	ConfigurationBytes int
	Fault              FleetFault
	Spread             FleetSpread
	Seed               uint64
}

// DefaultFleet returns the fleet that the capacity page is about.
func DefaultFleet() Fleet {
	return Fleet{
		Routers: 546, Loaders: 440, Halls: 5, Wide: 0.1, WideMbps: 1000, NarrowMbps: 40, RegionMbps: 26,
		ConfigurationBytes: 80_000, Fault: FleetStart, Spread: SpreadNow, Seed: 1,
	}
}

// FleetFault is what happens in a play.
type FleetFault string

// The faults.
const (
	// FleetStart starts all processes within 0.3 s, with nothing in the store of them.
	FleetStart FleetFault = "start"
	// FleetPower starts them again while the store still lists all routers.
	FleetPower FleetFault = "power"
	// FleetChange writes one configuration, FleetStorm nine in quick succession.
	FleetChange FleetFault = "change"
	FleetStorm  FleetFault = "storm"
	// FleetReader ends the reader of each hall without a word, as a configuration is written.
	FleetReader FleetFault = "reader"
	// FleetTenth ends a tenth of all routers so.
	FleetTenth FleetFault = "tenth"
)

// FleetFaultNames returns the names of all faults.
func FleetFaultNames() []string {
	return []string{
		string(FleetStart), string(FleetPower), string(FleetChange), string(FleetStorm), string(FleetReader), string(FleetTenth),
	}
}

// FindFleetFault returns the fault of a name.
func FindFleetFault(name string) (FleetFault, error) {
	if !slices.Contains(FleetFaultNames(), name) {
		return "", fmt.Errorf("no fault %q; known: %v", name, FleetFaultNames())
	}
	return FleetFault(name), nil
}

// FleetSpread is a way to spread changes.
type FleetSpread struct {
	Name string
	// Decide is the decision of a router.
	Decide func(own readers.Router, hall []readers.Router, unheard time.Duration) (readers.Action, string)
	// AwaitOwn has a router that starts list its hall until it knows whom to follow, or its
	// own record is listed; else it lists all routers once.
	AwaitOwn bool
	// Packed has copies sent packed together.
	Packed bool
	// LoadersRead has loaders list upstreams from the store while they know no router.
	LoadersRead bool
}

// The ways.
var (
	SpreadNow = FleetSpread{Name: "now", Decide: readers.Decide, AwaitOwn: true, Packed: true}
	// SpreadFlat has one reader in each hall send to all others, chosen by name alone.
	SpreadFlat = FleetSpread{Name: "flat", Decide: decideFlat, LoadersRead: true}
)

// FindFleetSpread returns the way of a name.
func FindFleetSpread(name string) (FleetSpread, error) {
	for _, spread := range []FleetSpread{SpreadNow, SpreadFlat} {
		if spread.Name == name {
			return spread, nil
		}
	}
	return FleetSpread{}, fmt.Errorf("no way %q; known: %s, %s", name, SpreadNow.Name, SpreadFlat.Name)
}

// FleetResult is what came of a play. Times are since the fault, over the routers that live.
type FleetResult struct {
	Fault   FleetFault `json:"fault"`
	Spread  string     `json:"spread"`
	Routers int        `json:"routers"`
	Loaders int        `json:"loaders"`
	// First to Last are when the newest configuration was in force at the first router, at
	// half, at 99 of 100 and at the last, in seconds; -1 where it never was.
	First float64 `json:"first"`
	Half  float64 `json:"half"`
	Most  float64 `json:"most"`
	Last  float64 `json:"last"`
	// StoreCalls counts calls to the store, and Readers the routers that read it.
	StoreCalls int `json:"storeCalls"`
	Readers    int `json:"readers"`
	// RegionBytes is what the busiest link between regions carried, SenderBytes the busiest
	// router's own, and Wasted what was sent for calls that were given up.
	RegionBytes int `json:"regionBytes"`
	SenderBytes int `json:"senderBytes"`
	Wasted      int `json:"wasted"`
}

// Check returns what is wrong with a fleet.
func (f *Fleet) Check() error {
	const mostRouters = 20_000
	switch {
	case f.Routers < 1 || f.Routers > mostRouters:
		return fmt.Errorf("routers: %d; from 1 to %d", f.Routers, mostRouters)
	case f.Loaders < 0 || f.Loaders > mostRouters:
		return fmt.Errorf("loaders: %d; from 0 to %d", f.Loaders, mostRouters)
	case f.Halls < 1 || f.Halls > f.Routers:
		return fmt.Errorf("halls: %d; from 1 to one for each router", f.Halls)
	case f.RegionMbps <= 0 || f.NarrowMbps <= 0 || f.WideMbps <= 0:
		return errors.New("links: their rates must be above 0")
	default:
		return nil
	}
}

// PlayFleet plays one fault.
func PlayFleet(setup Fleet) (*FleetResult, error) {
	if err := setup.Check(); err != nil {
		return nil, err
	}
	p := newFleetPlay(setup)
	p.begin()
	p.events.runUntil(p.struck+longestFleetPlay, p.done)
	return p.result(), nil
}

// longestFleetPlay bounds the time after the fault.
const longestFleetPlay = 25 * time.Second

// done reports whether the newest configuration is in force everywhere after the fault.
func (p *fleetPlay) done() bool {
	return p.events.now >= p.struck && p.store.left == 0 && p.inForce >= p.living()
}

// living counts the routers that have not ended.
func (p *fleetPlay) living() int { return p.Routers - p.ended }

// fleetPlay is one play.
type fleetPlay struct {
	Fleet
	events events
	draw   *rand.Rand
	halls  []*fleetHall
	store  fleetStore
	// struck is when the fault happens.
	struck time.Duration
	// ended counts the routers that have ended, and inForce those that know the newest
	// configuration.
	ended, inForce int
}

func newFleetPlay(setup Fleet) *fleetPlay {
	p := &fleetPlay{Fleet: setup, draw: rand.New(rand.NewPCG(setup.Seed, setup.Seed))}
	for i := range setup.Halls {
		hall := &fleetHall{play: p, name: fmt.Sprint("hall-", i), region: &fleetLink{rate: mbps(setup.RegionMbps)}}
		if i == 0 { // the store stands there
			hall.region.rate = mbps(setup.WideMbps)
		}
		p.halls = append(p.halls, hall)
	}
	for i := range setup.Routers {
		p.halls[i%setup.Halls].add(i / setup.Halls)
	}
	return p
}

// begin has the fault happen. Where the fleet is in force before it, it starts first, and the
// fault comes once all is calm.
func (p *fleetPlay) begin() {
	const calm = 6 * time.Second
	p.store.revision = 1
	listed := p.Fault == FleetPower
	p.startAll(listed)
	if p.Fault == FleetStart || p.Fault == FleetPower {
		return
	}
	p.struck = calm
	p.store.left = 1
	if p.Fault == FleetStorm {
		p.store.left = stormLength
	}
	p.events.at(calm, func() {
		p.forget()
		p.strike()
		p.change()
	})
}

// startAll starts all processes within a short time.
func (p *fleetPlay) startAll(listed bool) {
	const within = 300 * time.Millisecond
	for number, hall := range p.halls {
		for _, router := range hall.routers {
			router.announced = listed
			p.events.at(drawBelow(p.draw, within), router.start)
		}
		for i := number; i < p.Loaders; i += p.Halls {
			p.events.at(drawBelow(p.draw, within), hall.startLoader)
		}
	}
}

// forget has the figures count from now on.
func (p *fleetPlay) forget() {
	p.store.calls = 0
	for _, hall := range p.halls {
		hall.region.sent, hall.wasted = 0, 0
		for _, router := range hall.routers {
			router.out.sent, router.reads = 0, false
		}
	}
}

// strike ends the routers that the fault is about.
func (p *fleetPlay) strike() {
	for _, hall := range p.halls {
		switch p.Fault {
		case FleetReader:
			ranked := readers.Rank(hall.all())
			for _, router := range hall.routers {
				p.end(router, router.Name == ranked[0].Name)
			}
		case FleetTenth:
			for _, router := range hall.routers {
				p.end(router, p.draw.IntN(10) == 0)
			}
		default:
		}
	}
}

// end ends a router where that is asked for.
func (p *fleetPlay) end(router *fleetRouter, ends bool) {
	if ends {
		router.gone = true
		p.ended++
	}
}

// The configurations of a storm, and the pause between two.
const (
	stormLength = 9
	stormEvery  = 330 * time.Millisecond
)

// change writes the configurations of the fault.
func (p *fleetPlay) change() {
	for i := range p.store.left {
		p.events.after(time.Duration(i)*stormEvery, func() {
			p.store.left--
			p.store.revision++
			p.inForce = 0
			p.store.tell()
		})
	}
}

func (p *fleetPlay) result() *FleetResult {
	result := &FleetResult{
		Fault: p.Fault, Spread: p.Spread.Name, Routers: p.Routers, Loaders: p.Loaders, StoreCalls: p.store.calls,
	}
	var times []float64
	for _, hall := range p.halls {
		result.RegionBytes = max(result.RegionBytes, hall.region.sent)
		result.Wasted += hall.wasted
		for _, router := range hall.routers {
			result.SenderBytes = max(result.SenderBytes, router.out.sent)
			if router.reads {
				result.Readers++
			}
			switch {
			case router.gone:
			case router.revision < p.store.revision:
				times = append(times, -1)
			default:
				times = append(times, (router.newest - p.struck).Seconds())
			}
		}
	}
	slices.Sort(times)
	result.First, result.Half = times[0], times[len(times)/2]
	result.Most, result.Last = times[len(times)*99/100], times[len(times)-1]
	if times[0] < 0 {
		result.Last = -1
	}
	return result
}

// mbps returns megabits a second as bytes a second.
func mbps(rate float64) float64 { return rate * 1e6 / 8 }

// drawBelow draws a time below some time.
func drawBelow(draw *rand.Rand, below time.Duration) time.Duration {
	return time.Duration(draw.Int64N(int64(below)))
}

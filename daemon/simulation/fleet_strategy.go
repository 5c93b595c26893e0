package simulation

import (
	"fmt"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/fanout"
)

// FleetStrategy is a strategy for propagating changes from the store to all routers.
type FleetStrategy struct {
	Name string
	// Decide selects a router's next action.
	Decide func(own fanout.Router, hall []fanout.Router, sinceData time.Duration) (fanout.Action, string)
	// AwaitOwnRecord makes a starting router list its hall until it has a router to follow or its
	// own record is listed. Otherwise it lists all routers once.
	AwaitOwnRecord bool
	// Compressed compresses the snapshots that routers send.
	Compressed bool
	// LoadersReadStore makes loaders list upstreams from the store while they have no router.
	LoadersReadStore bool
}

// The strategies.
var (
	StrategyCurrent = FleetStrategy{Name: "now", Decide: fanout.Decide, AwaitOwnRecord: true, Compressed: true}
	// StrategyFlat selects one reader in each hall by name. All other routers follow it.
	StrategyFlat = FleetStrategy{Name: "flat", Decide: decideFlat, LoadersReadStore: true}
)

// FindFleetStrategy returns the strategy of a name.
func FindFleetStrategy(name string) (FleetStrategy, error) {
	for _, strategy := range []FleetStrategy{StrategyCurrent, StrategyFlat} {
		if strategy.Name == name {
			return strategy, nil
		}
	}
	return FleetStrategy{}, fmt.Errorf("unknown spread %q; use one of %s, %s", name, StrategyCurrent.Name, StrategyFlat.Name)
}

// decideFlat makes the first router of a ranking by name read the store and all others follow it.
func decideFlat(own fanout.Router, hall []fanout.Router, _ time.Duration) (fanout.Action, string) {
	const maxStale = 3
	routers := append([]fanout.Router{own}, hall...)
	for i := range routers {
		routers[i].LinkMbps = 0
	}
	stale := 0
	for _, router := range fanout.Rank(routers) {
		switch {
		case router.Name == own.Name && stale < maxStale:
			return fanout.Read, ""
		case router.Name == own.Name:
			return fanout.Wait, ""
		case router.State == fanout.Usable:
			return fanout.Follow, router.Name
		case router.State == fanout.Stale:
			stale++
		}
	}
	return fanout.Wait, ""
}

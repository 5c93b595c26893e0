package fanout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/fanout"
)

// hall returns usable routers.
func hall(count int) []fanout.Router {
	var all []fanout.Router
	for i := range count {
		all = append(all, fanout.Router{Name: fmt.Sprint("router-", i)})
	}
	return all
}

// outcome holds the actions of a hall's routers.
type outcome struct {
	reads, waits int
	// follows holds the followed router by the name of each follower.
	follows map[string]string
}

// decide returns the actions of the reachable routers of a hall, which all see each other
// in the same state.
func decide(hall []fanout.Router, sinceData time.Duration) outcome {
	result := outcome{follows: map[string]string{}}
	for _, own := range hall {
		if own.State == fanout.Unreachable {
			continue
		}
		action, followed := fanout.Decide(own, hall, sinceData)
		switch action {
		case fanout.Read:
			result.reads++
		case fanout.Wait:
			result.waits++
		case fanout.Follow:
			result.follows[own.Name] = followed
		}
	}
	return result
}

// followers returns the number of followers of each followed router.
func (o outcome) followers() map[string]int {
	counts := map[string]int{}
	for _, followed := range o.follows {
		counts[followed]++
	}
	return counts
}

// TestSmallHallHasOneReader checks that, whichever routers of a small hall are
// unreachable, one reachable router reads the store and all others follow it.
func TestSmallHallHasOneReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := hall(rapid.IntRange(1, 20).Draw(t, "routers"))
		reachable := 0
		for i := range routers {
			if rapid.Bool().Draw(t, "unreachable") {
				routers[i].State = fanout.Unreachable
				continue
			}
			reachable++
		}
		result := decide(routers, 0)
		assert.Equal(t, min(reachable, 1), result.reads)
		assert.Zero(t, result.waits)
		for name, followed := range result.follows {
			assert.NotEqual(t, name, followed)
			assert.NotContains(t, result.follows, followed, "no router follows a follower")
		}
		assert.LessOrEqual(t, len(result.followers()), 1)
	})
}

// TestReachableHallHasAReader checks that in any combination of states at least one router
// reads the store if any is reachable.
func TestReachableHallHasAReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := hall(rapid.IntRange(1, 80).Draw(t, "routers"))
		reachable := 0
		for i := range routers {
			routers[i].State = rapid.SampledFrom([]fanout.State{fanout.Usable, fanout.Stale, fanout.Unreachable}).Draw(t, "state")
			if routers[i].State != fanout.Unreachable {
				reachable++
			}
		}
		assert.Equal(t, reachable > 0, decide(routers, 0).reads > 0)
	})
}

// TestReadersAreBoundedWhileAllAreStale guards against a stale hall whose routers all read
// the store at once and overload the link to its region.
func TestReadersAreBoundedWhileAllAreStale(t *testing.T) {
	routers := hall(30)
	for i := range routers {
		routers[i].State = fanout.Stale
	}
	for _, step := range []struct {
		sinceData  time.Duration
		maxReaders int
	}{{0, 3}, {1400 * time.Millisecond, 3}, {2 * time.Second, 4}, {4 * time.Second, 6}, {6 * time.Second, 8}} {
		result := decide(routers, step.sinceData)
		assert.LessOrEqual(t, result.reads, step.maxReaders, "after %s", step.sinceData)
		assert.Empty(t, result.follows)
	}
}

// TestRejectedRoutersDoNotDelayTheHall checks that, if the store rejects a third of a
// hall's routers, another router reads it within 2 s in 97 of 100 halls.
func TestRejectedRoutersDoNotDelayTheHall(t *testing.T) {
	const halls, sinceData = 1000, 2 * time.Second
	draw := rand.New(rand.NewPCG(1, 2))
	failed := 0
	for range halls {
		var routers []fanout.Router
		for range 30 {
			routers = append(routers, fanout.Router{Name: fmt.Sprint("router-", draw.Uint32()), State: fanout.Stale})
		}
		connected := false
		for _, own := range routers {
			action, _ := fanout.Decide(own, routers, sinceData)
			rejected := draw.IntN(3) == 0
			connected = connected || action == fanout.Read && !rejected
		}
		if !connected {
			failed++
		}
	}
	assert.LessOrEqual(t, failed, halls*3/100)
}

// TestUnregisteredRouterFollows checks that most routers whose record is not listed yet
// follow a listed router instead of reading the store.
func TestUnregisteredRouterFollows(t *testing.T) {
	routers := hall(6)
	follows := 0
	for i := range 20 {
		if action, _ := fanout.Decide(fanout.Router{Name: fmt.Sprint("new-", i)}, routers, 0); action == fanout.Follow {
			follows++
		}
	}
	assert.Greater(t, follows, 10)
}

// TestFanOutIsBounded checks that routers have at most 32 followers on average and none
// more than 64, and that updates reach each follower over at most one relay.
func TestFanOutIsBounded(t *testing.T) {
	for _, size := range []int{33, 57, 110, 220, 440} {
		result := decide(hall(size), 0)
		assert.Equal(t, 1, result.reads, "size %d", size)
		for name, count := range result.followers() {
			assert.LessOrEqual(t, count, 64, "size %d, %s", size, name)
		}
		senders := len(result.followers())
		assert.LessOrEqual(t, (size-1)/senders, 32, "size %d", size)
		for _, followed := range result.follows {
			if next, relayed := result.follows[followed]; relayed {
				assert.NotContains(t, result.follows, next, "size %d", size)
			}
		}
	}
}

// TestOnlyRoutersWithWideLinksAreFollowed guards against a fan-out over narrow links in a
// hall where one router in ten has a wide one.
func TestOnlyRoutersWithWideLinksAreFollowed(t *testing.T) {
	routers := hall(117)
	wide := map[string]bool{}
	for i := range routers {
		routers[i].LinkMbps = 40
		if i%10 == 0 && len(wide) < 11 {
			routers[i].LinkMbps = 1000
			wide[routers[i].Name] = true
		}
	}
	for name := range decide(routers, 0).followers() {
		assert.True(t, wide[name], name)
	}
}

// TestFollowersReplaceUnreachableRelays checks that every router follows a reachable
// router that ranks before it, or reads the store, whichever relays and readers are
// unreachable.
func TestFollowersReplaceUnreachableRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := hall(117)
		for _, router := range fanout.Rank(routers)[:rapid.IntRange(0, 20).Draw(t, "unreachable")] {
			for i := range routers {
				if routers[i].Name == router.Name {
					routers[i].State = fanout.Unreachable
				}
			}
		}
		rank := map[string]int{}
		for i, router := range fanout.Rank(routers) {
			rank[router.Name] = i
		}
		result := decide(routers, 0)
		assert.Equal(t, 1, result.reads)
		assert.Zero(t, result.waits)
		for name, followed := range result.follows {
			assert.Less(t, rank[followed], rank[name])
			for _, router := range routers {
				assert.False(t, router.Name == followed && router.State == fanout.Unreachable)
			}
		}
	})
}

// TestShardsDivideAHallEvenly checks that there are 16 shards of similar size.
func TestShardsDivideAHallEvenly(t *testing.T) {
	counts := map[string]int{}
	for _, router := range hall(1600) {
		counts[fanout.Shard(router.Name)]++
	}
	assert.Len(t, counts, 16)
	for shard, count := range counts {
		assert.InDelta(t, 100, count, 50, shard)
	}
}

package readers_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/readers"
)

// hall returns some routers, all usable.
func hall(count int) []readers.Router {
	var all []readers.Router
	for i := range count {
		all = append(all, readers.Router{Name: fmt.Sprint("router-", i)})
	}
	return all
}

// outcome is what the routers of a hall do.
type outcome struct {
	reads, holds int
	// follows holds whom each follower follows.
	follows map[string]string
}

// decide returns what each living router of a hall does. All see the others in the same
// state.
func decide(hall []readers.Router, unheard time.Duration) outcome {
	result := outcome{follows: map[string]string{}}
	for _, own := range hall {
		if own.State == readers.Gone {
			continue
		}
		course, followed := readers.Decide(own, hall, unheard)
		switch course {
		case readers.Read:
			result.reads++
		case readers.Hold:
			result.holds++
		case readers.Follow:
			result.follows[own.Name] = followed
		}
	}
	return result
}

// followers counts those of each router that is followed.
func (o outcome) followers() map[string]int {
	counts := map[string]int{}
	for _, followed := range o.follows {
		counts[followed]++
	}
	return counts
}

// TestOneRouterReadsForItsHall: whichever routers of a small hall do not answer, one of the
// others reads the store, every other one follows that one, and nobody itself.
func TestOneRouterReadsForItsHall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := hall(rapid.IntRange(1, 20).Draw(t, "routers"))
		living := 0
		for i := range routers {
			if rapid.Bool().Draw(t, "gone") {
				routers[i].State = readers.Gone
				continue
			}
			living++
		}
		result := decide(routers, 0)
		assert.Equal(t, min(living, 1), result.reads)
		assert.Zero(t, result.holds)
		for name, other := range result.follows {
			assert.NotEqual(t, name, other)
			assert.NotContains(t, result.follows, other, "nobody follows one that follows")
		}
		assert.LessOrEqual(t, len(result.followers()), 1)
	})
}

// TestSomebodyAlwaysReads: in whatever state routers see each other, the first living
// one of the ranking reads or follows one that is usable.
func TestSomebodyAlwaysReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := hall(rapid.IntRange(1, 80).Draw(t, "routers"))
		living := 0
		for i := range routers {
			routers[i].State = rapid.SampledFrom([]readers.State{readers.Usable, readers.Behind, readers.Gone}).Draw(t, "state")
			if routers[i].State != readers.Gone {
				living++
			}
		}
		assert.Equal(t, living > 0, decide(routers, 0).reads > 0)
	})
}

// TestStormDoesNotBringAllToTheStore replays a hall of 30 routers whose reader falls
// behind in a storm of configurations, with everybody after it: a region's link of 26
// Mbit/s bears three readers of 3.2 MB a second together, and never thirty.
func TestStormDoesNotBringAllToTheStore(t *testing.T) {
	routers := hall(30)
	for i := range routers {
		routers[i].State = readers.Behind
	}
	for _, step := range []struct {
		unheard time.Duration
		most    int
	}{{0, 3}, {1400 * time.Millisecond, 3}, {2 * time.Second, 4}, {4 * time.Second, 6}, {6 * time.Second, 8}} {
		result := decide(routers, step.unheard)
		assert.LessOrEqual(t, result.reads, step.most, "after %s", step.unheard)
		assert.Empty(t, result.follows)
	}
}

// TestRoutersTurnedAwayDoNotHoldUpTheOthers: with a third of a hall turned away by the
// store, another router reads it within 2 s in 97 of 100 halls.
func TestRoutersTurnedAwayDoNotHoldUpTheOthers(t *testing.T) {
	const halls, soon = 1000, 2 * time.Second
	draw := rand.New(rand.NewPCG(1, 2))
	unheard := 0
	for range halls {
		var routers []readers.Router
		for range 30 {
			routers = append(routers, readers.Router{Name: fmt.Sprint("router-", draw.Uint32()), State: readers.Behind})
		}
		heard := false
		for _, own := range routers {
			course, _ := readers.Decide(own, routers, soon)
			turnedAway := draw.IntN(3) == 0
			heard = heard || course == readers.Read && !turnedAway
		}
		if !heard {
			unheard++
		}
	}
	assert.LessOrEqual(t, unheard, halls*3/100)
}

// TestRouterThatNobodyKnowsYetDecides: its own record is not needed for that.
func TestRouterThatNobodyKnowsYetDecides(t *testing.T) {
	routers := hall(6)
	follows := 0
	for i := range 20 {
		if course, _ := readers.Decide(readers.Router{Name: fmt.Sprint("new-", i)}, routers, 0); course == readers.Follow {
			follows++
		}
	}
	assert.Greater(t, follows, 10)
}

// TestFollowersOfEachRouterAreBounded: at one size of a hall and at twice that, no router
// sends a change to more than 32 others by the mean, and none to twice that; and every
// follower is two steps from the reader at most.
func TestFollowersOfEachRouterAreBounded(t *testing.T) {
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

// TestWideLinksServeTheHall replays a hall of 117 routers, of which 11 have a link of 1,000
// Mbit/s and the others of 40: only wide ones are followed.
func TestWideLinksServeTheHall(t *testing.T) {
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

// TestFollowersOutliveTheirRelays: whichever relays and readers are gone, everybody follows
// a living router that ranks before it, or reads.
func TestFollowersOutliveTheirRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := hall(117)
		for _, router := range readers.Rank(routers)[:rapid.IntRange(0, 20).Draw(t, "gone")] {
			for i := range routers {
				if routers[i].Name == router.Name {
					routers[i].State = readers.Gone
				}
			}
		}
		place := map[string]int{}
		for i, router := range readers.Rank(routers) {
			place[router.Name] = i
		}
		result := decide(routers, 0)
		assert.Equal(t, 1, result.reads)
		assert.Zero(t, result.holds)
		for name, followed := range result.follows {
			assert.Less(t, place[followed], place[name])
			for _, router := range routers {
				assert.False(t, router.Name == followed && router.State == readers.Gone)
			}
		}
	})
}

// TestShardsPartAHall: every name has one of 16 parts, and the parts are about alike.
func TestShardsPartAHall(t *testing.T) {
	counts := map[string]int{}
	for _, router := range hall(1600) {
		counts[readers.Shard(router.Name)]++
	}
	assert.Len(t, counts, 16)
	for shard, count := range counts {
		assert.InDelta(t, 100, count, 50, shard)
	}
}

package mirror_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// calm is a store in which little happens. The prices of its calls are counted: an
// answer that may be old costs a tenth.
type calm struct {
	mu sync.Mutex
	at provider.Revision
	// tenths is the price of all calls so far, and watches how many there were.
	tenths, watches int
	// dead has watches hear nothing, down has calls fail that are made from then on.
	dead, down bool
	// untold is a revision that no watch is told of, which gets 410 once the next one
	// begins, and old what answers say that may be old; 0 means the newest.
	untold, old provider.Revision
	// slow is how long the answer to a watch is under way, a part each 0.2 s.
	slow time.Duration
}

var errAway = errors.New("turned away")

func (c *calm) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

func (c *calm) call(price int) (provider.Listing, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tenths += price
	if c.down {
		return provider.Listing{}, errAway
	}
	return provider.Listing{Revision: c.at, Entries: []provider.Entry{{Key: "c", Revision: c.at}}}, nil
}

func (c *calm) price() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tenths
}

// heard returns what a watch is told by now, and whether it is told at all.
func (c *calm) heard(after provider.Revision, dead bool) (provider.Listing, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if dead || c.at <= after || c.at == c.untold {
		return provider.Listing{}, false
	}
	return provider.Listing{Revision: c.at, Entries: []provider.Entry{{Key: "c", Revision: c.at}}}, true
}

func (c *calm) watch(ctx context.Context, _ string, after provider.Revision, wait time.Duration) (provider.Listing, error) {
	listing, err := c.call(10)
	if err != nil {
		return listing, err
	}
	c.mu.Lock()
	c.watches++
	dead, slow := c.dead, c.slow
	dropped := after < c.untold
	c.mu.Unlock()
	if dropped {
		return provider.Listing{}, provider.ErrCompacted
	}
	const step = 10 * time.Millisecond
	for waited := time.Duration(0); dead || waited < wait; waited += step {
		if listing, told := c.heard(after, dead); told {
			return listing, c.send(ctx, slow)
		}
		if !helpers.Pause(step, ctx.Done()) {
			return provider.Listing{}, ctx.Err()
		}
	}
	return provider.Listing{Revision: after}, nil
}

// send has an answer arrive in parts.
func (c *calm) send(ctx context.Context, takes time.Duration) error {
	const part = 200 * time.Millisecond
	for sent := time.Duration(0); sent < takes; sent += part {
		provider.Progress(ctx)(1)
		if !helpers.Pause(part, ctx.Done()) {
			return ctx.Err()
		}
	}
	return nil
}

// follow starts a follower of the store with a pulse each second.
func (c *calm) follow(t *testing.T) *mirror.Follower {
	t.Helper()
	follower := &mirror.Follower{
		Store: provider.Store{
			List: func(context.Context, string) (provider.Listing, error) { return c.call(10) },
			ListStale: func(context.Context, string) (provider.Listing, error) {
				listing, err := c.call(1)
				c.mu.Lock()
				defer c.mu.Unlock()
				if c.old != 0 {
					listing.Revision = c.old
				}
				return listing, err
			},
			Watch: c.watch,
		},
		Table: &mirror.Table{}, PulseEvery: time.Second,
	}
	follower.Start()
	t.Cleanup(follower.Stop)
	return follower
}

// TestACalmStoreIsAskedLittle: a minute in which nothing changes costs the price of 37
// calls; with a watch a second it was 60.
func TestACalmStoreIsAskedLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &calm{at: 1}
		follower := c.follow(t)
		helpers.Pause(time.Minute, nil)
		assert.LessOrEqual(t, c.price(), 370)
		assert.False(t, follower.Standing().Behind())
		assert.Less(t, follower.Age(), 1100*time.Millisecond)

		c.set(func() { c.at = 2 })
		helpers.Pause(50*time.Millisecond, nil)
		assert.Equal(t, provider.Revision(2), follower.At(), "changes come at once")
	})
}

// TestADeadWatchIsNoticed: a watch that hears nothing, while the store answers other
// calls, is begun anew in time.
func TestADeadWatchIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &calm{at: 1, dead: true}
		follower := c.follow(t)
		helpers.Pause(10*time.Second, nil)
		c.set(func() { c.at, c.dead = 2, false })
		helpers.Pause(2800*time.Millisecond, nil)
		assert.Equal(t, provider.Revision(2), follower.At())
	})
}

// TestChangesThatNoWatchTellsOfAreKnownInTime: the store drops its history while a watch
// waits, tells it nothing of what changed before, and has old answers as well. Machines
// have three seconds after that until changes must be in force.
func TestChangesThatNoWatchTellsOfAreKnownInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &calm{at: 1}
		follower := c.follow(t)
		for range 5 {
			helpers.Pause(4300*time.Millisecond, nil)
			c.set(func() {
				c.at++
				c.untold, c.old = c.at, c.at-1
			})
			helpers.Pause(2100*time.Millisecond, nil)
			assert.Equal(t, c.at, follower.At())
		}
	})
}

// TestAStoreThatTurnsAwayIsNoticed: no answer beside a watch that still waits says that
// the store is away, and its return shows.
func TestAStoreThatTurnsAwayIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &calm{at: 1}
		follower := c.follow(t)
		helpers.Pause(10*time.Second, nil)
		c.set(func() { c.down, c.dead = true, true })
		helpers.Pause(2100*time.Millisecond, nil)
		assert.True(t, follower.Standing().Behind())

		helpers.Pause(5*time.Second, nil)
		c.set(func() { c.down, c.dead, c.at = false, false, 2 })
		helpers.Pause(1300*time.Millisecond, nil)
		assert.False(t, follower.Standing().Behind())
		assert.Equal(t, provider.Revision(2), follower.At())
	})
}

// TestAnAnswerUnderWayIsNoDeadWatch: a large change takes longer to arrive than the
// store may be ahead of a watch. Given up halfway it would be begun anew for ever.
func TestAnAnswerUnderWayIsNoDeadWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &calm{at: 1, slow: 6 * time.Second}
		follower := c.follow(t)
		helpers.Pause(3500*time.Millisecond, nil)
		before := 0
		c.set(func() { c.at, before = 2, c.watches })
		helpers.Pause(6100*time.Millisecond, nil)
		assert.Equal(t, provider.Revision(2), follower.At())
		c.set(func() { assert.Equal(t, before+1, c.watches, "the next one waits for the next change") })
	})
}

// TestAWatchThatIsNeverAnsweredHidesNothing: a store answered nothing for three seconds, and never
// the watch that was opened meanwhile. Eleven of fifteen loaders heard of a version 15.7 s late.
func TestAWatchThatIsNeverAnsweredHidesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var at atomic.Uint64
		at.Store(1)
		watches, lists := atomic.Int64{}, atomic.Int64{}
		listing := func() provider.Listing {
			return provider.Listing{Revision: provider.Revision(at.Load()), Entries: []provider.Entry{{Key: "v/m", Value: []byte("x"), Revision: provider.Revision(at.Load())}}}
		}
		table := &mirror.Table{}
		var newest provider.Revision
		table.OnChange = func(changed []provider.Entry) { newest = changed[len(changed)-1].Revision }
		follower := &mirror.Follower{
			Store: provider.Store{
				List: func(context.Context, string) (provider.Listing, error) { return listing(), nil },
				ListStale: func(context.Context, string) (provider.Listing, error) {
					lists.Add(1)
					return listing(), nil
				},
				Watch: func(ctx context.Context, _ string, after provider.Revision, wait time.Duration) (provider.Listing, error) {
					if watches.Add(1) == 1 {
						<-ctx.Done()
						return provider.Listing{}, ctx.Err()
					}
					if at.Load() > uint64(after) {
						return listing(), nil
					}
					helpers.Pause(wait, ctx.Done())
					return provider.Listing{Revision: after}, ctx.Err()
				},
			},
			Prefix: "v/", Table: table, LookEvery: 4 * time.Second, Wait: func() time.Duration { return 15 * time.Second },
		}
		follower.Start()
		defer follower.Stop()
		helpers.Pause(time.Second, nil)
		at.Store(2)
		helpers.Pause(5*time.Second, nil)
		synctest.Wait()
		assert.Equal(t, provider.Revision(2), newest)
		assert.Equal(t, int64(3), watches.Load(), "the deaf one is given up, the next tells of the change, and a third waits")

		before := lists.Load()
		helpers.Pause(40*time.Second, nil)
		synctest.Wait()
		assert.LessOrEqual(t, lists.Load()-before, int64(10), "a look each four seconds")
		assert.LessOrEqual(t, watches.Load(), int64(5), "a watch that tells of nothing new is let wait")
	})
}

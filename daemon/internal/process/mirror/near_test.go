package mirror_test

import (
	"context"
	"errors"
	"slices"
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

// nearby is a daemon near a follower and the store behind both.
type nearby struct {
	mu sync.Mutex
	// watches and lists count the calls to the store, and asked those to the daemon.
	watches, lists, asked int
	after                 []provider.Revision
	fail                  error
	news                  mirror.News
}

func (n *nearby) ask(_ context.Context, _ string, after provider.Revision) (mirror.News, error) {
	n.mu.Lock()
	n.asked++
	n.after = append(n.after, after)
	n.mu.Unlock()
	helpers.Pause(500*time.Millisecond, nil)
	n.mu.Lock()
	defer n.mu.Unlock()
	news := n.news
	news.After = after
	return news, n.fail
}

// set changes what the daemon answers.
func (n *nearby) set(news mirror.News, fail error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.news, n.fail = news, fail
}

// counts returns how often the store was watched and listed, and the daemon asked.
func (n *nearby) counts() (watches, lists, asked int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.watches, n.lists, n.asked
}

// revisions returns those above which the daemon was asked for news.
func (n *nearby) revisions() []provider.Revision {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.after)
}

func (n *nearby) store() provider.Store {
	return provider.Store{
		List: func(context.Context, string) (provider.Listing, error) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.lists++
			return provider.Listing{Revision: 1}, nil
		},
		Watch: func(_ context.Context, _ string, after provider.Revision, wait time.Duration) (provider.Listing, error) {
			n.mu.Lock()
			n.watches++
			n.mu.Unlock()
			helpers.Pause(wait, nil)
			return provider.Listing{Revision: after}, nil
		},
	}
}

// TestNewsComesFromNearby: while a daemon near answers, the store is not called; once
// two fail one after the other it is, and the daemon is asked again.
func TestNewsComesFromNearby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &nearby{news: mirror.News{
			Entries: []provider.Entry{{Key: "a", Revision: 4}}, Standing: mirror.Standing{At: 5, Answered: 3 * time.Second},
		}}
		follower := &mirror.Follower{Store: n.store(), Table: &mirror.Table{}, Near: n.ask}
		follower.Start()
		defer follower.Stop()
		helpers.Pause(10*time.Second, nil)
		watches, lists, _ := n.counts()
		assert.Zero(t, lists+watches)
		assert.Equal(t, provider.Revision(5), follower.At())
		assert.Equal(t, provider.Revision(0), n.revisions()[0], "the whole copy first")
		assert.Equal(t, provider.Revision(5), n.revisions()[1])
		assert.GreaterOrEqual(t, follower.Age(), 3*time.Second, "what the other one heard, and when")

		n.set(n.news, errors.New("gone"))
		helpers.Pause(10*time.Second, nil)
		watches, lists, _ = n.counts()
		assert.Greater(t, watches, 2)
		assert.Zero(t, lists, "the copy goes on from where it was")
		n.set(n.news, nil)
		helpers.Pause(10*time.Second, nil)
		again, _, _ := n.counts()
		assert.LessOrEqual(t, again, watches+1)

		_, _, asked := n.counts()
		n.set(n.news, mirror.ErrNoneNear)
		helpers.Pause(10*time.Second, nil)
		watches, _, askedAgain := n.counts()
		assert.Greater(t, watches, again+2)
		assert.Greater(t, askedAgain, asked+2, "whether somebody is near is looked at before each watch")
	})
}

// TestTheStoreIsLeftAloneByThoseWhoHold: where those who read the store for this daemon
// live and do not hear it, this one does not go there too, however long.
func TestTheStoreIsLeftAloneByThoseWhoHold(t *testing.T) {
	for _, err := range []error{mirror.ErrHold, mirror.ErrBehind} {
		t.Run(err.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &nearby{fail: err}
				follower := &mirror.Follower{Store: n.store(), Table: &mirror.Table{}, Near: n.ask}
				follower.Start()
				defer follower.Stop()
				helpers.Pause(20*time.Second, nil)
				watches, lists, asked := n.counts()
				assert.Zero(t, watches+lists)
				assert.Greater(t, asked, 20)
			})
		})
	}
}

// TestAnOldCopyIsTakenAnew: a daemon near forgets removals, so a copy that was not
// brought up to date for long is asked for whole, and what is missing there is gone.
func TestAnOldCopyIsTakenAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &nearby{news: mirror.News{
			Entries: []provider.Entry{{Key: "a", Revision: 4}, {Key: "b", Revision: 3}}, Standing: mirror.Standing{At: 5},
		}}
		held := make(chan struct{})
		near := func(ctx context.Context, prefix string, after provider.Revision) (mirror.News, error) {
			if _, _, asked := n.counts(); asked == 1 {
				<-held
			}
			return n.ask(ctx, prefix, after)
		}
		table := &mirror.Table{}
		follower := &mirror.Follower{Store: n.store(), Table: table, Near: near}
		follower.Start()
		defer follower.Stop()
		helpers.Pause(3*time.Minute, nil)
		shorter := mirror.News{Entries: []provider.Entry{{Key: "a", Revision: 4}}, Standing: mirror.Standing{At: 9}}
		n.set(shorter, errors.New("late"))
		close(held)
		helpers.Pause(700*time.Millisecond, nil)
		n.set(shorter, nil)
		helpers.Pause(2*time.Second, nil)
		assert.Contains(t, n.revisions()[2:], provider.Revision(0))
		gone := map[string]bool{}
		for _, entry := range table.Since(0).Entries {
			gone[entry.Key] = entry.Deleted
		}
		assert.Equal(t, map[string]bool{"a": false, "b": true}, gone)
	})
}

// TestRecordsOfRoutersAreNoFirstNews: a router reads them before all else, and a
// version that it hears of next may still have been declared long before.
func TestRecordsOfRoutersAreNoFirstNews(t *testing.T) {
	compiler := &mirror.Compiler{Decode: decode}
	compiler.Take([]provider.Entry{entry(t, "m/r", 1, provider.Record{Member: &provider.Member{Name: "r"}})})
	compiler.Take([]provider.Entry{entry(t, "v/m", 2, provider.Record{Target: &provider.Target{Model: "m", Version: 2}})})
	assert.True(t, compiler.View().Targets["m"].Found)
}

// Symptom: for a second and more, routers of a hall let removed keys in that routers
// of other halls refused.
//
// Sequence: the store turns both routers away that read it for the hall, by an answer
// of a few bytes, and serves all others; keys are removed.
//
// Cause: the bytes of a refusal were taken for a sign that the store is heard, so the
// others went on following the two, which knew nothing new.
func TestARefusalIsNoSignOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var refuses atomic.Bool
		store := (&nearby{}).store()
		watch := store.Watch
		store.Watch = func(ctx context.Context, prefix string, after provider.Revision, wait time.Duration) (provider.Listing, error) {
			provider.Progress(ctx)(20)
			if refuses.Load() {
				return provider.Listing{}, errors.New("turned away")
			}
			return watch(ctx, prefix, after, wait)
		}
		follower := &mirror.Follower{Store: store, Table: &mirror.Table{}}
		follower.Start()
		defer follower.Stop()
		helpers.Pause(5*time.Second, nil)
		assert.Less(t, follower.Standing().Heard, 3*time.Second)
		refuses.Store(true)
		helpers.Pause(10*time.Second, nil)
		assert.Greater(t, follower.Standing().Heard, 5*time.Second)
		assert.True(t, follower.Standing().Lost)
		refuses.Store(false)
		helpers.Pause(5*time.Second, nil)
		assert.Less(t, follower.Standing().Heard, 3*time.Second)
		assert.False(t, follower.Standing().Lost)
	})
}

// TestACopyReadAnewIsTold: who follows a copy notices that it was read anew, but not
// that it was listed to catch up with many changes.
func TestACopyReadAnewIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var compacted atomic.Bool
		store := (&nearby{}).store()
		watch := store.Watch
		store.Watch = func(ctx context.Context, prefix string, after provider.Revision, wait time.Duration) (provider.Listing, error) {
			if compacted.Swap(false) {
				return provider.Listing{}, provider.ErrCompacted
			}
			return watch(ctx, prefix, after, wait)
		}
		follower := &mirror.Follower{Store: store, Table: &mirror.Table{}}
		follower.Start()
		defer follower.Stop()
		helpers.Pause(5*time.Second, nil)
		first := follower.Standing().Generation
		helpers.Pause(10*time.Second, nil)
		assert.Equal(t, first, follower.Standing().Generation)
		compacted.Store(true)
		helpers.Pause(10*time.Second, nil)
		assert.NotEqual(t, first, follower.Standing().Generation)
	})
}

// TestVersionsAreLookedAtBesideNear: a daemon near that never tells of a change, because it is
// turned away by the store and does not notice, hides it for one interval of looks only, and
// the store is not watched meanwhile.
func TestVersionsAreLookedAtBesideNear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &nearby{news: mirror.News{Standing: mirror.Standing{At: 5}}}
		store := n.store()
		var old atomic.Uint64
		old.Store(3)
		store.ListStale = func(context.Context, string) (provider.Listing, error) {
			at := provider.Revision(old.Load())
			return provider.Listing{Revision: at, Entries: []provider.Entry{{Key: "v", Revision: at}}}, nil
		}
		table := &mirror.Table{}
		follower := &mirror.Follower{Store: store, Table: table, Near: n.ask, FirstStale: true, LookEvery: 4 * time.Second}
		follower.Start()
		defer follower.Stop()
		helpers.Pause(time.Second, nil)
		assert.Equal(t, provider.Revision(3), table.Newest(), "the first list is the store's")
		old.Store(9)
		helpers.Pause(6*time.Second, nil)
		assert.Equal(t, provider.Revision(9), table.Newest())
		watches, lists, asked := n.counts()
		assert.Zero(t, watches+lists)
		assert.Greater(t, asked, 5)
	})
}

// TestHopsAreCounted: a daemon that follows another one is fresh for longer, by the time for
// which that one may hold its answer, and one that reads the store again is not.
func TestHopsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &nearby{news: mirror.News{Standing: mirror.Standing{At: 5, Hops: 1}}}
		follower := &mirror.Follower{Store: n.store(), Table: &mirror.Table{}, Near: n.ask}
		follower.Start()
		defer follower.Stop()
		helpers.Pause(2*time.Second, nil)
		assert.Equal(t, 2, follower.Standing().Hops)
		assert.Equal(t, mirror.FreshWithin+2*mirror.HopWait, follower.Standing().FreshFor())
		n.set(n.news, mirror.ErrNoneNear)
		helpers.Pause(5*time.Second, nil)
		assert.Zero(t, follower.Standing().Hops)
	})
}

// TestHallIsListedUntilItIsNewEnough: a list that was given before this daemon announced itself
// shows few of those that start with it, so it is asked for again; what comes next is listed only
// where that does not suffice, and the search ends with its time.
func TestHallIsListedUntilItIsNewEnough(t *testing.T) {
	for name, test := range map[string]struct {
		newEnough int // lists until the first prefix is
		enough    bool
		listed    map[string]int
	}{
		"at once, and it suffices":      {1, true, map[string]int{"shard/": 1}},
		"after three, and it suffices":  {3, true, map[string]int{"shard/": 3}},
		"after three, and more is read": {3, false, map[string]int{"shard/": 3, "hall/": 1}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &nearby{news: mirror.News{Standing: mirror.Standing{At: 5}}}
				listed := map[string]int{}
				store := n.store()
				store.ListStale = func(_ context.Context, prefix string) (provider.Listing, error) {
					listed[prefix]++
					return provider.Listing{Revision: 1}, nil
				}
				follower := &mirror.Follower{
					Store: store, Table: &mirror.Table{}, Near: n.ask, Before: []string{"shard/", "hall/"},
					Found: func() bool { return listed["shard/"] >= test.newEnough }, Enough: func() bool { return test.enough },
				}
				follower.Start()
				helpers.Pause(5*time.Second, nil)
				follower.Stop()
				assert.Equal(t, test.listed, listed)
			})
		})
	}
}

package replica_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// changingStore is a store whose only entry changes at an interval, behind a link that
// takes some time to transfer each state of it.
type changingStore struct {
	started            time.Time
	interval, transfer time.Duration
	// states counts the states that were sent.
	states int
}

func (s *changingStore) newest() provider.Revision {
	return 1 + provider.Revision(time.Since(s.started)/s.interval)
}

func (s *changingStore) send(states int) {
	s.states += states
	helpers.Pause(time.Duration(states)*s.transfer, nil)
}

func (s *changingStore) store() provider.Store {
	entry := func(revision provider.Revision) provider.Entry {
		return provider.Entry{Key: "c", Value: []byte("state"), Revision: revision}
	}
	return provider.Store{
		List: func(context.Context, string) (provider.Listing, error) {
			at := s.newest()
			s.send(1)
			return provider.Listing{Entries: []provider.Entry{entry(at)}, Revision: at}, nil
		},
		Watch: func(_ context.Context, _ string, after provider.Revision, _ time.Duration) (provider.Listing, error) {
			at := max(s.newest(), after+1)
			helpers.Pause(time.Until(s.started.Add(time.Duration(at-1)*s.interval)), nil)
			listing := provider.Listing{Revision: at}
			for revision := after + 1; revision <= at; revision++ {
				listing.Entries = append(listing.Entries, entry(revision))
			}
			s.send(len(listing.Entries))
			return listing, nil
		},
	}
}

// TestStalenessIsBoundedUnderFastChanges checks that a follower switches to lists when an
// entry changes faster than its states can be transferred. With watches alone its lag
// would grow with each answer.
func TestStalenessIsBoundedUnderFastChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			interval = 250 * time.Millisecond
			transfer = 300 * time.Millisecond
			debounce = 500 * time.Millisecond
			bound    = debounce + 2*transfer + interval
		)
		s := &changingStore{started: time.Now(), interval: interval, transfer: transfer}
		table := &replica.Table{}
		follower := replica.Follower{Store: s.store(), Table: table, Debounce: func() time.Duration { return debounce }}
		follower.Start()
		helpers.Pause(5*time.Second, nil)
		for range 40 {
			helpers.Pause(100*time.Millisecond, nil)
			lag := time.Duration(s.newest()-table.LatestRevision()) * interval
			assert.LessOrEqual(t, lag, bound)
		}
		follower.Stop()
	})
}

// TestSlowChangesAreWatched checks that single changes arrive by watches, not by lists.
func TestSlowChangesAreWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &changingStore{started: time.Now(), interval: 2 * time.Second, transfer: time.Millisecond}
		table := &replica.Table{}
		lists := 0
		store := s.store()
		list := store.List
		store.List = func(ctx context.Context, prefix string) (provider.Listing, error) {
			lists++
			return list(ctx, prefix)
		}
		follower := replica.Follower{Store: store, Table: table, Debounce: func() time.Duration { return 500 * time.Millisecond }}
		follower.Start()
		helpers.Pause(20*time.Second, nil)
		follower.Stop()
		assert.Equal(t, 1, lists)
		assert.InDelta(t, 11, s.states, 1)
	})
}

// TestSmallChangesAreWatched checks that frequent changes of a small entry do not cause
// lists of a large one beside it.
func TestSmallChangesAreWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lists := 0
		small := func(revision provider.Revision) provider.Entry {
			return provider.Entry{Key: "small", Value: []byte("s"), Revision: revision}
		}
		at := provider.Revision(2)
		store := provider.Store{
			List: func(context.Context, string) (provider.Listing, error) {
				lists++
				large := provider.Entry{Key: "large", Value: make([]byte, 1000), Revision: 1}
				return provider.Listing{Entries: []provider.Entry{large, small(at)}, Revision: at}, nil
			},
			Watch: func(context.Context, string, provider.Revision, time.Duration) (provider.Listing, error) {
				helpers.Pause(time.Second, nil)
				at += 3
				return provider.Listing{Entries: []provider.Entry{small(at - 2), small(at - 1), small(at)}, Revision: at}, nil
			},
		}
		table := &replica.Table{}
		follower := replica.Follower{Store: store, Table: table}
		follower.Start()
		helpers.Pause(20*time.Second, nil)
		follower.Stop()
		assert.Equal(t, 1, lists)
		assert.Equal(t, at, table.LatestRevision())
	})
}

// TestRepeatedCompactionIsNotPolled guards against a reader that watches and lists as fast as the
// store answers, because a list does not help.
func TestRepeatedCompactionIsNotPolled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		store := provider.Store{
			List: func(context.Context, string) (provider.Listing, error) {
				calls++
				helpers.Pause(time.Millisecond, nil)
				return provider.Listing{Revision: 5}, nil
			},
			Watch: func(context.Context, string, provider.Revision, time.Duration) (provider.Listing, error) {
				helpers.Pause(time.Millisecond, nil)
				return provider.Listing{}, provider.ErrCompacted
			},
		}
		follower := &replica.Follower{Store: store, Table: &replica.Table{}}
		follower.Start()
		helpers.Pause(10*time.Second, nil)
		follower.Stop()
		assert.Less(t, calls, 40)
	})
}

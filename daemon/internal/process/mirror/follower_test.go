package mirror_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// storm is a store whose one large entry changes at an interval, behind a link that
// takes some time for each state of it.
type storm struct {
	began           time.Time
	every, transfer time.Duration
	// states counts those that were sent.
	states int
}

func (s *storm) newest() provider.Revision {
	return 1 + provider.Revision(time.Since(s.began)/s.every)
}

func (s *storm) send(states int) {
	s.states += states
	helpers.Pause(time.Duration(states)*s.transfer, nil)
}

func (s *storm) store() provider.Store {
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
			helpers.Pause(time.Until(s.began.Add(time.Duration(at-1)*s.every)), nil)
			listing := provider.Listing{Revision: at}
			for revision := after + 1; revision <= at; revision++ {
				listing.Entries = append(listing.Entries, entry(revision))
			}
			s.send(len(listing.Entries))
			return listing, nil
		},
	}
}

// TestOvertakenStatesAreNotWaitedFor: where an entry changes faster than its states
// can be brought, a follower lists and stays a bounded time behind. By watches
// alone it would be further behind with each.
func TestOvertakenStatesAreNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			every    = 250 * time.Millisecond
			transfer = 300 * time.Millisecond
			settle   = 500 * time.Millisecond
			bound    = settle + 2*transfer + every
		)
		s := &storm{began: time.Now(), every: every, transfer: transfer}
		table := &mirror.Table{}
		follower := mirror.Follower{Store: s.store(), Table: table, Settle: func() time.Duration { return settle }}
		follower.Start()
		helpers.Pause(5*time.Second, nil)
		for range 40 {
			helpers.Pause(100*time.Millisecond, nil)
			behind := time.Duration(s.newest()-table.Newest()) * every
			assert.LessOrEqual(t, behind, bound)
		}
		follower.Stop()
	})
}

// TestQuietChangesAreWatched: single changes are heard by watches, a state each.
func TestQuietChangesAreWatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &storm{began: time.Now(), every: 2 * time.Second, transfer: time.Millisecond}
		table := &mirror.Table{}
		lists := 0
		store := s.store()
		list := store.List
		store.List = func(ctx context.Context, prefix string) (provider.Listing, error) {
			lists++
			return list(ctx, prefix)
		}
		follower := mirror.Follower{Store: store, Table: table, Settle: func() time.Duration { return 500 * time.Millisecond }}
		follower.Start()
		helpers.Pause(20*time.Second, nil)
		follower.Stop()
		assert.Equal(t, 1, lists)
		assert.InDelta(t, 11, s.states, 1)
	})
}

// TestSmallChangesAreWatched: however often a small entry changes beside a large
// one, that is no reason to list both.
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
		table := &mirror.Table{}
		follower := mirror.Follower{Store: store, Table: table}
		follower.Start()
		helpers.Pause(20*time.Second, nil)
		follower.Stop()
		assert.Equal(t, 1, lists)
		assert.Equal(t, at, table.Newest())
	})
}

package mirror_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// sharedLink sends to all who read at the same time, each its part of the rate.
type sharedLink struct {
	// alone is how long one state takes while nobody else reads.
	alone   time.Duration
	readers atomic.Int64
}

// send sends some states and reports them as they go.
func (l *sharedLink) send(ctx context.Context, states int) error {
	const step = 10 * time.Millisecond
	l.readers.Add(1)
	defer l.readers.Add(-1)
	for sent := time.Duration(0); sent < time.Duration(states)*l.alone; sent += step / time.Duration(l.readers.Load()) {
		if !helpers.Pause(step, ctx.Done()) {
			return ctx.Err()
		}
		provider.Progress(ctx)(1)
	}
	return nil
}

// linkedStore has one large entry that was changed at some moments, behind a link.
type linkedStore struct {
	link sharedLink
	// changes are the moments of the entry's states, revisions 1 and up.
	changes []time.Time
}

func (s *linkedStore) newest() provider.Revision {
	at := provider.Revision(0)
	for _, change := range s.changes {
		if !time.Now().Before(change) {
			at++
		}
	}
	return at
}

func (s *linkedStore) state(revision provider.Revision) provider.Entry {
	return provider.Entry{Key: "large", Value: []byte("state"), Revision: revision}
}

func (s *linkedStore) list(ctx context.Context, _ string) (provider.Listing, error) {
	at := s.newest()
	err := s.link.send(ctx, 1)
	return provider.Listing{Entries: []provider.Entry{s.state(at)}, Revision: at}, err
}

func (s *linkedStore) watch(ctx context.Context, _ string, after provider.Revision, wait time.Duration) (provider.Listing, error) {
	until := time.Now().Add(wait)
	for s.newest() <= after && time.Now().Before(until) {
		if !helpers.Pause(10*time.Millisecond, ctx.Done()) {
			return provider.Listing{}, ctx.Err()
		}
	}
	listing := provider.Listing{Revision: s.newest()}
	for revision := after + 1; revision <= listing.Revision; revision++ {
		listing.Entries = append(listing.Entries, s.state(revision))
	}
	return listing, s.link.send(ctx, len(listing.Entries))
}

// Symptom: routers outside the store's region had a changed configuration 2 to 16 s
// late, and sent requests to upstreams that had left long before.
//
// Sequence: the configuration grew to 300 KB; 13 routers of a region read it over
// one link of 24 Mbit/s, 1.8 s for all of them; it changed again meanwhile.
//
// Cause: a watch was given up 0.7 s after the end of its wait, however much of its
// answer had come, and begun anew. So the link was full of parts of answers, and
// with each round all were further behind.
//
// What settled it: all 25 routers that gave a watch up had read 263 to 721 KB of the
// answer ("context deadline exceeded", with the bytes that came).
func TestAnswersUnderWayAreReadToTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers = 13
		began := time.Now()
		store := &linkedStore{
			link:    sharedLink{alone: 135 * time.Millisecond},
			changes: []time.Time{began, began.Add(5 * time.Second), began.Add(5500 * time.Millisecond), began.Add(6 * time.Second)},
		}
		var followers []*mirror.Follower
		for range routers {
			follower := &mirror.Follower{
				Store: provider.Store{List: store.list, Watch: store.watch}, Table: &mirror.Table{},
				Settle: func() time.Duration { return 800 * time.Millisecond },
			}
			follower.Start()
			followers = append(followers, follower)
		}
		// All have the first change after 6.8 s. Then the link needs 3.6 s for the two
		// others, and a watch begins 0.8 s after the answer before it.
		helpers.Pause(time.Until(began.Add(12*time.Second)), nil)
		for _, follower := range followers {
			assert.Equal(t, store.newest(), follower.Table.Newest())
			follower.Stop()
		}
	})
}

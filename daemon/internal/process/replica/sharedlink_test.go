package replica_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// sharedLink divides its rate evenly among concurrent readers.
type sharedLink struct {
	// transfer is how long one state takes for a single reader.
	transfer time.Duration
	readers  atomic.Int64
}

// send sends states and reports progress.
func (l *sharedLink) send(ctx context.Context, states int) error {
	const step = 10 * time.Millisecond
	l.readers.Add(1)
	defer l.readers.Add(-1)
	for sent := time.Duration(0); sent < time.Duration(states)*l.transfer; sent += step / time.Duration(l.readers.Load()) {
		if !helpers.Pause(step, ctx.Done()) {
			return ctx.Err()
		}
		provider.Progress(ctx)(1)
	}
	return nil
}

// sharedLinkStore has one large entry behind a shared link.
type sharedLinkStore struct {
	link sharedLink
	// changes holds the times of the entry's states, revisions 1 and up.
	changes []time.Time
}

func (s *sharedLinkStore) newest() provider.Revision {
	at := provider.Revision(0)
	for _, change := range s.changes {
		if !time.Now().Before(change) {
			at++
		}
	}
	return at
}

func (s *sharedLinkStore) state(revision provider.Revision) provider.Entry {
	return provider.Entry{Key: "large", Value: []byte("state"), Revision: revision}
}

func (s *sharedLinkStore) list(ctx context.Context, _ string) (provider.Listing, error) {
	at := s.newest()
	err := s.link.send(ctx, 1)
	return provider.Listing{Entries: []provider.Entry{s.state(at)}, Revision: at}, err
}

func (s *sharedLinkStore) watch(ctx context.Context, _ string, after provider.Revision, wait time.Duration) (provider.Listing, error) {
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

// TestSlowAnswersAreNotCanceled guards against canceling a watch whose answer is arriving
// slowly. Retries of such watches would fill the shared link with partial answers, and
// all routers behind it would become ever more stale.
func TestSlowAnswersAreNotCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers = 13
		started := time.Now()
		store := &sharedLinkStore{
			link:    sharedLink{transfer: 135 * time.Millisecond},
			changes: []time.Time{started, started.Add(5 * time.Second), started.Add(5500 * time.Millisecond), started.Add(6 * time.Second)},
		}
		var followers []*replica.Follower
		for range routers {
			follower := &replica.Follower{
				Store: provider.Store{List: store.list, Watch: store.watch}, Table: &replica.Table{},
				Debounce: func() time.Duration { return 800 * time.Millisecond },
			}
			follower.Start()
			followers = append(followers, follower)
		}
		// All followers have the first change after 6.8 s. The link then needs 3.6 s for
		// the other two, and each watch begins 0.8 s after the previous answer.
		helpers.Pause(time.Until(started.Add(12*time.Second)), nil)
		for _, follower := range followers {
			assert.Equal(t, store.newest(), follower.Table.LatestRevision())
			follower.Stop()
		}
	})
}

package mirror_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestOneFollowerAsksForAllInAnOutage: three followers of a process whose store is gone for
// 6 s make little more calls than one alone, and all have read it soon after its return.
func TestOneFollowerAsksForAllInAnOutage(t *testing.T) {
	calls := func(followers int, outage *mirror.Outage) int64 {
		var failed, answered atomic.Int64
		synctest.Test(t, func(t *testing.T) {
			const gone = 6 * time.Second
			began := time.Now()
			list := func(context.Context, string) (provider.Listing, error) {
				if time.Since(began) < gone {
					failed.Add(1)
					return provider.Listing{}, errors.New("gone")
				}
				answered.Add(1)
				return provider.Listing{Revision: 1}, nil
			}
			var all []*mirror.Follower
			for range followers {
				f := &mirror.Follower{
					Store: provider.Store{List: list, ListStale: list}, Table: &mirror.Table{}, ListEvery: func() time.Duration { return time.Minute },
					Outage: outage, Now: time.Now,
				}
				f.Start()
				all = append(all, f)
			}
			<-time.After(gone + 3*time.Second) // simulated
			assert.Equal(t, int64(followers), answered.Load(), "all have read it")
			for _, f := range all {
				f.Stop()
			}
		})
		return failed.Load()
	}
	alone, apart, shared := int64(0), int64(0), int64(0)
	const outages = 40 // pauses are drawn
	for range outages {
		alone += calls(1, nil)
		apart += calls(3, nil)
		shared += calls(3, &mirror.Outage{})
	}
	t.Logf("calls in vain in %d outages: %d of one follower, %d of three, %d of three that share", outages, alone, apart, shared)
	assert.Less(t, 2*shared, apart)
}

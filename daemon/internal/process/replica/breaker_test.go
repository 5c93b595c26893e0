package replica_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestOneFollowerProbesForAllDuringAnOutage checks that followers that share a breaker
// make far fewer failing calls than independent ones, and all read the store soon after it
// recovers.
func TestOneFollowerProbesForAllDuringAnOutage(t *testing.T) {
	calls := func(followers int, breaker *replica.CircuitBreaker) int64 {
		var failed, answered atomic.Int64
		synctest.Test(t, func(t *testing.T) {
			const outage = 6 * time.Second
			started := time.Now()
			list := func(context.Context, string) (provider.Listing, error) {
				if time.Since(started) < outage {
					failed.Add(1)
					return provider.Listing{}, errors.New("store is down")
				}
				answered.Add(1)
				return provider.Listing{Revision: 1}, nil
			}
			var all []*replica.Follower
			for range followers {
				f := &replica.Follower{
					Store: provider.Store{List: list, ListStale: list}, Table: &replica.Table{}, PollInterval: func() time.Duration { return time.Minute },
					Breaker: breaker, Now: time.Now,
				}
				f.Start()
				all = append(all, f)
			}
			<-time.After(outage + 3*time.Second)
			assert.Equal(t, int64(followers), answered.Load(), "all followers have read the store")
			for _, f := range all {
				f.Stop()
			}
		})
		return failed.Load()
	}
	single, separate, shared := int64(0), int64(0), int64(0)
	const outages = 40 // averages out the random pauses
	for range outages {
		single += calls(1, nil)
		separate += calls(3, nil)
		shared += calls(3, &replica.CircuitBreaker{})
	}
	t.Logf("failed calls in %d outages: %d of one follower, %d of three, %d of three that share a breaker", outages, single, separate, shared)
	assert.Less(t, 2*shared, separate)
}

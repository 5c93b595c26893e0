package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/version/schedule"
)

var declared = time.Unix(1000, 0)

func TestLoadTimesSpreadWithinApplyTime(t *testing.T) {
	const apply = 8 * time.Second
	w := schedule.NewWindow(declared, apply, time.Time{})
	assert.True(t, w.First.After(declared))
	assert.True(t, w.Last.Before(declared.Add(apply)))
	assert.True(t, w.Early.Before(w.First))
	for rank := range 10 {
		switch at := w.LoadTime(rank, 10); {
		case schedule.IsEarly(rank):
			assert.Equal(t, w.Early, at, "as soon as the chunks have arrived")
		default:
			assert.True(t, at.After(w.LoadTime(rank-1, 10)), "rank %d", rank)
		}
	}
	assert.Equal(t, w.First, w.LoadTime(2, 10))
	assert.Equal(t, w.Last, w.LoadTime(9, 10))
	assert.Equal(t, w.Early, w.LoadTime(0, 1))
	assert.Equal(t, w.First, w.LoadTime(2, 3))
}

// TestPendingOlderVersionShortensWindow: engines that have not loaded an older version load the
// newer one by the time at which the older one must serve.
func TestPendingOlderVersionShortensWindow(t *testing.T) {
	const apply = 8 * time.Second
	unbounded := schedule.NewWindow(declared, apply, time.Time{})
	due := schedule.NewWindow(declared, apply, declared.Add(6*time.Second))
	assert.True(t, due.Last.Before(unbounded.Last))
	late := schedule.NewWindow(declared, apply, declared.Add(time.Second))
	assert.Equal(t, late.First, late.Last, "at once when the time has passed")
}

// TestLateCopiesSpreadOverRestOfWindow guards against hosts that load all at once because their
// copies were complete only after their load times.
func TestLateCopiesSpreadOverRestOfWindow(t *testing.T) {
	const apply, hosts = 13400 * time.Millisecond, 76
	w := schedule.NewWindow(declared, apply, time.Time{})
	assert.Equal(t, w, w.Delayed(declared.Add(time.Second)), "in time")
	assert.Equal(t, w, w.Delayed(time.Time{}), "not complete yet")
	for _, completed := range []time.Duration{8 * time.Second, 11600 * time.Millisecond} {
		late := w.Delayed(declared.Add(completed))
		assert.Equal(t, declared.Add(completed), late.LoadTime(0, hosts))
		assert.Equal(t, declared.Add(completed), late.LoadTime(2, hosts))
		assert.Equal(t, w.Last, late.LoadTime(hosts-1, hosts))
		assert.True(t, late.LoadTime(hosts/2, hosts).After(declared.Add(completed)))
	}
	over := w.Delayed(declared.Add(apply))
	assert.Equal(t, declared.Add(apply), over.LoadTime(hosts-1, hosts), "at once when the time has passed")
}

// TestLoadReserveIsBounded: the time after the last scheduled load does not grow with the apply
// time beyond what a load takes.
func TestLoadReserveIsBounded(t *testing.T) {
	reserve := func(apply time.Duration) time.Duration {
		return declared.Add(apply).Sub(schedule.NewWindow(declared, apply, time.Time{}).Last)
	}
	assert.Equal(t, reserve(8*time.Second), reserve(20*time.Second))
	assert.Less(t, reserve(2*time.Second), reserve(8*time.Second))
}

// TestRanksArePermutation: every host has a rank of its own, and all hosts compute the same
// ranks regardless of the order of their lists.
func TestRanksArePermutation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "hosts")
		key := rapid.String().Draw(t, "key")
		var hosts []string
		for i := range count {
			hosts = append(hosts, fmt.Sprintf("host-%d", i))
		}
		shuffled := rapid.Permutation(hosts).Draw(t, "shuffled")
		seen := map[int]bool{}
		for _, host := range hosts {
			rank := schedule.Rank(key, host, hosts)
			assert.Equal(t, rank, schedule.Rank(key, host, shuffled))
			assert.False(t, seen[rank])
			seen[rank] = true
		}
		assert.Len(t, seen, count)
	})
}

package turn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/version/turn"
)

var declared = time.Unix(1000, 0)

func TestTurnsSpreadWithinTheTime(t *testing.T) {
	const apply = 8 * time.Second
	w := turn.NewWindow(declared, apply, time.Time{})
	assert.True(t, w.First.After(declared))
	assert.True(t, w.Last.Before(declared.Add(apply)))
	assert.True(t, w.Early.Before(w.First))
	for place := range 10 {
		switch at := w.Of(place, 10); {
		case turn.IsEarly(place):
			assert.Equal(t, w.Early, at, "as soon as the chunks are there")
		default:
			assert.True(t, at.After(w.Of(place-1, 10)), "place %d", place)
		}
	}
	assert.Equal(t, w.First, w.Of(2, 10))
	assert.Equal(t, w.Last, w.Of(9, 10))
	assert.Equal(t, w.Early, w.Of(0, 1))
	assert.Equal(t, w.First, w.Of(2, 3))
}

// TestEarlierDeclarationHurries: engines that have not reached an older version
// take the newer one by the older one's time.
func TestEarlierDeclarationHurries(t *testing.T) {
	const apply = 8 * time.Second
	free := turn.NewWindow(declared, apply, time.Time{})
	due := turn.NewWindow(declared, apply, declared.Add(6*time.Second))
	assert.True(t, due.Last.Before(free.Last))
	late := turn.NewWindow(declared, apply, declared.Add(time.Second))
	assert.Equal(t, late.First, late.Last, "at once where the time is over")
}

// TestLateCopiesAreTakenInTurn: hosts that have a version when all turns have passed, or in
// the middle of them, take the rest of the time one after the other and none at once.
func TestLateCopiesAreTakenInTurn(t *testing.T) {
	const apply, hosts = 13400 * time.Millisecond, 76
	w := turn.NewWindow(declared, apply, time.Time{})
	assert.Equal(t, w, w.After(declared.Add(time.Second)), "in time")
	assert.Equal(t, w, w.After(time.Time{}), "not whole yet")
	for _, whole := range []time.Duration{8 * time.Second, 11600 * time.Millisecond} {
		late := w.After(declared.Add(whole))
		assert.Equal(t, declared.Add(whole), late.Of(0, hosts))
		assert.Equal(t, declared.Add(whole), late.Of(2, hosts))
		assert.Equal(t, w.Last, late.Of(hosts-1, hosts))
		assert.True(t, late.Of(hosts/2, hosts).After(declared.Add(whole)))
	}
	over := w.After(declared.Add(apply))
	assert.Equal(t, declared.Add(apply), over.Of(hosts-1, hosts), "at once where the time is over")
}

// TestLongerTimesAreUsed: the time after the last turn is what a load takes, however long a
// version may take in all.
func TestLongerTimesAreUsed(t *testing.T) {
	left := func(apply time.Duration) time.Duration {
		return declared.Add(apply).Sub(turn.NewWindow(declared, apply, time.Time{}).Last)
	}
	assert.Equal(t, left(8*time.Second), left(20*time.Second))
	assert.Less(t, left(2*time.Second), left(8*time.Second))
}

// TestPlacesArePermutation: every host has a place of its own, and all hosts
// agree on it, whatever order they know each other in.
func TestPlacesArePermutation(t *testing.T) {
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
			place := turn.Place(key, host, hosts)
			assert.Equal(t, place, turn.Place(key, host, shuffled))
			assert.False(t, seen[place])
			seen[place] = true
		}
		assert.Len(t, seen, count)
	})
}

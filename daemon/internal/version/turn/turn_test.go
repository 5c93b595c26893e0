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

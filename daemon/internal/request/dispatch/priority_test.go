package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestUrgentRequestsGoBeforeShortOnes: whatever the sizes, a more urgent rank
// never comes behind a less urgent one, and with one rank all classes are used.
func TestUrgentRequestsGoBeforeShortOnes(t *testing.T) {
	for size := range classes {
		assert.Equal(t, size, classOf(0, 1, size))
	}
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(1, 20).Draw(t, "ranks")
		rank := rapid.IntRange(0, ranks-1).Draw(t, "rank")
		other := rapid.IntRange(rank, ranks-1).Draw(t, "less urgent")
		size := rapid.IntRange(0, classes-1).Draw(t, "size")
		otherSize := rapid.IntRange(0, classes-1).Draw(t, "its size")
		class, behind := classOf(rank, ranks, size), classOf(other, ranks, otherSize)
		assert.True(t, 0 <= class && class < classes)
		if other > rank && ranks <= classes {
			assert.Less(t, class, behind)
		}
	})
}

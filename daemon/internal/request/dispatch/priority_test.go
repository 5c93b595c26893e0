package dispatch

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestUrgentRanksPrecedeShortRequests: no size places a request before a more urgent rank,
// and with a single rank all classes are used.
func TestUrgentRanksPrecedeShortRequests(t *testing.T) {
	for size := range priorityClasses {
		assert.Equal(t, size, priorityClass(0, 1, size))
		assert.Equal(t, size, spreadClass(0, 1, size))
	}
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(1, 20).Draw(t, "ranks")
		rank := rapid.IntRange(0, ranks-1).Draw(t, "rank")
		other := rapid.IntRange(rank, ranks-1).Draw(t, "less urgent")
		size := rapid.IntRange(0, priorityClasses-1).Draw(t, "size")
		otherSize := rapid.IntRange(0, priorityClasses-1).Draw(t, "its size")
		for _, classOf := range []func(rank, ranks, size int) int{priorityClass, spreadClass} {
			class, otherClass := classOf(rank, ranks, size), classOf(other, ranks, otherSize)
			assert.True(t, 0 <= class && class < priorityClasses)
			if other > rank && ranks <= priorityClasses {
				assert.Less(t, class, otherClass)
			}
			assert.LessOrEqual(t, class, classOf(rank, ranks, min(size+1, priorityClasses-1)))
		}
	})
	assert.Equal(t, []int{6, 7, 8, 9}, []int{spreadClass(4, 6, 0), spreadClass(4, 6, 9), spreadClass(5, 6, 0), spreadClass(5, 6, 9)})
}

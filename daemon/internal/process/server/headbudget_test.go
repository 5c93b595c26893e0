package server

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// testHeadLimit is a limit of heads that the heads of these tests do not reach.
const testHeadLimit = 1 << 20

// TestEvictedHeadsHoldNoMemory guards against heads that stay in memory after the budget gave their room to others,
// until the goroutine of their connection runs.
func TestEvictedHeadsHoldNoMemory(t *testing.T) {
	const heads, size = 100, 64 << 10
	budget := &HeadBudget{MaxBytes: size * copiesOfHead}
	reservations := make([]reservation, heads)
	evictions := 0
	for i := range reservations {
		reservations[i].evict = func() { evictions++ }
		assert.True(t, budget.appendPartial(&reservations[i], make([]byte, size), testHeadLimit))
	}
	held := 0
	for i := range reservations {
		held += cap(reservations[i].head)
	}
	assert.Positive(t, evictions)
	assert.LessOrEqual(t, held, 2*size, "bytes of heads in memory") // the first 4 KiB of each are not counted
}

// TestHeadsAreReservedBeforeTheyAreAllocated guards against memory for heads for which there is no room.
func TestHeadsAreReservedBeforeTheyAreAllocated(t *testing.T) {
	const size = 64 << 10
	budget := &HeadBudget{MaxBytes: size * copiesOfHead}
	served, late := reservation{}, reservation{}
	_, ok := budget.complete(&served, size, 1)
	assert.True(t, ok)
	assert.True(t, budget.appendPartial(&late, make([]byte, freeHeadBytes/copiesOfHead), testHeadLimit))
	assert.False(t, budget.appendPartial(&late, make([]byte, size), testHeadLimit), "a head in service has the room")
	assert.LessOrEqual(t, cap(late.head), freeHeadBytes/copiesOfHead)
}

// TestPartialHeadsDoNotGrowBeyondTheLimit guards against buffers that double beyond the largest head.
func TestPartialHeadsDoNotGrowBeyondTheLimit(t *testing.T) {
	const limit, step = 100 << 10, 4 << 10
	budget, head := &HeadBudget{}, reservation{}
	for range limit / step {
		assert.True(t, budget.appendPartial(&head, make([]byte, step), limit))
	}
	assert.Len(t, head.head, limit)
	assert.LessOrEqual(t, cap(head.head), limit)
}

package keep_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/version/keep"
)

// Engines that took a version cut what still ran 0.8 s after routers were told to send
// nothing more, whether it had a place elsewhere or not. On a calm day with three versions
// 129 of 135 orders said "cut true" while 1 to 12 requests ran; 48 callers lost their
// answer, each 0 to 0.3 s after such an order, because the route's sends or the budget of
// second sends were used up.

// TestAnOrderCutsNothing that runs: the engine ends it, however many there are, and takes
// the version after.
func TestAnOrderCutsNothing(t *testing.T) {
	for _, running := range []int{1, 2, 12} {
		e := &engine{t: t, staged: map[int][]byte{}, held: 1, running: running}
		e.clock.Store(time.Hour.Nanoseconds())
		next := goal(2, time.Unix(0, 0))
		next.Cut = true
		k := start(t, e, func() keep.Plan { return planOf(next) })
		await(t, "routers are told", e.cleared.Load)
		e.pass(5 * time.Second)
		await(t, "version 2", func() bool { return e.version() == 2 })
		k.Stop()
		assert.Zero(t, e.cut, "%d ran", running)
	}
}

package drain_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/drain"
)

func begin(t *testing.T, d *drain.Drain, grace time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), grace)
	t.Cleanup(cancel)
	t.Cleanup(d.Begin(ctx))
}

func TestRunningProcessAcceptsEverything(t *testing.T) {
	var d drain.Drain
	assert.True(t, d.Accepts(time.Hour, clock.Now().Add(time.Hour)))
	assert.True(t, d.Fits(time.Hour))
	assert.NoError(t, d.Expired().Err())
}

func TestDrainWithoutDeadlineAcceptsEverything(t *testing.T) {
	var d drain.Drain
	d.Begin(context.Background())()
	d.CloseToNewCallers()
	assert.True(t, d.Accepts(time.Hour, clock.Now().Add(time.Hour)))
}

// TestDrainAcceptsWhatIsExpectedToEnd guards against refusing all requests while the load balancer still sends
// some.
func TestDrainAcceptsWhatIsExpectedToEnd(t *testing.T) {
	var d drain.Drain
	begin(t, &d, time.Minute)
	late := clock.Now().Add(2 * time.Minute)
	assert.True(t, d.Accepts(30*time.Second, late))
	assert.False(t, d.Accepts(90*time.Second, late), "it is expected to be cut")
	assert.False(t, d.Accepts(time.Minute, late), "its response needs time to reach the caller")
	assert.True(t, d.Accepts(90*time.Second, clock.Now().Add(30*time.Second)), "its deadline ends it first")
}

// TestClosedDrainAcceptsOnlyWhatEndsForCertain guards against cutting a request that arrives on a connection
// that was in use when the listener closed.
func TestClosedDrainAcceptsOnlyWhatEndsForCertain(t *testing.T) {
	var d drain.Drain
	begin(t, &d, time.Minute)
	d.CloseToNewCallers()
	assert.False(t, d.Accepts(time.Second, clock.Now().Add(2*time.Minute)))
	assert.True(t, d.Accepts(time.Second, clock.Now().Add(30*time.Second)))
	assert.True(t, d.Fits(30*time.Second), "a request in progress may be sent again")
	assert.False(t, d.Fits(time.Minute))
}

func TestExpiredEndsBeforeTheDeadline(t *testing.T) {
	var d drain.Drain
	waiting := d.Expired()
	begin(t, &d, 500*time.Millisecond)
	<-waiting.Done()
	assert.False(t, d.Fits(0))
}

func TestRemainingIsKnownInDrain(t *testing.T) {
	var d drain.Drain
	_, stopping := d.Remaining()
	assert.False(t, stopping)
	begin(t, &d, time.Minute)
	remaining, stopping := d.Remaining()
	assert.True(t, stopping)
	assert.Positive(t, remaining)
	assert.Less(t, remaining, time.Minute, "responses need time to reach callers")
}

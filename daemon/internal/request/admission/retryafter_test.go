package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
)

// TestUrgentCallersReturnFirstAfterPause guards against callers that return before the pause ends,
// and against urgent ones that find the upstreams taken.
func TestUrgentCallersReturnFirstAfterPause(t *testing.T) {
	const remaining = 2 * time.Second
	almostOne := 0.999
	previous := remaining
	for rank := range 3 {
		assert.GreaterOrEqual(t, admission.RetryAfterPause(remaining, rank, 0), previous)
		previous = admission.RetryAfterPause(remaining, rank, almostOne)
	}
	assert.LessOrEqual(t, admission.RetryAfterPause(remaining, 100, almostOne), previous, "the delay of low ranks is bounded")
	assert.Positive(t, admission.RetryAfterPause(0, 0, 0), "callers do not return at once")
}

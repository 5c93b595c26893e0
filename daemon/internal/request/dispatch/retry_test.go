package dispatch

import (
	"context"
	"math"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/exchange"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestBackoffDependsOnReason: callers refused because nothing is ready retry sooner than
// those refused because engines are full.
func TestBackoffDependsOnReason(t *testing.T) {
	full := newFleet(t, 9, func(int) (bool, error) { return false, nil })
	_, err := full.request("short-objective", 0).choosePlace(context.Background())
	require.ErrorIs(t, err, errOverloaded)
	assert.Equal(t, admission.EnginesFull, unplacedReason(err))
	empty := newFleet(t, 0, nil)
	_, err = empty.request("short-objective", 0).choosePlace(context.Background())
	require.ErrorIs(t, err, errNoUpstream)
	assert.Equal(t, admission.NotReady, unplacedReason(err))
	assert.Equal(t, admission.EnginesFull, notRunReason(exchange.Refused))
	assert.Equal(t, admission.NotReady, notRunReason(exchange.Misdirected))
	assert.Equal(t, admission.NotReady, notRunReason(exchange.Unsent))
	for variate := 0.0; variate < 1; variate += 0.1 {
		assert.Less(t, admission.RetryAfter(admission.NotReady, variate), admission.RetryAfter(admission.EnginesFull, variate))
	}
}

// TestIgnoresInvalidDeadlineAndLengthHint: an invalid value counts as none, and an invalid
// deadline does not mark the request as a retry.
func TestIgnoresInvalidDeadlineAndLengthHint(t *testing.T) {
	for _, text := range []string{"", "soon", "-1", "0", "NaN", "+Inf", "1e300", "3600001"} {
		q := &request{
			Dispatcher: &Dispatcher{Headers: provider.Headers{Deadline: "Left", LengthHint: "Hint"}},
			Request:    httptest.NewRequest("GET", "/", nil),
			service:    &provider.Service{Engine: &provider.EngineSpec{MeanAnswerTokens: 80}},
		}
		q.Header.Set("Left", text)
		q.Header.Set("Hint", text)
		assert.Equal(t, defaultTimeout, q.callerTimeout(), text)
		remaining, retried := q.retryState()
		assert.Zero(t, remaining, text)
		assert.False(t, retried, text)
		assert.False(t, math.IsNaN(q.answerTokens()) || q.answerTokens() > maxHintTokens || q.answerTokens() <= 0, text)
	}
	q := &request{Dispatcher: &Dispatcher{Headers: provider.Headers{Deadline: "Left"}}, Request: httptest.NewRequest("GET", "/", nil)}
	q.Header.Set("Left", "1500.5")
	assert.Equal(t, 1500500*time.Microsecond, q.callerTimeout())
}

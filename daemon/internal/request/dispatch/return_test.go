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

// TestWhyDecidesWhenToComeBack: callers refused because nothing is ready come back before
// those for whom engines are full.
func TestWhyDecidesWhenToComeBack(t *testing.T) {
	full := newFleet(t, 9, func(int) (bool, error) { return false, nil })
	_, err := full.request("hasty", 0).place(context.Background())
	require.ErrorIs(t, err, errOverloaded)
	assert.Equal(t, admission.EnginesFull, whyUnplaced(err))
	empty := newFleet(t, 0, nil)
	_, err = empty.request("hasty", 0).place(context.Background())
	require.ErrorIs(t, err, errNoneFit)
	assert.Equal(t, admission.NotReady, whyUnplaced(err))
	assert.Equal(t, admission.EnginesFull, whyNotRun(exchange.Refused))
	assert.Equal(t, admission.NotReady, whyNotRun(exchange.Misdirected))
	assert.Equal(t, admission.NotReady, whyNotRun(exchange.Unsent))
	for drawn := 0.0; drawn < 1; drawn += 0.1 {
		assert.Less(t, admission.RetryAfter(admission.NotReady, drawn), admission.RetryAfter(admission.EnginesFull, drawn))
	}
}

// TestTimesThatNobodyMeansAreNone: the caller waits as long as one that names none, and is
// not taken for one who came back.
func TestTimesThatNobodyMeansAreNone(t *testing.T) {
	for _, text := range []string{"", "soon", "-1", "0", "NaN", "+Inf", "1e300", "3600001"} {
		q := &request{
			Dispatcher: &Dispatcher{Headers: provider.Headers{Deadline: "Left", LengthHint: "Hint"}},
			Request:    httptest.NewRequest("GET", "/", nil),
			service:    &provider.Service{Engine: &provider.EngineSpec{UsualAnswer: 80}},
		}
		q.Header.Set("Left", text)
		q.Header.Set("Hint", text)
		assert.Equal(t, defaultDeadline, q.callerPatience(), text)
		left, returned := q.callerStanding()
		assert.Zero(t, left, text)
		assert.False(t, returned, text)
		assert.False(t, math.IsNaN(q.hint()) || q.hint() > mostHint || q.hint() <= 0, text)
	}
	q := &request{Dispatcher: &Dispatcher{Headers: provider.Headers{Deadline: "Left"}}, Request: httptest.NewRequest("GET", "/", nil)}
	q.Header.Set("Left", "1500.5")
	assert.Equal(t, 1500500*time.Microsecond, q.callerPatience())
}

package dispatch

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestStreamBrokenByLoadIsNoFailure: the upstream must remain eligible once it has loaded the
// new version.
func TestStreamBrokenByLoadIsNoFailure(t *testing.T) {
	q := &request{Dispatcher: &Dispatcher{Pool: &balance.Pool{}}, Request: httptest.NewRequest("GET", "/", nil)}
	choice := balance.Choice{Upstream: &provider.Upstream{ID: "u0"}}
	assert.Equal(t, balance.Failed, q.streamOutcome(choice))
	q.Pool.Report("u0", balance.LoadReport{Loading: true})
	assert.Equal(t, balance.Canceled, q.streamOutcome(choice))
}

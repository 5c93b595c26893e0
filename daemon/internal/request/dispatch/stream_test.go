package dispatch

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestStreamCutByALoadIsNoFault of its upstream, which is to be chosen again
// once it has the new version.
func TestStreamCutByALoadIsNoFault(t *testing.T) {
	q := &request{Dispatcher: &Dispatcher{Pool: &balance.Pool{}}, Request: httptest.NewRequest("GET", "/", nil)}
	choice := balance.Choice{Upstream: &provider.Upstream{ID: "u0"}}
	assert.Equal(t, balance.Failed, q.brokenOff(choice))
	q.Pool.Report("u0", balance.LoadReport{Loading: true})
	assert.Equal(t, balance.Canceled, q.brokenOff(choice))
}

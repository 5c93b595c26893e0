package intake

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/api"
)

func TestBudgetGrowsWithRequestsUpToBound(t *testing.T) {
	budgets := &RetryBudgets{}
	service := &api.Resource{Name: "s", Service: &api.ServiceSpec{Limits: api.Limits{RetryShare: 0.1}}}
	count := func() int {
		retries := 0
		for budgets.For(service).AllowRetry() {
			retries++
		}
		return retries
	}
	assert.Equal(t, int(initialRetries), count(), "a new service may retry a few requests")
	assert.Zero(t, count())
	for range 1000 {
		budgets.For(service).CountRequest()
	}
	assert.InDelta(t, 100, count(), 1, "a tenth of the requests")
	for range 1_000_000 {
		budgets.For(service).CountRequest()
	}
	assert.LessOrEqual(t, count(), int(maxSavedRetries), "accumulated retries are bounded")
}

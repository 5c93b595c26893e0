package reconcile

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestIsBusyCountsRunningAndWaiting also covers an engine whose number of places is unknown, which
// is never busy.
func TestIsBusyCountsRunningAndWaiting(t *testing.T) {
	assert.False(t, isBusy(provider.EngineReport{}, 16))
	assert.False(t, isBusy(provider.EngineReport{Running: 9}, 16))
	assert.True(t, isBusy(provider.EngineReport{Running: 9, Waiting: 1}, 16))
	assert.True(t, isBusy(provider.EngineReport{Running: 16, Waiting: 30}, 16))
	assert.False(t, isBusy(provider.EngineReport{Running: 5}, 0))
}

package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/dispatch"
)

func TestZeroBudgetAllowsNothing(t *testing.T) {
	assert.False(t, (&dispatch.RetryBudget{}).Allow("s"))
}

// TestBudgetAppliesToAllProcessesTogether: all processes together stay within the ratio and the
// slack, however the requests are spread among them.
func TestBudgetAppliesToAllProcessesTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		processes := rapid.IntRange(1, 12).Draw(t, "processes")
		requests, allowed := 0, 0
		for range processes {
			budget := &dispatch.RetryBudget{Ratio: 0.2, Slack: 100, Window: time.Hour, Processes: func() int { return processes }}
			own := rapid.IntRange(0, 300).Draw(t, "requests")
			requests += own
			for range own {
				budget.CountRequest("s")
			}
			for range rapid.IntRange(0, 200).Draw(t, "retries") {
				if budget.Allow("s") {
					allowed++
				}
			}
			assert.False(t, budget.Remaining("s") < -1e-9)
		}
		assert.LessOrEqual(t, float64(allowed), 0.2*float64(requests)+100)
	})
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	budget := &dispatch.RetryBudget{Slack: 2, Window: time.Hour}
	assert.True(t, budget.Allow("a"))
	assert.False(t, budget.Allow("a"))
	assert.True(t, budget.Allow("b"))
}

// TestSuspensionCountsTowardsWindow: time that passed while the host was suspended ages the
// counted retries.
func TestSuspensionCountsTowardsWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	budget := &dispatch.RetryBudget{Slack: 10, Window: 10 * time.Second, Now: func() time.Time { return now }}
	allowed := 0
	for budget.Allow("s") {
		allowed++
	}
	assert.Equal(t, 7, allowed)
	now = now.Add(11 * time.Second)
	assert.True(t, budget.Allow("s"))
}

package mirror_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestOldVersionsAreAvoidedMoreAndMore as the time of a version runs out, and
// get nothing before it is over.
func TestOldVersionsAreAvoidedMoreAndMore(t *testing.T) {
	const apply = 8 * time.Second
	declared := time.Unix(1000, 0)
	target := &mirror.Declared{Target: provider.Target{Model: "m", Version: 2}, Learned: declared}
	assert.Zero(t, target.Demand(declared.Add(apply/2), apply), "as before")
	early := target.Demand(declared.Add(apply*75/100), apply)
	assert.Equal(t, []int{0, 2}, []int{early.Lowest, early.Preferred})
	later := target.Demand(declared.Add(apply*82/100), apply)
	assert.Greater(t, later.Avoid, early.Avoid)
	over := target.Demand(declared.Add(apply*9/10), apply)
	assert.Equal(t, mirror.Demand{Lowest: 2, Preferred: 2, Avoid: 1}, over)
}

// TestLongTimesLeaveOldVersionsLonger: what waits at an upstream needs as long however much
// time a version has.
func TestLongTimesLeaveOldVersionsLonger(t *testing.T) {
	declared := time.Unix(1000, 0)
	target := &mirror.Declared{Target: provider.Target{Model: "m", Version: 2}, Learned: declared}
	for _, apply := range []time.Duration{8 * time.Second, 13400 * time.Millisecond, time.Minute} {
		assert.Zero(t, target.Demand(declared.Add(apply-time.Second), apply).Lowest, "%s", apply)
		assert.Equal(t, 2, target.Demand(declared.Add(apply-900*time.Millisecond), apply).Lowest, "%s", apply)
		assert.Zero(t, target.Demand(declared.Add(apply-2300*time.Millisecond), apply).Preferred, "%s", apply)
	}
}

// TestDemandsOnlyRise while no version is declared, whatever lies between the
// declarations; the lowest is never above the preferred one.
func TestDemandsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		apply := time.Duration(rapid.IntRange(100, 20000).Draw(t, "apply")) * time.Millisecond
		at := time.Unix(1000, 0)
		var newest *mirror.Declared
		for version := range rapid.IntRange(1, 4).Draw(t, "versions") {
			at = at.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "pause")) * time.Millisecond)
			newest = &mirror.Declared{Target: provider.Target{Version: version + 2}, Learned: at, Before: newest}
		}
		before := mirror.Demand{}
		for range 30 {
			at = at.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "step")) * time.Millisecond)
			demand := newest.Demand(at, apply)
			assert.GreaterOrEqual(t, demand.Lowest, before.Lowest)
			assert.GreaterOrEqual(t, demand.Preferred, before.Preferred)
			assert.LessOrEqual(t, demand.Lowest, demand.Preferred)
			assert.True(t, 0 <= demand.Avoid && demand.Avoid <= 1)
			if demand.Preferred == before.Preferred {
				assert.GreaterOrEqual(t, demand.Avoid, before.Avoid)
			}
			before = demand
		}
	})
}

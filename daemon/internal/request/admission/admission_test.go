package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
)

// current is the policy of the package. baseline is an earlier policy, whose last query admits a
// wait of up to the full objective.
var (
	current  = policy{queries: admission.DefaultPolicy().MaxQueries, limit: admission.DefaultPolicy().Limit}
	baseline = policy{queries: 3, limit: func(s admission.Service, _ admission.Request, denied int, last bool) places.Limit {
		maxInUse := s.Places - 1
		if !last {
			return places.Limit{Waiting: denied, InUse: maxInUse}
		}
		overloadShare := min(max((s.Saturation-0.2)/0.4, 0), 1)
		wait := (1 - 0.7*overloadShare) * float64(s.Objective)
		return places.Limit{Waiting: max(denied, int(wait/float64(s.ReadTime))), InUse: maxInUse + int(wait/float64(s.PlaceInterval))}
	}}
)

// patterns are request rates over time as fractions of the engines' capacity.
var patterns = map[string]func(now time.Duration) float64{
	"half capacity":      func(time.Duration) float64 { return 0.5 },
	"below capacity":     func(time.Duration) float64 { return 0.9 },
	"at capacity":        func(time.Duration) float64 { return 1 },
	"sustained overload": func(time.Duration) float64 { return 1.3 },
	"double capacity":    func(time.Duration) float64 { return 2 },
	"burst": func(now time.Duration) float64 {
		if now > 8*time.Second && now < 11*time.Second {
			return 1.7
		}
		return 0.8
	},
}

// TestPolicyBeatsBaselineUnderOverload simulates each pattern on a fleet of engines. It guards
// against a policy that serves less than the baseline on any pattern, or that does not serve
// markedly more in an overload.
func TestPolicyBeatsBaselineUnderOverload(t *testing.T) {
	const noise = 0.005
	gains := map[string]float64{"sustained overload": 0.12, "double capacity": 0.1, "burst": 0.02}
	for name, rate := range patterns {
		t.Run(name, func(t *testing.T) {
			got, base := simulate(current, rate), simulate(baseline, rate)
			t.Logf("score %.3f (baseline %.3f), in time %.3f (%.3f), late %.3f (%.3f), refused twice %.3f (%.3f)",
				got.score(), base.score(), got.inTime, base.inTime, got.late, base.late, got.refusedTwice, base.refusedTwice)
			assert.GreaterOrEqual(t, got.score(), base.score()+gains[name]-noise)
		})
	}
}

// TestLimitsGrowWithinOvercommit checks that the limits of a search never decrease, stay within the
// overcommit, and are lower for a retry.
func TestLimitsGrowWithinOvercommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := admission.Service{
			Places: rapid.IntRange(4, 64).Draw(t, "places"), Saturation: rapid.Float64Range(0, 1).Draw(t, "saturation"),
			ReadTime:  time.Duration(rapid.IntRange(0, 200).Draw(t, "read ms")) * time.Millisecond,
			Objective: time.Duration(rapid.IntRange(1, 2000).Draw(t, "objective ms")) * time.Millisecond,
		}
		r := admission.Request{Rank: rapid.IntRange(0, 5).Draw(t, "rank")}
		inUse := 0
		policy := admission.DefaultPolicy()
		for queried := range policy.MaxQueries {
			limit := policy.Limit(s, r, queried, queried == policy.MaxQueries-1)
			assert.GreaterOrEqual(t, limit.InUse, inUse)
			assert.Less(t, limit.InUse, s.Places+policy.MaxOvercommit)
			inUse = limit.InUse
			retry := policy.Limit(s, admission.Request{Rank: r.Rank, Retry: true}, queried, false)
			assert.LessOrEqual(t, retry.Waiting, limit.Waiting)
			assert.Less(t, retry.InUse, inUse+1)
		}
		r.Sent, r.Retry = true, true
		assert.Equal(t, admission.Unlimited, policy.Limit(s, r, 0, true), "a request sent before is admitted by any engine")
	})
}

// TestPlacesAreReservedOnlyWhenScarce guards against places that stay empty while all accounts
// have the same priority or no engine is full.
func TestPlacesAreReservedOnlyWhenScarce(t *testing.T) {
	lessUrgent := admission.Request{Rank: 1}
	assert.Zero(t, admission.Reserve(admission.Service{Saturation: 0.1}, lessUrgent))
	assert.Positive(t, admission.Reserve(admission.Service{Saturation: 0.5}, lessUrgent))
	assert.Zero(t, admission.Reserve(admission.Service{Saturation: 0.5}, admission.Request{}))
}

// TestLongerWaitIsAllowedInShortPeaks checks that the same reported load counts as an overload only
// after engines have been full for some time.
func TestLongerWaitIsAllowedInShortPeaks(t *testing.T) {
	s := admission.Service{Places: 16, PlaceInterval: 100 * time.Millisecond, Objective: 400 * time.Millisecond}
	load := places.EngineLoad{Running: 15}
	assert.False(t, admission.Overloaded(s, admission.Request{}, load))
	s.Saturation = 1
	assert.True(t, admission.Overloaded(s, admission.Request{}, load))
	assert.False(t, admission.Overloaded(s, admission.Request{Sent: true}, load))
}

func TestExpectedHoldTimeScalesWithAnswerTokens(t *testing.T) {
	s := admission.Service{ReadTime: 50 * time.Millisecond}
	assert.Equal(t, 1100*time.Millisecond, admission.HoldTime(s, time.Second, 90, 90))
	assert.Equal(t, 2100*time.Millisecond, admission.HoldTime(s, time.Second, 180, 90))
	assert.Equal(t, time.Second, admission.HoldTime(s, time.Second, 180, 0), "the mean is unknown")
}

// TestClosingBeforeLoadReducesRefusals simulates engines that load a version one after the other
// close to capacity. An engine that rejects requests likely to run past its scheduled load time
// drains faster than one that accepts all until then.
func TestClosingBeforeLoadReducesRefusals(t *testing.T) {
	const minReduction = 0.015
	rate := func(time.Duration) float64 { return 0.97 }
	closing, open := current, current
	closing.rollout = rollout{first: 8 * time.Second, last: 12 * time.Second, closeBefore: 1600 * time.Millisecond}
	open.rollout = rollout{first: 8 * time.Second, last: 12 * time.Second}
	got, base := simulate(closing, rate), simulate(open, rate)
	t.Logf("score %.3f (without closing %.3f), in time %.3f (%.3f), late %.3f (%.3f), refused once %.3f (%.3f), twice %.3f (%.3f)",
		got.score(), base.score(), got.inTime, base.inTime, got.late, base.late, got.refused, base.refused, got.refusedTwice, base.refusedTwice)
	assert.Less(t, got.refusedTwice+got.refused, base.refusedTwice+base.refused-minReduction)
	assert.Greater(t, got.score(), base.score())
}

package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
)

// now is the policy of the package; untilNow is the one before, whose last limit went by
// the whole objective.
var (
	now      = policy{questions: admission.StandingWays().Questions, limit: admission.StandingWays().Limit}
	untilNow = policy{questions: 3, limit: func(s admission.Service, _ admission.Request, asked int, last bool) places.Limit {
		free := s.Places - 1
		if !last {
			return places.Limit{Waiting: asked, InUse: free}
		}
		part := min(max((s.Full-0.2)/0.4, 0), 1)
		wait := (1 - 0.7*part) * float64(s.Objective)
		return places.Limit{Waiting: max(asked, int(wait/float64(s.ReadTime))), InUse: free + int(wait/float64(s.PlaceEvery))}
	}}
)

// patterns are loads, in parts of what the engines bear.
var patterns = map[string]func(now time.Duration) float64{
	"half":       func(time.Duration) float64 { return 0.5 },
	"nearly all": func(time.Duration) float64 { return 0.9 },
	"all":        func(time.Duration) float64 { return 1 },
	"lasting":    func(time.Duration) float64 { return 1.3 },
	"twice":      func(time.Duration) float64 { return 2 },
	"burst": func(now time.Duration) float64 {
		if now > 8*time.Second && now < 11*time.Second {
			return 1.7
		}
		return 0.8
	},
}

// TestLoadsAreBorneBetter replays each load before a fleet of engines. What callers get is
// no less than with the limits before on any, and far more where an overload lasts.
func TestLoadsAreBorneBetter(t *testing.T) {
	const noise = 0.005
	gains := map[string]float64{"lasting": 0.12, "twice": 0.1, "burst": 0.02}
	for name, rate := range patterns {
		t.Run(name, func(t *testing.T) {
			got, before := play(now, rate), play(untilNow, rate)
			t.Logf("worth %.3f (%.3f), in time %.3f (%.3f), late %.3f (%.3f), refused again %.3f (%.3f)",
				got.worth(), before.worth(), got.inTime, before.inTime, got.late, before.late, got.again, before.again)
			assert.GreaterOrEqual(t, got.worth(), before.worth()+gains[name]-noise)
		})
	}
}

// TestLimitsNeverFall: a request asks for no better a place than before, never for one
// farther beyond those of the engine than the ways say, and who comes back for one that
// others leave.
func TestLimitsNeverFall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := admission.Service{
			Places: rapid.IntRange(4, 64).Draw(t, "places"), Full: rapid.Float64Range(0, 1).Draw(t, "full"),
			ReadTime:  time.Duration(rapid.IntRange(0, 200).Draw(t, "read")) * time.Millisecond,
			Objective: time.Duration(rapid.IntRange(1, 2000).Draw(t, "objective")) * time.Millisecond,
		}
		r := admission.Request{Rank: rapid.IntRange(0, 5).Draw(t, "rank")}
		taken := 0
		ways := admission.StandingWays()
		for asked := range ways.Questions {
			limit := ways.Limit(s, r, asked, asked == ways.Questions-1)
			assert.GreaterOrEqual(t, limit.InUse, taken)
			assert.Less(t, limit.InUse, s.Places+ways.Beyond)
			taken = limit.InUse
			back := ways.Limit(s, admission.Request{Rank: r.Rank, Returned: true}, asked, false)
			assert.LessOrEqual(t, back.Waiting, limit.Waiting)
			assert.Less(t, back.InUse, taken+1)
		}
		r.Sent, r.Returned = true, true
		assert.Equal(t, admission.Unlimited, ways.Limit(s, r, 0, true), "what was done for it would be lost")
	})
}

// TestPlacesAreLeftToRanksWhenScarce, and only then: else a part of each engine would stand
// empty for most accounts.
func TestPlacesAreLeftToRanksWhenScarce(t *testing.T) {
	less := admission.Request{Rank: 1}
	assert.Zero(t, admission.Reserve(admission.Service{Full: 0.1}, less))
	assert.Positive(t, admission.Reserve(admission.Service{Full: 0.5}, less))
	assert.Zero(t, admission.Reserve(admission.Service{Full: 0.5}, admission.Request{}))
}

// TestMoreWaitsInShortPeaks: by news alone the same wait is refused only where places have
// been taken for some time.
func TestMoreWaitsInShortPeaks(t *testing.T) {
	s := admission.Service{Places: 16, PlaceEvery: 100 * time.Millisecond, Objective: 400 * time.Millisecond}
	load := places.Load{Running: 15}
	assert.False(t, admission.Overloaded(s, admission.Request{}, load))
	s.Full = 1
	assert.True(t, admission.Overloaded(s, admission.Request{}, load))
	assert.False(t, admission.Overloaded(s, admission.Request{Sent: true}, load))
}

// TestLastsFollowsTheAnswer that the caller expects, from how long requests hold a place.
func TestLastsFollowsTheAnswer(t *testing.T) {
	s := admission.Service{ReadTime: 50 * time.Millisecond}
	assert.Equal(t, 1100*time.Millisecond, admission.Lasts(s, time.Second, 90, 90))
	assert.Equal(t, 2100*time.Millisecond, admission.Lasts(s, time.Second, 180, 90))
	assert.Equal(t, time.Second, admission.Lasts(s, time.Second, 180, 0), "nothing tells of a usual one")
}

// TestAVersionIsBorne replays engines that take a version one after the other, within 4 s,
// at 0.97 of what they bear. None cuts what runs. Where each closes ahead of its turn to
// what would run on, fewer callers are refused than where it takes all until then.
func TestAVersionIsBorne(t *testing.T) {
	const lessRefused = 0.015
	rate := func(time.Duration) float64 { return 0.97 }
	closing, until := now, now
	closing.version = version{first: 8 * time.Second, last: 12 * time.Second, ahead: 1600 * time.Millisecond}
	until.version = version{first: 8 * time.Second, last: 12 * time.Second}
	got, before := play(closing, rate), play(until, rate)
	t.Logf("worth %.3f (%.3f), in time %.3f (%.3f), late %.3f (%.3f), refused %.3f (%.3f), again %.3f (%.3f)",
		got.worth(), before.worth(), got.inTime, before.inTime, got.late, before.late, got.refused, before.refused, got.again, before.again)
	assert.Less(t, got.again+got.refused, before.again+before.refused-lessRefused)
	assert.Greater(t, got.worth(), before.worth())
}

package admission_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
)

// TestUrgentCallersReturnFirstAfterPause guards against callers that return before the pause ends,
// and against urgent ones that find the upstreams taken.
func TestUrgentCallersReturnFirstAfterPause(t *testing.T) {
	const remaining = 2 * time.Second
	almostOne := 0.999
	previous := remaining
	for rank := range 3 {
		assert.GreaterOrEqual(t, admission.RetryAfterPause(remaining, rank, 0), previous)
		previous = admission.RetryAfterPause(remaining, rank, almostOne)
	}
	assert.LessOrEqual(t, admission.RetryAfterPause(remaining, 100, almostOne), previous, "the delay of low ranks is bounded")
	assert.Positive(t, admission.RetryAfterPause(0, 0, 0), "callers do not return at once")
}

// ms returns a time in milliseconds.
func ms(count int) time.Duration { return time.Duration(count) * time.Millisecond }

// TestWindowOfReturns guards against returns before the engines are ready, against a step of all
// returns where engines become ready together, and against times that rest on few engines.
func TestWindowOfReturns(t *testing.T) {
	many := func(first, step, count int) []time.Duration {
		var ready []time.Duration
		for i := range count {
			ready = append(ready, ms(first+i*step))
		}
		return ready
	}
	tests := []struct {
		name     string
		expected admission.Expectation
		want     admission.Window
		ok       bool
	}{
		{"engines become ready one after another", admission.Expectation{Ready: many(2000, 100, 16)}, admission.Window{From: ms(2100), To: ms(4300)}, true},
		{"engines become ready together", admission.Expectation{Ready: many(3000, 0, 40)}, admission.Window{From: ms(3000), To: ms(4000)}, true},
		{"retries are recognized by the minimum", admission.Expectation{Ready: many(250, 0, 40)}, admission.Window{From: ms(1200), To: ms(1900)}, true},
		{"some engines never become ready", admission.Expectation{Ready: many(2000, 100, 8), Unknown: 8}, admission.Window{From: ms(2100), To: ms(3700)}, true},
		{"one engine", admission.Expectation{Ready: many(2000, 0, 1)}, admission.Window{From: ms(2000), To: ms(3000)}, true},
		{"fewer than an eighth have a time", admission.Expectation{Ready: many(2000, 100, 4), Unknown: 36}, admission.Window{}, false},
		{"half of the engines are ready", admission.Expectation{Ready: append(many(0, 0, 8), many(2000, 100, 8)...)}, admission.Window{}, false},
		{"no engines", admission.Expectation{}, admission.Window{}, false},
		{"nothing known", admission.Expectation{Unknown: 9}, admission.Window{}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			window, ok := test.expected.Window()
			assert.Equal(t, test.ok, ok)
			assert.Equal(t, test.want, window)
		})
	}
}

// TestReturnsFollowReadyEngines guards against times outside the window, against a less urgent rank
// that returns before a more urgent one, and against a rate of returns that does not follow the
// number of ready engines.
func TestReturnsFollowReadyEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var expected admission.Expectation
		for _, in := range rapid.SliceOfN(rapid.IntRange(0, 6000), 1, 80).Draw(t, "ready") {
			expected.Ready = append(expected.Ready, ms(in))
		}
		slices.Sort(expected.Ready)
		expected.Unknown = rapid.IntRange(0, 20).Draw(t, "unknown")
		window, ok := expected.Window()
		if !ok {
			return
		}
		assert.GreaterOrEqual(t, window.From, admission.MinRetryAfter)
		assert.Less(t, window.From, window.To)
		previous := window.From
		for _, variate := range []float64{0, 0.2, 0.5, 0.8, 0.999999} {
			at := expected.RetryAfter(window, variate)
			assert.GreaterOrEqual(t, at, previous)
			assert.LessOrEqual(t, at, window.To)
			previous = at
		}
		half := expected.RetryAfter(window, 0.5)
		assert.GreaterOrEqual(t, half, (window.From+window.To)/2-time.Microsecond, "the rate must not fall while engines become ready")
	})
}

// TestReturnsAreInProportion checks the rate of returns where one engine is ready first and three
// more later: a quarter of the rate in the first part.
func TestReturnsAreInProportion(t *testing.T) {
	expected := admission.Expectation{Ready: []time.Duration{ms(2000), ms(3000), ms(3000), ms(3000)}}
	window, ok := expected.Window()
	assert.True(t, ok)
	assert.Equal(t, admission.Window{From: ms(2000), To: ms(4000)}, window)
	assert.Equal(t, ms(3000), expected.RetryAfter(window, 0.2).Round(time.Millisecond))
	assert.Equal(t, ms(2500), expected.RetryAfter(window, 0.1).Round(time.Millisecond))
	assert.Equal(t, ms(3500), expected.RetryAfter(window, 0.6).Round(time.Millisecond))
}

// TestRankSharesOrderReturns guards against urgent callers that return after others, and against
// returns that crowd into a part of the range because most requests have one rank.
func TestRankSharesOrderReturns(t *testing.T) {
	now := time.Unix(1000, 0)
	shares := admission.RankShares{Now: func() time.Time { return now }}
	rng := rand.New(rand.NewPCG(1, 2))
	assert.Equal(t, 0.25, shares.Variate("s", 0, 1, 0.25), "a single rank is not ordered")
	assert.Equal(t, 0.25, shares.Variate("s", 2, 3, 0.25), "no other rank was refused")
	const count = 6000
	var drawn []float64
	latest := [3]float64{}
	earliest := [3]float64{1, 1, 1}
	for i := range count {
		rank := []int{0, 1, 1, 1, 1, 1, 1, 1, 2, 2}[rng.IntN(10)]
		variate := shares.Variate("s", rank, 3, rng.Float64())
		now = now.Add(time.Millisecond)
		if i < count/2 {
			continue // until the shares have settled
		}
		drawn = append(drawn, variate)
		latest[rank], earliest[rank] = max(latest[rank], variate), min(earliest[rank], variate)
	}
	const tolerance = 0.05
	assert.Less(t, latest[0], earliest[1]+tolerance)
	assert.Less(t, latest[1], earliest[2]+tolerance)
	slices.Sort(drawn)
	for tenth := range 10 {
		assert.InDelta(t, float64(tenth)/10, drawn[tenth*len(drawn)/10], tolerance, "all returns together are spread evenly")
	}
	now = now.Add(time.Hour)
	assert.InDelta(t, 0.5, shares.Variate("s", 2, 3, 0.5), 1e-6, "past refusals are forgotten")
	assert.Equal(t, 0.5, shares.Variate("other", 2, 3, 0.5), "services differ")
}

// TestRankSharesAcceptAnyRank guards against ranks outside the expected range and variates outside
// [0, 1).
func TestRankSharesAcceptAnyRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		shares := admission.RankShares{Now: func() time.Time { return now }}
		for range rapid.IntRange(1, 50).Draw(t, "count") {
			variate := shares.Variate("s", rapid.IntRange(-1, 30).Draw(t, "rank"), rapid.IntRange(0, 30).Draw(t, "ranks"), rapid.Float64Range(0, 0.999999999).Draw(t, "variate"))
			assert.GreaterOrEqual(t, variate, 0.0)
			assert.Less(t, variate, 1.0)
			now = now.Add(time.Duration(rapid.IntRange(-10, 5000).Draw(t, "elapsed")) * time.Millisecond)
		}
	})
}

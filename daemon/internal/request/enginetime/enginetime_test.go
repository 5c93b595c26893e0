package enginetime_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/enginetime"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// spec holds the declared rates of the highlights deployment in docs/OVERLOAD.md.
var spec = provider.EngineSpec{
	Places: 12, PromptRate: 19100, MeanPromptTokens: 900, MeanAnswerTokens: 92, StepTime: 8870 * time.Microsecond, StepTimePerRequest: 38800,
	StepTimePerKiloToken: 22700, PromptTimePerMegaPair: 1470 * time.Microsecond, StepsPerPass: 5, PromptTokensPerPass: 2048,
}

var limits = enginetime.Limits{First: 400 * time.Millisecond, Gap: 400 * time.Millisecond, Left: 6 * time.Second}

func drawLoad(t *rapid.T) enginetime.Load {
	return enginetime.Load{
		Running: rapid.IntRange(0, 12).Draw(t, "running"), Waiting: rapid.IntRange(0, 6).Draw(t, "waiting"),
		WaitingTokens:  rapid.Float64Range(0, 8000).Draw(t, "waiting tokens"),
		AdmittedTokens: rapid.Float64Range(0, 20000).Draw(t, "admitted tokens"),
	}
}

func drawRequest(t *rapid.T) enginetime.Request {
	return enginetime.Request{
		PromptTokens: rapid.Float64Range(1, 8000).Draw(t, "prompt"), AnswerTokens: rapid.Float64Range(1, 2000).Draw(t, "answer"),
	}
}

// TestEstimatesGrowWithPaceLoadAndSize guards against an engine that denies a request and would grant
// the same one under more load or at a slower pace.
func TestEstimatesGrowWithPaceLoadAndSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := enginetime.Engine{Spec: spec, Pace: rapid.Float64Range(0, 5).Draw(t, "pace")}
		load, req := drawLoad(t), drawRequest(t)
		more, moreLoad, larger := engine, load, req
		amount := rapid.Float64Range(0, 4).Draw(t, "amount")
		switch rapid.IntRange(0, 6).Draw(t, "what grows") {
		case 0:
			more.Pace += amount
		case 1:
			moreLoad.WaitingTokens += 1000 * amount
		case 2:
			moreLoad.Running += int(amount)
		case 3:
			moreLoad.Waiting += int(amount)
		case 4:
			moreLoad.AdmittedTokens += 5000 * amount
		case 5:
			larger.PromptTokens += 1000 * amount
		default:
			larger.AnswerTokens += 100 * amount
		}
		before, after := engine.Estimate(load, req), more.Estimate(moreLoad, larger)
		assert.GreaterOrEqual(t, after.FirstByte, before.FirstByte)
		assert.GreaterOrEqual(t, after.Gap, before.Gap)
		assert.GreaterOrEqual(t, after.End, before.End)
		assert.GreaterOrEqual(t, before.End, before.FirstByte)
	})
}

// TestSlowIdleEngineTakesShortRequests guards against slow engines that are never used.
func TestSlowIdleEngineTakesShortRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := enginetime.Engine{Spec: spec, Pace: rapid.Float64Range(1, 2.5).Draw(t, "pace")}
		req := enginetime.Request{PromptTokens: rapid.Float64Range(1, 1290).Draw(t, "prompt"), AnswerTokens: rapid.Float64Range(1, 200).Draw(t, "answer")}
		assert.Equal(t, enginetime.Denial{}, enginetime.Decide(engine, enginetime.Load{}, req, limits, true))
	})
}

// TestEngineAsDeclaredDeniesOnlyLongAnswersEarly guards against a request that no engine takes
// although the limits by load admit it: an engine as fast as declared denies only in the early
// queries, and only an answer that an emptier engine would end in time.
func TestEngineAsDeclaredDeniesOnlyLongAnswersEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := enginetime.Engine{Spec: spec, Pace: rapid.SampledFrom([]float64{0, 0.5, 1, math.NaN(), math.Inf(1)}).Draw(t, "pace")}
		load, req := drawLoad(t), drawRequest(t)
		assert.Equal(t, enginetime.Denial{}, enginetime.Decide(engine, load, req, limits, false))
		denial := enginetime.Decide(engine, load, req, limits, true)
		busyEnd, idleEnd := engine.Estimate(load, req).End, engine.Estimate(enginetime.Load{}, req).End
		const left = 0.85 * float64(6*time.Second)
		assert.Equal(t, float64(busyEnd) > left && float64(idleEnd) <= left, denial.Reason == enginetime.End)
		assert.Contains(t, []enginetime.Reason{"", enginetime.End}, denial.Reason)
	})
}

// TestSlowEngineNamesTheExceededLimit checks each limit, at the pace that the deployments report.
func TestSlowEngineNamesTheExceededLimit(t *testing.T) {
	busy := enginetime.Load{Running: 9, AdmittedTokens: 2500}
	queue := busy
	queue.Waiting, queue.WaitingTokens = 2, 2500
	short, long := enginetime.Request{PromptTokens: 300, AnswerTokens: 50}, enginetime.Request{PromptTokens: 300, AnswerTokens: 300}
	large := enginetime.Request{PromptTokens: 3880, AnswerTokens: 50}
	tests := []struct {
		name   string
		load   enginetime.Load
		req    enginetime.Request
		limits enginetime.Limits
		want   enginetime.Reason
	}{
		{"a short request", busy, short, limits, ""},
		{"prompts wait", queue, short, limits, enginetime.FirstByte},
		{"a full pass of reading", busy, large, enginetime.Limits{Gap: 350 * time.Millisecond}, enginetime.Gap},
		{"the same while nothing runs", enginetime.Load{}, large, enginetime.Limits{Gap: 350 * time.Millisecond}, ""},
		{"a long answer", busy, long, limits, enginetime.End},
		{"a short deadline", busy, short, enginetime.Limits{First: limits.First, Left: time.Second}, enginetime.End},
		{"no limits", queue, large, enginetime.Limits{}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			denial := enginetime.Decide(enginetime.Engine{Spec: spec, Pace: 2.5}, test.load, test.req, test.limits, false)
			assert.Equal(t, test.want, denial.Reason)
			assert.Equal(t, test.want != "", denial.Estimate > 0)
		})
	}
	undeclared := enginetime.Engine{Spec: provider.EngineSpec{Places: 12, PromptRate: 19100}, Pace: 2.5}
	assert.Equal(t, enginetime.Denial{}, enginetime.Decide(undeclared, queue, large, limits, false), "no rates are declared")
}

// TestReadingOfOthersDelaysTheEnd guards against an estimate by the rate of an idle engine: on a
// busy one, reading takes 40 to 50 in 100 of the time.
func TestReadingOfOthersDelaysTheEnd(t *testing.T) {
	engine := enginetime.Engine{Spec: spec}
	req := enginetime.Request{PromptTokens: 300, AnswerTokens: 500}
	alone := engine.Estimate(enginetime.Load{Running: 11}, req)
	busy := engine.Estimate(enginetime.Load{Running: 11, AdmittedTokens: 0.45 * spec.PromptRate}, req)
	assert.InDelta(t, 1/0.55, busy.End.Seconds()/alone.End.Seconds(), 0.1)
	engine.Pace = 2.5
	flooded := engine.Estimate(enginetime.Load{Running: 11, AdmittedTokens: 10 * spec.PromptRate}, req)
	assert.Less(t, flooded.End, 100*500*time.Millisecond, "a pass reads no more than its maximum")
}

// TestInvalidPaceCountsAsOne guards against an invalid report that makes an engine unusable.
func TestInvalidPaceCountsAsOne(t *testing.T) {
	for _, pace := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -3, 0, 0.4, 1} {
		assert.Equal(t, 1.0, enginetime.NormalPace(pace), pace)
		assert.Zero(t, enginetime.ReportedPace(pace), pace)
	}
	assert.Equal(t, 2.5, enginetime.ReportedPace(2.5))
	assert.Equal(t, 100.0, enginetime.NormalPace(1e9))
}

// TestSmallVariationOfPaceChangesNothing guards against a report whose jitter around 1 switches the rules
// for slow engines on.
func TestSmallVariationOfPaceChangesNothing(t *testing.T) {
	load := enginetime.Load{Running: 8, Waiting: 2, WaitingTokens: 1800, AdmittedTokens: 5000}
	limits := enginetime.Limits{First: time.Millisecond, Gap: time.Millisecond, Left: 6 * time.Second}
	for pace, slow := range map[float64]bool{0: false, 1: false, 1.09: false, 1.1: true, 2.5: true, math.NaN(): false} {
		e := enginetime.Engine{Spec: spec, Pace: pace}
		assert.Equal(t, slow, enginetime.Slow(pace), "%v", pace)
		assert.Equal(t, slow, enginetime.Decide(e, load, enginetime.Request{}, limits, false).Reason != "", "%v", pace)
		if !slow {
			assert.Equal(t, enginetime.Engine{Spec: spec}.Estimate(load, enginetime.Request{}), e.Estimate(load, enginetime.Request{}), "%v", pace)
		}
	}
}

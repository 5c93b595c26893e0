package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// version returns the models of an engine that holds a version.
func version(v int) []provider.LoadedModel { return []provider.LoadedModel{{Model: "m", Version: v}} }

// refusedRequest returns a request to a fleet whose hosts report the given state and whose loaders
// deny all places. Requests may run on version 2 and later.
func refusedRequest(t *testing.T, report func(i int) balance.LoadReport, response places.EngineLoad) *request {
	t.Helper()
	const engines = 16
	f := newFleet(t, engines, nil)
	f.view.Targets = map[string]replica.Declaration{"m": {}}
	q := f.request("short-objective", 0)
	for i := range engines {
		f.pool.Report(fmt.Sprint("u", i), report(i))
	}
	q.RequestPlace = func(context.Context, *provider.Upstream, places.Request) (places.EngineLoad, bool, error) {
		return response, false, nil
	}
	q.VersionPolicy = func(*replica.Declaration, time.Duration) replica.VersionPolicy {
		return replica.VersionPolicy{MinVersion: 2}
	}
	return q
}

// runRefused runs a request that is refused.
func runRefused(q *request) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	q.writer, q.RetryDetector, q.deadline = recorder, &admission.RetryDetector{}, time.Now().Add(6*time.Second)
	q.run(context.Background())
	return recorder
}

// TestRefusalTellsWhenEnginesAreReady guards against callers that return while no engine may run
// their request, and against a time by readiness where engines are only full.
func TestRefusalTellsWhenEnginesAreReady(t *testing.T) {
	loads := func(i int) balance.LoadReport {
		return balance.LoadReport{Models: version(1), NextVersion: 2, NextIn: time.Duration(3+i/8) * time.Second}
	}
	tests := []struct {
		name     string
		report   func(i int) balance.LoadReport
		response places.EngineLoad
		rule     RetryRule
		from, to time.Duration
	}{
		{"all are below the minimum version", loads, places.EngineLoad{}, RetryRuleReadiness, 2900 * time.Millisecond, 5 * time.Second},
		{"all are below the minimum version and expect none", func(int) balance.LoadReport {
			return balance.LoadReport{Models: version(1)}
		}, places.EngineLoad{}, RetryRuleNotReady, 500 * time.Millisecond, 1300 * time.Millisecond},
		{"all are loading", func(i int) balance.LoadReport {
			return balance.LoadReport{Loading: true, Models: version(2), NextVersion: 3, NextIn: loads(i).NextIn}
		}, places.EngineLoad{Loading: true}, RetryRuleReadiness, 2900 * time.Millisecond, 5 * time.Second},
		{"all deny because they are loading, which no report states", func(int) balance.LoadReport {
			return balance.LoadReport{Models: version(2)}
		}, places.EngineLoad{Loading: true}, RetryRuleFull, admission.MinRetryAfter, admission.MaxRetryAfter},
		{"all are about to close", func(i int) balance.LoadReport {
			return balance.LoadReport{Models: version(2), ClosesIn: 100 * time.Millisecond, NextVersion: 3, NextIn: loads(i).NextIn}
		}, places.EngineLoad{}, RetryRuleReadiness, 2900 * time.Millisecond, 5 * time.Second},
		{"all are full", func(int) balance.LoadReport {
			return balance.LoadReport{Models: version(2), Running: 16}
		}, places.EngineLoad{Running: 16}, RetryRuleFull, admission.MinRetryAfter, admission.MaxRetryAfter},
		{"a quarter are full and the others below the minimum version", func(i int) balance.LoadReport {
			if i < 4 {
				return balance.LoadReport{Models: version(2), Running: 16}
			}
			return balance.LoadReport{Models: version(1), NextVersion: 2, NextIn: 3 * time.Second}
		}, places.EngineLoad{Running: 16}, RetryRuleReadiness, admission.MinRetryAfter, 4 * time.Second},
		{"half are full and the others below the minimum version", func(i int) balance.LoadReport {
			if i < 8 {
				return balance.LoadReport{Models: version(2), Running: 16}
			}
			return balance.LoadReport{Models: version(1), NextVersion: 2, NextIn: 3 * time.Second}
		}, places.EngineLoad{Running: 16}, RetryRuleFull, admission.MinRetryAfter, admission.MaxRetryAfter},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := refusedRequest(t, test.report, test.response)
			response := runRefused(q)
			assert.Equal(t, http.StatusServiceUnavailable, response.Code)
			assert.Equal(t, OutcomeRefused, q.trace.Outcome)
			assert.Empty(t, q.trace.Attempts)
			assert.Equal(t, test.rule, q.trace.RetryRule)
			assert.Equal(t, test.rule == RetryRuleReadiness, q.trace.Readiness != nil)
			seconds, err := strconv.ParseFloat(response.Header().Get("Retry-After"), 64)
			require.NoError(t, err)
			told := time.Duration(seconds * float64(time.Second))
			assert.InDelta(t, q.trace.RetryAfter, told, float64(time.Millisecond))
			assert.GreaterOrEqual(t, told, test.from)
			assert.LessOrEqual(t, told, test.to)
		})
	}
}

// TestRefusalRegardsVersionAtReturn guards against callers of full engines that return after the
// minimum version has risen, when the engines that are full now must not run their requests.
func TestRefusalRegardsVersionAtReturn(t *testing.T) {
	for name, test := range map[string]struct {
		nextIn time.Duration
		rule   RetryRule
		from   time.Duration
	}{
		"the next version is late":    {3 * time.Second, RetryRuleReadiness, 2900 * time.Millisecond},
		"the next version is in time": {time.Second, RetryRuleReadiness, admission.MinRetryAfter},
		"no next version is expected": {0, RetryRuleFull, admission.MinRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			report := balance.LoadReport{Models: version(2), Running: 16, NextIn: test.nextIn}
			if test.nextIn > 0 {
				report.NextVersion = 3
			}
			q := refusedRequest(t, func(int) balance.LoadReport { return report }, places.EngineLoad{Running: 16})
			q.VersionPolicy = func(_ *replica.Declaration, delay time.Duration) replica.VersionPolicy {
				if delay == 0 {
					return replica.VersionPolicy{}
				}
				assert.Greater(t, delay, admission.MinRetryAfter)
				assert.Less(t, delay, admission.MaxRetryAfter)
				return replica.VersionPolicy{MinVersion: 3}
			}
			runRefused(q)
			assert.Equal(t, test.rule, q.trace.RetryRule)
			assert.GreaterOrEqual(t, q.trace.RetryAfter, test.from)
		})
	}
}

// TestRefusalIsRecorded guards against a refusal whose inputs cannot be found in the log.
func TestRefusalIsRecorded(t *testing.T) {
	q := refusedRequest(t, func(i int) balance.LoadReport {
		if i == 0 {
			return balance.LoadReport{Models: version(2), Running: 16}
		}
		if i < 6 {
			return balance.LoadReport{Models: version(1)}
		}
		return balance.LoadReport{Models: version(1), NextVersion: 2, NextIn: 3 * time.Second}
	}, places.EngineLoad{Running: 16})
	runRefused(q)
	require.NotNil(t, q.trace.Readiness)
	assert.Equal(t, 1, q.trace.Readiness.Serving)
	assert.Equal(t, 10, q.trace.Readiness.Expected)
	assert.Equal(t, 5, q.trace.Readiness.Unknown)
	assert.InDelta(t, 3*time.Second, q.trace.Readiness.From, float64(200*time.Millisecond))
	assert.InDelta(t, 4*time.Second, q.trace.Readiness.To, float64(200*time.Millisecond))
}

// TestRequestThatCannotBeAnsweredInTimeIsRefusedAtOnce guards against queries and sends for a request
// whose caller is gone before any engine can have read the prompt.
func TestRequestThatCannotBeAnsweredInTimeIsRefusedAtOnce(t *testing.T) {
	const prompt = 4000 // 200 ms at the declared rate, 100 ms if its beginning is cached
	tests := []struct {
		name         string
		remaining    time.Duration
		promptTokens int
		sent         int
		refused      bool
	}{
		{"shorter than a mean prompt takes", 20 * time.Millisecond, 0, 0, true},
		{"longer than a mean prompt takes", 500 * time.Millisecond, 0, 0, false},
		{"shorter than its own prompt takes", 80 * time.Millisecond, prompt, 0, true},
		{"enough if its prompt is cached", 150 * time.Millisecond, prompt, 0, false},
		{"longer than its own prompt takes", time.Second, prompt, 0, false},
		{"sent before", 80 * time.Millisecond, prompt, 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, 2, func(int) (bool, error) { return true, nil })
			q := f.request("short-objective", test.sent)
			q.deadline = time.Now().Add(test.remaining)
			if test.promptTokens > 0 {
				q.Headers.Tokens = "Tokens"
				q.Header.Set("Tokens", strconv.Itoa(test.promptTokens))
			}
			choice, err := q.choosePlace(context.Background())
			if !test.refused {
				require.NoError(t, err)
				choice.Done(balance.Canceled)
				return
			}
			require.ErrorIs(t, err, errTooLate)
			assert.Empty(t, f.queries)
			recorder := httptest.NewRecorder()
			q.writer, q.RetryDetector = recorder, &admission.RetryDetector{}
			q.refuseUnplaced(err)
			assert.Equal(t, http.StatusServiceUnavailable, recorder.Code)
			assert.Equal(t, RetryRuleTooLate, q.trace.RetryRule)
			assert.NotEmpty(t, recorder.Header().Get("Retry-After"))
		})
	}
}

// TestUrgentRequestsReturnFirstToFullEngines guards against urgent callers that return after others,
// and against a return before the minimum by which retries are recognized.
func TestUrgentRequestsReturnFirstToFullEngines(t *testing.T) {
	const count, ranks = 400, 2
	dispatcher := &Dispatcher{}
	sums := [ranks]time.Duration{}
	for i := range count {
		q := &request{Dispatcher: dispatcher, trace: &Trace{Service: "s"}, rank: i % ranks, ranks: ranks}
		wait := q.retryAfter(admission.EnginesFull)
		assert.GreaterOrEqual(t, wait, admission.MinRetryAfter)
		assert.LessOrEqual(t, wait, admission.MaxRetryAfter)
		sums[q.rank] += wait / (count / ranks)
	}
	assert.Less(t, sums[0], sums[1]-200*time.Millisecond)
}

package router

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/dispatch"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestFailureLinesAreNotSuppressedBySuccesses guards against losing failures in a flood of served
// requests, and expects a notice of the suppressed lines.
func TestFailureLinesAreNotSuppressedBySuccesses(t *testing.T) {
	var lines bytes.Buffer
	r, _ := newTestRecorder(t, &lines)
	for range 3 * maxServedLines {
		r.request(&dispatch.Trace{ID: "served", Started: time.Now(), Outcome: dispatch.OutcomeServed})
	}
	r.request(&dispatch.Trace{ID: "failed", Started: time.Now(), Outcome: dispatch.OutcomeUnknown})
	text := lines.String()
	assert.Less(t, bytes.Count(lines.Bytes(), []byte(`"served"`)), 4*maxServedLines)
	assert.Contains(t, text, `"request":"failed"`)
	assert.Contains(t, text, `"message":"request lines left out"`)
	assert.Equal(t, 1, bytes.Count(lines.Bytes(), []byte("left out")), "once a second at most")
}

// TestRefusalLineNamesItsRule guards against a Retry-After whose cause and inputs cannot be found in
// the log.
func TestRefusalLineNamesItsRule(t *testing.T) {
	var lines bytes.Buffer
	r, _ := newTestRecorder(t, &lines)
	r.request(&dispatch.Trace{
		ID: "a", Started: time.Now(), Outcome: dispatch.OutcomeRefused, RetryAfter: 2500 * time.Millisecond, RetryRule: dispatch.RetryRuleReadiness,
		Readiness: &dispatch.Readiness{Expected: 38, Unknown: 2, From: 2 * time.Second, To: 4 * time.Second},
	})
	text := lines.String()
	assert.Contains(t, text, `"retryAfter":"2.5s"`)
	assert.Contains(t, text, `"retryRule":"readiness"`)
	assert.Contains(t, text, `"readiness":{"serving":0,"expected":38,"unknown":2,"from":2000000000,"to":4000000000}`)
	lines.Reset()
	r.request(&dispatch.Trace{ID: "b", Started: time.Now(), Outcome: dispatch.OutcomeServed})
	assert.NotContains(t, lines.String(), "retryRule")
	assert.NotContains(t, lines.String(), "readiness")
}

// TestQueriesAndHallsAreCounted guards against a change of the choice of upstreams whose effect on
// denied queries and on traffic between halls no metric shows.
func TestQueriesAndHallsAreCounted(t *testing.T) {
	r, scope := newTestRecorder(t, &bytes.Buffer{})
	r.request(&dispatch.Trace{
		Started: time.Now(), Outcome: dispatch.OutcomeServed,
		PlaceRequests: []dispatch.PlaceRequest{{}, {}, {Cause: "no answer"}, {Granted: true}},
		Attempts:      []dispatch.Attempt{{OtherHall: true}, {}},
	})
	counts := map[string]int64{}
	for name, counter := range scope.Snapshot().Counters() {
		counts[name] = counter.Value()
	}
	assert.Equal(t, int64(2), counts["place_queries+given=false"], "a loader that does not answer is not counted")
	assert.Equal(t, int64(1), counts["place_queries+given=true"])
	assert.Equal(t, int64(1), counts["sends+hall=other"])
	assert.Equal(t, int64(1), counts["sends+hall=own"])
}

// newTestRecorder returns a recorder that writes its lines to lines and its counters to the scope.
func newTestRecorder(t *testing.T, lines *bytes.Buffer) (*recorder, tally.TestScope) {
	t.Helper()
	tele, err := telemetry.New(telemetry.Options{Level: "info", Output: lines})
	require.NoError(t, err)
	t.Cleanup(tele.Close)
	scope := tally.NewTestScope("", nil)
	tele.Scope = scope
	return newRecorder(tele), scope
}

// TestLinesTellWhyUpstreamWithoutRecordIsUsed guards against a request to an upstream that has left of
// which the log does not tell whether the router knew.
func TestLinesTellWhyUpstreamWithoutRecordIsUsed(t *testing.T) {
	var lines bytes.Buffer
	r, scope := newTestRecorder(t, &lines)
	grace := provider.Grace{For: 1500 * time.Millisecond, Reason: provider.GraceOutage}
	change := replica.EntryChange{Entry: provider.Entry{Key: "u/1", Deleted: true, Grace: grace}, Kept: true}
	r.entryApplied(change, 3*time.Second, 1)
	assert.Contains(t, lines.String(), `"keptFor":"1.5s"`)
	assert.Contains(t, lines.String(), `"keptAfter":"outage"`)
	assert.Contains(t, lines.String(), `"gap":"3s"`)
	assert.Contains(t, lines.String(), `"hops":1`)

	lines.Reset()
	r.request(&dispatch.Trace{
		ID: "a", Started: time.Now(), Outcome: dispatch.OutcomeServed, Attempts: []dispatch.Attempt{{Upstream: "1", Record: 7, Kept: time.Second}},
	})
	assert.Contains(t, lines.String(), `"record":7`)
	assert.Contains(t, lines.String(), `"kept":1000000000`)
	r.keptEnded(&provider.Upstream{ID: "1", KeptSince: time.Now()}, true)
	assert.Contains(t, lines.String(), `"registered":true`)

	counters := scope.Snapshot().Counters()
	assert.Equal(t, int64(1), counters["upstreams_kept+after=outage"].Value())
	assert.Equal(t, int64(1), counters["sends_kept+"].Value())
}

// TestLineOfRequestTellsStateOfDrain guards against a response that is cut by a stop and of which the log
// does not tell how long the request was expected to take.
func TestLineOfRequestTellsStateOfDrain(t *testing.T) {
	var lines bytes.Buffer
	r, _ := newTestRecorder(t, &lines)
	r.request(&dispatch.Trace{ID: "a", Started: time.Now(), Outcome: dispatch.OutcomeTruncated, Drain: &dispatch.DrainState{Remaining: 5 * time.Second, Expected: 2 * time.Second}})
	assert.Contains(t, lines.String(), `"drainLeft":"5s"`)
	assert.Contains(t, lines.String(), `"expected":"2s"`)
	lines.Reset()
	r.request(&dispatch.Trace{ID: "b", Started: time.Now(), Outcome: dispatch.OutcomeServed})
	assert.NotContains(t, lines.String(), "drainLeft")
}

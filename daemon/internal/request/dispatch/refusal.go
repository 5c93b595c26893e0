package dispatch

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
)

// This file refuses requests that have not run, and tells their callers when to return. A caller
// returns once, and loses twice if it is refused again. If the upstreams cannot run the request
// yet, the time follows from when they are expected to.

// RetryRule is the rule that determines the Retry-After of a refused request.
type RetryRule string

// Values of RetryRule.
const (
	RetryRuleFull      RetryRule = "full"      // the upstreams are full
	RetryRuleNotReady  RetryRule = "not-ready" // the upstreams cannot run the request, and it is unknown when they will
	RetryRuleReadiness RetryRule = "readiness" // the upstreams cannot run the request before a known time
	RetryRulePause     RetryRule = "pause"     // the upstreams asked for a pause
	RetryRuleStopping  RetryRule = "stopping"  // this process is stopping, and the others are not
	RetryRuleTooLate   RetryRule = "too-late"  // the caller's remaining time is too short for any upstream
)

// Readiness is when the upstreams of a request were expected to be able to run it.
type Readiness struct {
	// Serving is the number of upstreams that can run the request now and when its caller returns,
	// Expected that of those that cannot but have an expected time, and Unknown that of those
	// without one.
	Serving  int `json:"serving"`
	Expected int `json:"expected"`
	Unknown  int `json:"unknown"`
	// From and To bound the times at which refused callers return.
	From time.Duration `json:"from"`
	To   time.Duration `json:"to"`
}

// refuse answers a request that has not run, and sends the backoff for its retry.
func (q *request) refuse(reason admission.RefusalReason, cause string) {
	q.refuseFor(retryRule(reason), q.retryAfter(reason), cause)
}

// refuseUnplaced refuses a request for which no upstream was chosen.
func (q *request) refuseUnplaced(err error) {
	cause := err.Error()
	if paused := (*pausedError)(nil); errors.As(err, &paused) {
		q.refuseFor(RetryRulePause, admission.RetryAfterPause(paused.remaining, q.rank, rand.Float64()), cause)
		return
	}
	if errors.Is(err, errTooLate) {
		q.refuseFor(RetryRuleTooLate, q.retryAfter(admission.EnginesFull), cause)
		return
	}
	if wait, ok := q.retryWhenReady(err); ok {
		q.refuseFor(RetryRuleReadiness, wait, cause)
		return
	}
	q.refuse(unplacedReason(err), cause)
}

// retryRule returns the rule that a reason stands for.
func retryRule(reason admission.RefusalReason) RetryRule {
	if reason == admission.NotReady {
		return RetryRuleNotReady
	}
	return RetryRuleFull
}

// retryAfter draws the backoff for a reason. If the upstreams are full, more urgent requests return
// first.
func (q *request) retryAfter(reason admission.RefusalReason) time.Duration {
	variate := rand.Float64()
	if reason == admission.EnginesFull {
		variate = q.RankShares.Variate(q.trace.Service, q.rank, q.ranks, variate)
	}
	return admission.RetryAfter(reason, variate)
}

// retryWhenReady draws the backoff by the times at which the upstreams are expected to be able to run
// the request. It returns false if the request was refused for another reason or those times
// are unknown.
//
// Upstreams that load or close deny places, so a request that no upstream can run may be refused as
// if all were full. The reports of the hosts tell these cases apart.
func (q *request) retryWhenReady(err error) (time.Duration, bool) {
	if q.service.Engine == nil || !errors.Is(err, errNoUpstream) && !errors.Is(err, errOverloaded) {
		return 0, false
	}
	candidates, err := q.candidates()
	if err != nil {
		return 0, false
	}
	reported := q.Pool.Readiness(candidates, q.returnQuery())
	expected := admission.Expectation{Ready: reported.In, Unknown: reported.Unknown}
	window, ok := expected.Window()
	if !ok {
		return 0, false
	}
	serving := reported.Serving()
	q.trace.Readiness = &Readiness{Serving: serving, Expected: len(reported.In) - serving, Unknown: reported.Unknown, From: window.From, To: window.To}
	return expected.RetryAfter(window, q.RankShares.Variate(q.trace.Service, q.rank, q.ranks, rand.Float64())), true
}

// returnQuery returns the conditions that an upstream must meet when a refused caller returns. The
// minimum version may rise before.
func (q *request) returnQuery() balance.Query {
	const usualReturn = (admission.MinRetryAfter + admission.MaxRetryAfter) / 2
	query := q.upstreamQuery()
	if declared := q.declaration(); declared != nil {
		query.MinVersion = max(query.MinVersion, q.VersionPolicy(declared, usualReturn).MinVersion)
	}
	return query
}

// refuseFor refuses a request with a backoff that a rule determined.
func (q *request) refuseFor(rule RetryRule, wait time.Duration, cause string) {
	if !q.neverRan() {
		q.fail(http.StatusBadGateway, OutcomeUnknown, cause)
		return
	}
	q.RetryDetector.RecordRefusal()
	if remaining := clock.Until(q.deadline); wait > admission.MaxRetryAfter && remaining > 0 {
		q.RetryDetector.RecordLongRefusal(wait, remaining)
	}
	q.trace.RetryAfter, q.trace.RetryRule = wait, rule
	q.writer.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	q.fail(http.StatusServiceUnavailable, OutcomeRefused, cause)
}

// tooLate reports whether the caller's remaining time is shorter than the least time to the first
// byte on any upstream. A request that was sent before goes on, since refusing it would waste the
// work done.
func (q *request) tooLate() bool {
	if q.service.Engine == nil || q.sent > 0 || q.deadline.IsZero() {
		return false
	}
	least := admission.Service{ReadTime: q.readTime()}.LeastFirstByte(q.promptTokens(), q.meanPromptTokens())
	return clock.Until(q.deadline) < least
}

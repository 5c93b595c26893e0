package dispatch

import (
	"net/http"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
)

// This file withholds quarantined content, and requests with a quarantined part in their prompts, from
// upstreams, which they are likely to crash.

// admitContent reports whether the request may be sent by the quarantine verdict on it.
func (q *request) admitContent() bool {
	if q.AdmitContent == nil {
		return true
	}
	admission := q.AdmitContent(q.digests)
	q.trace.Trials = admission.Trials
	return admission.Verdict != quarantine.Quarantined
}

// verdict returns the current quarantine verdict on the request's content and the parts of its prompt.
// A trial is not quarantined by what it tries.
func (q *request) verdict() quarantine.Verdict {
	if q.CheckContent == nil {
		return quarantine.Unrestricted
	}
	verdict := q.CheckContent(q.digests)
	if len(q.trace.Trials) > 0 {
		return min(verdict, quarantine.SingleAttempt)
	}
	return verdict
}

// abandonTrial lets another request be the trial if this one was not sent.
func (q *request) abandonTrial() {
	if len(q.trace.Trials) > 0 && q.sent == 0 && q.AbandonTrials != nil {
		q.AbandonTrials(q.trace.Trials)
	}
}

// refuseQuarantined answers a request that is quarantined. The request did not run.
// No backoff is sent, because a retry gets the same response.
func (q *request) refuseQuarantined() {
	q.fail(http.StatusServiceUnavailable, OutcomeQuarantined, errQuarantined.Error())
}

// cancelQuarantined cancels sends without a response head once the request is quarantined.
// Otherwise overlapping requests with one content or part crash more engines after the verdict.
func (q *request) cancelQuarantined(sends ...*pendingSend) {
	if q.verdict() == quarantine.Quarantined {
		cancelAll(errQuarantined, sends...)
	}
}

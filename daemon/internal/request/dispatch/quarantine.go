package dispatch

import (
	"net/http"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
)

// This file withholds quarantined content from upstreams, which it is likely to crash.

// verdict returns the current quarantine verdict on the request's content.
func (q *request) verdict() quarantine.Verdict {
	if q.CheckContent == nil {
		return quarantine.Unrestricted
	}
	return q.CheckContent(q.trace.Content)
}

// refuseQuarantined answers a request whose content is quarantined. The request did not run.
// No backoff is sent, because a retry gets the same response.
func (q *request) refuseQuarantined() {
	q.fail(http.StatusServiceUnavailable, OutcomeQuarantined, errQuarantined.Error())
}

// cancelQuarantined cancels sends without a response head once their content is quarantined.
// Otherwise overlapping requests for one content crash more engines after the verdict.
func (q *request) cancelQuarantined(sends ...*pendingSend) {
	if q.verdict() == quarantine.Quarantined {
		cancelAll(errQuarantined, sends...)
	}
}

package dispatch

import (
	"net/http"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
)

// This file keeps a request from upstreams when it is known that they end under it.

// verdict says what may be done with the request's content by now.
func (q *request) verdict() quarantine.Verdict {
	if q.Judge == nil {
		return quarantine.Unrestricted
	}
	return q.Judge(q.story.Content)
}

// hold answers a request whose content is held back. It has not run. There is no time to
// come back: the caller who comes all the same gets the same answer.
func (q *request) hold() {
	q.fail(http.StatusServiceUnavailable, EndHeld, errHeld.Error())
}

// endHeld ends sends that have not begun once their content is held back. Without it a
// caller who comes twice a second ends 5.3 engines of 20 and not 4.5, because visits overlap.
func (q *request) endHeld(sends ...*sending) {
	if q.verdict() == quarantine.Quarantined {
		endAll(errHeld, sends...)
	}
}

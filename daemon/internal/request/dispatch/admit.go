package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/buffer"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// defaultTimeout applies to callers that declare none.
	defaultTimeout = time.Minute
	// maxTimeout is the longest time that a caller may declare.
	maxTimeout = time.Hour
	// defaultMaxBody bounds a body, in bytes, if the configuration does not.
	defaultMaxBody = 4 << 20
	// maxSharedParts bounds the parts of a prompt that are tracked, so that one request cannot fill
	// the tables of all routers.
	maxSharedParts = 32
	// bodyTimeout limits the time in which a body must arrive.
	bodyTimeout = 10 * time.Second
)

// admit resolves the route and the account, reads the body, and sets the deadline. If it
// returns false, the request has been answered.
func (q *request) admit() bool {
	if q.view.Configuration == nil {
		q.refuse(admission.NotReady, "no configuration is known yet")
		return false
	}
	if !q.findRoute() || !q.findAccount() {
		return false
	}
	q.chooseService()
	if !q.readBody() {
		return false
	}
	q.trace.Content, q.trace.Parts = q.contentDigest(), q.sharedParts()
	q.digests = append([]content.Digest{q.trace.Content}, q.trace.Parts...)
	if !q.admitContent() {
		q.refuseQuarantined()
		return false
	}
	q.deadline = q.trace.Started.Add(min(q.callerTimeout(), q.routeTimeout()))
	q.trace.RemainingTime, q.trace.Retried = q.retryState()
	q.setRank()
	q.priority = q.queuePriority()
	expected := q.expectedDuration()
	if remaining, stopping := q.Drain.Remaining(); stopping {
		q.trace.Drain = &DrainState{Remaining: remaining, Expected: expected}
	}
	if !q.Drain.Accepts(expected, q.deadline) {
		q.refuseStopping("it may not end before this router does")
		return false
	}
	return true
}

func (q *request) findRoute() bool {
	host := q.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path, _, _ := strings.Cut(q.RequestURI, "?")
	q.route = q.view.Route(host, path)
	if q.route != nil {
		q.trace.Route = q.route.Name
		return true
	}
	q.rejectUnknown(http.StatusNotFound, "no matching route")
	return false
}

// findAccount resolves the caller's key.
func (q *request) findAccount() bool {
	scheme, key, _ := strings.Cut(q.Header.Get("Authorization"), " ")
	if strings.EqualFold(scheme, "Bearer") {
		q.account = q.view.Account(strings.TrimSpace(key))
	}
	if q.account != nil {
		q.trace.Account = q.account.Name
		return true
	}
	if q.route.Public || !q.view.HasAccounts() {
		return true
	}
	q.rejectUnknown(http.StatusUnauthorized, "unknown key")
	return false
}

// rejectUnknown answers a request whose route or key is not in the configuration. It only
// refuses if the configuration may be out of date, so that a new route or key is not
// rejected for good.
func (q *request) rejectUnknown(status int, cause string) {
	if q.Stale() {
		q.trace.Stale = true
		q.refuse(admission.NotReady, cause+" in a configuration that may be out of date")
		return
	}
	q.reject(status, cause)
}

// chooseService chooses one of the route's services at random, by weight.
func (q *request) chooseService() {
	total := 0
	for _, share := range q.route.Shares {
		total += max(share.Weight, 0)
	}
	draw := rand.IntN(max(total, 1))
	name := q.route.Shares[0].Service
	for _, share := range q.route.Shares {
		if draw < share.Weight {
			name = share.Service
			break
		}
		draw -= max(share.Weight, 0)
	}
	q.trace.Service = name
	q.service = q.view.Service(name)
	if q.service == nil {
		q.service = &provider.Service{Name: name} // not declared, but may have upstreams
	}
}

func (q *request) readBody() bool {
	limit := q.view.Configuration.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	_ = http.NewResponseController(q.writer).SetReadDeadline(time.Now().Add(bodyTimeout))
	q.bodyReader = &buffer.Body{Reader: http.MaxBytesReader(q.writer, q.Body, limit), Budget: &q.BufferBudget}
	// A body that is still arriving at the end of a drain is given up, so that its caller gets a response.
	cancelInterrupt := context.AfterFunc(q.Drain.Expired(), func() {
		_ = http.NewResponseController(q.writer).SetReadDeadline(time.Now())
	})
	body, err := q.bodyReader.ReadAll(min(q.ContentLength, limit))
	if !cancelInterrupt() {
		q.refuseStopping("the request body has not arrived") // the read deadline stays, so that the server closes the connection
		return false
	}
	_ = http.NewResponseController(q.writer).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		q.reject(http.StatusRequestEntityTooLarge, "request body is too large")
		return false
	case errors.Is(err, buffer.ErrFull):
		q.refuse(admission.EnginesFull, err.Error())
		return false
	case err != nil:
		q.setOutcome(OutcomeDisconnected, 0, "request body did not arrive: "+err.Error())
		panic(http.ErrAbortHandler)
	}
	q.body = body
	return true
}

func (q *request) contentDigest() content.Digest {
	return content.Request{
		Account: q.accountName(), Method: q.Method, Host: q.Host, Target: q.RequestURI, Body: q.body,
	}.Digest()
}

// sharedParts returns the digests of the first maxSharedParts distinct parts of the prompt that other
// requests may share: all that have an ID but the last part.
func (q *request) sharedParts() []content.Digest {
	if q.PromptParts == nil {
		return nil
	}
	parts := q.PromptParts(q.Header)
	if len(parts) < 2 {
		return nil
	}
	var digests []content.Digest
	for _, part := range parts[:len(parts)-1] {
		if len(digests) == maxSharedParts {
			break
		}
		if part.ID == "" {
			continue
		}
		if digest := content.Part(part.ID); !slices.Contains(digests, digest) {
			digests = append(digests, digest)
		}
	}
	return digests
}

// callerTimeout returns how long the caller waits.
func (q *request) callerTimeout() time.Duration {
	if declared, ok := q.declaredTimeout(); ok {
		return declared
	}
	return defaultTimeout
}

// declaredTimeout returns the timeout that the caller declares, false if it declares none or an
// invalid one.
func (q *request) declaredTimeout() (time.Duration, bool) {
	ms, err := strconv.ParseFloat(q.Header.Get(q.Headers.Deadline), 64)
	if err != nil || !(ms > 0 && ms <= float64(maxTimeout/time.Millisecond)) {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// retryState returns the remaining time that the caller declared, 0 if none, and whether the
// request is probably a retry after a refusal.
func (q *request) retryState() (remaining time.Duration, retried bool) {
	remaining, declared := q.declaredTimeout()
	if !declared {
		return 0, false
	}
	return remaining, q.RetryDetector.IsRetry(admission.Arrival{Route: q.route.Name, Remaining: remaining, Declared: q.route.Timeout})
}

// routeTimeout returns the time limit that the route sets for a request.
func (q *request) routeTimeout() time.Duration {
	if q.route.Timeout <= 0 {
		return defaultTimeout
	}
	return q.route.Timeout
}

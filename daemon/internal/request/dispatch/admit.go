package dispatch

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/holding"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// defaultDeadline holds for callers that name none.
	defaultDeadline = time.Minute
	// longestDeadline is the longest time that a caller may name.
	longestDeadline = time.Hour
	// defaultMaxBody bounds a body where the configuration does not.
	defaultMaxBody = 4 << 20
	// bodyTimeout bounds the time in which a body arrives.
	bodyTimeout = 10 * time.Second
)

// admit finds the route and the account, reads the body, and sets the deadline.
// Where it returns false the request has its answer.
func (q *request) admit() bool {
	if q.view.Configuration == nil {
		q.refuse(admission.NotReady, "no configuration is known yet")
		return false
	}
	if !q.findRoute() || !q.findAccount() {
		return false
	}
	q.findService()
	if !q.readBody() {
		return false
	}
	q.story.Content = q.contentName()
	if q.Admit != nil && q.Admit(q.story.Content) == quarantine.Quarantined {
		q.hold()
		return false
	}
	q.deadline = q.story.Started.Add(min(q.callerPatience(), q.routePatience()))
	q.story.Left, q.story.Returned = q.callerStanding()
	q.rank, q.ranks = q.view.Rank(q.service.Name, q.route, q.account)
	q.priority = q.priorityOf()
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
		q.story.Route = q.route.Name
		return true
	}
	q.rejectUnknown(http.StatusNotFound, "no route")
	return false
}

// findAccount resolves the caller's key.
func (q *request) findAccount() bool {
	scheme, key, _ := strings.Cut(q.Header.Get("Authorization"), " ")
	if strings.EqualFold(scheme, "Bearer") {
		q.account = q.view.Account(strings.TrimSpace(key))
	}
	if q.account != nil {
		q.story.Account = q.account.Name
		return true
	}
	if q.route.Public || !q.view.HasAccounts() {
		return true
	}
	q.rejectUnknown(http.StatusUnauthorized, "unknown key")
	return false
}

// rejectUnknown answers for a route or key that is not in the configuration. A
// configuration that may be out of date is no ground for a final no.
func (q *request) rejectUnknown(status int, cause string) {
	if q.Stale() {
		q.story.Stale = true
		q.refuse(admission.NotReady, cause+" in a configuration that may be out of date")
		return
	}
	q.reject(status, cause)
}

// findService draws one of the route's services by weight.
func (q *request) findService() {
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
	q.story.Service = name
	q.service = q.view.Service(name)
	if q.service == nil {
		q.service = &provider.Service{Name: name} // known by its upstreams only
	}
}

func (q *request) readBody() bool {
	limit := q.view.Configuration.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	_ = http.NewResponseController(q.writer).SetReadDeadline(time.Now().Add(bodyTimeout))
	q.reading = &holding.Body{Reader: http.MaxBytesReader(q.writer, q.Body, limit), Budget: &q.Holding}
	body, err := io.ReadAll(q.reading)
	_ = http.NewResponseController(q.writer).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		q.reject(http.StatusRequestEntityTooLarge, "the body is too large")
		return false
	case errors.Is(err, holding.ErrFull):
		q.refuse(admission.EnginesFull, err.Error())
		return false
	case err != nil:
		q.end(EndLeft, 0, "the body did not arrive: "+err.Error())
		panic(http.ErrAbortHandler)
	}
	q.body = body
	return true
}

// contentName names what is asked for.
func (q *request) contentName() content.Digest {
	return content.Request{
		Account: q.accountName(), Method: q.Method, Host: q.Host, Target: q.RequestURI, Body: q.body,
	}.Digest()
}

// callerPatience is the time that the caller waits.
func (q *request) callerPatience() time.Duration {
	if told, ok := q.toldPatience(); ok {
		return told
	}
	return defaultDeadline
}

// toldPatience is the time that the caller says it waits, false where it says none or one
// that no caller can mean.
func (q *request) toldPatience() (time.Duration, bool) {
	ms, err := strconv.ParseFloat(q.Header.Get(q.Headers.Deadline), 64)
	if err != nil || !(ms > 0 && ms <= float64(longestDeadline/time.Millisecond)) {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// callerStanding is the time that the caller says it has left, 0 where it does not, and
// whether it was likely refused before.
func (q *request) callerStanding() (left time.Duration, returned bool) {
	left, told := q.toldPatience()
	if !told {
		return 0, false
	}
	return left, q.Callers.IsRetry(admission.Arrival{Route: q.route.Name, Remaining: left, Declared: q.route.Timeout})
}

// routePatience is the time that the operator wants the request held.
func (q *request) routePatience() time.Duration {
	if q.route.Timeout <= 0 {
		return defaultDeadline
	}
	return q.route.Timeout
}

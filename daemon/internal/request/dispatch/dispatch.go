// Package dispatch answers callers' requests by sending them to upstreams.
//
// A request is admitted (admit.go), sent to an upstream (send.go) and, if its route's mode
// and the result of the send allow it, retried at another (dispatch.go). The response is
// forwarded buffered (response.go) or as a stream that may resume at another upstream
// (stream.go, resume.go). Package router calls it once per request. A place is an
// execution slot of an engine.
//
// Each request gets exactly one response, and mayRetry alone decides what may be sent
// again. The router has no queue of its own: the upstreams' queues already order the
// requests of all routers by priority, and refuse with the promise that a request did not
// run.
package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/livenessprobe"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/drain"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/buffer"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/exchange"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Dispatcher answers requests. All fields must be set, except those that may be nil.
type Dispatcher struct {
	Headers     provider.Headers
	Client      *exchange.Client
	Pool        *balance.Pool
	RetryBudget *RetryBudget
	LoadTracker *LoadTracker
	// RetryDetector recognizes retries of refused requests.
	RetryDetector *admission.RetryDetector
	// RankShares orders the returns of refused callers; the zero value is ready to use.
	RankShares admission.RankShares
	// View returns the configuration and the upstreams in force, and Stale reports whether
	// they may be out of date.
	View  func() *replica.View
	Stale func() bool
	// BufferBudget bounds the bytes that are buffered for slow callers and upstreams.
	BufferBudget buffer.Budget
	// Region returns the region of a data hall, "" if unknown. It may be nil.
	Region func(hall string) string
	// VersionPolicy returns on which versions of a model requests may run that arrive after a delay.
	VersionPolicy func(declared *replica.Declaration, delay time.Duration) replica.VersionPolicy
	// VersionCutoff returns when a declared version becomes the lowest that may serve, for the trace. It may
	// be nil.
	VersionCutoff func(declared *replica.Declaration) time.Time
	// PromptParts returns the parts of a request's prompt. It may be nil.
	PromptParts func(http.Header) []provider.PromptPart
	// RequestPlace requests a place from an engine's loader. An error means that the loader
	// did not answer. Nil means that there are no loaders.
	RequestPlace func(ctx context.Context, engine *provider.Upstream, request places.Request) (places.EngineLoad, bool, error)
	// OnAnnouncement is called with what each response states about its upstream. It may be nil.
	OnAnnouncement func(AnnouncementReport)
	// AllowSend reports whether this router's share of an upstream's rate limit admits a request
	// that no loader granted a place, and counts the request. If it does not, it returns how
	// long to wait before the next request. It may be nil.
	AllowSend func(upstream *provider.Upstream, path AdmissionPath) (time.Duration, bool)
	// OnDisconnect is called for each send whose connection broke, before the request is
	// retried. It may be nil.
	OnDisconnect func(Disconnect)
	// ProbeUpstream checks whether an upstream still runs after a response ended with its
	// connection. It may be nil.
	ProbeUpstream func(*provider.Upstream) livenessprobe.State
	// AdmitContent returns the quarantine verdict on an arriving request, by the digests of its
	// content and of the parts of its prompt, and CheckContent the one on an admitted request.
	// OnServed is called with the digests of each request that got a complete response. All may be
	// nil.
	AdmitContent func([]content.Digest) quarantine.Admission
	CheckContent func([]content.Digest) quarantine.Verdict
	OnServed     func([]content.Digest)
	// AbandonTrials is called with what a trial would have tried, if it ends without having been sent. It may be nil.
	AbandonTrials func([]content.Digest)
	// Stopped returns for how long this process has not run; nil means clock.Stopped.
	Stopped func() time.Duration
	// Drain decides what still begins while the process is stopping. Nil means that it never stops.
	Drain *drain.Drain
	// Report is called once for each request that ended.
	Report func(*Trace)
}

// stopped returns for how long this process has not run.
func (d *Dispatcher) stopped() time.Duration { return helpers.Stopped(d.Stopped) }

// AnnouncementReport is what a response states about its upstream.
type AnnouncementReport struct {
	Request  string
	Upstream *provider.Upstream
	// Sent is when the request was sent.
	Sent time.Time
	exchange.Announcement
}

// request is the state of one caller's request.
type request struct {
	*Dispatcher
	*http.Request
	writer  http.ResponseWriter
	view    *replica.View
	route   *provider.Route
	service *provider.Service
	account *provider.Account
	body    []byte
	// digests are those of the content and of the parts of the prompt.
	digests []content.Digest
	// bodyReader read the body, nil before that.
	bodyReader *buffer.Body
	// reserved is the size of the buffered responses in the memory budget.
	reserved int
	// deadline is the caller's or the route's, whichever is earlier.
	deadline time.Time
	// stoppedBefore is for how long this process had not run when the request arrived.
	stoppedBefore time.Duration
	// rank is the index of the request's urgency among those of its service, 0 for the
	// most urgent, and ranks their number. If loaders divide scarce places, only ranks count that
	// had requests recently.
	rank, ranks int
	// caller describes the caller to loaders that divide scarce places; Ranks is 0 if they do not.
	caller places.Caller
	// priority is the class in an upstream's queue; negative means none.
	priority int
	// sent is the number of upstreams that the request was sent to.
	sent  int
	tried []string
	// paths are the admission paths by upstream.
	paths map[string]AdmissionPath
	// answeredAttempt is the index of the attempt whose response is being read.
	answeredAttempt int
	// errorResponse is an upstream's failure, kept until another upstream has responded.
	errorResponse *bufferedResponse
	trace         *Trace
}

// ServeHTTP answers one request.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{Dispatcher: d, Request: r, writer: w, view: d.View(), stoppedBefore: d.stopped()}
	q.trace = &Trace{ID: r.Header.Get(d.Headers.RequestID), Started: clock.Now(), Configuration: q.view.ConfigurationRevision}
	defer q.finish()
	if !q.admit() {
		return
	}
	defer q.limitWrites()()
	ctx, cancel := context.WithTimeout(r.Context(), clock.Until(q.deadline))
	defer cancel()
	d.RetryBudget.CountRequest(q.service.Name)
	q.run(ctx)
	q.trace.RemainingRetries = d.RetryBudget.Remaining(q.service.Name)
}

// writeGrace is how long after the request's deadline its response may still be written. It
// keeps callers that stopped reading from holding memory.
const writeGrace = 10 * time.Second

// limitWrites limits the time for writing the response. The returned function lifts the
// limit, because the connection may be reused.
func (q *request) limitWrites() func() {
	controller := http.NewResponseController(q.writer)
	_ = controller.SetWriteDeadline(time.Now().Add(clock.Until(q.deadline) + writeGrace))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

// run sends the request until it has a response.
func (q *request) run(ctx context.Context) {
	for {
		choice, result, err := q.attempt(ctx, "")
		if err != nil {
			q.refuseUnplaced(err)
			return
		}
		if result.Kind == exchange.Answered {
			if q.forward(ctx, choice, result.Response) {
				return
			}
			continue
		}
		if q.Context().Err() != nil {
			q.setOutcome(OutcomeDisconnected, 0, "caller disconnected")
			panic(http.ErrAbortHandler) // returning would send an empty response
		}
		if ctx.Err() != nil || q.expired() {
			q.timeOut(result)
			return
		}
		if !q.mayRetry(result.Kind) {
			q.giveUp(result)
			return
		}
	}
}

var (
	errNoUpstream   = errors.New("no upstream is available")
	errOverloaded   = errors.New("all available upstreams are overloaded")
	errLimitsUsedUp = errors.New("rate limits of all available upstreams are used up")
	errTooLate      = errors.New("the caller's remaining time is shorter than the time to the first byte on an idle upstream")
)

// unplacedReason returns why no upstream was chosen, which decides the caller's backoff.
func unplacedReason(err error) admission.RefusalReason {
	if errors.Is(err, errNoUpstream) {
		return admission.NotReady
	}
	return admission.EnginesFull
}

// expired reports whether the request's time is over, also because the process is stopping.
// It compares the clock, because a context's timer stands still while the host is suspended.
func (q *request) expired() bool {
	return q.Drain.Expired().Err() != nil || clock.Until(q.deadline) <= 0
}

// defaultPromptTokens is the assumed mean length of prompts if the configuration declares none.
const defaultPromptTokens = 900.0

// upstreamQuery returns the conditions that an upstream must meet.
func (q *request) upstreamQuery() balance.Query {
	query := balance.Query{Exclude: q.tried}
	if q.service.Engine == nil {
		return query
	}
	query.Model = q.service.Engine.Model
	query.Duration = q.expectedHoldTime()
	query.ReservedPlaces = admission.Reserve(admission.Service{Saturation: q.LoadTracker.Saturation(q.service.Name)}, q.admissionRequest())
	policy := q.versionPolicy()
	query.MinVersion, query.PreferredVersion, query.AvoidWeight = policy.MinVersion, policy.PreferredVersion, policy.AvoidWeight
	return query
}

// declaration returns the newest declared version of the model that the request runs on, nil if its
// service has no engine or no version is declared.
func (q *request) declaration() *replica.Declaration {
	if q.service.Engine == nil {
		return nil
	}
	declared, ok := q.View().Targets[q.service.Engine.Model]
	if !ok {
		return nil
	}
	return &declared
}

// outdated reports whether the version of a chosen upstream may no longer serve. The time of a newer version may have
// ended since the choice.
func (q *request) outdated(choice balance.Choice) bool {
	return choice.Version > 0 && choice.Version < q.versionPolicy().MinVersion
}

// outdatedUnanswered is like outdated for an upstream whose loader does not answer.
func (q *request) outdatedUnanswered(choice balance.Choice) bool {
	policy := q.versionPolicy()
	return choice.Version > 0 && choice.Version < max(policy.MinVersion, policy.MinVersionUnanswered)
}

// versionPolicy returns on which versions the request may run now.
func (q *request) versionPolicy() replica.VersionPolicy {
	declared := q.declaration()
	if declared == nil {
		return replica.VersionPolicy{}
	}
	return q.VersionPolicy(declared, 0)
}

// versionState returns what decides on which versions the request may run now, for the trace.
func (q *request) versionState(minVersion int) VersionState {
	declared := q.declaration()
	if declared == nil || q.VersionCutoff == nil {
		return VersionState{MinVersion: minVersion}
	}
	return VersionState{MinVersion: minVersion, Newest: declared.Version, Remaining: clock.Until(q.VersionCutoff(declared))}
}

func (q *request) balanceOutcome(kind exchange.Kind) balance.Outcome {
	switch {
	case q.Context().Err() != nil:
		return balance.Canceled
	case kind == exchange.Unsent:
		return balance.Unreachable
	case kind == exchange.Refused:
		return balance.Full
	case kind == exchange.Misdirected:
		return balance.Moved
	default:
		return balance.Failed
	}
}

// mayRetry decides whether the request may go to another upstream after a send with this
// result, and charges the retry budget for it.
//
//	mode                  unsent  refused, misdirected  unknown
//	unsafe                yes     yes, within attempts  no
//	stream, not resumable yes     yes, within attempts  no
//	safe, resumable       yes     yes, within attempts  yes, within attempts
//
// Content that crashed several upstreams in a row is sent again only if it did not run, and
// quarantined content not at all. A stopping process sends nothing that it would cut.
func (q *request) mayRetry(kind exchange.Kind) bool {
	if kind == exchange.Answered || len(q.tried) >= maxUpstreams || !q.endsInDrain() {
		return false
	}
	if verdict := q.verdict(); verdict == quarantine.Quarantined || verdict == quarantine.SingleAttempt && kind == exchange.Unknown {
		return false
	}
	if kind == exchange.Unsent {
		return true
	}
	if q.sent >= q.route.MaxAttempts {
		return false
	}
	if kind == exchange.Unknown && !q.repeatable() {
		return false
	}
	return q.RetryBudget.Allow(q.service.Name)
}

// repeatable reports whether the request may run more than once.
func (q *request) repeatable() bool {
	return q.route.Mode == provider.ModeSafe || q.route.Mode == provider.ModeStream && q.route.Resumable
}

func (q *request) accountName() string {
	if q.account == nil {
		return ""
	}
	return q.account.Name
}

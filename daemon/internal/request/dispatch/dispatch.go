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
	"net/netip"
	"strconv"
	"strings"
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
	AdmitContent, CheckContent func([]content.Digest) quarantine.Verdict
	OnServed                   func([]content.Digest)
	// Drain decides what still begins while the process is stopping. Nil means that it never stops.
	Drain *drain.Drain
	// Report is called once for each request that ended.
	Report func(*Trace)
}

// AnnouncementReport is what a response states about its upstream.
type AnnouncementReport struct {
	Request  string
	Upstream *provider.Upstream
	// Sent is when the request was sent.
	Sent time.Time
	exchange.Announcement
}

// Trace records one request for logs and metrics.
type Trace struct {
	ID, Route, Service, Account string
	// Content identifies what was requested; a retry by the caller has the same content.
	Content content.Digest
	// Parts identify the parts of the prompt that other requests may share.
	Parts   []content.Digest
	Started time.Time
	// FirstByte is when the head of an upstream's response was forwarded, zero if none was.
	FirstByte time.Time
	Status    int
	Outcome   Outcome
	Cause     string
	Attempts  []Attempt
	// Retried reports whether the request is probably a retry after a refusal.
	Retried bool
	// RemainingTime is the remaining time that the caller declared, 0 if it declared none.
	RemainingTime time.Duration
	// RetryAfter is the backoff that was sent to the caller, 0 if none was.
	RetryAfter time.Duration
	// RetryRule is the rule that determined RetryAfter, and Readiness what that rule was based on,
	// nil unless RetryRule is RetryRuleReadiness.
	RetryRule RetryRule
	Readiness *Readiness
	// PlaceRequests lists the requests for a place at an engine.
	PlaceRequests []PlaceRequest
	// Configuration is the revision by which the request was decided, and Stale reports
	// whether it may have been out of date.
	Configuration provider.Revision
	Stale         bool
	// Drain is set if the process was stopping when the request arrived.
	Drain *DrainState
	// RemainingRetries is what remained of this process's retry budget for the service.
	RemainingRetries float64
}

// DrainState is what decided whether a request begins at a stopping process.
type DrainState struct {
	// Remaining is the time until the process ends its work, and Expected how long the request was
	// expected to take.
	Remaining, Expected time.Duration
}

// Attempt is one send of a request to an upstream.
type Attempt struct {
	Upstream string         `json:"upstream"`
	Address  netip.AddrPort `json:"address"`
	// Offset is the time from the start of the request to this send.
	Offset   time.Duration `json:"at"`
	Duration time.Duration `json:"took"`
	Result   string        `json:"fate"`
	Cause    string        `json:"cause,omitempty"`
	// Interrupt is why a send has no complete response, and Loading reports whether the
	// upstream was loading a version then.
	Interrupt InterruptReason `json:"brokenBy,omitempty"`
	Loading   bool            `json:"loading,omitempty"`
	// AfterClose is the state of the upstream after a response with neither a length nor chunks
	// ended with its connection, and empty for other responses.
	AfterClose livenessprobe.State `json:"afterClose,omitempty"`
	Version    int                 `json:"version,omitempty"`
	// Record is the revision of the upstream's record by which it was chosen, without its era, and
	// Kept how long the record had been removed.
	Record     uint64        `json:"record"`
	Kept       time.Duration `json:"kept,omitempty"`
	InFlight   int           `json:"inFlight"`
	Candidates int           `json:"candidates"`
	// Waiting, Excess and Running are the load, over all routers, by which the upstream was
	// chosen. Excess is the number of requests that must finish first. ReportAge is the age of
	// the load report.
	Waiting   int           `json:"waiting"`
	Excess    int           `json:"beyond"`
	Running   int           `json:"running"`
	ReportAge time.Duration `json:"age"`
	// Expected is the expected load by which the upstream was chosen, in waiting requests, nil if
	// it was chosen by its last report. OtherHall is set if it is in another data hall.
	Expected  *float64 `json:"expected,omitempty"`
	OtherHall bool     `json:"otherHall,omitempty"`
	// Path is the admission path to the upstream, and Limit the rate limit that the
	// response stated, "" if none.
	Path  AdmissionPath `json:"door,omitempty"`
	Limit string        `json:"limit,omitempty"`
	// Leaving and RetryAfter are what else the response stated about the upstream.
	Leaving    bool          `json:"leaving,omitempty"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
}

// AdmissionPath is the path by which a request was admitted to an upstream.
type AdmissionPath string

// Admission paths.
const (
	PathLoader     AdmissionPath = "loader" // the engine's loader granted a place
	PathLoadReport AdmissionPath = "news"   // the loader did not answer, the last load report had room
	PathNoLoader   AdmissionPath = "own"    // the upstream has no loader
)

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes.
const (
	OutcomeServed       Outcome = "served"
	OutcomeFailed       Outcome = "failed"    // error response of the upstream, forwarded
	OutcomeRefused      Outcome = "refused"   // did not run
	OutcomeUnknown      Outcome = "unknown"   // may have run
	OutcomeTruncated    Outcome = "cut"       // response truncated after its head
	OutcomeDisconnected Outcome = "left"      // the caller disconnected
	OutcomeRejected     Outcome = "rejected"  // 400, 401, 404, 413
	OutcomeQuarantined  Outcome = "held"      // did not run: its content is quarantined
	OutcomeTimedOut     Outcome = "timed-out" // the deadline of the caller or the route expired
	OutcomePanicked     Outcome = "panicked"  // internal error: the connection was closed
)

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
	q := &request{Dispatcher: d, Request: r, writer: w, view: d.View()}
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
	if declared, ok := q.View().Targets[query.Model]; ok {
		policy := q.VersionPolicy(&declared, 0)
		query.MinVersion, query.PreferredVersion, query.AvoidWeight = policy.MinVersion, policy.PreferredVersion, policy.AvoidWeight
	}
	return query
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

func (q *request) recordAttempt(choice balance.Choice, result exchange.Result, started time.Time) {
	attempt := Attempt{
		Upstream: choice.Upstream.ID, Address: choice.Upstream.Address, Offset: started.Sub(q.trace.Started), Duration: clock.Since(started), Result: result.Kind.String(),
		Version: choice.Version, Record: choice.Upstream.Revision.Number(), InFlight: choice.InFlight, Candidates: choice.Candidates,
		Waiting: choice.Waiting, Excess: choice.Excess, Running: choice.Running, ReportAge: choice.ReportAge,
		Expected: choice.Expected, OtherHall: choice.OtherHall,
		Path: q.paths[choice.Upstream.ID], Limit: result.Announcement.Limit.String(),
		Leaving: result.Announcement.Leaving, RetryAfter: result.Announcement.RetryAfter,
	}
	if kept := choice.Upstream.KeptSince; !kept.IsZero() {
		attempt.Kept = started.Sub(kept)
	}
	if result.Err != nil {
		q.recordInterrupt(&attempt, result.Err)
		q.reportDisconnect(choice, attempt, result.Err)
	}
	if result.Kind == exchange.Answered {
		q.answeredAttempt = len(q.trace.Attempts)
	}
	q.trace.Attempts = append(q.trace.Attempts, attempt)
}

// queuePriority returns the request's class in an upstream's queue, 0 first. More urgent
// ranks go first, and within a rank the requests that are likely to finish soon, so that
// most requests start early. The queue itself ages its requests, so none starves.
func (q *request) queuePriority() int {
	if q.service.Engine == nil || q.service.Engine.PromptRate <= 0 {
		return -1
	}
	promptTokens := q.promptTokens()
	if promptTokens == 0 {
		return -1
	}
	estimate := promptTokens/q.service.Engine.PromptRate + q.answerTokens()*hintWeight.Seconds()
	size := min(int(estimate/priorityStep.Seconds()), priorityClasses-1)
	if q.caller.Ranks > 0 {
		return spreadClass(q.rank, q.ranks, size)
	}
	return priorityClass(q.rank, q.ranks, size)
}

// promptTokens returns the length of the prompt that the caller states, 0 if it states none.
func (q *request) promptTokens() float64 {
	prompt, _, _ := strings.Cut(q.Header.Get(q.Headers.Tokens), ",")
	count, err := strconv.ParseFloat(prompt, 64)
	if err != nil || !(count > 0 && count <= maxHintTokens) {
		return 0
	}
	return count
}

// answerTokens returns the number of answer tokens that the caller expects, or the mean if it
// states none.
func (q *request) answerTokens() float64 {
	hint, err := strconv.ParseFloat(q.Header.Get(q.Headers.LengthHint), 64)
	if err != nil || !(hint > 0 && hint <= maxHintTokens) {
		return q.meanAnswerTokens()
	}
	return hint
}

func (q *request) meanAnswerTokens() float64 {
	return helpers.OrDefault(q.service.Engine.MeanAnswerTokens, defaultAnswerTokens)
}

// priorityClass divides the classes among the ranks, and those of a rank by size.
func priorityClass(rank, ranks, size int) int {
	ranks = min(ranks, priorityClasses)
	rank = min(rank, ranks-1)
	perRank := priorityClasses / ranks
	return rank*perRank + size*perRank/priorityClasses
}

// spreadClass is priorityClass for services with many ranks: it uses all classes, so that most of six
// ranks keep an order by size.
func spreadClass(rank, ranks, size int) int {
	ranks = min(ranks, priorityClasses)
	rank = min(rank, ranks-1)
	first := rank * priorityClasses / ranks
	width := (rank+1)*priorityClasses/ranks - first
	return first + size*width/priorityClasses
}

const (
	// priorityClasses is the number of classes in an upstream's queue.
	priorityClasses = 10
	// defaultAnswerTokens is the assumed mean length of answers if the configuration declares none.
	defaultAnswerTokens = 92.0
	// maxHintTokens bounds the lengths of prompt and answer that a caller may state.
	maxHintTokens = 1e6
	// hintWeight is the time by which each expected answer token raises the estimate. It is less
	// than the token takes, because the stated lengths are often far off.
	hintWeight = 2 * time.Millisecond
	// priorityStep is the estimated time that one priority class spans.
	priorityStep = 60 * time.Millisecond
)

// Package dispatch takes callers' requests and sees each to its one answer.
//
// A request is admitted (admit.go), sent to an upstream and, where its mode and
// what is known of the send allow it, to another (dispatch.go), and answered,
// as a whole (answer.go) or as a stream that may go on at another upstream
// (stream.go). What may be sent again is decided in one place, mayRepeat.
//
// Waiting in a queue of our own was rejected: the upstreams' queues already
// order by priority, see every process's requests, and refuse with a promise.
package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/exchange"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Dispatcher answers requests. All fields must be set.
type Dispatcher struct {
	Headers provider.Headers
	Client  *exchange.Client
	Pool    *balance.Pool
	Budget  *Budget
	// View returns what is in force, Stale whether it may be out of date.
	View  func() *mirror.View
	Stale func() bool
	// VersionGrace is the time after a version was declared in which older ones
	// may still get requests.
	VersionGrace func() time.Duration
	// Report is told once of each request that ended.
	Report func(*Story)
}

// Story is what happened to one request, for logs and metrics.
type Story struct {
	ID, Route, Service, Account string
	Started                     time.Time
	// FirstByte is when the answer's head went out; zero if none did.
	FirstByte time.Time
	Status    int
	Outcome   Ending
	Cause     string
	Tries     []Try
	// Configuration is the revision that the request was decided by.
	Configuration provider.Revision
	Stale         bool
}

// Try is one send.
type Try struct {
	Upstream   string        `json:"upstream"`
	At         time.Duration `json:"at"`
	Took       time.Duration `json:"took"`
	Fate       string        `json:"fate"`
	Cause      string        `json:"cause,omitempty"`
	Version    int           `json:"version,omitempty"`
	InFlight   int           `json:"inFlight"`
	Candidates int           `json:"candidates"`
}

// Ending is how a request ended for its caller.
type Ending string

// The endings.
const (
	EndServed   Ending = "served"
	EndFailed   Ending = "failed"    // the upstream's own failure, passed on
	EndRefused  Ending = "refused"   // not run
	EndUnknown  Ending = "unknown"   // may have run
	EndCut      Ending = "cut"       // broken off after the head
	EndLeft     Ending = "left"      // the caller left
	EndRejected Ending = "rejected"  // 400, 401, 404, 413
	EndTimedOut Ending = "timed-out" // held as long as the route allows
)

// request is one caller's request on its way.
type request struct {
	*Dispatcher
	*http.Request
	writer  http.ResponseWriter
	view    *mirror.View
	route   *provider.Route
	service *provider.Service
	account *provider.Account
	body    []byte
	// deadline is when the caller or the route gives up, whichever is first.
	deadline time.Time
	priority int
	// sent is the number of upstreams that have been given the request.
	sent  int
	tried []string
	story *Story
}

// ServeHTTP answers one request.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{Dispatcher: d, Request: r, writer: w, view: d.View()}
	q.story = &Story{ID: r.Header.Get(d.Headers.RequestID), Started: time.Now(), Configuration: q.view.ConfigurationRevision}
	defer d.Report(q.story)
	if !q.admit() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	d.Budget.Request(q.service.Name)
	q.run(ctx)
}

// run sends the request until it has an answer.
func (q *request) run(ctx context.Context) {
	for {
		choice, result, ok := q.try(ctx, "")
		if !ok {
			q.refuse("no upstream is fit")
			return
		}
		if result.Fate == exchange.Answered {
			if q.answer(ctx, choice, result.Response) {
				return
			}
			continue
		}
		if q.Context().Err() != nil {
			q.end(EndLeft, 0, "the caller left")
			return
		}
		if ctx.Err() != nil {
			q.timeOut(result)
			return
		}
		if !q.mayRepeat(result.Fate) {
			q.giveUp(result)
			return
		}
	}
}

// try chooses an upstream and sends the request there. It reports false where
// there is none. lastEvent is the event after which a stream goes on.
func (q *request) try(ctx context.Context, lastEvent string) (balance.Choice, exchange.Result, bool) {
	query, expected := q.query()
	choice, ok := q.Pool.Choose(q.view.Upstreams[q.service.Name], query)
	if !ok {
		return choice, exchange.Result{}, false
	}
	started := time.Now()
	result := q.Client.Do(ctx, exchange.Send{
		Incoming: q.Request, Body: q.body, Upstream: choice.Upstream, Account: q.accountName(),
		Left: time.Until(q.deadline), Priority: q.priority, Version: expected, LastEvent: lastEvent,
		Fresh: q.route.Mode == provider.ModeUnsafe || q.route.Mode == provider.ModeStream && !q.route.Resumable,
	})
	q.tried = append(q.tried, choice.Upstream.ID)
	if result.Fate != exchange.Unsent {
		q.sent++
	}
	q.noteTry(choice, result, started)
	if result.Fate != exchange.Answered {
		choice.Done(q.outcomeOf(result.Fate))
	}
	return choice, result, true
}

// query says what the upstream must hold. Once the grace of a declared version
// is over only that version will do, and the upstream is told so.
func (q *request) query() (query balance.Query, expected int) {
	query = balance.Query{Tried: q.tried}
	if q.service.Engine == nil {
		return query, 0
	}
	query.Model = q.service.Engine.Model
	declared, ok := q.view.Targets[query.Model]
	if ok && time.Since(declared.Learned) > q.VersionGrace() {
		query.Version, expected = declared.Version, declared.Version
	}
	return query, expected
}

func (q *request) outcomeOf(fate exchange.Fate) balance.Outcome {
	switch {
	case q.Context().Err() != nil:
		return balance.Abandoned
	case fate == exchange.Unsent:
		return balance.Unreachable
	case fate == exchange.Refused:
		return balance.Full
	case fate == exchange.Misdirected:
		return balance.Moved
	default:
		return balance.Failed
	}
}

// mayRepeat decides whether the request may go to another upstream after a send
// with this fate, and takes that from the budget.
//
//	mode                  unsent  refused, misdirected  unknown
//	unsafe                yes     yes, within attempts  no
//	stream, not resumable yes     yes, within attempts  no
//	safe, resumable       yes     yes, within attempts  yes, within attempts
func (q *request) mayRepeat(fate exchange.Fate) bool {
	const maxTried = 4 // connections that fail are no sends, but take time
	if fate == exchange.Answered || len(q.tried) >= maxTried {
		return false
	}
	if fate == exchange.Unsent {
		return true
	}
	if q.sent >= q.route.MaxAttempts {
		return false
	}
	if fate == exchange.Unknown && !q.repeatable() {
		return false
	}
	return q.Budget.Take(q.service.Name)
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

func (q *request) noteTry(choice balance.Choice, result exchange.Result, started time.Time) {
	try := Try{
		Upstream: choice.Upstream.ID, At: started.Sub(q.story.Started), Took: time.Since(started), Fate: result.Fate.String(),
		Version: choice.Version, InFlight: choice.InFlight, Candidates: choice.Candidates,
	}
	if result.Err != nil {
		try.Cause = result.Err.Error()
	}
	q.story.Tries = append(q.story.Tries, try)
}

// priorityOf ranks a request in an upstream's queue, 0 first. Requests to
// engines are ranked by the time that they are likely to take, short ones
// first: it lets most requests begin early, and the queue itself ages.
func (q *request) priorityOf() int {
	const lowest = 9
	if q.service.Engine == nil || q.service.Engine.PromptRate <= 0 {
		return -1
	}
	prompt, _, _ := strings.Cut(q.Header.Get(q.Headers.Tokens), ",")
	promptTokens, err := strconv.ParseFloat(prompt, 64)
	if err != nil {
		return -1
	}
	hint, err := strconv.ParseFloat(q.Header.Get(q.Headers.LengthHint), 64)
	if err != nil {
		hint = usualLength
	}
	estimate := promptTokens/q.service.Engine.PromptRate + hint*hintWeight.Seconds()
	return min(int(estimate/priorityStep.Seconds()), lowest)
}

const (
	// usualLength stands for a missing hint, in tokens.
	usualLength = 92.0
	// hintWeight is what one hinted token counts beside the time of reading the
	// prompt: less than it takes, because hints are often far off.
	hintWeight = 2 * time.Millisecond
	// priorityStep is the estimate that one priority class spans.
	priorityStep = 60 * time.Millisecond
)

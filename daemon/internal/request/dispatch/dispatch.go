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
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/exchange"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/holding"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Dispatcher answers requests. All fields must be set.
type Dispatcher struct {
	Headers provider.Headers
	Client  *exchange.Client
	Pool    *balance.Pool
	Budget  *Budget
	Pace    *Pace
	// Callers tells which requests come back after a refusal.
	Callers *admission.RetryDetector
	// View returns what is in force, Stale whether it may be out of date.
	View  func() *mirror.View
	Stale func() bool
	// Holding bounds the bytes that are held for callers and upstreams that are slow.
	Holding holding.Budget
	// Region returns the region of a data hall, "" where it is not known. It may be nil.
	Region func(hall string) string
	// Demand says on which versions of a model requests may run.
	Demand func(declared *mirror.Declared) mirror.Demand
	// AskPlace asks the loader beside an engine for a place there. An error says
	// that it did not answer. Nil means that there are no loaders.
	AskPlace func(ctx context.Context, engine *provider.Upstream, limit places.Limit) (places.Load, bool, error)
	// Heard is told what each answer says of its upstream's limit.
	Heard func(Heard)
	// Allow reports whether a request may go to an upstream now that no loader has given a
	// place at, by this router's share of the upstream's limit, and counts it. Else it returns
	// after what time to ask again. Both may be nil.
	Allow func(upstream *provider.Upstream, door Door) (time.Duration, bool)
	// Broke is told of each send whose connection broke, before the request is sent again.
	// It may be nil.
	Broke func(Break)
	// Admit says what may be done with a content under which upstreams ended, as a request
	// comes, and Judge the same of one that was let in. Whole is told of each content that
	// was answered whole. All may be nil.
	Admit, Judge func(content.Digest) quarantine.Verdict
	Whole        func(content.Digest)
	// Over is closed shortly before a process that stops cuts its callers. Nil means never.
	Over <-chan struct{}
	// Report is told once of each request that ended.
	Report func(*Story)
}

// Heard is what an answer says of its upstream's limit.
type Heard struct {
	Request  string
	Upstream *provider.Upstream
	// Sent is when the request went out.
	Sent time.Time
	Said ratelimit.ResponseLimit
}

// Story is what happened to one request, for logs and metrics.
type Story struct {
	ID, Route, Service, Account string
	// Content names what was asked for; it is the same each time the caller comes back.
	Content content.Digest
	Started time.Time
	// FirstByte is when the answer's head went out; zero if none did.
	FirstByte time.Time
	Status    int
	Outcome   Ending
	Cause     string
	Tries     []Try
	// Returned says that the caller was likely refused before.
	Returned bool
	// Left is the time that the caller said it had left, 0 where it did not.
	Left time.Duration
	// RetryAfter is when the caller was told to come back, 0 where it was not.
	RetryAfter time.Duration
	// Asked are the questions for a place at an engine.
	Asked []Asked
	// Configuration is the revision that the request was decided by, and Stale
	// says that it may have been out of date.
	Configuration provider.Revision
	Stale         bool
	// BudgetLeft is how many second sends this process had left for the service.
	BudgetLeft float64
}

// Try is one send.
type Try struct {
	Upstream string         `json:"upstream"`
	Address  netip.AddrPort `json:"address"`
	At       time.Duration  `json:"at"`
	Took     time.Duration  `json:"took"`
	Fate     string         `json:"fate"`
	Cause    string         `json:"cause,omitempty"`
	// BrokenBy says who ended a send without a whole answer, and Loading that the
	// upstream was known to take a version then.
	BrokenBy   Breaker `json:"brokenBy,omitempty"`
	Loading    bool    `json:"loading,omitempty"`
	Version    int     `json:"version,omitempty"`
	InFlight   int     `json:"inFlight"`
	Candidates int     `json:"candidates"`
	// Waiting, Beyond and Running are the load that the upstream was chosen by,
	// of all routers, and Age how old that was.
	Waiting int           `json:"waiting"`
	Beyond  int           `json:"beyond"`
	Running int           `json:"running"`
	Age     time.Duration `json:"age"`
	// Door says what let the request through to the upstream, and Limit what the answer
	// said of the upstream's limit, nothing where it named none.
	Door  Door   `json:"door,omitempty"`
	Limit string `json:"limit,omitempty"`
}

// Door is what lets a request through to an upstream.
type Door string

// The doors.
const (
	DoorLoader Door = "loader" // the loader beside the engine gave a place
	DoorNews   Door = "news"   // it did not answer, and what it told last allowed it
	DoorOwn    Door = "own"    // there is none to ask
)

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
	EndHeld     Ending = "held"      // not run: too many upstreams ended under its content
	EndTimedOut Ending = "timed-out" // held as long as the route allows
	EndPanicked Ending = "panicked"  // a fault of ours: the connection ended
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
	// reading is what read the body, nil before that.
	reading *holding.Body
	// deadline is when the caller or the route gives up, whichever is first.
	deadline time.Time
	// rank is the place of the request's priority among the ranks of its service,
	// 0 for the most urgent.
	rank, ranks int
	// priority is the class in an upstream's queue; below 0 means none.
	priority int
	// sent is the number of upstreams that have been given the request.
	sent  int
	tried []string
	// doors are what let the request through, by upstream.
	doors map[string]Door
	// answering is the try whose answer is read.
	answering int
	// failure is an upstream's own failure, kept until another upstream has answered.
	failure *wholeAnswer
	story   *Story
}

// ServeHTTP answers one request.
func (d *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{Dispatcher: d, Request: r, writer: w, view: d.View()}
	q.story = &Story{ID: r.Header.Get(d.Headers.RequestID), Started: clock.Now(), Configuration: q.view.ConfigurationRevision}
	defer q.ended()
	if !q.admit() {
		return
	}
	defer q.boundWrites()()
	ctx, cancel := context.WithTimeout(r.Context(), clock.Until(q.deadline))
	defer cancel()
	d.Budget.Request(q.service.Name)
	q.run(ctx)
	q.story.BudgetLeft = d.Budget.Left(q.service.Name)
}

// writeGrace is how long after the request's deadline its answer may still be written: it is
// delivered late too, but a caller that reads nothing any more holds memory.
const writeGrace = 10 * time.Second

// boundWrites ends the writing of the answer some time after the deadline. What it returns is
// called at the end, because the connection may be used again.
func (q *request) boundWrites() func() {
	controller := http.NewResponseController(q.writer)
	_ = controller.SetWriteDeadline(time.Now().Add(clock.Until(q.deadline) + writeGrace))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

// run sends the request until it has an answer.
func (q *request) run(ctx context.Context) {
	for {
		choice, result, err := q.try(ctx, "")
		if err != nil {
			q.refuse(whyUnplaced(err), err.Error())
			return
		}
		if result.Kind == exchange.Answered {
			if q.answer(ctx, choice, result.Response) {
				return
			}
			continue
		}
		if q.Context().Err() != nil {
			q.end(EndLeft, 0, "the caller left")
			panic(http.ErrAbortHandler) // a handler that returns sends an empty answer
		}
		if ctx.Err() != nil || q.overdue() {
			q.timeOut(result)
			return
		}
		if !q.mayRepeat(result.Kind) {
			q.giveUp(result)
			return
		}
	}
}

var (
	errNoneFit    = errors.New("no upstream is fit")
	errOverloaded = errors.New("every upstream is so loaded that the answer would be late")
	errLimited    = errors.New("every upstream that is fit has used up the limit that it named")
)

// whyUnplaced is why no upstream was chosen.
func whyUnplaced(err error) admission.Cause {
	if errors.Is(err, errNoneFit) {
		return admission.NotReady
	}
	return admission.EnginesFull
}

// overdue reports whether the request's time is over, because the process stops too. A
// context's own timer stands still while the host is suspended.
func (q *request) overdue() bool {
	select {
	case <-q.Over:
		return true
	default:
		return clock.Until(q.deadline) <= 0
	}
}

// usualPrompt stands for the prompts that wait, in tokens, where the configuration does
// not tell.
const usualPrompt = 900.0

// query says what the upstream must hold.
func (q *request) query() balance.Query {
	query := balance.Query{Tried: q.tried}
	if q.service.Engine == nil {
		return query
	}
	query.Model = q.service.Engine.Model
	query.Lasts = q.lasts()
	query.Reserve = admission.Reserve(admission.Service{Saturation: q.Pace.Share(q.service.Name)}, q.standing())
	if declared, ok := q.View().Targets[query.Model]; ok {
		demand := q.Demand(&declared)
		query.Version, query.Preferred, query.Avoid = demand.Lowest, demand.Preferred, demand.Avoid
	}
	return query
}

func (q *request) outcomeOf(fate exchange.Kind) balance.Outcome {
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
//
// Of a content under which upstreams ended one after the other only what has not run is sent
// again, and nothing of one that is held back.
func (q *request) mayRepeat(fate exchange.Kind) bool {
	if fate == exchange.Answered || len(q.tried) >= maxTried {
		return false
	}
	if verdict := q.verdict(); verdict == quarantine.Quarantined || verdict == quarantine.SingleAttempt && fate == exchange.Unknown {
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
		Upstream: choice.Upstream.ID, Address: choice.Upstream.Address, At: started.Sub(q.story.Started), Took: clock.Since(started), Fate: result.Kind.String(),
		Version: choice.Version, InFlight: choice.InFlight, Candidates: choice.Candidates,
		Waiting: choice.Waiting, Beyond: choice.Beyond, Running: choice.Running, Age: choice.Age,
		Door: q.doors[choice.Upstream.ID], Limit: result.Limit.String(),
	}
	if result.Err != nil {
		q.broken(&try, result.Err)
		q.tellBroken(choice, try, result.Err)
	}
	if result.Kind == exchange.Answered {
		q.answering = len(q.story.Tries)
	}
	q.story.Tries = append(q.story.Tries, try)
}

// priorityOf is the class of a request in an upstream's queue, 0 first. The more
// urgent go first, and among those that are as urgent, those that are likely to
// be done soon: it lets most requests begin early, and the queue itself ages.
func (q *request) priorityOf() int {
	if q.service.Engine == nil || q.service.Engine.PromptRate <= 0 {
		return -1
	}
	prompt, _, _ := strings.Cut(q.Header.Get(q.Headers.Tokens), ",")
	promptTokens, err := strconv.ParseFloat(prompt, 64)
	if err != nil {
		return -1
	}
	estimate := promptTokens/q.service.Engine.PromptRate + q.hint()*hintWeight.Seconds()
	size := min(int(estimate/priorityStep.Seconds()), classes-1)
	return classOf(q.rank, q.ranks, size)
}

// hint is the tokens that the caller expects of the answer, or those of a usual one.
func (q *request) hint() float64 {
	hint, err := strconv.ParseFloat(q.Header.Get(q.Headers.LengthHint), 64)
	if err != nil || !(hint > 0 && hint <= mostHint) {
		return q.usualAnswer()
	}
	return hint
}

func (q *request) usualAnswer() float64 {
	return helpers.OrDefault(q.service.Engine.UsualAnswer, usualLength)
}

// classOf divides the classes among the ranks, and those of a rank by size.
func classOf(rank, ranks, size int) int {
	ranks = min(ranks, classes)
	rank = min(rank, ranks-1)
	each := classes / ranks
	return rank*each + size*each/classes
}

const (
	// classes is the number of classes in an upstream's queue.
	classes = 10
	// usualLength stands for a missing hint, in tokens, where the configuration
	// does not tell.
	usualLength = 92.0
	// mostHint is the most tokens that a caller can expect.
	mostHint = 1e6
	// hintWeight is what one hinted token counts beside the time of reading the
	// prompt: less than it takes, because hints are often far off.
	hintWeight = 2 * time.Millisecond
	// priorityStep is the estimate that one priority class spans.
	priorityStep = 60 * time.Millisecond
)

package dispatch

import (
	"context"
	"fmt"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/enginetime"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/fairshare"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// maxReportAge is how old a load report may be to replace the response of a loader. Reports stay
// younger than that while a host downloads weights, and grow older if the host is cut off.
const maxReportAge = 150 * time.Millisecond

// PlaceRequest is a request for a place at an engine and its result.
type PlaceRequest struct {
	Upstream   string        `json:"upstream"`
	Granted    bool          `json:"given"`
	Running    int           `json:"running"`
	Waiting    int           `json:"waiting"`
	MaxWaiting int           `json:"most"`
	MaxInUse   int           `json:"taken"` // running and waiting
	Duration   time.Duration `json:"took"`
	// RetryAfter is when to request again if the engine's rate limit is used up.
	RetryAfter time.Duration `json:"wait,omitempty"`
	// DeniedBy is for whom a free place is kept that was denied.
	DeniedBy fairshare.Reason `json:"by,omitempty"`
	Cause    string           `json:"cause,omitempty"`
	// First, Gap and Left are the time limits of the request, 0 if none were sent, and Pace is that
	// of the engine. Late is the limit that the request would exceed there, and Estimate the
	// loader's estimate.
	First    time.Duration     `json:"first,omitempty"`
	Gap      time.Duration     `json:"gap,omitempty"`
	Left     time.Duration     `json:"left,omitempty"`
	Pace     float64           `json:"pace,omitempty"`
	Late     enginetime.Reason `json:"late,omitempty"`
	Estimate time.Duration     `json:"estimate,omitempty"`
	// Expected is the expected load by which the engine was chosen, in waiting requests, nil if
	// it was chosen by its last report. ReportAge is the age of that report.
	Expected  *float64      `json:"expected,omitempty"`
	ReportAge time.Duration `json:"age,omitempty"`
}

// choosePlace chooses an upstream and gets the request admitted there. For an engine with a
// loader it requests a place from the loader. If the loader does not answer, a recent load
// report of the engine decides; without one the engine is skipped, because its host may be
// cut off.
//
// An upstream whose rate limit is used up is skipped too, and does not count as queried. If such
// an upstream was the last one, the others are queried once more, since the last query of a
// search has the loosest limit.
func (q *request) choosePlace(ctx context.Context) (balance.Choice, error) {
	if q.tooLate() {
		return balance.Choice{}, errTooLate
	}
	query := q.upstreamQuery()
	candidates, err := q.candidates()
	if err != nil {
		return balance.Choice{}, err
	}
	search := admission.Search{Request: q.admissionRequest()}
	limited, requeried := false, false
	for !search.Done() {
		choice, ok := q.Pool.Choose(candidates, query)
		if !ok && limited && !requeried {
			requeried, query.Exclude = true, q.tried
			continue
		}
		if !ok {
			break
		}
		choice, admitted, err := q.tryUpstream(ctx, choice, &search, query.Duration)
		if admitted || err != nil {
			return choice, err
		}
		limited = limited || q.Pool.Throttled(choice.Upstream.ID)
		query.Exclude = append(query.Exclude[:len(query.Exclude):len(query.Exclude)], choice.Upstream.ID)
	}
	denied, unresponsive := search.Counts()
	if denied == 0 && search.LimitsExhausted() {
		return balance.Choice{}, q.unplacedError(candidates)
	}
	if denied == 0 {
		return q.placeByReports()
	}
	if search.OnlyLate() {
		return balance.Choice{}, fmt.Errorf("%w: %d engines cannot serve the request in time, %d more did not answer", errOverloaded, denied, unresponsive)
	}
	q.LoadTracker.RecordFull(q.service.Name, search.AllFull())
	return balance.Choice{}, fmt.Errorf("%w: %d engines have no place, %d more did not answer", errOverloaded, denied, unresponsive)
}

// tryUpstream tries to get the request admitted to a chosen upstream, and reports whether it
// was. If it was not and there is no error, another upstream must be chosen.
func (q *request) tryUpstream(ctx context.Context, choice balance.Choice, search *admission.Search, holdTime time.Duration) (balance.Choice, bool, error) {
	if !q.hasLoader(choice) {
		return q.admitUnqueried(choice, PathNoLoader)
	}
	search.Service = q.serviceState(choice, q.view.Objective(q.service.Name))
	only := choice.Candidates == 1
	limit := search.Limit(only)
	if limit != admission.Unlimited {
		limit.Duration = holdTime
	}
	load, granted, err := q.queryLoader(ctx, choice, q.placeRequest(limit, search, only))
	switch {
	case granted && (!q.eligible(choice.Upstream) || q.outdated(choice)), load.Leaving:
	case granted:
		q.LoadTracker.RecordFull(q.service.Name, load.Running+load.Waiting >= choice.Upstream.Places)
		q.recordPath(choice, PathLoader)
		return choice.WithLoad(load.Running, load.Waiting), true, nil
	case err != nil && choice.HasReport && choice.ReportAge < maxReportAge && q.eligible(choice.Upstream) && !q.outdatedUnanswered(choice):
		return q.admitUnqueried(choice, PathLoadReport)
	case err != nil:
		search.AddUnresponsive()
	case load.RetryAfter > 0:
		search.AddLimited()
		q.Pool.Throttle(choice.Upstream.ID, load.RetryAfter)
	default:
		search.AddDenied(load)
	}
	choice.Done(balance.Canceled)
	return choice, false, nil
}

// placeByReports chooses an upstream by load reports, because no loader answered.
func (q *request) placeByReports() (balance.Choice, error) {
	candidates, err := q.candidates()
	if err != nil {
		return balance.Choice{}, err
	}
	query := q.upstreamQuery()
	query.MinVersion = max(query.MinVersion, q.versionPolicy().MinVersionUnanswered)
	for {
		choice, ok := q.Pool.Choose(candidates, query)
		if !ok {
			return choice, q.unplacedError(candidates)
		}
		choice, admitted, err := q.admitUnqueried(choice, PathLoadReport)
		if admitted || err != nil {
			return choice, err
		}
		query.Exclude = append(query.Exclude[:len(query.Exclude):len(query.Exclude)], choice.Upstream.ID)
	}
}

// unplacedError returns why no upstream can be chosen.
func (q *request) unplacedError(candidates []*provider.Upstream) error {
	if remaining, all := q.Pool.PausedFor(candidates); all {
		return &pausedError{remaining}
	}
	if wait, throttled := q.Pool.ThrottledFor(candidates); throttled {
		return fmt.Errorf("%w, next retry in %s", errLimitsUsedUp, wait.Round(time.Millisecond))
	}
	return errNoUpstream
}

// pausedError reports that all upstreams of the service asked for a pause.
type pausedError struct {
	// remaining is the time until the first of these pauses ends.
	remaining time.Duration
}

func (e *pausedError) Error() string {
	return fmt.Sprintf("all available upstreams asked for a pause, the first for another %s", e.remaining.Round(time.Millisecond))
}

// hasLoader reports whether the upstream has a loader to request a place from. That holds
// also for engines without load reports, which may be full.
func (q *request) hasLoader(choice balance.Choice) bool {
	return q.RequestPlace != nil && q.service.Engine != nil && choice.Upstream.Places > 0
}

// admitUnqueried admits the request to an upstream that was chosen by load reports, unless
// its response would be late there. A caller that is refused at once can retry, whereas a late
// request would delay others. If the upstream's rate limit leaves no room, another upstream
// must be chosen.
func (q *request) admitUnqueried(choice balance.Choice, path AdmissionPath) (balance.Choice, bool, error) {
	if q.overloaded(choice) {
		choice.Done(balance.Canceled)
		return choice, false, fmt.Errorf("%w: the best, %s, has %d waiting and %d that must finish first", errOverloaded, choice.Upstream.ID, choice.Waiting, choice.Excess)
	}
	if wait, ok := q.limitAllows(choice, path); !ok {
		q.Pool.Throttle(choice.Upstream.ID, wait)
		choice.Done(balance.Canceled)
		return choice, false, nil
	}
	q.recordPath(choice, path)
	return choice, true, nil
}

// limitAllows reports whether this router's share of an upstream's rate limit admits the request,
// and counts it. If it does not, it returns how long to wait.
func (q *request) limitAllows(choice balance.Choice, path AdmissionPath) (time.Duration, bool) {
	if q.AllowSend == nil {
		return 0, true
	}
	return q.AllowSend(choice.Upstream, path)
}

// recordPath records the admission path to an upstream.
func (q *request) recordPath(choice balance.Choice, path AdmissionPath) {
	if q.paths == nil {
		q.paths = map[string]AdmissionPath{}
	}
	q.paths[choice.Upstream.ID] = path
}

func (q *request) overloaded(choice balance.Choice) bool {
	if q.service.Engine == nil || choice.Upstream.Places == 0 {
		return false
	}
	state := q.serviceState(choice, q.route.Objective)
	state.Saturation = q.LoadTracker.RecordFull(q.service.Name, choice.Running+choice.Waiting+1 > choice.Upstream.Places)
	request := q.admissionRequest()
	request.Divided = false // no loader decides
	return admission.Overloaded(state, request, places.EngineLoad{Running: choice.Running, Waiting: choice.Waiting})
}

// queryLoader requests a place and records the result.
func (q *request) queryLoader(ctx context.Context, choice balance.Choice, request places.Request) (places.EngineLoad, bool, error) {
	started := clock.Now()
	load, granted, err := q.RequestPlace(ctx, choice.Upstream, request)
	result := PlaceRequest{
		Upstream: choice.Upstream.ID, Granted: granted, Running: load.Running, Waiting: load.Waiting,
		MaxWaiting: request.Waiting, MaxInUse: request.InUse, Duration: clock.Since(started), RetryAfter: load.RetryAfter,
		First: request.Times.First, Gap: request.Times.Gap, Left: request.Times.Left, Pace: enginetime.ReportedPace(load.Pace),
		Late: load.Late.Reason, Estimate: load.Late.Estimate, DeniedBy: load.DeniedBy,
		Expected: choice.Expected, ReportAge: choice.ReportAge,
	}
	if err != nil {
		result.Cause = err.Error()
	} else {
		q.Pool.ReportLoad(choice.Upstream.ID, balance.LoadReport{Running: load.Running, Waiting: load.Waiting, Loading: load.Loading, Leaving: load.Leaving, Pace: load.Pace})
		choice.RecordPlace(granted)
	}
	q.trace.PlaceRequests = append(q.trace.PlaceRequests, result)
	return load, granted, err
}

// placeRequest returns the next request of a search for a place within a limit. Only means that no
// other engine remains.
func (q *request) placeRequest(limit places.Limit, search *admission.Search, only bool) places.Request {
	request := places.Request{
		Limit: limit, Caller: q.caller, Times: search.Times(q.timeLimits(), only),
		Size: places.Size{PromptTokens: int(q.promptTokens()), AnswerTokens: int(q.answerTokens())},
	}
	if request.Caller.Ranks > 0 || request.Times != (enginetime.Limits{}) {
		request.Caller.Retry = q.trace.Retried && q.sent == 0
	}
	if request.Caller.Ranks > 0 {
		request.Caller.Denied = search.Answered() + q.sent
		request.Caller.Last = search.Last(only)
	}
	return request
}

// setRank sets the rank of the request.
func (q *request) setRank() {
	q.rank, q.ranks = q.view.Rank(q.service.Name, q.route, q.account)
	if q.view.Divided(q.service.Name) {
		q.caller = places.Caller{Account: q.accountName(), Rank: q.rank, Ranks: q.ranks}
		q.rank, q.ranks = q.LoadTracker.RecentRank(q.service.Name, q.rank, q.ranks)
	}
}

// serviceState returns the state of the service's engines for an admission decision with the
// given objective.
func (q *request) serviceState(choice balance.Choice, objective time.Duration) admission.Service {
	return admission.Service{
		Places: choice.Upstream.Places, ReadTime: q.readTime(), PlaceInterval: q.placeInterval(choice),
		Objective: objective, Saturation: q.LoadTracker.Saturation(q.service.Name),
	}
}

// admissionRequest returns the properties of the request for an admission decision.
func (q *request) admissionRequest() admission.Request {
	return admission.Request{Rank: q.rank, Divided: q.caller.Ranks > 0, Retry: q.trace.Retried, Sent: q.sent > 0}
}

// expectedHoldTime returns how long the request is likely to hold a place.
func (q *request) expectedHoldTime() time.Duration {
	state := admission.Service{ReadTime: q.readTime()}
	return admission.HoldTime(state, q.LoadTracker.HoldTime(q.service.Name), q.answerTokens(), q.meanAnswerTokens())
}

// readTime returns how long an engine takes to read a prompt of mean length, 0 if unknown.
func (q *request) readTime() time.Duration {
	rate := q.service.Engine.PromptRate
	if rate <= 0 {
		return 0
	}
	return time.Duration(q.meanPromptTokens() / rate * float64(time.Second))
}

func (q *request) meanPromptTokens() float64 {
	return helpers.OrDefault(q.service.Engine.MeanPromptTokens, defaultPromptTokens)
}

// placeInterval returns how often a full engine frees a place.
func (q *request) placeInterval(choice balance.Choice) time.Duration {
	return q.LoadTracker.HoldTime(q.service.Name) / time.Duration(choice.Upstream.Places)
}

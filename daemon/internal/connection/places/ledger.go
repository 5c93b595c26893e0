// Package places reserves the places of an engine for requests. A place is an execution slot:
// an engine runs as many requests at a time as it has places.
//
// Many routers send to an engine, and each receives its load with a delay. By load reports
// alone they would all choose the same free place, and their requests would queue there while
// other engines are idle. So a router requests a place before it sends, and the loader on the
// engine's host decides by the engine's own load and the reservations granted since.
//
// A reservation needs no release: it counts only until the load report reflects it, whether the
// request arrives or not. A queue in the loader was rejected, because the engine's queue orders by
// priority and includes requests that were sent without a reservation.
package places

import (
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/enginetime"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/fairshare"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// reportDelay is how long after a reservation the engine's load reflects the request. It covers
// the response, the request and a connection between data halls.
const reportDelay = 25 * time.Millisecond

// EngineLoad is the load of an engine.
type EngineLoad struct {
	// Running is the number of requests that run, Waiting the number queued.
	Running, Waiting int
	// Loading reports that the engine admits no requests, because it loads a version, is about
	// to, or has none loaded.
	Loading bool
	// Leaving reports that the engine is about to end and must get no new requests.
	Leaving bool
	// RetryAfter is the time after which to retry if the engine's rate limit is used up, else 0.
	RetryAfter time.Duration
	// Pace is the factor by which the engine is slower than its declared rates; 0 means 1.
	Pace float64
	// Late is why the engine cannot serve the request in time; empty if that was not the reason of
	// a denial.
	Late enginetime.Denial
	// DeniedBy is why a request that fits was denied a place, because it is kept for others.
	DeniedBy fairshare.Reason
}

// Limit is the highest load of an engine at which a request is admitted.
type Limit struct {
	// Waiting is the highest number of queued requests.
	Waiting int
	// InUse is the highest number of queued and running requests.
	InUse int
	// Duration is the expected duration of the request. 0 admits the request even if the engine
	// closes soon.
	Duration time.Duration
}

// Request is a router's request for a place.
type Request struct {
	Limit
	// Engine identifies the engine and its start, and RateLimit is its rate limit as known to
	// the router; nil if there is none.
	Engine    ratelimit.Upstream
	RateLimit *ratelimit.Report
	// Warmup is the warm-up state of the engine as known to the router; nil if it is warm.
	Warmup *ratelimit.Warmup
	// Caller describes whom the request is for, and Size what it asks of the engine.
	Caller Caller
	Size   Size
	// Times are the times within which the request must be served. They are set only for services
	// with a slow engine or with routes of different priorities.
	Times enginetime.Limits
}

// Caller describes whom a request is for.
type Caller struct {
	// Account is the name of the client account, "" if none.
	Account string
	// Rank is the rank of the request among the priorities of its service, 0 for the most urgent,
	// and Ranks their number; 0 if unknown.
	Rank, Ranks int
	// Retry means that the caller retries after a refusal.
	Retry bool
	// Denied is the number of engines that this search queried before, so that a loader counts
	// each request once, and Last means that the search queries no further engine.
	Denied int
	Last   bool
}

// Size is the amount of work that a request asks of an engine; 0 means unknown.
type Size struct {
	// PromptTokens is the length of the prompt, AnswerTokens the expected length of the answer.
	PromptTokens, AnswerTokens int
}

// Ledger counts the places of one engine. The zero value grants no place until a load was
// observed.
type Ledger struct {
	// Now is the clock; nil means clock.Now.
	Now func() time.Time
	// OnRateLimitChange is called when the engine's rate limit changes. It may be nil.
	OnRateLimitChange func(engine ratelimit.Upstream, change ratelimit.Change)

	mu       sync.Mutex
	load     EngineLoad
	observed bool
	// closesAt is when the engine closes to requests in order to load a version, zero if it does
	// not close soon.
	closesAt time.Time
	// pending holds the times of the reservations that the load does not reflect yet, oldest
	// first.
	pending []time.Time
	// rateLimits holds the rate limit of each start of the engine.
	rateLimits ratelimit.Table
	// warmup limits the rate of requests while the engine is cold.
	warmup ratelimit.WarmupTable
	// engine holds the declared rates of the engine, and grants the sizes of the requests that were
	// granted recently.
	engine provider.EngineSpec
	grants grants
	// shares divides the places among ranks and accounts while they are scarce.
	shares fairshare.Divider
}

// Observe sets the current load of the engine. Ok is false if the engine did not respond. Negative
// numbers of requests count as none.
func (l *Ledger) Observe(load EngineLoad, ok bool) {
	load.Running, load.Waiting = max(0, load.Running), max(0, load.Waiting)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load, l.observed = load, ok
	l.prune()
}

// CloseAt sets when the engine closes to requests in order to load a version, zero if it does not
// close soon. Requests that are expected to run at that time get no place.
func (l *Ledger) CloseAt(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closesAt = at
}

// runsWhenClosed reports whether a request is expected to run when the engine closes. The caller
// holds mu.
func (l *Ledger) runsWhenClosed(limit Limit) bool {
	return !l.closesAt.IsZero() && limit.Duration > 0 && helpers.Now(l.Now).Add(limit.Duration).After(l.closesAt)
}

// prune drops the reservations that the load reflects. The caller holds mu.
func (l *Ledger) prune() {
	reported := helpers.Now(l.Now).Add(-reportDelay)
	first := 0
	for first < len(l.pending) && !l.pending[first].After(reported) {
		first++
	}
	l.pending = l.pending[first:]
}

// Reserve reserves a place if the engine's load is within the limit and its rate limit over all
// routers is not used up. It returns the load on which the decision was based, in which pending
// reservations count as waiting.
func (l *Ledger) Reserve(req Request) (EngineLoad, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeLimits(req)
	load, fits := l.fits(req)
	if fits {
		load.Late = l.deniedForTime(load, req)
		fits = load.Late.Reason == ""
	}
	now := helpers.Now(l.Now)
	reason, granted := l.divide(req, load, fits, now)
	if !fits {
		return load, false
	}
	if load.DeniedBy = reason; reason != fairshare.Granted {
		return load, false
	}
	wait, ok := l.warmup.Allow(req.Engine, ratelimit.LoaderShare, now)
	if ok {
		wait, ok = l.rateLimits.Allow(req.Engine, ratelimit.LoaderShare, now)
	}
	if !ok {
		load.RetryAfter = max(wait, time.Millisecond)
		return load, false
	}
	granted()
	l.pending = append(l.pending, now)
	l.recordGrant(req.Size, now)
	return load, true
}

// mergeLimits merges the engine's limits as known to the router. The caller holds mu.
func (l *Ledger) mergeLimits(req Request) {
	if req.Warmup != nil {
		l.warmup.Merge(req.Engine, *req.Warmup, helpers.Now(l.Now))
	}
	if req.RateLimit == nil {
		return
	}
	change := l.rateLimits.Merge(req.Engine, *req.RateLimit, helpers.Now(l.Now))
	if change.Changed && l.OnRateLimitChange != nil {
		l.OnRateLimitChange(req.Engine, change)
	}
}

// RateLimit returns the rate limit of an engine, nil if there is none.
func (l *Ledger) RateLimit(engine ratelimit.Upstream) *ratelimit.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report, ok := l.rateLimits.Report(engine, helpers.Now(l.Now))
	if !ok {
		return nil
	}
	return &report
}

// fits reports whether the engine's load is within the limit of a request. The caller holds mu.
func (l *Ledger) fits(req Request) (EngineLoad, bool) {
	load := l.load
	load.Waiting += len(l.pending)
	closed := !l.observed || load.Loading || load.Leaving || l.runsWhenClosed(req.Limit)
	return load, !closed && load.Running+load.Waiting <= req.InUse && l.queueFits(load, req)
}

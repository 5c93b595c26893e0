package dispatch

import (
	"net/netip"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/livenessprobe"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/exchange"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file holds what is recorded of a request for logs and metrics.

// Trace records one request for logs and metrics.
type Trace struct {
	ID, Route, Service, Account string
	// Content identifies what was requested; a retry by the caller has the same content.
	Content content.Digest
	// Parts identify the parts of the prompt that other requests may share.
	Parts []content.Digest
	// Trials are those of the content and the parts that the request tried although quarantined.
	Trials  []content.Digest
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
	VersionState
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

// VersionState is what decided on which versions a request might run when it was sent.
type VersionState struct {
	// MinVersion is the lowest version that was allowed to serve, 0 for any.
	MinVersion int `json:"minVersion,omitempty"`
	// Newest is the newest declared version, and Remaining the time until it becomes the lowest.
	Newest    int           `json:"newestVersion,omitempty"`
	Remaining time.Duration `json:"versionLeft,omitempty"`
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

func (q *request) recordAttempt(s *pendingSend, result exchange.Result) {
	choice, started := s.choice, s.started
	attempt := Attempt{
		Upstream: choice.Upstream.ID, Address: choice.Upstream.Address, Offset: started.Sub(q.trace.Started), Duration: clock.Since(started), Result: result.Kind.String(),
		Version: choice.Version, VersionState: s.versions, Record: choice.Upstream.Revision.Number(), InFlight: choice.InFlight, Candidates: choice.Candidates,
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

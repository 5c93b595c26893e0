// Package outcome writes the final answers that wheelcleat itself gives, each
// of which says whether the request ran.
//
// There are three outcomes. "not-run" is only ever said when no upstream saw a
// byte of the request; the caller may send it again, also when it must not run
// twice. "unknown" is said when the request was handed over and its answer is
// lost. An answer that wheelcleat has given up on is sent at once, with the
// time to come back instead of a wait.
package outcome

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/wheelcleat/wheelcleat/api"
)

// Reason names why a request was refused or lost.
type Reason string

// The reasons.
const (
	ReasonUnauthorized    Reason = "unauthorized"     // 401: no bearer key
	ReasonForbidden       Reason = "forbidden"        // 403: an unknown key
	ReasonMalformed       Reason = "malformed"        // 400: a header cannot be read
	ReasonNoService       Reason = "no-such-service"  // 404
	ReasonTooLarge        Reason = "too-large"        // 413
	ReasonAccountLimit    Reason = "account-limit"    // 429: the account's rate or concurrency
	ReasonNoUpstream      Reason = "no-upstream"      // 503: no host serves the service now
	ReasonBusy            Reason = "busy"             // 503: every host is at its limit
	ReasonStopping        Reason = "stopping"         // 503: the process drains
	ReasonWrongVersion    Reason = "wrong-version"    // 503: the host serves another version
	ReasonUnreachable     Reason = "unreachable"      // 503: no connection could be made
	ReasonDeadline        Reason = "deadline"         // 503 or 504: the caller's time ran out
	ReasonAnswerLost      Reason = "answer-lost"      // 502: handed over, no answer came
	ReasonKeyOwnerUnknown Reason = "key-owner-absent" // 503: the host that remembers the key is out of reach
	ReasonInProgress      Reason = "in-progress"      // 409: the same key is running
	ReasonKeyReused       Reason = "key-reused"       // 422: the key came with another body
)

// Refusal is an answer by wheelcleat itself.
type Refusal struct {
	Status  int
	Outcome api.Outcome
	Reason  Reason
	Message string
	// RetryAfter says when to come back; 0 says nothing.
	RetryAfter time.Duration
}

// Error returns the refusal on one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Message)
}

// NotRun refuses a request that no upstream saw.
func NotRun(status int, reason Reason, message string) *Refusal {
	return &Refusal{Status: status, Outcome: api.OutcomeNotRun, Reason: reason, Message: message}
}

// Unknown says that a request was handed over and its answer is lost.
func Unknown(status int, reason Reason, message string) *Refusal {
	return &Refusal{Status: status, Outcome: api.OutcomeUnknown, Reason: reason, Message: message}
}

// Retry sets when to come back.
func (r *Refusal) Retry(after time.Duration) *Refusal {
	r.RetryAfter = after
	return r
}

// body is the JSON form of a refusal.
type body struct {
	Outcome api.Outcome `json:"outcome"`
	Reason  Reason      `json:"reason"`
	Message string      `json:"message"`
	// RetryAfterMs repeats Retry-After, which has only whole seconds.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// HeaderReason carries the reason, so that the next hop need not read the body.
const HeaderReason = "Wheelcleat-Reason"

// Write sends the refusal as the final answer.
func (r *Refusal) Write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(api.HeaderOutcome, string(r.Outcome))
	header.Set(HeaderReason, string(r.Reason))
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(body{Outcome: r.Outcome, Reason: r.Reason, Message: r.Message, RetryAfterMs: r.RetryAfter.Milliseconds()})
}

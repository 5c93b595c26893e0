package api

// Headers of the calls that wheelcleat routes.
const (
	// HeaderOutcome says whether a request ran; see Outcome.
	HeaderOutcome = "Wheelcleat-Outcome"
	// HeaderTimeout is the caller's deadline as a duration, such as "1.2s".
	HeaderTimeout = "Wheelcleat-Timeout"
	// HeaderRepeatable is "no" for a request that runs at most once.
	HeaderRepeatable = "Wheelcleat-Repeatable"
	// HeaderRequestID names a request; one is made where the caller sends none.
	HeaderRequestID = "Wheelcleat-Request-Id"
	// HeaderVersion names the version that answered, as model/adapter/version digest.
	HeaderVersion = "Wheelcleat-Version"
	// HeaderHost names the host that answered.
	HeaderHost = "Wheelcleat-Host"
)

// Outcome is what an answer says of the request's run.
type Outcome string

// The outcomes.
const (
	// OutcomeDone: the request ran and this is its answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun: no upstream saw the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the request may have run; its answer is lost.
	OutcomeUnknown Outcome = "unknown"
)

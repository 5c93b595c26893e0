package api

// Headers of routed requests and their responses.
const (
	// HeaderOutcome reports whether the request ran; see Outcome.
	HeaderOutcome = "Wheelcleat-Outcome"
	// HeaderTimeout is the time until the caller's deadline as a duration, such as "1.2s".
	HeaderTimeout = "Wheelcleat-Timeout"
	// HeaderRepeatable is "no" for a request that must run at most once.
	HeaderRepeatable = "Wheelcleat-Repeatable"
	// HeaderRequestID identifies the request. It is generated if the caller sends none.
	HeaderRequestID = "Wheelcleat-Request-Id"
	// HeaderVersion is the digest of the manifest of the version that served the request.
	HeaderVersion = "Wheelcleat-Version"
	// HeaderHost is the name of the host that served the request.
	HeaderHost = "Wheelcleat-Host"
)

// Outcome reports in a response whether the request ran.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeDone means that the request ran and this is its response.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the request did not run on any upstream.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run but its response was lost.
	OutcomeUnknown Outcome = "unknown"
)

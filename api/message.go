package api

import "fmt"

// ProblemCode is the reason why the resource API rejected a request.
type ProblemCode string

// Problem codes of the resource API.
const (
	CodeInvalid      ProblemCode = "invalid"      // 422: the declaration is invalid
	CodeMalformed    ProblemCode = "malformed"    // 400: the body or a parameter cannot be parsed
	CodeConflict     ProblemCode = "conflict"     // 409: the resource was changed concurrently
	CodeNotFound     ProblemCode = "not-found"    // 404
	CodeInUse        ProblemCode = "in-use"       // 409: another resource references this one
	CodeTooOld       ProblemCode = "too-old"      // 410: the revision of the watch was compacted
	CodeUnavailable  ProblemCode = "unavailable"  // 503: nothing was written
	CodeUnknown      ProblemCode = "unknown"      // 504: the write may have taken effect
	CodeUnauthorized ProblemCode = "unauthorized" // 401
	CodeForbidden    ProblemCode = "forbidden"    // 403
)

// Problem is the body of all error responses of the resource API.
type Problem struct {
	Code    ProblemCode `json:"code"`
	Message string      `json:"message"`
	Hint    string      `json:"hint,omitempty"`
	// Revision is the current revision of the resource, set for a conflict.
	Revision uint64 `json:"revision,omitempty"`
	// WriteID identifies a write whose result is unknown.
	WriteID string       `json:"writeID,omitempty"`
	Fields  []FieldError `json:"fields,omitempty"`
}

// Error returns the problem in one line.
func (p *Problem) Error() string {
	line := fmt.Sprintf("%s: %s", p.Code, p.Message)
	for _, field := range p.Fields {
		line += "; " + field.Error()
	}
	if p.Hint != "" {
		line += " (" + p.Hint + ")"
	}
	return line
}

// List is the response to a listing.
type List struct {
	// Revision is the revision from which a watch continues after this listing.
	Revision uint64     `json:"revision"`
	Items    []Resource `json:"items"`
}

// EventType is the kind of an Event.
type EventType string

// Event types of a watch.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
	// EventBookmark carries only a revision, up to which all events were sent.
	EventBookmark EventType = "bookmark"
)

// Event is one line of the response to a watch.
type Event struct {
	Type     EventType `json:"type"`
	Revision uint64    `json:"revision"`
	// Resource is nil for a bookmark. For a delete it holds only kind and name.
	Resource *Resource `json:"resource,omitempty"`
}

// RolloutStatus is the progress of the rollout of a service's declared version.
type RolloutStatus struct {
	Service string `json:"service"`
	// Revision is the revision of the service for which the status was computed.
	Revision uint64       `json:"revision"`
	Version  string       `json:"version"`
	Manifest string       `json:"manifest"`
	Halls    []HallStatus `json:"halls"`
	// Done is set when all replicas in all halls are ready.
	Done bool `json:"done"`
}

// HallStatus is the progress of a rollout in one data hall.
type HallStatus struct {
	Hall     string `json:"hall"`
	Wanted   int    `json:"wanted"`
	Placed   int    `json:"placed"`
	Ready    int    `json:"ready"`
	Old      int    `json:"old"` // hosts that serve another version
	Failed   int    `json:"failed"`
	OpenWave int    `json:"openWave"`
	Waves    int    `json:"waves"`
	Halted   string `json:"halted,omitempty"` // reason why the rollout halted, or ""
	// SecondsSinceSeen is the age of the most recent report from the hall.
	SecondsSinceSeen float64 `json:"secondsSinceSeen"`
	// ChunksHeld and ChunksWanted are sums over the placed hosts of the hall.
	ChunksHeld   int `json:"chunksHeld"`
	ChunksWanted int `json:"chunksWanted"`
}

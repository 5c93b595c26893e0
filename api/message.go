package api

import "fmt"

// ProblemCode names why the resource API refused a call.
type ProblemCode string

// The problem codes of the resource API.
const (
	CodeInvalid      ProblemCode = "invalid"      // 422: the declaration breaks a rule
	CodeMalformed    ProblemCode = "malformed"    // 400: the body or a parameter cannot be read
	CodeConflict     ProblemCode = "conflict"     // 409: another write came first
	CodeNotFound     ProblemCode = "not-found"    // 404
	CodeInUse        ProblemCode = "in-use"       // 409: another resource names this one
	CodeTooOld       ProblemCode = "too-old"      // 410: the watch's revision is no longer kept
	CodeUnavailable  ProblemCode = "unavailable"  // 503: nothing was written
	CodeUnknown      ProblemCode = "unknown"      // 504: the write may have taken effect
	CodeUnauthorized ProblemCode = "unauthorized" // 401
	CodeForbidden    ProblemCode = "forbidden"    // 403
)

// Problem is the body of every answer of the resource API that is not a success.
type Problem struct {
	Code    ProblemCode `json:"code"`
	Message string      `json:"message"`
	Hint    string      `json:"hint,omitempty"`
	// Revision is the present revision of the resource, for a conflict.
	Revision uint64 `json:"revision,omitempty"`
	// WriteID names a write whose fate is unknown.
	WriteID string       `json:"writeID,omitempty"`
	Fields  []FieldError `json:"fields,omitempty"`
}

// Error returns the problem on one line.
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

// List is the answer to a listing.
type List struct {
	// Revision is where a watch that follows this listing resumes.
	Revision uint64     `json:"revision"`
	Items    []Resource `json:"items"`
}

// EventType says what happened to a resource.
type EventType string

// The event types of a watch.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
	// EventBookmark carries only a revision: nothing newer is known.
	EventBookmark EventType = "bookmark"
)

// Event is one line of a watch.
type Event struct {
	Type     EventType `json:"type"`
	Revision uint64    `json:"revision"`
	// Resource is unset for a bookmark; for a delete it carries kind and name.
	Resource *Resource `json:"resource,omitempty"`
}

// RolloutStatus says how far a service's declared version has come.
type RolloutStatus struct {
	Service string `json:"service"`
	// Revision is the service's accepted revision the status was computed for.
	Revision uint64       `json:"revision"`
	Version  string       `json:"version"`
	Manifest string       `json:"manifest"`
	Halls    []HallStatus `json:"halls"`
	// Done is true when every hall has all its replicas ready.
	Done bool `json:"done"`
}

// HallStatus is one data hall's part of a rollout.
type HallStatus struct {
	Hall     string `json:"hall"`
	Wanted   int    `json:"wanted"`
	Placed   int    `json:"placed"`
	Ready    int    `json:"ready"`
	Old      int    `json:"old"` // hosts that still serve another version
	Failed   int    `json:"failed"`
	OpenWave int    `json:"openWave"`
	Waves    int    `json:"waves"`
	Halted   string `json:"halted,omitempty"` // why the rollout stopped, or ""
	// SecondsSinceSeen is the age of the newest word from the hall.
	SecondsSinceSeen float64 `json:"secondsSinceSeen"`
	// ChunksHeld and ChunksWanted sum over the hall's placed hosts.
	ChunksHeld   int `json:"chunksHeld"`
	ChunksWanted int `json:"chunksWanted"`
}

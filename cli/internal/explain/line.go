// Package explain reconstructs what happened to one request from the logs of any number of
// hosts. It is used by the command "wheelcleat explain".
//
// The lines of a request say what was decided, but not on which state. A trace therefore joins
// them with earlier lines of the processes that decided: the store entries, verdicts, limits and
// lost connections that each process held at that time.
//
// Lines are joined by request id and by process. They are never joined by time across hosts
// alone, because the clocks of hosts differ.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 4 << 20

// Messages of the log lines whose fields are evaluated.
const (
	messageEnded      = "request ended"
	messageBroke      = "connection to upstream broke"
	messageUpdate     = "belief changed"
	messageLost       = "dependency lost"
	messageRegained   = "dependency regained"
	messageWeights    = "weights"
	messageVerdict    = "verdict on a content changed"
	messageLimit      = "limit of an upstream changed"
	messageAvailable  = "availability of an upstream changed"
	messageStarted    = "started"
	messageDropped    = "log lines dropped"
	messageSuppressed = "request lines left out"
)

// Line is one log line. Fields that are absent from it are zero.
type Line struct {
	At      time.Time `json:"timestamp"`
	Level   string    `json:"level"`
	Message string    `json:"message"`
	Fields  Fields    `json:"fields"`
}

// Fields are the fields of log lines that a trace is built from.
type Fields struct {
	// Name and Role identify the process that wrote the line.
	Name string `json:"name"`
	Role string `json:"role"`

	Request  string `json:"request"`
	Decision string `json:"decision"`
	Choice   string `json:"choice"`
	Reason   string `json:"reason"`

	// Fields of a completed request.
	Route            string         `json:"route"`
	Service          string         `json:"service"`
	Account          string         `json:"account"`
	Outcome          string         `json:"outcome"`
	Status           int            `json:"status"`
	Duration         string         `json:"took"`
	FirstByte        string         `json:"firstByte"`
	PlaceRequests    []PlaceRequest `json:"asked"`
	Attempts         []Attempt      `json:"tries"`
	Configuration    uint64         `json:"configuration"`
	Stale            bool           `json:"stale"`
	Retried          bool           `json:"returned"`
	RemainingTime    string         `json:"left"`
	RetryAfter       string         `json:"retryAfter"`
	RetryRule        string         `json:"retryRule"`
	Readiness        *Readiness     `json:"readiness"`
	RemainingRetries *int           `json:"budgetLeft"`
	Host             string         `json:"host"`

	// Fields of a broken connection. Content is the digest of what the request asks for, Elapsed
	// the time since the request was sent to Upstream, and Crashed whether the upstream crashed.
	Content string `json:"content"`
	// Parts are the digests of the parts of its prompt that other requests may share.
	Parts []string `json:"parts"`
	// Trials are those of the content and the parts that were sent although quarantined.
	Trials   []string `json:"trials"`
	Upstream string   `json:"upstream"`
	Elapsed  string   `json:"after"`
	Crashed  bool     `json:"ended"`

	// Fields of a verdict on a content: the verdict, the source of the update, and the crashes
	// that the verdict is based on.
	Verdict string  `json:"verdict"`
	Source  string  `json:"from"`
	Crashes []Crash `json:"ends"`

	// Limit is the rate limit that an upstream states, in requests a second, or "none".
	Limit string `json:"limit"`

	// PausedFor is how long an upstream asked for no requests; "0s" means that this is over. Leaving,
	// below, is set if it stated that it leaves.
	PausedFor string `json:"pausedFor"`

	// Fields of an updated store entry.
	Key      string         `json:"key"`
	Revision uint64         `json:"revision"`
	Deleted  bool           `json:"gone"`
	Leaving  bool           `json:"leaving"`
	Address  string         `json:"address"`
	Model    string         `json:"model"`
	Version  int            `json:"version"`
	Routes   int            `json:"routes"`
	Accounts int            `json:"accounts"`
	Models   []ModelVersion `json:"models"`

	// Fields of lost dependencies, loads, starts and suppressed lines.
	Dependency string `json:"dependency"`
	Prefix     string `json:"prefix"`
	Engine     string `json:"engine"`
	Count      int    `json:"count"`
}

// Crash is the crash of an upstream while it ran a content; see package quarantine.
type Crash struct {
	Upstream string `json:"upstream"`
	Depth    int    `json:"depth"`
}

// Attempt is one attempt to send a request to an upstream; see package dispatch.
type Attempt struct {
	Upstream      string        `json:"upstream"`
	Offset        time.Duration `json:"at"`
	Duration      time.Duration `json:"took"`
	Result        string        `json:"fate"`
	Cause         string        `json:"cause"`
	Interrupt     string        `json:"brokenBy"`
	Loading       bool          `json:"loading"`
	AfterClose    string        `json:"afterClose"`
	Version       int           `json:"version"`
	Waiting       int           `json:"waiting"`
	Excess        int           `json:"beyond"`
	Running       int           `json:"running"`
	ReportAge     time.Duration `json:"age"`
	AdmissionPath string        `json:"door"`
	Limit         string        `json:"limit"`
	Leaving       bool          `json:"leaving"`
	RetryAfter    time.Duration `json:"retryAfter"`
}

// PlaceRequest is a request to a loader for a place at its engine; see package dispatch.
type PlaceRequest struct {
	Upstream   string        `json:"upstream"`
	Granted    bool          `json:"given"`
	Running    int           `json:"running"`
	Waiting    int           `json:"waiting"`
	MaxWaiting int           `json:"most"`
	MaxInUse   int           `json:"taken"` // running and waiting
	RetryAfter time.Duration `json:"wait"`
	Duration   time.Duration `json:"took"`
	Cause      string        `json:"cause"`
}

// Readiness is when the upstreams of a refused request were expected to be able to run it; see
// package dispatch.
type Readiness struct {
	Serving  int           `json:"serving"`
	Expected int           `json:"expected"`
	Unknown  int           `json:"unknown"`
	From     time.Duration `json:"from"`
	To       time.Duration `json:"to"`
}

// ModelVersion is a model version that an upstream has loaded.
type ModelVersion struct {
	Model   string `json:"Model"`
	Version int    `json:"Version"`
}

// read calls onLine with each log line of a source. It ignores text before the first brace of a
// line, which log collectors may add, and lines that do not parse as log lines.
func read(source io.Reader, onLine func(Line)) error {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var line Line
		if json.Unmarshal(scanner.Bytes()[start:], &line) == nil && line.Message != "" {
			onLine(line)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log lines: %w", err)
	}
	return nil
}

// upstreams returns the ids of the upstreams that the request was sent to or requested a place at.
func (l *Line) upstreams() []string {
	var ids []string
	for _, attempt := range l.Fields.Attempts {
		ids = append(ids, attempt.Upstream)
	}
	for _, req := range l.Fields.PlaceRequests {
		ids = append(ids, req.Upstream)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

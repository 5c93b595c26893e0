// Package explain tells a request's story from the logs of any number of hosts.
//
// Logs are what is left when somebody complains. A request's own lines say what
// was decided, but not why it seemed right: that is in lines from before, about
// what the deciding process believed. So the story has both, the request's
// lines and, for each process that wrote one, the beliefs in force then.
//
// Lines are joined by request id and by process, never by time across hosts
// alone, because hosts' clocks differ.
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

// maxLine bounds a log line, in bytes.
const maxLine = 4 << 20

// Messages of the lines that are read for more than their text.
const (
	messageEnded    = "request ended"
	messageBroke    = "connection to upstream broke"
	messageBelief   = "belief changed"
	messageLost     = "dependency lost"
	messageRegained = "dependency regained"
	messageWeights  = "weights"
	messageVerdict  = "verdict on a content changed"
	messageLimit    = "limit of an upstream changed"
	messageStarted  = "started"
	messageDropped  = "log lines dropped"
	messageLeftOut  = "request lines left out"
)

// Line is one log line. Fields that a kind of line lacks are zero.
type Line struct {
	At      time.Time `json:"timestamp"`
	Level   string    `json:"level"`
	Message string    `json:"message"`
	Fields  Fields    `json:"fields"`
}

// Fields are the fields of log lines that the story is made of.
type Fields struct {
	// Name and Role are those of the process.
	Name string `json:"name"`
	Role string `json:"role"`

	Request  string `json:"request"`
	Decision string `json:"decision"`
	Choice   string `json:"choice"`
	Reason   string `json:"reason"`

	// Of a request that ended.
	Route         string  `json:"route"`
	Service       string  `json:"service"`
	Account       string  `json:"account"`
	Outcome       string  `json:"outcome"`
	Status        int     `json:"status"`
	Took          string  `json:"took"`
	FirstByte     string  `json:"firstByte"`
	Asked         []Asked `json:"asked"`
	Tries         []Try   `json:"tries"`
	Configuration uint64  `json:"configuration"`
	Stale         bool    `json:"stale"`
	Returned      bool    `json:"returned"`
	Left          string  `json:"left"`
	RetryAfter    string  `json:"retryAfter"`
	BudgetLeft    *int    `json:"budgetLeft"`
	Host          string  `json:"host"`

	// Content names what a request asks for, Upstream is the one whose connection broke
	// After the request was sent there, and Ended says whether it ended itself.
	Content  string `json:"content"`
	Upstream string `json:"upstream"`
	After    string `json:"after"`
	Ended    bool   `json:"ended"`

	// Of a verdict on a content: what may be done with it, whence the news came, and the
	// ends that it rests on.
	Verdict string `json:"verdict"`
	From    string `json:"from"`
	Ends    []End  `json:"ends"`

	// Of a limit that an upstream names, in requests a second, or "none".
	Limit string `json:"limit"`

	// Of beliefs.
	Key      string         `json:"key"`
	Revision uint64         `json:"revision"`
	Gone     bool           `json:"gone"`
	Leaving  bool           `json:"leaving"`
	Address  string         `json:"address"`
	Model    string         `json:"model"`
	Version  int            `json:"version"`
	Routes   int            `json:"routes"`
	Accounts int            `json:"accounts"`
	Models   []ModelVersion `json:"models"`

	// Of dependencies, loads, starts and left out lines.
	Dependency string `json:"dependency"`
	Prefix     string `json:"prefix"`
	Engine     string `json:"engine"`
	Count      int    `json:"count"`
}

// End is an upstream's end under a content; see package quarantine.
type End struct {
	Upstream string `json:"upstream"`
	Depth    int    `json:"depth"`
}

// Try is one send of a request; see package dispatch.
type Try struct {
	Upstream string        `json:"upstream"`
	At       time.Duration `json:"at"`
	Took     time.Duration `json:"took"`
	Fate     string        `json:"fate"`
	Cause    string        `json:"cause"`
	BrokenBy string        `json:"brokenBy"`
	Loading  bool          `json:"loading"`
	Version  int           `json:"version"`
	Waiting  int           `json:"waiting"`
	Beyond   int           `json:"beyond"`
	Running  int           `json:"running"`
	Age      time.Duration `json:"age"`
	Door     string        `json:"door"`
	Limit    string        `json:"limit"`
}

// Asked is a question for a place at an engine; see package dispatch.
type Asked struct {
	Upstream string        `json:"upstream"`
	Given    bool          `json:"given"`
	Running  int           `json:"running"`
	Waiting  int           `json:"waiting"`
	Most     int           `json:"most"`
	Taken    int           `json:"taken"`
	Wait     time.Duration `json:"wait"`
	Took     time.Duration `json:"took"`
	Cause    string        `json:"cause"`
}

// ModelVersion is what an upstream holds.
type ModelVersion struct {
	Model   string `json:"Model"`
	Version int    `json:"Version"`
}

// read calls onLine with each log line of a source. Text before a line's first
// brace, as collectors put there, is passed over, and so are lines that are no
// log lines.
func read(source io.Reader, onLine func(Line)) error {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLine)
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

// upstreams are those that a request was sent to, or for which it asked for a place.
func (l *Line) upstreams() []string {
	var ids []string
	for _, try := range l.Fields.Tries {
		ids = append(ids, try.Upstream)
	}
	for _, asked := range l.Fields.Asked {
		ids = append(ids, asked.Upstream)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

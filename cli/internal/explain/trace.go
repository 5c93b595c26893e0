package explain

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// loadWindow is the period before a line of the request in which loads of its upstreams are
// reported.
const loadWindow = 10 * time.Second

// ErrNotFound is returned if no log line mentions the request.
var ErrNotFound = errors.New("no log line mentions the request")

// Trace is what the logs record about one request.
type Trace struct {
	ID string
	// Lines are the lines of the request itself, sorted by time.
	Lines []Line
	// Total counts the log lines read, Missing those that the logs report as dropped or
	// suppressed.
	Total, Missing int
	// crashes are the lines about crashed upstreams, of any request.
	crashes []Line
	// processes maps the role and name of a process to the lines about its state.
	processes map[string]*process
}

// process holds the lines of one process about its state, in the order in which they were read.
type process struct {
	name, role   string
	updates      []Line
	verdicts     []Line
	limits       []Line
	availability []Line
	dependencies []Line
	loads        []Line
	// engine is the address of the engine that a loader manages, "" for other processes.
	engine string
}

// Collect reads logs and returns the trace of a request. If no line mentions the request, it
// returns ErrNotFound together with a trace without lines.
func Collect(id string, sources ...io.Reader) (*Trace, error) {
	t := &Trace{ID: id, processes: map[string]*process{}}
	for _, source := range sources {
		if err := read(source, t.add); err != nil {
			return t, err
		}
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	if len(t.Lines) == 0 {
		return t, fmt.Errorf("%s: %w", id, ErrNotFound)
	}
	return t, nil
}

func (t *Trace) add(line Line) {
	t.Total++
	if line.Message == messageLimit {
		p := t.process(line)
		p.limits = append(p.limits, line)
	}
	if line.Message == messageAvailable {
		p := t.process(line)
		p.availability = append(p.availability, line)
	}
	if line.Message == messageBroke && line.Fields.Crashed {
		t.crashes = append(t.crashes, line)
	}
	if line.Fields.Request == t.ID {
		t.Lines = append(t.Lines, line)
		return
	}
	p := t.process(line)
	switch line.Message {
	case messageUpdate:
		p.updates = append(p.updates, line)
	case messageVerdict:
		p.verdicts = append(p.verdicts, line)
	case messageLost, messageRegained:
		p.dependencies = append(p.dependencies, line)
	case messageWeights:
		p.loads = append(p.loads, line)
	case messageStarted:
		p.engine = line.Fields.Engine
	case messageDropped, messageSuppressed:
		t.Missing += line.Fields.Count
	}
}

func (t *Trace) process(line Line) *process {
	key := line.Fields.Role + " " + line.Fields.Name
	p := t.processes[key]
	if p == nil {
		p = &process{name: line.Fields.Name, role: line.Fields.Role}
		t.processes[key] = p
	}
	return p
}

// storeState returns the latest update of each store key that a process had logged by a time,
// sorted by key.
func (p *process) storeState(until time.Time) []Line {
	latest := map[string]Line{}
	var keys []string
	for _, line := range p.updates {
		if line.At.After(until) {
			continue
		}
		if _, ok := latest[line.Fields.Key]; !ok {
			keys = append(keys, line.Fields.Key)
		}
		latest[line.Fields.Key] = line
	}
	slices.Sort(keys)
	lines := make([]Line, 0, len(keys))
	for _, key := range keys {
		lines = append(lines, latest[key])
	}
	return lines
}

// verdict returns the latest verdict of a process on a content by a time.
func (p *process) verdict(content string, until time.Time) (Line, bool) {
	return latestMatch(p.verdicts, until, func(f *Fields) bool { return f.Content == content })
}

// limit returns the latest line of a process about the rate limit of an upstream by a time.
func (p *process) limit(upstream string, until time.Time) (Line, bool) {
	return latestMatch(p.limits, until, func(f *Fields) bool { return f.Upstream == upstream })
}

// availabilityOf returns the latest line of a process about what an upstream stated about further
// requests by a time.
func (p *process) availabilityOf(upstream string, until time.Time) (Line, bool) {
	return latestMatch(p.availability, until, func(f *Fields) bool { return f.Upstream == upstream })
}

// latestMatch returns the last of the lines that was written by a time and whose fields match.
func latestMatch(lines []Line, until time.Time, matches func(*Fields) bool) (Line, bool) {
	var found Line
	ok := false
	for i := range lines {
		if matches(&lines[i].Fields) && !lines[i].At.After(until) {
			found, ok = lines[i], true
		}
	}
	return found, ok
}

// lostDependencies returns the lines about the dependencies that a process had lost at a time,
// sorted by time.
func (p *process) lostDependencies(at time.Time) []Line {
	latest := map[string]Line{}
	for _, line := range p.dependencies {
		if !line.At.After(at) {
			latest[line.Fields.Dependency+" "+line.Fields.Prefix] = line
		}
	}
	var lines []Line
	for _, line := range latest {
		if line.Message == messageLost {
			lines = append(lines, line)
		}
	}
	slices.SortFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return lines
}

// isUpdateOf reports whether an update concerns the store entry of an upstream.
func isUpdateOf(update Line, upstream string) bool {
	return upstream != "" && strings.HasSuffix(update.Fields.Key, "/"+upstream)
}

// crashedWhileRunning returns the ids of the upstreams that crashed while they ran a content or a
// part of a prompt.
func (t *Trace) crashedWhileRunning(digest string) []string {
	var upstreams []string
	for _, line := range t.crashes {
		if line.Fields.Content == digest || slices.Contains(line.Fields.Parts, digest) {
			upstreams = append(upstreams, line.Fields.Upstream)
		}
	}
	slices.Sort(upstreams)
	return slices.Compact(upstreams)
}

// loaderOf returns the loader of an engine, or nil if the logs contain no line of it.
func (t *Trace) loaderOf(address string) *process {
	for _, p := range t.processes {
		if address != "" && p.engine == address {
			return p
		}
	}
	return nil
}

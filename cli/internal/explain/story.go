package explain

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// loadsBefore is how long before a request loads of the engines that it was sent
// to are told.
const loadsBefore = 10 * time.Second

// ErrNotFound says that no line is about the request.
var ErrNotFound = errors.New("no line is about the request")

// Story is what logs say of one request.
type Story struct {
	ID string
	// Lines are the request's own, in the order of their times.
	Lines []Line
	// Total is how many log lines were read, Missing how many lines the logs say
	// were dropped or left out.
	Total, Missing int
	// ends are the lines that tell that an upstream ended under some request.
	ends []Line
	// processes holds the other lines, by the process that wrote them.
	processes map[string]*process
}

// process is the lines of one process that are not about a request, in the order
// in which they came.
type process struct {
	name, role string
	beliefs    []Line
	verdicts   []Line
	limits     []Line
	contacts   []Line
	loads      []Line
	// engine is the engine that a loader keeps.
	engine string
}

// Tell reads logs and returns what they say of a request. A story without lines
// comes with ErrNotFound.
func Tell(id string, sources ...io.Reader) (*Story, error) {
	s := &Story{ID: id, processes: map[string]*process{}}
	for _, source := range sources {
		if err := read(source, s.take); err != nil {
			return s, err
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	if len(s.Lines) == 0 {
		return s, fmt.Errorf("%s: %w", id, ErrNotFound)
	}
	return s, nil
}

func (s *Story) take(line Line) {
	s.Total++
	if line.Message == messageLimit {
		p := s.process(line)
		p.limits = append(p.limits, line)
	}
	if line.Message == messageBroke && line.Fields.Ended {
		s.ends = append(s.ends, line)
	}
	if line.Fields.Request == s.ID {
		s.Lines = append(s.Lines, line)
		return
	}
	p := s.process(line)
	switch line.Message {
	case messageBelief:
		p.beliefs = append(p.beliefs, line)
	case messageVerdict:
		p.verdicts = append(p.verdicts, line)
	case messageLost, messageRegained:
		p.contacts = append(p.contacts, line)
	case messageWeights:
		p.loads = append(p.loads, line)
	case messageStarted:
		p.engine = line.Fields.Engine
	case messageDropped, messageLeftOut:
		s.Missing += line.Fields.Count
	}
}

func (s *Story) process(line Line) *process {
	key := line.Fields.Role + " " + line.Fields.Name
	p := s.processes[key]
	if p == nil {
		p = &process{name: line.Fields.Name, role: line.Fields.Role}
		s.processes[key] = p
	}
	return p
}

// believed returns the last line about each key that a process wrote before some
// time, in the order of the keys.
func (p *process) believed(until time.Time) []Line {
	last := map[string]Line{}
	var keys []string
	for _, line := range p.beliefs {
		if line.At.After(until) {
			continue
		}
		if _, ok := last[line.Fields.Key]; !ok {
			keys = append(keys, line.Fields.Key)
		}
		last[line.Fields.Key] = line
	}
	slices.Sort(keys)
	lines := make([]Line, 0, len(keys))
	for _, key := range keys {
		lines = append(lines, last[key])
	}
	return lines
}

// verdict returns the last verdict of a process on a content before some time.
func (p *process) verdict(content string, until time.Time) (Line, bool) {
	return last(p.verdicts, until, func(f *Fields) bool { return f.Content == content })
}

// limit returns the last line of a process on an upstream's limit before some time.
func (p *process) limit(upstream string, until time.Time) (Line, bool) {
	return last(p.limits, until, func(f *Fields) bool { return f.Upstream == upstream })
}

// last returns the last of some lines that was written before some time and is about a thing.
func last(lines []Line, until time.Time, about func(*Fields) bool) (Line, bool) {
	var found Line
	ok := false
	for i := range lines {
		if about(&lines[i].Fields) && !lines[i].At.After(until) {
			found, ok = lines[i], true
		}
	}
	return found, ok
}

// lost returns the dependencies that a process had lost at some time.
func (p *process) lost(at time.Time) []Line {
	last := map[string]Line{}
	for _, line := range p.contacts {
		if !line.At.After(at) {
			last[line.Fields.Dependency+" "+line.Fields.Prefix] = line
		}
	}
	var lines []Line
	for _, line := range last {
		if line.Message == messageLost {
			lines = append(lines, line)
		}
	}
	slices.SortFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return lines
}

// isOf reports whether a belief is about an upstream.
func isOf(belief Line, upstream string) bool {
	return upstream != "" && strings.HasSuffix(belief.Fields.Key, upstream)
}

// endedUnder returns the upstreams that ended while some content ran there.
func (s *Story) endedUnder(content string) []string {
	var upstreams []string
	for _, line := range s.ends {
		if line.Fields.Content == content {
			upstreams = append(upstreams, line.Fields.Upstream)
		}
	}
	slices.Sort(upstreams)
	return slices.Compact(upstreams)
}

// loaderOf returns the loader beside an engine, or nil where no log of it is
// there.
func (s *Story) loaderOf(address string) *process {
	for _, p := range s.processes {
		if address != "" && p.engine == address {
			return p
		}
	}
	return nil
}

package explain

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// clock is the form of times of day in the story.
const clock = "15:04:05.000"

// printer writes lines until the first error, which it keeps.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) linef(indent int, format string, arguments ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, strings.Repeat("  ", indent)+format+"\n", arguments...)
	}
}

// Print writes the story for a reader.
func (s *Story) Print(out io.Writer) error {
	p := &printer{out: out}
	if len(s.Lines) == 0 {
		p.linef(0, "request %s: no line among %d", s.ID, s.Total)
		s.printMissing(p)
		return p.err
	}
	p.linef(0, "request %s", s.ID)
	told := map[string]bool{}
	for _, line := range s.Lines {
		s.printLine(p, line)
		key := line.Fields.Role + " " + line.Fields.Name
		if process := s.processes[key]; process != nil && !told[key] {
			told[key] = true
			s.printBeliefs(p, process, line)
		}
	}
	s.printMissing(p)
	return p.err
}

func (s *Story) printMissing(p *printer) {
	if s.Missing > 0 {
		p.linef(0, "%d lines were dropped or left out of these logs; some may be about this request", s.Missing)
	}
}

// printLine writes one line of the request.
func (s *Story) printLine(p *printer, line Line) {
	f := line.Fields
	if line.Message == messageBroke {
		p.linef(0, "%s %s %s: the connection to %s broke %s after it was sent there; %s", line.At.Format(clock), f.Role, f.Name, f.Upstream, f.After, afterwards(f.Ended))
		return
	}
	if line.Message != messageEnded {
		p.linef(0, "%s %s %s: %s", line.At.Format(clock), f.Role, f.Name, line.Message)
		p.linef(1, "%s", joined(f.Choice, f.Host, f.Reason))
		return
	}
	p.linef(0, "%s %s %s: ended %s, status %d, after %s", line.At.Format(clock), f.Role, f.Name, f.Outcome, f.Status, f.Took)
	p.linef(1, "route %s, service %s, account %s", orNone(f.Route), orNone(f.Service), orNone(f.Account))
	if f.FirstByte != "" {
		p.linef(1, "first byte after %s", f.FirstByte)
	}
	if f.Reason != "" {
		p.linef(1, "cause: %s", f.Reason)
	}
	if f.Stale {
		p.linef(1, "decided by a configuration that may have been out of date")
	}
	if len(f.Tries) > 0 && f.BudgetLeft != nil && *f.BudgetLeft < 1 {
		p.linef(1, "the retry budget of the service was used up")
	}
	if f.Left != "" {
		p.linef(1, "the caller said that it had %s left", f.Left)
	}
	if f.RetryAfter != "" {
		p.linef(1, "it was told to come back after %s", f.RetryAfter)
	}
	if f.Returned {
		p.linef(1, "the caller has less time than others of the route: it was likely refused before, and gets what others leave")
	}
	for _, asked := range f.Asked {
		printAsked(p, asked)
	}
	for i, try := range f.Tries {
		printTry(p, i+1, try)
	}
	if ended := s.endedUnder(f.Content); len(ended) > 0 {
		p.linef(1, "upstreams that ended while the same content %s ran there: %s", f.Content, strings.Join(ended, ", "))
	}
}

func endsText(ends []End) string {
	names := make([]string, 0, len(ends))
	for _, end := range ends {
		names = append(names, fmt.Sprintf("%s (%d deep)", end.Upstream, end.Depth))
	}
	return strings.Join(names, ", ")
}

func afterwards(ended bool) string {
	if ended {
		return "the upstream itself ended"
	}
	return "the upstream still listened, or said nothing"
}

// printAsked writes a question for a place at an engine.
func printAsked(p *printer, asked Asked) {
	switch {
	case asked.Cause != "":
		p.linef(1, "asked for a place at %s: no answer after %s: %s", asked.Upstream, rounded(asked.Took), asked.Cause)
	case asked.Wait > 0:
		p.linef(1, "asked for a place at %s: none after %s, the limit that it named is used up; not asked again for %s", asked.Upstream, rounded(asked.Took), rounded(asked.Wait))
	case asked.Given:
		p.linef(1, "asked for a place at %s: given after %s, %d running, %d waiting", asked.Upstream, rounded(asked.Took), asked.Running, asked.Waiting)
	default:
		p.linef(1, "asked for a place at %s: none after %s, %d running, %d waiting; at most %d may wait and %d be there",
			asked.Upstream, rounded(asked.Took), asked.Running, asked.Waiting, asked.Most, asked.Taken)
	}
}

func printTry(p *printer, number int, try Try) {
	p.linef(1, "try %d after %s at %s: %s in %s", number, rounded(try.At), try.Upstream, try.Fate, rounded(try.Took))
	if try.Age > 0 {
		p.linef(2, "chosen by: version %d, %d running, %d waiting, %d beyond its places, told %s before", try.Version, try.Running, try.Waiting, try.Beyond, rounded(try.Age))
	}
	if try.Limit != "" {
		p.linef(2, "its answer named a limit, in requests a second of all routers: %s; let through by: %s", try.Limit, orNone(try.Door))
	}
	if try.Cause != "" {
		p.linef(2, "cause: %s", try.Cause)
	}
	if try.BrokenBy != "" {
		p.linef(2, "ended by: %s%s", try.BrokenBy, whileLoading(try))
	}
}

func whileLoading(try Try) string {
	if try.Loading {
		return ", while the upstream was known to take a version"
	}
	return ""
}

// printBeliefs writes what the process of a line believed then: the
// configuration, the declared versions, the upstreams tried and lost
// dependencies.
func (s *Story) printBeliefs(p *printer, process *process, line Line) {
	p.linef(1, "%s believed then:", process.name)
	for _, belief := range process.believed(line.At) {
		if text := beliefText(belief, line.Fields.Tries); text != "" {
			p.linef(2, "%s (revision %d, since %s before)", text, belief.Fields.Revision, rounded(line.At.Sub(belief.At)))
		}
	}
	if verdict, ok := process.verdict(line.Fields.Content, line.At); ok {
		p.linef(2, "content %s is %s, since %s before, by news from: %s; upstreams that ended under it: %s",
			line.Fields.Content, verdict.Fields.Verdict, rounded(line.At.Sub(verdict.At)), verdict.Fields.From, endsText(verdict.Fields.Ends))
	}
	for _, contact := range process.lost(line.At) {
		p.linef(2, "%s lost since %s before: %s", contact.Fields.Dependency, rounded(line.At.Sub(contact.At)), contact.Fields.Reason)
	}
	for _, upstream := range line.upstreams() {
		if limit, ok := process.limit(upstream, line.At); ok {
			p.linef(2, "%s takes at most, in requests a second of all routers: %s (since %s before, by news from: %s)",
				upstream, limit.Fields.Limit, rounded(line.At.Sub(limit.At)), limit.Fields.From)
		}
	}
	for _, try := range line.Fields.Tries {
		s.printLoads(p, process, line, try.Upstream)
	}
}

// beliefText says a belief that the request may have hung on, or returns "".
func beliefText(belief Line, tries []Try) string {
	f := belief.Fields
	switch {
	case f.Routes > 0:
		return fmt.Sprintf("configuration version %d, %d routes, %d accounts", f.Version, f.Routes, f.Accounts)
	case f.Model != "":
		return fmt.Sprintf("model %s is declared at version %d", f.Model, f.Version)
	}
	for _, try := range tries {
		if isOf(belief, try.Upstream) {
			return "upstream " + try.Upstream + " " + upstreamText(f)
		}
	}
	return ""
}

func upstreamText(f Fields) string {
	switch {
	case f.Gone:
		return "is gone"
	case f.Leaving:
		return "is leaving"
	case len(f.Models) > 0:
		return fmt.Sprintf("is ready with version %d", f.Models[0].Version)
	default:
		return "is ready"
	}
}

// printLoads writes what the loader beside an upstream did to it shortly before
// and during the request.
func (s *Story) printLoads(p *printer, process *process, line Line, upstream string) {
	address := ""
	for _, belief := range process.believed(line.At) {
		if isOf(belief, upstream) && belief.Fields.Address != "" {
			address = belief.Fields.Address
		}
	}
	loader := s.loaderOf(address)
	if loader == nil {
		return
	}
	for _, load := range loader.loads {
		before := line.At.Sub(load.At)
		if before < 0 || before > loadsBefore {
			continue
		}
		f := load.Fields
		what := joined(f.Decision, fmt.Sprintf("version %d", f.Version), f.Choice, f.Reason)
		p.linef(2, "%s beside %s, %s before: %s", loader.name, upstream, rounded(before), what)
	}
}

// joined joins what is there by blanks.
func joined(parts ...string) string {
	return strings.Join(strings.Fields(strings.Join(parts, " ")), " ")
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

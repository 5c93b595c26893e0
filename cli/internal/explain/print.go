package explain

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// timeLayout formats the times of day in the output.
const timeLayout = "15:04:05.000"

// printer writes lines until the first error, which it retains.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) linef(indent int, format string, arguments ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, strings.Repeat("  ", indent)+format+"\n", arguments...)
	}
}

// Print writes the trace as indented text.
func (t *Trace) Print(out io.Writer) error {
	p := &printer{out: out}
	if len(t.Lines) == 0 {
		p.linef(0, "request %s: not mentioned in any of %d log lines", t.ID, t.Total)
		t.printMissing(p)
		return p.err
	}
	p.linef(0, "request %s", t.ID)
	printed := map[string]bool{}
	for _, line := range t.Lines {
		t.printLine(p, line)
		key := line.Fields.Role + " " + line.Fields.Name
		if process := t.processes[key]; process != nil && !printed[key] {
			printed[key] = true
			t.printState(p, process, line)
		}
	}
	t.printMissing(p)
	return p.err
}

func (t *Trace) printMissing(p *printer) {
	if t.Missing > 0 {
		p.linef(0, "%d log lines were dropped or suppressed; some of them may concern this request", t.Missing)
	}
}

// printLine writes one log line of the request.
func (t *Trace) printLine(p *printer, line Line) {
	f := line.Fields
	if line.Message == messageBroke {
		p.linef(0, "%s %s %s: the connection to %s broke %s after the request was sent; %s", line.At.Format(timeLayout), f.Role, f.Name, f.Upstream, f.Elapsed, upstreamStatusText(f.Crashed))
		return
	}
	if line.Message != messageEnded {
		p.linef(0, "%s %s %s: %s", line.At.Format(timeLayout), f.Role, f.Name, line.Message)
		p.linef(1, "%s", joinNonEmpty(f.Choice, f.Host, f.Reason))
		return
	}
	p.linef(0, "%s %s %s: outcome %s, status %d, after %s", line.At.Format(timeLayout), f.Role, f.Name, f.Outcome, f.Status, f.Duration)
	p.linef(1, "route %s, service %s, account %s", orNone(f.Route), orNone(f.Service), orNone(f.Account))
	if f.FirstByte != "" {
		p.linef(1, "first byte after %s", f.FirstByte)
	}
	if f.Reason != "" {
		p.linef(1, "cause: %s", f.Reason)
	}
	if f.Stale {
		p.linef(1, "routed by a configuration that may have been stale")
	}
	if len(f.Attempts) > 0 && f.RemainingRetries != nil && *f.RemainingRetries < 1 {
		p.linef(1, "the retry budget of the service was exhausted")
	}
	if f.RemainingTime != "" {
		p.linef(1, "time remaining until the caller's deadline: %s", f.RemainingTime)
	}
	printRetryAfter(p, f)
	if f.Retried {
		p.linef(1, "likely a retry of a refused request, since its deadline is shorter than usual for the route: it gets only capacity that other requests leave")
	}
	for _, req := range f.PlaceRequests {
		printPlaceRequest(p, req)
	}
	for i, attempt := range f.Attempts {
		printAttempt(p, i+1, attempt)
	}
	if len(f.Trials) > 0 {
		p.linef(1, "sent as a trial, although quarantined: %s", strings.Join(f.Trials, ", "))
	}
	t.printCrashes(p, "same content", f.Content)
	for _, part := range f.Parts {
		t.printCrashes(p, "prompt part", part)
	}
}

// printRetryAfter writes when the caller was told to retry, and by which rule.
func printRetryAfter(p *printer, f Fields) {
	if f.RetryAfter != "" {
		p.linef(1, "the caller was told to retry after %s%s", f.RetryAfter, retryRuleText(f.RetryRule))
	}
	if r := f.Readiness; r != nil {
		p.linef(2, "%d upstreams could run it, %d were expected to later and %d at no known time; callers were told %s to %s",
			r.Serving, r.Expected, r.Unknown, rounded(r.From), rounded(r.To))
	}
}

// retryRuleText describes the rule by which a caller was told when to retry.
func retryRuleText(rule string) string {
	switch rule {
	case "":
		return ""
	case "full":
		return ", since the upstreams were full"
	case "not-ready":
		return ", since no upstream could run the request; it was unknown when one would"
	case "readiness":
		return ", by when the upstreams are expected to be able to run the request"
	case "pause":
		return ", since the upstreams asked for a pause"
	case "too-late":
		return ", since the caller's remaining time was too short for any upstream"
	default:
		return ", by rule " + rule
	}
}

// printCrashes writes which upstreams crashed while they ran a content or a part of a prompt.
func (t *Trace) printCrashes(p *printer, kind, digest string) {
	if crashed := t.crashedWhileRunning(digest); len(crashed) > 0 {
		p.linef(1, "upstreams that crashed while running the %s %s: %s", kind, digest, strings.Join(crashed, ", "))
	}
}

// crashList formats crashes as a comma-separated list.
func crashList(crashes []Crash) string {
	names := make([]string, 0, len(crashes))
	for _, crash := range crashes {
		names = append(names, fmt.Sprintf("%s (depth %d)", crash.Upstream, crash.Depth))
	}
	return strings.Join(names, ", ")
}

// upstreamStatusText describes an upstream after the connection to it broke.
func upstreamStatusText(crashed bool) string {
	if crashed {
		return "the upstream crashed"
	}
	return "the upstream was still listening or did not respond"
}

// printPlaceRequest writes a request for a place at an engine.
func printPlaceRequest(p *printer, req PlaceRequest) {
	switch {
	case req.Cause != "":
		p.linef(1, "requested a place at %s: no answer after %s: %s", req.Upstream, rounded(req.Duration), req.Cause)
	case req.RetryAfter > 0:
		p.linef(1, "requested a place at %s: denied after %s, rate limit of the upstream reached; not requested again for %s", req.Upstream, rounded(req.Duration), rounded(req.RetryAfter))
	case req.Granted:
		p.linef(1, "requested a place at %s: granted after %s, %d running, %d waiting", req.Upstream, rounded(req.Duration), req.Running, req.Waiting)
	default:
		p.linef(1, "requested a place at %s: denied after %s, %d running, %d waiting; limits: %d waiting, %d in total",
			req.Upstream, rounded(req.Duration), req.Running, req.Waiting, req.MaxWaiting, req.MaxInUse)
	}
}

func printAttempt(p *printer, number int, attempt Attempt) {
	p.linef(1, "attempt %d after %s at %s: %s in %s", number, rounded(attempt.Offset), attempt.Upstream, attempt.Result, rounded(attempt.Duration))
	if attempt.ReportAge > 0 {
		p.linef(2, "chosen by: version %d, %d running, %d waiting, %d in excess of its places, load report %s old",
			attempt.Version, attempt.Running, attempt.Waiting, attempt.Excess, rounded(attempt.ReportAge))
	}
	if attempt.Limit != "" {
		p.linef(2, "rate limit stated in its answer, in requests a second over all routers: %s; admitted by: %s", attempt.Limit, orNone(attempt.AdmissionPath))
	}
	if attempt.Leaving {
		p.linef(2, "its answer states that the upstream is leaving")
	}
	if attempt.RetryAfter > 0 {
		p.linef(2, "its answer asks for no further requests of this router for %s", rounded(attempt.RetryAfter))
	}
	if attempt.Cause != "" {
		p.linef(2, "cause: %s", attempt.Cause)
	}
	if attempt.AfterClose != "" {
		p.linef(2, "its answer had neither a length nor chunks and ended with the connection; upstream after that: %s", attempt.AfterClose)
	}
	if attempt.Interrupt != "" {
		p.linef(2, "interrupted by: %s%s", attempt.Interrupt, whileLoading(attempt))
	}
}

func whileLoading(attempt Attempt) string {
	if attempt.Loading {
		return ", while the upstream was known to be loading a version"
	}
	return ""
}

// printState writes the state that the process of a line held at that time: the configuration,
// the declared versions, the upstreams of the request and their rate limits and loads, the verdict
// on the content, the availability of upstreams, and lost dependencies.
func (t *Trace) printState(p *printer, process *process, line Line) {
	p.linef(1, "%s held at that time:", process.name)
	for _, update := range process.storeState(line.At) {
		if text := updateText(update, line.Fields.Attempts); text != "" {
			p.linef(2, "%s (revision %d, received %s earlier)", text, update.Fields.Revision, rounded(line.At.Sub(update.At)))
		}
	}
	printVerdict(p, process, line, "content", line.Fields.Content)
	for _, part := range line.Fields.Parts {
		printVerdict(p, process, line, "prompt part", part)
	}
	for _, outage := range process.lostDependencies(line.At) {
		p.linef(2, "%s unreachable, lost %s earlier: %s", outage.Fields.Dependency, rounded(line.At.Sub(outage.At)), outage.Fields.Reason)
	}
	for _, upstream := range line.upstreams() {
		if limit, ok := process.limit(upstream, line.At); ok {
			p.linef(2, "rate limit of %s, in requests a second over all routers: %s (set %s earlier, source: %s)",
				upstream, limit.Fields.Limit, rounded(line.At.Sub(limit.At)), limit.Fields.Source)
		}
	}
	t.printAvailability(p, process, line)
	for _, attempt := range line.Fields.Attempts {
		t.printLoads(p, process, line, attempt.Upstream)
	}
}

// printVerdict writes the verdict that a process held on a content or a part of a prompt, if any.
func printVerdict(p *printer, process *process, line Line, kind, digest string) {
	verdict, ok := process.verdict(digest, line.At)
	if !ok {
		return
	}
	p.linef(2, "verdict on %s %s: %s, set %s earlier, source: %s; upstreams that crashed while running it: %s",
		kind, digest, verdict.Fields.Verdict, rounded(line.At.Sub(verdict.At)), verdict.Fields.Source, crashList(verdict.Fields.Crashes))
}

// printAvailability writes which upstreams had stated, by the time of a line, that they leave or want
// no requests. These upstreams need not be among those of the request: it was kept from them.
func (t *Trace) printAvailability(p *printer, process *process, line Line) {
	printed := map[string]bool{}
	for _, change := range process.availability {
		upstream := change.Fields.Upstream
		if printed[upstream] {
			continue
		}
		printed[upstream] = true
		latest, ok := process.availabilityOf(upstream, line.At)
		if !ok {
			continue
		}
		elapsed := line.At.Sub(latest.At)
		pause, _ := time.ParseDuration(latest.Fields.PausedFor)
		switch {
		case latest.Fields.Leaving:
			p.linef(2, "upstream %s got no requests: its answer to %s stated %s earlier that it leaves", upstream, latest.Fields.Request, rounded(elapsed))
		case pause > elapsed:
			p.linef(2, "upstream %s got no requests: its answer to %s asked %s earlier for a pause of %s", upstream, latest.Fields.Request, rounded(elapsed), latest.Fields.PausedFor)
		}
	}
}

// updateText describes an update that may have affected the request, or returns "".
func updateText(update Line, attempts []Attempt) string {
	f := update.Fields
	switch {
	case f.Routes > 0:
		return fmt.Sprintf("configuration version %d, %d routes, %d accounts", f.Version, f.Routes, f.Accounts)
	case f.Model != "":
		return fmt.Sprintf("model %s is declared at version %d", f.Model, f.Version)
	}
	for _, attempt := range attempts {
		if isUpdateOf(update, attempt.Upstream) {
			return "upstream " + attempt.Upstream + " " + upstreamText(f)
		}
	}
	return ""
}

func upstreamText(f Fields) string {
	switch {
	case f.Deleted:
		return "is gone"
	case f.Leaving:
		return "is leaving"
	case len(f.Models) > 0:
		return fmt.Sprintf("is ready with version %d", f.Models[0].Version)
	default:
		return "is ready"
	}
}

// printLoads writes what the loader of an upstream did in the loadWindow before a line of the
// request.
func (t *Trace) printLoads(p *printer, process *process, line Line, upstream string) {
	address := ""
	for _, update := range process.storeState(line.At) {
		if isUpdateOf(update, upstream) && update.Fields.Address != "" {
			address = update.Fields.Address
		}
	}
	loader := t.loaderOf(address)
	if loader == nil {
		return
	}
	for _, load := range loader.loads {
		elapsed := line.At.Sub(load.At)
		if elapsed < 0 || elapsed > loadWindow {
			continue
		}
		f := load.Fields
		action := joinNonEmpty(f.Decision, fmt.Sprintf("version %d", f.Version), f.Choice, f.Reason)
		p.linef(2, "%s, loader of %s, %s earlier: %s", loader.name, upstream, rounded(elapsed), action)
	}
}

// joinNonEmpty joins the non-empty parts with spaces.
func joinNonEmpty(parts ...string) string {
	return strings.Join(strings.Fields(strings.Join(parts, " ")), " ")
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

package places

import (
	"net/url"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/enginetime"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file decides by the time that a request takes on the engine. It applies to queries that
// carry time limits, which routers send for services with a slow engine or with routes of different
// priorities.

const (
	// admissionWindow is the time over which the rate of admitted prompt tokens is measured. A busy
	// engine admits 5 to 20 requests in it.
	admissionWindow = 2 * time.Second
	// maxGrants bounds the grants that are kept. An engine of 16 places grants less in its window.
	maxGrants = 128
	// minSizeFactor and maxSizeFactor, times the mean, bound the size for which a granted prompt
	// counts, so that a false size has little effect on other requests.
	minSizeFactor, maxSizeFactor = 0.25, 5
)

// grant is a granted place.
type grant struct {
	at     time.Time
	tokens float64
}

// grants holds the prompt sizes of the requests granted recently, oldest first.
type grants []grant

// add records a grant and drops the ones that are no longer needed.
func (g *grants) add(new grant) {
	first := 0
	for first < len(*g) && (len(*g)-first >= maxGrants || new.at.Sub((*g)[first].at) > admissionWindow) {
		first++
	}
	*g = append((*g)[first:], new)
}

// waitingTokens returns the prompt tokens of a number of waiting requests: those granted last, and
// the mean for any that were not granted recently.
func (g grants) waitingTokens(waiting int, mean float64) float64 {
	last := g[max(0, len(g)-waiting):]
	tokens := float64(waiting-len(last)) * mean
	for _, granted := range last {
		tokens += granted.tokens
	}
	return tokens
}

// tokensPerSecond returns the rate of admitted prompt tokens.
func (g grants) tokensPerSecond(now time.Time) float64 {
	tokens := 0.0
	for _, granted := range g {
		if now.Sub(granted.at) <= admissionWindow {
			tokens += granted.tokens
		}
	}
	return tokens / admissionWindow.Seconds()
}

// SetEngine sets the declared rates of the engine, without which no time is estimated.
func (l *Ledger) SetEngine(spec provider.EngineSpec) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engine = spec
}

// timed returns the engine and its load for an estimate. The caller holds mu.
func (l *Ledger) timed(load EngineLoad) (enginetime.Engine, enginetime.Load) {
	engine := enginetime.Engine{Spec: l.engine, Pace: load.Pace}
	return engine, enginetime.Load{
		Running: load.Running, Waiting: load.Waiting,
		WaitingTokens:  l.grants.waitingTokens(load.Waiting, engine.MeanPrompt()),
		AdmittedTokens: l.grants.tokensPerSecond(helpers.Now(l.Now)),
	}
}

// queueFits reports whether the waiting requests are within the limit. For a request with time
// limits they are counted by their prompt tokens, in means. The caller holds mu.
func (l *Ledger) queueFits(load EngineLoad, req Request) bool {
	if req.Times == (enginetime.Limits{}) || req.Waiting <= 0 {
		return load.Waiting <= req.Waiting
	}
	engine, timed := l.timed(load)
	return timed.WaitingTokens <= float64(req.Waiting)*engine.MeanPrompt()
}

// deniedForTime returns why the engine cannot serve a request in time. The first queries of a first
// attempt's search, which accept only an empty queue, are early: more engines are queried after
// them. The caller holds mu.
func (l *Ledger) deniedForTime(load EngineLoad, req Request) enginetime.Denial {
	if req.Times == (enginetime.Limits{}) {
		return enginetime.Denial{}
	}
	engine, timed := l.timed(load)
	early := req.Waiting == 0 && !req.Caller.Retry
	return enginetime.Decide(engine, timed, req.Size.request(), req.Times, early)
}

// recordGrant records the size of a granted request. The caller holds mu.
func (l *Ledger) recordGrant(size Size, now time.Time) {
	mean := enginetime.Engine{Spec: l.engine}.MeanPrompt()
	tokens := helpers.OrDefault(float64(size.PromptTokens), mean)
	l.grants.add(grant{at: now, tokens: min(max(tokens, minSizeFactor*mean), maxSizeFactor*mean)})
}

func (s Size) request() enginetime.Request {
	return enginetime.Request{PromptTokens: float64(s.PromptTokens), AnswerTokens: float64(s.AnswerTokens)}
}

// parseTimes parses the time limits. Values that are missing or invalid count as unknown.
func parseTimes(query url.Values) enginetime.Limits {
	return enginetime.Limits{First: parseTime(query, firstParam), Gap: parseTime(query, gapParam), Left: parseTime(query, leftParam)}
}

// maxTime bounds a time limit; a longer one counts as unknown.
const maxTime = 24 * time.Hour

func parseTime(query url.Values, name string) time.Duration {
	ms := parseCount(query, name)
	if ms > int(maxTime.Milliseconds()) {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func timesQuery(limits enginetime.Limits) string {
	return timeParam(leftParam, limits.Left) + timeParam(firstParam, limits.First) + timeParam(gapParam, limits.Gap)
}

// timeParam returns an encoded query parameter, "" for an unknown time.
func timeParam(name string, limit time.Duration) string {
	if limit <= 0 {
		return ""
	}
	return countParam(name, max(1, int(limit.Milliseconds())))
}

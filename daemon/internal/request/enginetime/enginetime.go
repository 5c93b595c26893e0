// Package enginetime estimates how long a request takes on an engine, and decides whether an engine
// that is slower than declared can serve it in time.
//
// It handles fleets in which some engines run slower than declared all the time, for example one in
// seven at a pace of 2.5. Streams there take 2.5 to 3.6 s instead of 1.1 s. Long ones end at their
// caller's deadline of 6 s after holding a place for 5 s, and half of all late first bytes come
// from these engines.
//
// An engine works in passes. A pass reads waiting prompts, up to a number of tokens, runs a fixed
// number of decoding steps for all running requests, and ends with one event of each of them. So
// a pass that reads prompts is a long gap between two events for every request that runs, and on a
// busy engine reading takes 40 to 50 in 100 of the time. An estimate that leaves this out expects
// answers to end in half of the time that they take.
//
// The limits of a decision are those of the caller: the objective of its first byte, the longest gap
// between events, and its deadline. Slow engines are not ejected, since they serve short requests
// in time and their places are needed under a full load.
package enginetime

import (
	"math"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// maxPace bounds a reported pace. A slower engine serves no request in time either.
	maxPace = 100
	// minSlowPace is the least pace of an engine that counts as slow. A pace measured from passes of
	// different sizes varies by a few percent.
	minSlowPace = 1.1
	// defaultPromptTokens and defaultAnswerTokens are the assumed mean lengths if none are declared.
	defaultPromptTokens = 900.0
	defaultAnswerTokens = 92.0
	// maxSeconds bounds estimates, so that they fit a time.Duration.
	maxSeconds = 1e6
)

// NormalPace returns a reported pace within its valid range. A pace that is missing, below 1 or not
// a finite number counts as 1.
func NormalPace(pace float64) float64 {
	if !(pace > 1) || math.IsInf(pace, 0) {
		return 1
	}
	return min(pace, maxPace)
}

// ReportedPace returns a pace as it is passed on: 0, which is left out of messages, for 1.
func ReportedPace(pace float64) float64 {
	if pace = NormalPace(pace); pace > 1 {
		return pace
	}
	return 0
}

// Slow reports whether an engine with a reported pace counts as slow. A smaller pace counts as 1 in
// decisions, so that the variation of a report does not change the rules.
func Slow(pace float64) bool { return NormalPace(pace) >= minSlowPace }

// Engine is an engine with its declared rates and its pace.
type Engine struct {
	Spec provider.EngineSpec
	// Pace is the factor by which the engine is slower than declared, as reported.
	Pace float64
}

// Slow reports whether the engine counts as slower than declared.
func (e Engine) Slow() bool { return Slow(e.Pace) }

// pace returns the pace with which times are estimated.
func (e Engine) pace() float64 {
	if !e.Slow() {
		return 1
	}
	return NormalPace(e.Pace)
}

// Known reports whether the declared rates suffice for an estimate.
func (e Engine) Known() bool {
	return e.Spec.PromptRate > 0 && e.Spec.StepTime > 0 && e.Spec.StepsPerPass > 0 && e.Spec.PromptTokensPerPass > 0
}

// MeanPrompt returns the mean length of prompts in tokens.
func (e Engine) MeanPrompt() float64 {
	return helpers.OrDefault(max(e.Spec.MeanPromptTokens, 0), defaultPromptTokens)
}

func (e Engine) meanAnswer() float64 {
	return helpers.OrDefault(max(e.Spec.MeanAnswerTokens, 0), defaultAnswerTokens)
}

// Load is what an engine has to do.
type Load struct {
	// Running and Waiting are the numbers of its requests that run and that wait.
	Running, Waiting int
	// WaitingTokens is the number of prompt tokens of the requests that wait.
	WaitingTokens float64
	// AdmittedTokens is the number of prompt tokens that are admitted per second at present.
	AdmittedTokens float64
}

// Request is the size of a request in tokens; 0 means the mean.
type Request struct {
	PromptTokens, AnswerTokens float64
}

// Estimate is what a request can expect on an engine.
type Estimate struct {
	// FirstByte is the time to the first event.
	FirstByte time.Duration
	// Gap is the longest gap between events that reading the waiting prompts and that of the
	// request causes for the requests on the engine.
	Gap time.Duration
	// End is the time to the end of the answer.
	End time.Duration
}

// Estimate returns what a request can expect if it is admitted now. The engine must be Known.
func (e Engine) Estimate(load Load, r Request) Estimate {
	prompt := helpers.OrDefault(max(r.PromptTokens, 0), e.MeanPrompt())
	answer := helpers.OrDefault(max(r.AnswerTokens, 0), e.meanAnswer())
	batch := load.Running + load.Waiting + 1
	decode := e.decodeTime(batch)
	pass := e.meanPass(decode, load.AdmittedTokens)
	chunk := float64(e.Spec.PromptTokensPerPass)
	tokens := max(load.WaitingTokens, 0) + prompt

	firstByte := e.readTime(max(load.WaitingTokens, 0), e.MeanPrompt()) + e.readTime(prompt, prompt) + math.Ceil(tokens/chunk)*decode
	gap := decode
	if batch > 1 {
		// The whole running pass counts, although half of it is left on average: in the replay of
		// places, that makes no first byte late on slow engines, and half of it 17 to 55 in 800.
		firstByte += pass
		gap += e.readTime(min(tokens, chunk), min(prompt, chunk))
	}
	if excess := batch - e.Spec.Places; e.Spec.Places > 0 && excess > 0 {
		hold := math.Ceil(e.meanAnswer()/float64(e.Spec.StepsPerPass)) * pass
		firstByte += float64(excess) * hold / float64(e.Spec.Places)
	}
	end := firstByte + max(0, math.Ceil(answer/float64(e.Spec.StepsPerPass))-1)*pass
	pace := e.pace()
	return Estimate{FirstByte: duration(pace * firstByte), Gap: duration(pace * gap), End: duration(pace * end)}
}

// decodeTime returns the time of the decoding steps of a pass in seconds, as declared. A batch of
// more requests than places runs only as many as there are places.
func (e Engine) decodeTime(batch int) float64 {
	if e.Spec.Places > 0 {
		batch = min(batch, e.Spec.Places)
	}
	// A request has written half of its answer on average.
	context := float64(batch) * (e.MeanPrompt() + e.meanAnswer()/2) / 1e3
	step := e.Spec.StepTime.Seconds() + float64(batch)*e.Spec.StepTimePerRequest.Seconds() + context*e.Spec.StepTimePerKiloToken.Seconds()
	return float64(e.Spec.StepsPerPass) * step
}

// readTime returns the time to read tokens of prompts of a length in seconds, as declared.
func (e Engine) readTime(tokens, length float64) float64 {
	pairs := tokens * length / 2
	return tokens/e.Spec.PromptRate + pairs/1e6*e.Spec.PromptTimePerMegaPair.Seconds()
}

// meanPass returns the mean time of a pass in seconds, as declared, while prompts go on being
// admitted. Reading takes a share of the time that grows with the pace, and a pass reads no more
// prompt tokens than its maximum.
func (e Engine) meanPass(decode, admittedTokens float64) float64 {
	mean := e.MeanPrompt()
	chunk := float64(e.Spec.PromptTokensPerPass)
	longest := decode + e.readTime(chunk, min(mean, chunk))
	reading := e.pace() * e.readTime(max(admittedTokens, 0), mean)
	if reading >= 1 {
		return longest
	}
	return min(decode/(1-reading), longest)
}

func duration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxSeconds) * float64(time.Second))
}

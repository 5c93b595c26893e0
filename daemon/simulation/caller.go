package simulation

import (
	"math"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
)

// Kind is a class of callers that share one route.
type Kind struct {
	Name string
	// Share is the kind's share of all callers.
	Share float64
	// Prompt and Answer are mean lengths in tokens, MaxPrompt and MaxAnswer their upper limits.
	Prompt, Answer       float64
	MaxPrompt, MaxAnswer float64
	// Objective is the latency target of the first byte, Deadline the time after which callers
	// abandon the request.
	Objective, Deadline time.Duration
	// Worth is the value of an answer whose first byte met the objective, LateWorth that of a later
	// one.
	Worth, LateWorth float64
}

// DefaultKinds returns three kinds of callers of one service.
func DefaultKinds() []Kind {
	const deadline = 6 * time.Second
	return []Kind{
		{"long", 0.335, 1330, 107, 3920, 269, 500 * time.Millisecond, deadline, 2.4, 0.6},
		{"usual", 0.426, 827, 107, 3370, 269, 400 * time.Millisecond, deadline, 2, 0.5},
		{"short", 0.239, 647, 69, 2680, 269, 400 * time.Millisecond, deadline, 1.5, 0.36},
	}
}

// caller is one caller and its request. Its times are relative to the epoch.
type caller struct {
	sim       *loadSim
	kind      *Kind
	arrivedAt time.Duration
	deadline  time.Duration
	// content identifies the request and is the same for each attempt.
	content          uint64
	prompt, answer   int
	lengthHint       float64
	worth, lateWorth float64

	received            int
	firstByte, lastByte time.Duration
	refusals            int
	// sends counts the engines to which the latest attempt was sent.
	sends int
	// detectedRetry is the router's classification of the latest attempt.
	detectedRetry bool
	// truePositive is 1 if a retry was classified as a retry, falsePositive 1 if a first attempt
	// was.
	truePositive, falsePositive float64
	// served is set if the answer was complete before the deadline, truncated if an outage
	// aborted it, and finished once the request has ended either way.
	served, truncated, finished bool
	onDone                      func(balance.Outcome)
}

// hintSpread is the standard deviation of the logarithm of the error in length hints.
const hintSpread = 0.7

// newCaller draws the properties of a caller that arrives at the given time.
func (s *loadSim) newCaller(at time.Duration) *caller {
	kind := &s.Kinds[s.Pattern.kindAt(at, s.Kinds, s.arrivalRand.Float64())]
	timeLimit := time.Duration((1 - s.DeadlineSpread*s.arrivalRand.Float64()) * float64(kind.Deadline))
	c := &caller{sim: s, kind: kind, arrivedAt: at, deadline: at + timeLimit, content: s.arrivalRand.Uint64()}
	c.prompt = int(clampTokens(kind.Prompt*lengthFactor(s.arrivalRand.NormFloat64()), kind.MaxPrompt))
	c.answer = int(clampTokens(kind.Answer*lengthFactor(s.arrivalRand.NormFloat64()), kind.MaxAnswer))
	c.lengthHint = float64(c.answer) * math.Exp(hintSpread*s.arrivalRand.NormFloat64())
	c.worth, c.lateWorth = kind.Worth*c.relativeSize(), kind.LateWorth*c.relativeSize()
	return c
}

// relativeSize returns the value of a caller's answer relative to a mean one of its kind: a fixed
// part plus a part that grows with the tokens.
func (c *caller) relativeSize() float64 {
	const fixedPart, maxSize, answerWeight = 0.3, 4, 10
	tokens := float64(c.prompt) + answerWeight*float64(c.answer)
	meanTokens := c.kind.Prompt + answerWeight*c.kind.Answer
	return min(fixedPart+(1-fixedPart)*tokens/meanTokens, maxSize)
}

// lengthFactor maps a normal variate to a log-normal factor of mean 1.
func lengthFactor(normal float64) float64 {
	const spread = 0.8
	return math.Exp(spread*normal - spread*spread/2)
}

// clampTokens limits a token count to between 5 and limit.
func clampTokens(tokens, limit float64) float64 {
	const minTokens = 5
	return min(max(tokens, minTokens), limit)
}

// remaining returns the time until the caller's deadline.
func (c *caller) remaining() time.Duration { return c.deadline - c.sim.events.now }

// receiveTokens records the tokens of a pass.
func (c *caller) receiveTokens(now time.Duration, tokens int) {
	if c.firstByte == 0 {
		c.firstByte = now + networkDelay
	}
	if c.received += tokens; c.received < c.answer {
		return
	}
	c.lastByte = now + networkDelay
	c.served = c.lastByte <= c.deadline
	c.finish(balance.Served)
}

// abort ends the request with a truncated answer.
func (c *caller) abort() {
	c.truncated = true
	c.finish(balance.Failed)
}

func (c *caller) finish(outcome balance.Outcome) {
	c.finished = true
	if c.onDone != nil {
		c.onDone(outcome)
	}
}

// handleRefusal schedules the caller's only retry, after the given wait or a third of its
// remaining time, whichever is shorter. A second refusal ends the request.
func (c *caller) handleRefusal(wait time.Duration) {
	const waitDivisor = 3
	if c.refusals++; c.refusals > 1 {
		c.finished = true
		return
	}
	wait = min(wait, c.remaining()/waitDivisor)
	c.sim.events.after(wait, func() { c.sim.submit(c) })
}

// inTime reports whether the first byte met the objective, counted from the first attempt.
func (c *caller) inTime() bool { return c.served && c.firstByte-c.arrivedAt <= c.kind.Objective }

// objective returns the shortest objective of all kinds.
func (s *loadSim) objective() time.Duration {
	shortest := s.Kinds[0].Objective
	for _, kind := range s.Kinds {
		shortest = min(shortest, kind.Objective)
	}
	return shortest
}

func (s *loadSim) meanAnswer() float64 {
	return s.mean(func(k Kind) float64 { return k.Answer })
}

func (s *loadSim) readTime() time.Duration {
	prompt := s.mean(func(k Kind) float64 { return k.Prompt })
	return time.Duration(prompt / s.Engine.PromptRate * float64(time.Second))
}

func (s *loadSim) mean(value func(Kind) float64) float64 {
	sum, shares := 0.0, 0.0
	for _, kind := range s.Kinds {
		sum += kind.Share * value(kind)
		shares += kind.Share
	}
	return sum / shares
}

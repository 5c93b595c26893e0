package lab

import (
	"math"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
)

// Kind is a kind of callers, all of one route.
type Kind struct {
	Name string
	// Share is its part of all callers.
	Share float64
	// Prompt and Answer are mean tokens; MostPrompt and MostAnswer bound them.
	Prompt, Answer         float64
	MostPrompt, MostAnswer float64
	// Objective is until when the first byte is in time, Deadline when callers leave.
	Objective, Deadline time.Duration
	// Worth is that of an answer in time, Late of one that is later.
	Worth, Late float64
}

// DefaultKinds are three kinds of one service.
func DefaultKinds() []Kind {
	const deadline = 6 * time.Second
	return []Kind{
		{"long", 0.335, 1330, 107, 3920, 269, 500 * time.Millisecond, deadline, 2.4, 0.6},
		{"usual", 0.426, 827, 107, 3370, 269, 400 * time.Millisecond, deadline, 2, 0.5},
		{"short", 0.239, 647, 69, 2680, 269, 400 * time.Millisecond, deadline, 1.5, 0.36},
	}
}

// caller is one caller; its times are since the begin.
type caller struct {
	play *play
	kind *Kind
	came time.Duration
	// leaves is when the caller's time is over.
	leaves time.Duration
	// content is what it asks for, the same at each try.
	content        uint64
	prompt, answer int
	hint           float64
	worth, late    float64

	written             int
	firstByte, lastByte time.Duration
	refusals            int
	// knownBack is what the router took the caller for, at its last try.
	knownBack bool
	// backKnown and takenForBack are 1 where it was taken for one who came back, rightly and
	// wrongly.
	backKnown, takenForBack float64
	// served and cut say how it ended, ended that it did.
	served, cut, ended bool
	done               func(balance.Outcome)
}

// hintSpread is by how much callers' guesses of the answer's length are off: right at the
// median, by a half or twice for one in six.
const hintSpread = 0.7

// newCaller draws a caller.
func (p *play) newCaller(at time.Duration) *caller {
	kind := &p.Kinds[p.Pattern.kindAt(at, p.Kinds, p.rates.Float64())]
	patience := time.Duration((1 - p.Patience*p.rates.Float64()) * float64(kind.Deadline))
	c := &caller{play: p, kind: kind, came: at, leaves: at + patience, content: p.rates.Uint64()}
	c.prompt = int(bounded(kind.Prompt*lengthFactor(p.rates.NormFloat64()), kind.MostPrompt))
	c.answer = int(bounded(kind.Answer*lengthFactor(p.rates.NormFloat64()), kind.MostAnswer))
	c.hint = float64(c.answer) * math.Exp(hintSpread*p.rates.NormFloat64())
	c.worth, c.late = kind.Worth*c.size(), kind.Late*c.size()
	return c
}

// size is how much more a caller's answer is worth than a usual one of its kind: a part is
// the same for all, the rest grows with the tokens.
func (c *caller) size() float64 {
	const same, most, answerWeight = 0.3, 4, 10
	tokens := float64(c.prompt) + answerWeight*float64(c.answer)
	usual := c.kind.Prompt + answerWeight*c.kind.Answer
	return min(same+(1-same)*tokens/usual, most)
}

// lengthFactor spreads lengths about their mean.
func lengthFactor(normal float64) float64 {
	const spread = 0.8
	return math.Exp(spread*normal - spread*spread/2)
}

// bounded keeps tokens between the least of an answer and some most.
func bounded(tokens, most float64) float64 {
	const least = 5
	return min(max(tokens, least), most)
}

// left is the time that the caller still has.
func (c *caller) left() time.Duration { return c.leaves - c.play.events.now }

// wrote takes the tokens of a pass.
func (c *caller) wrote(now time.Duration, tokens int) {
	if c.firstByte == 0 {
		c.firstByte = now + travel
	}
	if c.written += tokens; c.written < c.answer {
		return
	}
	c.lastByte = now + travel
	c.served = c.lastByte <= c.leaves
	c.end(balance.Served)
}

// broken has the caller see its answer break off.
func (c *caller) broken() {
	c.cut = true
	c.end(balance.Failed)
}

func (c *caller) end(outcome balance.Outcome) {
	c.ended = true
	if c.done != nil {
		c.done(outcome)
	}
}

// refused has the caller come back once, after the time it was told or a third of what it
// has left.
func (c *caller) refused(wait time.Duration) {
	const mostPart = 3
	if c.refusals++; c.refusals > 1 {
		c.ended = true
		return
	}
	wait = min(wait, c.left()/mostPart)
	c.play.events.after(wait, func() { c.play.meet(c) })
}

// inTime reports whether the first byte came within the objective from the first try.
func (c *caller) inTime() bool { return c.served && c.firstByte-c.came <= c.kind.Objective }

// objective is the shortest of the kinds, usualAnswer and readTime those of a usual caller.
func (p *play) objective() time.Duration {
	shortest := p.Kinds[0].Objective
	for _, kind := range p.Kinds {
		shortest = min(shortest, kind.Objective)
	}
	return shortest
}

func (p *play) usualAnswer() float64 {
	return p.mean(func(k Kind) float64 { return k.Answer })
}

func (p *play) readTime() time.Duration {
	prompt := p.mean(func(k Kind) float64 { return k.Prompt })
	return time.Duration(prompt / p.Engine.ReadRate * float64(time.Second))
}

func (p *play) mean(of func(Kind) float64) float64 {
	sum, shares := 0.0, 0.0
	for _, kind := range p.Kinds {
		sum += kind.Share * of(kind)
		shares += kind.Share
	}
	return sum / shares
}

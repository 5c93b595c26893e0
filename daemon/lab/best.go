package lab

import (
	"cmp"
	"slices"
	"time"
)

// This file works out the best possible, nearly: what engines could earn. An oracle knows
// who comes and how long answers are, and begins only what will be in time. In each time of
// an objective's length it spends what the engines can do on the callers of that time, the
// ones of the most worth for their work first, or in turn. A policy cannot reach that quite,
// because engines work in passes. Each time is taken for itself, though work goes on into the
// next: where callers bring nearly what engines bear a play can be better by 0.001.

// work is how long a caller keeps an engine busy that runs all its places.
func (c *caller) work() time.Duration {
	spec := c.play.Engine
	read := time.Duration(float64(c.prompt) / spec.ReadRate * float64(time.Second))
	step := spec.Step + time.Duration(spec.Places)*spec.StepEach
	return read + time.Duration(c.answer)*step/time.Duration(spec.Places)
}

// best returns the part of the callers' worth that an oracle earns: choosing, and in turn.
func (p *play) best(callers []*caller) (choosing, inTurn float64) {
	var choose, turn tally
	for first := 0; first < len(callers); {
		begin := callers[first].came
		last := first
		for last < len(callers) && callers[last].came < begin+p.objective() {
			last++
		}
		span := callers[first:last]
		can := p.able(begin, begin+p.objective())
		byWorth := slices.SortedFunc(slices.Values(span), func(a, b *caller) int {
			return cmp.Compare(b.worth/b.work().Seconds(), a.worth/a.work().Seconds())
		})
		choose.spend(byWorth, can)
		turn.spend(span, can)
		first = last
	}
	return choose.share(), turn.share()
}

// spend earns what some engine time is enough for, the last caller in part.
func (t *tally) spend(callers []*caller, can time.Duration) {
	for _, c := range callers {
		part := 1.0
		if work := c.work(); work > can {
			part = can.Seconds() / work.Seconds()
		}
		can -= time.Duration(part * float64(c.work()))
		t.add(c.worth, part*c.worth)
	}
}

// able is the engine time that there is in a span.
func (p *play) able(from, to time.Duration) time.Duration {
	all := time.Duration(len(p.engines)) * (to - from)
	for _, d := range p.Pattern.Disturbances {
		lost := min(to, d.At+d.For) - max(from, d.At)
		all -= time.Duration(d.Share * float64(len(p.engines)) * float64(max(lost, 0)))
	}
	if v := p.Pattern.Version; v != nil {
		length := v.Turns.To - v.Turns.From
		inside := min(to, v.Turns.To) - max(from, v.Turns.From)
		loads := time.Duration(len(p.engines)) * p.Engine.Load
		all -= time.Duration(float64(loads) * max(inside.Seconds(), 0) / length.Seconds())
	}
	return all
}

package simulation

import (
	"cmp"
	"slices"
	"time"
)

// This file computes an upper bound on the worth that any policy can earn. An oracle knows all
// arrivals and answer lengths, and starts only requests that will meet their objective. It
// divides time into slices of one objective and spends the engine time of each slice on the
// requests that arrived in it, either by worth per engine time or in order of arrival. Policies
// stay below the bound because engines work in passes. The bound ignores that work continues into
// the next slice, so a run near capacity can exceed it slightly.

// engineTime returns the engine time that the request needs on a fully occupied engine.
func (c *caller) engineTime() time.Duration {
	spec := c.sim.Engine
	read := time.Duration(float64(c.prompt) / spec.PromptRate * float64(time.Second))
	step := spec.TokenTime + time.Duration(spec.Places)*spec.TokenTimePerRequest
	return read + time.Duration(c.answer)*step/time.Duration(spec.Places)
}

// oracleWorth returns the share of the callers' worth that the oracle earns, when it selects by
// worth and when it serves in order of arrival.
func (s *loadSim) oracleWorth(callers []*caller) (selected, inOrder float64) {
	var selectedSum, inOrderSum tally
	for first := 0; first < len(callers); {
		begin := callers[first].arrivedAt
		last := first
		for last < len(callers) && callers[last].arrivedAt < begin+s.objective() {
			last++
		}
		arrivals := callers[first:last]
		available := s.capacity(begin, begin+s.objective())
		byWorth := slices.SortedFunc(slices.Values(arrivals), func(a, b *caller) int {
			return cmp.Compare(b.worth/b.engineTime().Seconds(), a.worth/a.engineTime().Seconds())
		})
		selectedSum.allocate(byWorth, available)
		inOrderSum.allocate(arrivals, available)
		first = last
	}
	return selectedSum.earnedShare(), inOrderSum.earnedShare()
}

// allocate spends engine time on callers in order. The last caller may be served in part.
func (t *tally) allocate(callers []*caller, available time.Duration) {
	for _, c := range callers {
		fraction := 1.0
		if engineTime := c.engineTime(); engineTime > available {
			fraction = available.Seconds() / engineTime.Seconds()
		}
		available -= time.Duration(fraction * float64(c.engineTime()))
		t.add(c.worth, fraction*c.worth)
	}
}

// capacity returns the available engine time in an interval.
func (s *loadSim) capacity(from, to time.Duration) time.Duration {
	total := time.Duration(len(s.engines)) * (to - from)
	for _, o := range s.Pattern.Outages {
		overlap := min(to, o.At+o.Duration) - max(from, o.At)
		total -= time.Duration(o.Share * float64(len(s.engines)) * float64(max(overlap, 0)))
	}
	if r := s.Pattern.Rollout; r != nil {
		length := r.Schedule.To - r.Schedule.From
		overlap := min(to, r.Schedule.To) - max(from, r.Schedule.From)
		loads := time.Duration(len(s.engines)) * s.Engine.LoadTime
		total -= time.Duration(float64(loads) * max(overlap.Seconds(), 0) / length.Seconds())
	}
	return total
}

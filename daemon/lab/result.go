package lab

import (
	"slices"
	"time"
)

// Result is what became of a run's callers, in parts of all that came after the setup's
// first seconds, and of their worth.
type Result struct {
	Pattern string `json:"pattern"`
	Policy  string `json:"policy"`
	Seed    uint64 `json:"seed"`
	Callers int    `json:"callers"`
	// Worth is what was earned of what was owed, less what refusals of those who came back
	// cost. Best is the most that engines could earn by an oracle that knows arrivals and
	// lengths, BestInTurn the same without choosing among callers.
	Worth      float64 `json:"worth"`
	Best       float64 `json:"best"`
	BestInTurn float64 `json:"best_in_turn"`
	// The parts of callers. RefusedAgain are among Refused.
	InTime       float64 `json:"in_time"`
	Late         float64 `json:"late"`
	Refused      float64 `json:"refused"`
	RefusedAgain float64 `json:"refused_again"`
	Cut          float64 `json:"cut"`
	// KnownBack is the part of those who came back that routers took for such, TakenForBack
	// the part of those who were refused at their first try after they were taken for one.
	KnownBack    float64 `json:"known_back"`
	TakenForBack float64 `json:"taken_for_back"`
	// LimitUsed is the most that came to an engine in 4 s while it named a limit, in parts of
	// what the limit allows in that time; 0 where none did.
	LimitUsed float64 `json:"limit_used"`
	// KindWorth is the worth by kind, Windows that of each 2 s.
	KindWorth map[string]float64 `json:"kind_worth"`
	Windows   []float64          `json:"windows"`
}

// WindowLength is the time of each of Result.Windows.
const WindowLength = 2 * time.Second

// againCost is what a refusal of a caller who came back costs, in its worth.
const againCost = 0.3

// tally adds up worth.
type tally struct{ owed, earned float64 }

func (t *tally) add(owed, earned float64) {
	t.owed += owed
	t.earned += earned
}

func (t *tally) share() float64 {
	if t.owed <= 0 {
		return 0
	}
	return t.earned / t.owed
}

// earned is what a caller's answer is worth.
func (c *caller) earned() float64 {
	switch {
	case c.inTime():
		return c.worth
	case c.served:
		return c.late
	case c.refusals > 1:
		return -againCost * c.worth
	default:
		return 0
	}
}

// judge adds up what became of the callers.
func (p *play) judge() *Result {
	r := &Result{Pattern: p.Pattern.Name, Policy: p.policy.Name, Seed: p.Seed, KindWorth: map[string]float64{}}
	var all tally
	kinds := make([]tally, len(p.Kinds))
	windows := make([]tally, (p.Length+WindowLength-1)/WindowLength)
	measured := slices.DeleteFunc(slices.Clone(p.callers), func(c *caller) bool { return c.came < p.Warm })
	for _, c := range p.callers {
		windows[min(int(c.came/WindowLength), len(windows)-1)].add(c.worth, c.earned())
	}
	back, knownBack, takenForBack := 0.0, 0.0, 0.0
	each := 1 / float64(max(len(measured), 1))
	for _, c := range measured {
		all.add(c.worth, c.earned())
		kinds[p.kindIndex(c)].add(c.worth, c.earned())
		r.count(c, each)
		if c.refusals > 0 {
			back++
			knownBack += c.backKnown
		}
		takenForBack += c.takenForBack
	}
	r.Callers, r.Worth = len(measured), all.share()
	r.KnownBack, r.TakenForBack = knownBack/max(back, 1), takenForBack*each
	for i, kind := range p.Kinds {
		r.KindWorth[kind.Name] = kinds[i].share()
	}
	for i := range windows {
		r.Windows = append(r.Windows, windows[i].share())
	}
	r.Best, r.BestInTurn = p.best(measured)
	r.LimitUsed = p.limitUsed()
	return r
}

// limitWindow is the time over which an engine's limit counts.
const limitWindow = 4 * time.Second

// limitUsed is the worst use of a limit.
func (p *play) limitUsed() float64 {
	worst := 0
	for _, e := range p.engines {
		worst = max(worst, e.worst(limitWindow))
	}
	if p.Pattern.Limits == nil {
		return 0
	}
	return float64(worst) / (p.Pattern.Limits.PerSecond * limitWindow.Seconds())
}

func (p *play) kindIndex(c *caller) int {
	return slices.IndexFunc(p.Kinds, func(k Kind) bool { return k.Name == c.kind.Name })
}

// count adds a caller to the part that it belongs to.
func (r *Result) count(c *caller, each float64) {
	switch {
	case c.inTime():
		r.InTime += each
	case c.served:
		r.Late += each
	case c.cut:
		r.Cut += each
	default:
		r.Refused += each
		if c.refusals > 1 {
			r.RefusedAgain += each
		}
	}
}

// Mean is the mean of plays of one pattern and policy.
func Mean(plays []*Result) Result {
	if len(plays) == 0 {
		return Result{}
	}
	mean := Result{Pattern: plays[0].Pattern, Policy: plays[0].Policy, Seed: plays[0].Seed, KindWorth: map[string]float64{}}
	mean.Windows = make([]float64, len(plays[0].Windows))
	each := 1 / float64(len(plays))
	for _, r := range plays {
		mean.Callers += r.Callers
		sums := []struct {
			to   *float64
			from float64
		}{
			{&mean.Worth, r.Worth},
			{&mean.Best, r.Best},
			{&mean.BestInTurn, r.BestInTurn},
			{&mean.InTime, r.InTime},
			{&mean.Late, r.Late},
			{&mean.Refused, r.Refused},
			{&mean.RefusedAgain, r.RefusedAgain},
			{&mean.Cut, r.Cut},
			{&mean.KnownBack, r.KnownBack},
			{&mean.TakenForBack, r.TakenForBack},
			{&mean.LimitUsed, r.LimitUsed},
		}
		for _, sum := range sums {
			*sum.to += each * sum.from
		}
		for name, worth := range r.KindWorth {
			mean.KindWorth[name] += each * worth
		}
		for i, worth := range r.Windows {
			mean.Windows[i] += each * worth
		}
	}
	return mean
}

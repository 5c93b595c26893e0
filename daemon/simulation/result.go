package simulation

import (
	"slices"
	"time"
)

// Result summarizes a run. Counts of callers are shares of all callers that arrived after the
// warm-up. Worth is relative to the total worth of these callers.
type Result struct {
	Pattern string `json:"pattern"`
	Policy  string `json:"policy"`
	Seed    uint64 `json:"seed"`
	Callers int    `json:"callers"`
	// Worth is the share of the total worth that was earned, minus the penalty for refused
	// retries. OracleWorth is the upper bound that an oracle reaches; OracleInOrderWorth is the
	// same without selection among callers.
	Worth              float64 `json:"worth"`
	OracleWorth        float64 `json:"best"`
	OracleInOrderWorth float64 `json:"best_in_turn"`
	// Shares of callers by result. RefusedTwice is included in Refused.
	InTime       float64 `json:"in_time"`
	Late         float64 `json:"late"`
	Refused      float64 `json:"refused"`
	RefusedTwice float64 `json:"refused_again"`
	Truncated    float64 `json:"cut"`
	// DetectedRetries is the share of retrying callers that routers classified as retries,
	// MisdetectedRetries the share of all callers whose first attempt was classified as a retry.
	DetectedRetries    float64 `json:"known_back"`
	MisdetectedRetries float64 `json:"taken_for_back"`
	// LimitUtilization is the highest number of requests that a limited engine received in 4 s,
	// relative to its limit; 0 without limits.
	LimitUtilization float64 `json:"limit_used"`
	// MostInPause is the highest number of requests that an engine received from one router within a
	// pause that it had asked for.
	MostInPause float64 `json:"most_in_pause"`
	// KindWorth is the worth by kind, WindowWorth the worth by window of arrival.
	KindWorth   map[string]float64 `json:"kind_worth"`
	WindowWorth []float64          `json:"windows"`
}

// WindowLength is the length of a window of Result.WindowWorth.
const WindowLength = 2 * time.Second

// refusedRetryPenalty is the cost of a refused retry, relative to the caller's worth.
const refusedRetryPenalty = 0.3

// tally sums the possible and the earned worth of callers.
type tally struct{ possible, earned float64 }

func (t *tally) add(possible, earned float64) {
	t.possible += possible
	t.earned += earned
}

func (t *tally) earnedShare() float64 {
	if t.possible <= 0 {
		return 0
	}
	return t.earned / t.possible
}

// earned returns the worth of the caller's result.
func (c *caller) earned() float64 {
	switch {
	case c.inTime():
		return c.worth
	case c.served:
		return c.lateWorth
	case c.refusals > 1:
		return -refusedRetryPenalty * c.worth
	default:
		return 0
	}
}

// summarize computes the result of a finished run.
func (s *loadSim) summarize() *Result {
	r := &Result{Pattern: s.Pattern.Name, Policy: s.policy.Name, Seed: s.Seed, KindWorth: map[string]float64{}}
	var all tally
	kinds := make([]tally, len(s.Kinds))
	windows := make([]tally, (s.Duration+WindowLength-1)/WindowLength)
	measured := slices.DeleteFunc(slices.Clone(s.callers), func(c *caller) bool { return c.arrivedAt < s.WarmUp })
	for _, c := range s.callers {
		windows[min(int(c.arrivedAt/WindowLength), len(windows)-1)].add(c.worth, c.earned())
	}
	retried, detected, misdetected := 0.0, 0.0, 0.0
	weight := 1 / float64(max(len(measured), 1))
	for _, c := range measured {
		all.add(c.worth, c.earned())
		kinds[s.kindIndex(c)].add(c.worth, c.earned())
		r.count(c, weight)
		if c.refusals > 0 {
			retried++
			detected += c.truePositive
		}
		misdetected += c.falsePositive
	}
	r.Callers, r.Worth = len(measured), all.earnedShare()
	r.DetectedRetries, r.MisdetectedRetries = detected/max(retried, 1), misdetected*weight
	for i, kind := range s.Kinds {
		r.KindWorth[kind.Name] = kinds[i].earnedShare()
	}
	for i := range windows {
		r.WindowWorth = append(r.WindowWorth, windows[i].earnedShare())
	}
	r.OracleWorth, r.OracleInOrderWorth = s.oracleWorth(measured)
	r.LimitUtilization = s.limitUtilization()
	for _, e := range s.engines {
		r.MostInPause = max(r.MostInPause, float64(e.mostInPause))
	}
	return r
}

// limitWindow is the window over which requests are counted against a limit.
const limitWindow = 4 * time.Second

// limitUtilization returns the highest utilization of any engine's limit.
func (s *loadSim) limitUtilization() float64 {
	highest := 0
	for _, e := range s.engines {
		highest = max(highest, e.maxInWindow(limitWindow))
	}
	if s.Pattern.Limits == nil {
		return 0
	}
	return float64(highest) / (s.Pattern.Limits.PerSecond * limitWindow.Seconds())
}

func (s *loadSim) kindIndex(c *caller) int {
	return slices.IndexFunc(s.Kinds, func(k Kind) bool { return k.Name == c.kind.Name })
}

// count adds a caller to the share of its result.
func (r *Result) count(c *caller, weight float64) {
	switch {
	case c.inTime():
		r.InTime += weight
	case c.served:
		r.Late += weight
	case c.truncated:
		r.Truncated += weight
	default:
		r.Refused += weight
		if c.refusals > 1 {
			r.RefusedTwice += weight
		}
	}
}

// Mean averages runs of one pattern and policy.
func Mean(runs []*Result) Result {
	if len(runs) == 0 {
		return Result{}
	}
	mean := Result{Pattern: runs[0].Pattern, Policy: runs[0].Policy, Seed: runs[0].Seed, KindWorth: map[string]float64{}}
	mean.WindowWorth = make([]float64, len(runs[0].WindowWorth))
	weight := 1 / float64(len(runs))
	for _, r := range runs {
		mean.Callers += r.Callers
		sums := []struct {
			to   *float64
			from float64
		}{
			{&mean.Worth, r.Worth},
			{&mean.OracleWorth, r.OracleWorth},
			{&mean.OracleInOrderWorth, r.OracleInOrderWorth},
			{&mean.InTime, r.InTime},
			{&mean.Late, r.Late},
			{&mean.Refused, r.Refused},
			{&mean.RefusedTwice, r.RefusedTwice},
			{&mean.Truncated, r.Truncated},
			{&mean.DetectedRetries, r.DetectedRetries},
			{&mean.MisdetectedRetries, r.MisdetectedRetries},
			{&mean.LimitUtilization, r.LimitUtilization},
			{&mean.MostInPause, r.MostInPause},
		}
		for _, sum := range sums {
			*sum.to += weight * sum.from
		}
		for name, worth := range r.KindWorth {
			mean.KindWorth[name] += weight * worth
		}
		for i, worth := range r.WindowWorth {
			mean.WindowWorth[i] += weight * worth
		}
	}
	return mean
}

package admission_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
)

// This file replays the refusals around the deadline of a rollout: no engine may run a request for
// some seconds, and then the engines become ready one after another. A refused caller waits as told,
// but for at most a third of its remaining time, and returns once.

const (
	gapEngines   = 76
	gapPlaces    = 12
	gapRate      = 650 // requests per second
	gapHoldTime  = 665 * time.Millisecond
	gapTimeout   = 6 * time.Second
	gapBegins    = 2 * time.Second
	gapRamp      = 1500 * time.Millisecond // from the first to the last ready engine
	gapQueries   = 8
	returnBucket = 100 * time.Millisecond
	gapSeeds     = 3
	gapRanks     = 3
	// nextStep is the resolution of the expected times that hosts report.
	nextStep = 250 * time.Millisecond
)

// gapCaller is one caller; times count from the start of the replay.
type gapCaller struct {
	arrival time.Duration
	retry   bool
	rank    int
}

// gapRule draws the Retry-After for a refused caller.
type gapRule func(now time.Duration, expected admission.Expectation, serving, rank int, variate float64) time.Duration

// gapResult counts the callers by result.
type gapResult struct {
	callers, inTime, late, refused, refusedTwice int
	// returns counts the returns and room the free places for them, by returnBucket.
	returns, room map[int]int
	// again counts the callers refused twice by rank.
	again [gapRanks]int
	// delays are the times told by rank.
	delays map[int][]time.Duration
}

// refusedAgain returns the share of the refused callers that were refused again.
func (r gapResult) refusedAgain() float64 { return float64(r.refusedTwice) / float64(r.refused) }

// share returns a count as a share of the callers.
func (r gapResult) share(count int) float64 { return float64(count) / float64(r.callers) }

// value weights the results as score does.
func (r gapResult) value() float64 {
	return result{inTime: r.share(r.inTime), late: r.share(r.late), refusedTwice: r.share(r.refusedTwice)}.score()
}

// maxReturns returns the highest number of returns in a tenth of a second.
func (r gapResult) maxReturns() int {
	highest := 0
	for _, count := range r.returns {
		highest = max(highest, count)
	}
	return highest
}

// replay is the state of one replay.
type replay struct {
	rng     *rand.Rand
	readyAt []time.Duration
	// ends are the end times of the requests of each engine.
	ends    [][]time.Duration
	pending map[time.Duration][]*gapCaller
	rule    gapRule
	// closing is how long before the gap every second engine closes, and lookAhead whether the rule
	// knows that the others must not run requests of callers that return in the gap.
	closing   time.Duration
	lookAhead bool
	// early is how much sooner engines are expected than they are ready.
	early time.Duration
	// ranked sets that less urgent requests leave places free while places are scarce, and
	// saturation is the decayed share of requests that found none.
	ranked     bool
	saturation float64
	result     gapResult
}

// replayGap replays a gap of the given length.
func replayGap(seed uint64, gap time.Duration, rule gapRule) gapResult {
	return newReplay(seed, gap, rule).run()
}

// newReplay returns the replay of a gap of the given length.
func newReplay(seed uint64, gap time.Duration, rule gapRule) *replay {
	r := &replay{
		rng: rand.New(rand.NewPCG(seed, 3)), ends: make([][]time.Duration, gapEngines), rule: rule, pending: map[time.Duration][]*gapCaller{},
		result: gapResult{returns: map[int]int{}, room: map[int]int{}, delays: map[int][]time.Duration{}},
	}
	for i := range gapEngines {
		r.readyAt = append(r.readyAt, gapBegins+gap+gapRamp*time.Duration(i)/(gapEngines-1))
	}
	return r
}

// run runs the replay.
func (r *replay) run() gapResult {
	const length, lastArrival = 14 * time.Second, 10 * time.Second
	for now := time.Duration(0); now < length; now += tick {
		r.endRequests(now)
		callers := r.pending[now]
		delete(r.pending, now)
		for expected := gapRate * tick.Seconds(); now < lastArrival && r.rng.Float64() < expected; expected-- {
			callers = append(callers, &gapCaller{arrival: now, rank: r.rng.IntN(gapRanks)})
			r.result.callers++
		}
		r.rng.Shuffle(len(callers), func(i, j int) { callers[i], callers[j] = callers[j], callers[i] })
		for _, caller := range callers {
			r.call(now, caller)
		}
	}
	return r.result
}

// endRequests removes the requests that have ended, and records the room.
func (r *replay) endRequests(now time.Duration) {
	for i := range r.ends {
		r.ends[i] = slices.DeleteFunc(r.ends[i], func(end time.Duration) bool { return end <= now })
		if now%returnBucket == 0 && r.serves(i, now) {
			r.result.room[int(now/returnBucket)] += max(0, r.limit(true, 0)+1-len(r.ends[i]))
		}
	}
}

func (r *replay) serves(i int, now time.Duration) bool {
	closes := gapBegins
	if i%2 == 0 {
		closes -= r.closing
	}
	return now < closes || now >= r.readyAt[i]
}

// limit returns how many requests an engine may run that admits another one.
func (r *replay) limit(retry bool, rank int) int {
	s := admission.Service{Places: gapPlaces, Objective: 400 * time.Millisecond}
	if r.ranked {
		s.Saturation = r.saturation
	}
	return admission.DefaultPolicy().Limit(s, admission.Request{Retry: retry, Rank: rank}, 0, false).InUse
}

// call sends a caller's request.
func (r *replay) call(now time.Duration, caller *gapCaller) {
	// RetryDetector recognizes retries by the shorter remaining time.
	recognized := caller.retry && now-caller.arrival >= admission.MinRetryAfter-50*time.Millisecond
	if caller.retry {
		r.result.returns[int(now/returnBucket)]++
	}
	placed := r.place(now, r.limit(recognized, caller.rank))
	const weight = 0.005
	if r.saturation *= 1 - weight; !placed {
		r.saturation += weight
	}
	switch {
	case placed:
		if now-caller.arrival < 400*time.Millisecond {
			r.result.inTime++
		} else {
			r.result.late++
		}
	case caller.retry:
		r.result.refusedTwice++
		r.result.again[caller.rank]++
	default:
		r.refuse(now, caller)
	}
}

// place sends the request to one of the engines that serve, or returns false.
func (r *replay) place(now time.Duration, limit int) bool {
	queried := 0
	for _, i := range r.rng.Perm(gapEngines) {
		if !r.serves(i, now) {
			continue
		}
		if len(r.ends[i]) <= limit {
			duration := time.Duration(float64(gapHoldTime) * (0.5 + r.rng.Float64()))
			r.ends[i] = append(r.ends[i], now+duration)
			return true
		}
		if queried++; queried == gapQueries {
			return false
		}
	}
	return false
}

// refuse tells a caller when to return.
func (r *replay) refuse(now time.Duration, caller *gapCaller) {
	r.result.refused++
	caller.retry = true
	expected, serving := admission.Expectation{}, 0
	for i, at := range r.readyAt {
		in := time.Duration(0)
		mustLoad := r.lookAhead && now < gapBegins && now+(admission.MinRetryAfter+admission.MaxRetryAfter)/2 >= gapBegins
		if mustLoad || !r.serves(i, now) {
			in = max((at-r.early-now+nextStep-1)/nextStep*nextStep, nextStep)
		} else {
			serving++
		}
		expected.Ready = append(expected.Ready, in)
	}
	slices.Sort(expected.Ready)
	wait := r.rule(now, expected, serving, caller.rank, r.rng.Float64())
	r.result.delays[caller.rank] = append(r.result.delays[caller.rank], wait)
	wait = min(wait, gapTimeout/3)
	at := max((now + wait).Truncate(tick), now+tick)
	r.pending[at] = append(r.pending[at], caller)
}

// previousRule is the rule without expected times.
func previousRule(_ time.Duration, _ admission.Expectation, serving, _ int, variate float64) time.Duration {
	if serving == 0 {
		return admission.RetryAfter(admission.NotReady, variate)
	}
	return admission.RetryAfter(admission.EnginesFull, variate)
}

// readinessRule is the rule of the router.
func readinessRule(now time.Duration, expected admission.Expectation, serving, rank int, variate float64) time.Duration {
	window, ok := expected.Window()
	if !ok {
		return previousRule(now, expected, serving, rank, variate)
	}
	return expected.RetryAfter(window, variate)
}

// halfReadyRule ends the returns when half of the engines are ready.
func halfReadyRule(now time.Duration, expected admission.Expectation, serving, rank int, variate float64) time.Duration {
	if serving > 0 {
		return previousRule(now, expected, serving, rank, variate)
	}
	from, to := expected.Ready[len(expected.Ready)/8], expected.Ready[len(expected.Ready)/2]
	return expected.RetryAfter(admission.Window{From: from, To: max(to, from+250*time.Millisecond)}, variate)
}

// firstReadyRule lets all callers return when the first engine is ready.
func firstReadyRule(now time.Duration, expected admission.Expectation, serving, rank int, variate float64) time.Duration {
	if serving > 0 {
		return previousRule(now, expected, serving, rank, variate)
	}
	return expected.Ready[0]
}

// withinWaitRule draws the time from the part of the window for which callers wait, instead of
// telling them a time beyond it.
func withinWaitRule(now time.Duration, expected admission.Expectation, serving, rank int, variate float64) time.Duration {
	window, ok := expected.Window()
	if !ok {
		return previousRule(now, expected, serving, rank, variate)
	}
	window.To = min(window.To, gapTimeout/3)
	if window.To <= window.From {
		return gapTimeout / 3
	}
	return expected.RetryAfter(window, variate)
}

// replaySeeds sums the results of several seeds.
func replaySeeds(gap time.Duration, rule gapRule) gapResult {
	sum := gapResult{returns: map[int]int{}, room: map[int]int{}, delays: map[int][]time.Duration{}}
	for seed := range uint64(gapSeeds) {
		r := replayGap(seed+1, gap, rule)
		sum.callers += r.callers
		sum.inTime += r.inTime
		sum.late += r.late
		sum.refused += r.refused
		sum.refusedTwice += r.refusedTwice
		for bucket, count := range r.returns {
			sum.returns[bucket] += count
		}
		for bucket, count := range r.room {
			sum.room[bucket] += count
		}
		for rank, delays := range r.delays {
			sum.delays[rank] = append(sum.delays[rank], delays...)
		}
	}
	return sum
}

// gaps are the replayed lengths of the time in which no engine serves.
var gaps = []time.Duration{1500 * time.Millisecond, 3 * time.Second}

// log prints the shares of a result and, for each tenth of a second, the returns and the room.
func (r gapResult) log(t *testing.T, name string) {
	t.Helper()
	t.Logf("%s: in time %.3f, late %.3f, refused %.3f, of these again %.3f, value %.3f, at most %d returns in 0.1 s",
		name, r.share(r.inTime), r.share(r.late), r.share(r.refused), r.refusedAgain(), r.value(), r.maxReturns())
	var returns, room []int
	const first, last = 20, 90
	for bucket := first; bucket < last; bucket++ {
		returns, room = append(returns, r.returns[bucket]), append(room, r.room[bucket])
	}
	t.Logf("  returns from 2 s on: %v", returns)
	t.Logf("  room:                %v", room)
}

// TestReturnsFindRoomAfterRollout guards against callers that return only to be refused again, and
// against returns that crowd and take the places of first attempts.
func TestReturnsFindRoomAfterRollout(t *testing.T) {
	for _, gap := range gaps {
		previous, readiness := replaySeeds(gap, previousRule), replaySeeds(gap, readinessRule)
		previous.log(t, gap.String()+" previous rule")
		readiness.log(t, gap.String()+" by readiness")
		assert.Less(t, readiness.refusedAgain(), previous.refusedAgain()-0.1)
		assert.Greater(t, readiness.value(), previous.value()+0.025)
		assert.Greater(t, readiness.share(readiness.inTime), previous.share(previous.inTime), "first attempts lose nothing")
		assert.Less(t, readiness.refused, previous.refused)
		assert.Less(t, float64(readiness.maxReturns()), 1.3*gapRate*returnBucket.Seconds()*gapSeeds, "the returns come at no more than about the rate of first attempts")
	}
}

// TestOtherWindowsOfReturns guards against returns that end when half of the engines are ready, and
// against a step at the first one: they crowd, and more callers are refused twice.
func TestOtherWindowsOfReturns(t *testing.T) {
	for _, gap := range gaps {
		readiness := replaySeeds(gap, readinessRule)
		for name, rule := range map[string]gapRule{"until half are ready": halfReadyRule, "first ready engine": firstReadyRule} {
			other := replaySeeds(gap, rule)
			other.log(t, gap.String()+" "+name)
			assert.Greater(t, other.refusedAgain(), readiness.refusedAgain()+0.05, name)
			assert.Less(t, other.value(), readiness.value(), name)
			assert.Greater(t, other.maxReturns(), 2*readiness.maxReturns(), name)
		}
	}
}

// TestTimeBeyondWaitIsToldUnchanged guards against fitting the time to what the caller waits: more
// callers would return while few engines are ready.
func TestTimeBeyondWaitIsToldUnchanged(t *testing.T) {
	for _, gap := range gaps {
		readiness, within := replaySeeds(gap, readinessRule), replaySeeds(gap, withinWaitRule)
		within.log(t, gap.String()+" within the wait")
		assert.Greater(t, within.refusedAgain(), readiness.refusedAgain())
		assert.Less(t, within.value(), readiness.value())
	}
}

// TestReturnsWithWrongExpectedTimes guards against a rule that is worse than the previous one if
// engines are ready later or sooner than expected.
func TestReturnsWithWrongExpectedTimes(t *testing.T) {
	for _, gap := range gaps {
		previous := replayGap(1, gap, previousRule)
		for _, early := range []time.Duration{-time.Second, -500 * time.Millisecond, 500 * time.Millisecond, time.Second} {
			r := newReplay(1, gap, readinessRule)
			r.early = early
			result := r.run()
			t.Logf("gap %s, expected %s too early: again %.3f (previous rule %.3f), value %.3f (%.3f), at most %d returns in 0.1 s",
				gap, early, result.refusedAgain(), previous.refusedAgain(), result.value(), previous.value(), result.maxReturns())
			assert.Less(t, result.refusedAgain(), previous.refusedAgain())
			assert.Greater(t, result.value(), previous.value())
		}
	}
}

// TestReturnsOfCallersRefusedBeforeGap guards against callers of full engines that return while no
// engine may run their requests: half of the engines close ahead of the gap.
func TestReturnsOfCallersRefusedBeforeGap(t *testing.T) {
	const gap, closing = time.Second, 1600 * time.Millisecond
	replay := func(rule gapRule, lookAhead bool) gapResult {
		r := newReplay(1, gap, rule)
		r.closing, r.lookAhead = closing, lookAhead
		return r.run()
	}
	previous, present, ahead := replay(previousRule, false), replay(readinessRule, false), replay(readinessRule, true)
	previous.log(t, "previous rule")
	present.log(t, "by the version that is required now")
	ahead.log(t, "by the version that is required at the return")
	assert.Less(t, ahead.refusedAgain(), present.refusedAgain()-0.03)
	assert.Greater(t, ahead.value(), present.value())
}

// TestReturnsWithoutExpectedTimes guards against a change where hosts report no expected times.
func TestReturnsWithoutExpectedTimes(t *testing.T) {
	unknown := func(now time.Duration, expected admission.Expectation, serving, rank int, variate float64) time.Duration {
		expected = admission.Expectation{Ready: expected.Ready[:serving], Unknown: len(expected.Ready) - serving}
		return readinessRule(now, expected, serving, rank, variate)
	}
	for _, gap := range gaps {
		assert.Equal(t, replayGap(1, gap, previousRule), replayGap(1, gap, unknown))
	}
}

// replayRanks sums the results of several seeds with the given order of ranks. Less urgent requests
// leave places free while places are scarce.
func replayRanks(gap time.Duration, order func(shares *admission.RankShares, rank int, variate float64) float64) gapResult {
	sum := gapResult{delays: map[int][]time.Duration{}}
	for seed := range uint64(gapSeeds) {
		var now time.Duration
		shares := &admission.RankShares{Now: func() time.Time { return time.Unix(1000, 0).Add(now) }}
		r := newReplay(seed+1, gap, func(at time.Duration, expected admission.Expectation, serving, rank int, variate float64) time.Duration {
			now = at
			return readinessRule(at, expected, serving, rank, order(shares, rank, variate))
		})
		r.ranked = true
		result := r.run()
		sum.refused += result.refused
		sum.refusedTwice += result.refusedTwice
		for rank, delays := range result.delays {
			sum.delays[rank] = append(sum.delays[rank], delays...)
			sum.again[rank] += result.again[rank]
		}
	}
	return sum
}

// TestUrgentRanksReturnFirstAfterRollout guards against urgent callers that return after others or are
// refused again more often, and against an order of ranks that costs more than it gains: the first
// engines that are ready have places for urgent requests only.
func TestUrgentRanksReturnFirstAfterRollout(t *testing.T) {
	for _, gap := range gaps {
		ordered := replayRanks(gap, func(shares *admission.RankShares, rank int, variate float64) float64 {
			return shares.Variate("s", rank, gapRanks, variate)
		})
		unordered := replayRanks(gap, func(_ *admission.RankShares, _ int, variate float64) float64 { return variate })
		var mean [gapRanks]time.Duration
		var again [gapRanks]float64
		for rank, delays := range ordered.delays {
			for _, delay := range delays {
				mean[rank] += delay / time.Duration(len(delays))
			}
			again[rank] = float64(ordered.again[rank]) / float64(len(delays))
		}
		t.Logf("%s: refused again %.3f, in any order %.3f; by rank %.3f, told %s", gap, ordered.refusedAgain(), unordered.refusedAgain(), again, mean)
		for rank := range gapRanks - 1 {
			assert.Less(t, mean[rank], mean[rank+1]-200*time.Millisecond)
			assert.Less(t, again[rank], again[rank+1])
		}
		assert.Less(t, ordered.refusedAgain(), unordered.refusedAgain()+0.01)
	}
}

package places_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/enginetime"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file replays streams on a fleet of which one engine in seven is slow, on a virtual clock.

const (
	fleetSize, slowPace = 28, 2.5
	replayTick          = 25 * time.Millisecond // the interval of load reports
	replayTime          = 40 * time.Second
	objective, eventGap = 400 * time.Millisecond, 400 * time.Millisecond
)

// replaySpec holds the declared rates of the highlights deployment in docs/OVERLOAD.md.
var replaySpec = provider.EngineSpec{
	Places: 12, PromptRate: 19100, MeanPromptTokens: 800, MeanAnswerTokens: 90, StepTime: 8870 * time.Microsecond, StepTimePerRequest: 38800,
	StepTimePerKiloToken: 22700, PromptTimePerMegaPair: 1470 * time.Microsecond, StepsPerPass: 5, PromptTokensPerPass: 2048,
}

// stream is a request. Times count from the start of the replay.
type stream struct {
	arrival, deadline, firstByte, lastEvent, longestGap time.Duration
	kind, unread, prompt, answer, hint, size            int
	done, cut, onSlow                                   bool
}

// passEngine works in passes, as the package comment of enginetime describes.
type passEngine struct {
	ledger           places.Ledger
	pace             float64
	waiting, running []*stream
	reading          []*stream
	passEnds         time.Duration
	busy             bool
}

func (e *passEngine) startPass() {
	tokens, pairs, context := 0, 0.0, 0
	e.reading = nil
	for len(e.waiting) > 0 && len(e.running)+len(e.reading) < replaySpec.Places && tokens < replaySpec.PromptTokensPerPass {
		next := e.waiting[0]
		part := min(next.unread, replaySpec.PromptTokensPerPass-tokens)
		next.unread -= part
		tokens, pairs = tokens+part, pairs+float64(part*next.prompt)/2
		if next.unread > 0 {
			break
		}
		e.reading, e.waiting = append(e.reading, next), e.waiting[1:]
	}
	batch := append(slices.Clone(e.running), e.reading...)
	for _, s := range batch {
		context += s.prompt
	}
	step := replaySpec.StepTime + time.Duration(len(batch))*replaySpec.StepTimePerRequest + time.Duration(context)*replaySpec.StepTimePerKiloToken/1000
	read := time.Duration(float64(tokens)/replaySpec.PromptRate*1e9 + pairs/1e6*float64(replaySpec.PromptTimePerMegaPair))
	e.busy = len(batch) > 0 || tokens > 0
	e.passEnds += time.Duration(e.pace * float64(read+time.Duration(replaySpec.StepsPerPass)*step))
}

// advance runs the passes that end until now.
func (e *passEngine) advance(now time.Duration) {
	for e.busy && e.passEnds <= now {
		e.running = append(e.running, e.reading...)
		for _, s := range e.running {
			if s.firstByte == 0 {
				s.firstByte = e.passEnds
			} else {
				s.longestGap = max(s.longestGap, e.passEnds-s.lastEvent)
			}
			s.lastEvent = e.passEnds
			s.answer -= replaySpec.StepsPerPass
			s.cut = e.passEnds > s.deadline
			s.done = s.cut || s.answer <= 0
		}
		e.running = slices.DeleteFunc(e.running, func(s *stream) bool { return s.done })
		e.startPass()
	}
}

func (e *passEngine) enqueue(s *stream, now time.Duration) {
	e.waiting = append(e.waiting, s)
	if !e.busy {
		e.passEnds = now
		e.startPass()
	}
}

// outcomes counts the streams of a replay by their outcome.
type outcomes struct{ all, inTime, lateFirst, longGap, cut, refused int }

// admitted returns the share of the streams that were not refused, and served that of the streams that
// ended before their deadline.
func (o outcomes) admitted() float64 { return 1 - float64(o.refused)/float64(o.all) }
func (o outcomes) served() float64   { return 1 - float64(o.refused+o.cut)/float64(o.all) }

// kindOutcomes holds the outcomes of a kind of streams, of its largest tenth and of the next fifth.
type kindOutcomes struct{ all, largest, next outcomes }

// replayResult holds the outcomes of all streams, of those on slow engines, and by kind.
type replayResult struct {
	all, onSlow outcomes
	kinds       [3]kindOutcomes
}

// replay runs a load, as a fraction of the capacity, with or without time limits in the queries. One
// engine in slowEvery is slow.
func replay(load float64, slowEvery int, timed bool) (result replayResult) {
	rng := rand.New(rand.NewPCG(3, 9))
	start, now := time.Unix(1000, 0), time.Duration(0)
	fleet := make([]*passEngine, fleetSize)
	for i := range fleet {
		fleet[i] = &passEngine{pace: 1}
		if i%slowEvery == 0 {
			fleet[i].pace = slowPace
		}
		fleet[i].ledger.Now = func() time.Time { return start.Add(now) }
		fleet[i].ledger.SetEngine(replaySpec)
	}
	const perEngine = 10.2 // streams per second of an engine as fast as declared
	perTick := load * perEngine * fleetSize * (float64(slowEvery-1) + 1/slowPace) / float64(slowEvery) * replayTick.Seconds()
	var streams []*stream
	for owed := 0.0; now < replayTime+10*time.Second; now += replayTick {
		for _, e := range fleet {
			e.advance(now)
			e.ledger.Observe(places.EngineLoad{Running: len(e.running), Waiting: len(e.waiting) + len(e.reading), Pace: enginetime.ReportedPace(e.pace)}, true)
		}
		for owed += perTick; owed >= 1 && now < replayTime; owed-- {
			s := drawStream(rng, now)
			streams = append(streams, s)
			place(fleet, s, now, timed, rng)
		}
	}
	slices.SortFunc(streams, func(a, b *stream) int { return b.size - a.size })
	for _, s := range streams {
		result.all.add(s)
		result.kinds[s.kind].all.add(s)
		if s.onSlow {
			result.onSlow.add(s)
		}
	}
	for i := range result.kinds {
		kind := &result.kinds[i]
		ofKind := slices.DeleteFunc(slices.Clone(streams), func(s *stream) bool { return s.kind != i })
		for j, s := range ofKind {
			if j < len(ofKind)/10 {
				kind.largest.add(s)
			} else if j < len(ofKind)*3/10 {
				kind.next.add(s)
			}
		}
	}
	return result
}

func (o *outcomes) add(s *stream) {
	o.all++
	switch {
	case !s.done:
		o.refused++
	case s.cut:
		o.cut++
	case s.firstByte-s.arrival > objective:
		o.lateFirst++
	case s.longestGap > eventGap:
		o.longGap++
	default:
		o.inTime++
	}
}

func drawStream(rng *rand.Rand, now time.Duration) *stream {
	kinds := []struct{ prompt, answer float64 }{{1290, 110}, {787, 110}, {607, 70}, {607, 70}}
	drawn := rng.IntN(len(kinds))
	kind := kinds[drawn]
	prompt := min(int(kind.prompt*(0.3+0.7*rng.ExpFloat64())), 4000)
	answer := 5 + int((kind.answer-5)*rng.ExpFloat64())
	deadline := 6 * time.Second
	if rng.IntN(7) == 0 {
		deadline = 5100 * time.Millisecond
	}
	hint := max(1, int(float64(answer)*math.Exp(0.5*rng.NormFloat64())))
	return &stream{kind: min(drawn, 2), arrival: now, deadline: now + deadline, unread: prompt, prompt: prompt, answer: answer, hint: hint, size: prompt + 10*answer}
}

// place searches for a place like a router: it queries the engines with the fewest waiting requests
// first, in random order where these are equal.
func place(fleet []*passEngine, s *stream, now time.Duration, timed bool, rng *rand.Rand) {
	search := admission.Search{Service: admission.Service{
		Places: replaySpec.Places, ReadTime: 42 * time.Millisecond, PlaceInterval: 95 * time.Millisecond, Objective: objective,
	}}
	order := rng.Perm(len(fleet))
	slices.SortStableFunc(order, func(a, b int) int { return len(fleet[a].waiting) - len(fleet[b].waiting) })
	for _, i := range order {
		if search.Done() {
			return
		}
		req := places.Request{Limit: search.Limit(false), Size: places.Size{PromptTokens: s.prompt, AnswerTokens: s.hint}}
		if timed {
			req.Times = search.Times(enginetime.Limits{First: objective, Gap: eventGap, Left: s.deadline - now}, false)
		}
		reported, granted := fleet[i].ledger.Reserve(req)
		if granted {
			s.onSlow = fleet[i].pace > 1
			fleet[i].enqueue(s, now)
			return
		}
		search.AddDenied(reported)
	}
}

// refusedMore bounds the share of the streams that may be refused beyond the baseline: a stream that
// no slow engine can serve in time may find no other one.
const refusedMore = 0.02

// TestSlowEnginesGetWhatTheyServeInTime guards against slow engines that make streams late or hold
// them until their deadline, and against slow engines that serve fewer streams in time than before.
// The baseline is the decision by the number of requests alone.
func TestSlowEnginesGetWhatTheyServeInTime(t *testing.T) {
	for _, load := range []float64{0.6, 0.8, 1} {
		before, after := replay(load, 7, false), replay(load, 7, true)
		t.Logf("load %.1f: before %+v, after %+v", load, before.all, after.all)
		t.Logf("on slow engines: before %+v, after %+v", before.onSlow, after.onSlow)
		assertNotWorse(t, before, after)
		assert.Less(t, after.onSlow.cut, before.onSlow.cut)
		assert.Less(t, after.onSlow.lateFirst, before.onSlow.lateFirst)
		assert.Greater(t, after.onSlow.inTime, before.onSlow.inTime)
	}
}

// TestHalfSlowFleetRefusesNoMore guards against requests that are refused although slow engines have
// room, because half of the fleet is slow and the other half is full.
func TestHalfSlowFleetRefusesNoMore(t *testing.T) {
	for _, load := range []float64{0.6, 0.8, 1} {
		before, after := replay(load, 2, false), replay(load, 2, true)
		t.Logf("load %.1f: before %+v, after %+v", load, before.all, after.all)
		assertNotWorse(t, before, after)
	}
}

// assertNotWorse compares a replay with its baseline.
func assertNotWorse(t *testing.T, before, after replayResult) {
	t.Helper()
	assert.Greater(t, after.all.inTime, before.all.inTime, "in time")
	assert.LessOrEqual(t, after.all.cut, before.all.cut, "cut")
	assert.LessOrEqual(t, after.all.lateFirst, before.all.lateFirst, "late")
	assert.LessOrEqual(t, float64(after.all.refused), float64(before.all.refused)+refusedMore*float64(after.all.all), "refused")
}

// TestLargeRequestsAreServedUnderOverload guards against limits that refuse most of the largest
// requests: the largest tenth of a kind and the next fifth must be served at least half as often as
// their kind.
func TestLargeRequestsAreServedUnderOverload(t *testing.T) {
	for _, slowEvery := range []int{7, 2} {
		for _, load := range []float64{1, 1.3} {
			result := replay(load, slowEvery, true)
			for i, kind := range result.kinds {
				t.Logf("one in %d slow, load %.1f, kind %d: all %+v, largest tenth %+v, next fifth %+v", slowEvery, load, i, kind.all, kind.largest, kind.next)
				assert.GreaterOrEqual(t, kind.largest.served(), kind.all.served()/2, "largest tenth of kind %d", i)
				assert.GreaterOrEqual(t, kind.next.served(), kind.all.served()/2, "next fifth of kind %d", i)
			}
		}
	}
}

// TestFleetOfSlowEnginesRefusesNoSize guards against requests that are refused for their size, or
// although engines have room, because no engine meets the limits of time. Most of the longest answers
// cannot end before their deadline on any engine of this fleet, so what counts is that they are
// admitted as often as half of their kind.
func TestFleetOfSlowEnginesRefusesNoSize(t *testing.T) {
	for _, load := range []float64{0.6, 1, 1.3} {
		before, after := replay(load, 1, false), replay(load, 1, true)
		t.Logf("load %.1f: before %+v, after %+v", load, before.all, after.all)
		assert.LessOrEqual(t, after.all.cut, before.all.cut, "cut")
		if load < 1 {
			assert.LessOrEqual(t, float64(after.all.refused), float64(before.all.refused)+refusedMore*float64(after.all.all), "refused")
		} else {
			assert.Greater(t, after.all.inTime, before.all.inTime, "in time")
			assert.LessOrEqual(t, after.all.lateFirst, before.all.lateFirst, "late")
		}
		for i, kind := range after.kinds {
			t.Logf("kind %d: all %+v, largest tenth %+v, next fifth %+v", i, kind.all, kind.largest, kind.next)
			assert.GreaterOrEqual(t, kind.largest.admitted(), kind.all.admitted()/2, "largest tenth of kind %d", i)
			assert.GreaterOrEqual(t, kind.next.admitted(), kind.all.admitted()/2, "next fifth of kind %d", i)
		}
	}
}

// TestFleetOfSlowEnginesRefusesNoMoreBelowFullLoad guards against requests that are refused at four fifths of a
// full load, where the engines still have room for those that come late.
func TestFleetOfSlowEnginesRefusesNoMoreBelowFullLoad(t *testing.T) {
	before, after := replay(0.8, 1, false), replay(0.8, 1, true)
	t.Logf("before %+v, after %+v", before.all, after.all)
	assert.LessOrEqual(t, float64(after.all.refused), float64(before.all.refused)+refusedMore*float64(after.all.all), "refused")
}

package fairshare_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
)

// This file replays an overload on many engines and routers with a virtual clock. A request holds a
// place for a random time, in proportion to its size. Routers choose engines by load reports that are
// up to 50 ms old.

const (
	engines, enginePlaces  = 45, 12
	accounts, kinds        = 24, 3
	meanHold               = 1200 * time.Millisecond
	duration, warmup       = 16 * time.Second, 3 * time.Second
	roundTrip, reportEvery = 3 * time.Millisecond, 50 * time.Millisecond
	// busyAccount repeats refused requests three times, unrecognized. urgentAccount precedes.
	busyAccount, urgentAccount = 0, 12
)

// call is one request of a caller.
type call struct {
	account, kind, refusals int
	size                    float64
	measured, served        bool
}

type engine struct {
	ledger           places.Ledger
	running, reports int
}

// event is a scheduled function.
type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type replay struct {
	divided bool
	repeats int // of the busy account
	now     time.Duration
	events  events
	// arrivals draws the requests, the same ones in all runs, and rng everything else.
	arrivals, rng *rand.Rand
	engines       []*engine
	calls         []*call
	weights       []float64
	// saturation is the share of searches that found all engines full, and idle sums the free
	// places over time.
	saturation, idle float64
}

func (r *replay) after(delay time.Duration, run func()) {
	heap.Push(&r.events, event{r.now + delay, run})
}

// run replays requests at a multiple of the room. Extra multiplies the rate of one kind for 6 s, and
// repeats is how often the busy account repeats a refused request.
func run(divided bool, load, extra float64, repeats int) *replay {
	r := &replay{divided: divided, repeats: repeats, arrivals: rand.New(rand.NewPCG(1, 2)), rng: rand.New(rand.NewPCG(3, 4))}
	for range engines {
		e := &engine{}
		e.ledger.Now = func() time.Time { return time.Unix(1000, 0).Add(r.now) }
		r.engines = append(r.engines, e)
		r.poll(e)
	}
	total := 0.0
	for i := range accounts - 1 {
		r.weights = append(r.weights, 1/float64(i+2))
		total += 1 / float64(i+2)
	}
	r.weights = append([]float64{0.3 / 0.7 * total}, r.weights...) // 30 in 100 of all callers
	for i := range r.weights {
		r.weights[i] *= 0.7 / total
	}
	for kind := range kinds {
		r.arrive(kind, load*engines*enginePlaces/meanHold.Seconds()/kinds, extra)
	}
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.run()
	}
	return r
}

// poll reports an engine's load to its loader and to the routers.
func (r *replay) poll(e *engine) {
	e.ledger.Observe(places.EngineLoad{Running: e.running}, true)
	if r.now%reportEvery == 0 {
		e.reports = e.running
	}
	if r.now > warmup && r.now < duration {
		r.idle += float64(max(0, enginePlaces-e.running))
	}
	if r.now < duration {
		r.after(10*time.Millisecond, func() { r.poll(e) })
	}
}

// arrive schedules the requests of one kind.
func (r *replay) arrive(kind int, rate, extra float64) {
	if r.now > 6*time.Second && r.now < 12*time.Second && kind == kinds-1 {
		r.after(time.Duration(r.arrivals.ExpFloat64()/(rate*extra)*float64(time.Second)), func() { r.arrive(kind, rate, extra) })
	} else {
		r.after(time.Duration(r.arrivals.ExpFloat64()/rate*float64(time.Second)), func() { r.arrive(kind, rate, extra) })
	}
	if r.now >= duration {
		r.events = r.events[:0]
		return
	}
	c := &call{kind: kind, size: 0.3 + 0.7*r.arrivals.ExpFloat64(), measured: r.now > warmup}
	for draw := r.arrivals.Float64(); c.account < accounts-1 && draw >= r.weights[c.account]; c.account++ {
		draw -= r.weights[c.account]
	}
	r.calls = append(r.calls, c)
	r.search(c)
}

// request returns what routers state about a call, and its rank by the previous rule.
func (c *call) request() (caller places.Caller, oldRank int) {
	level := 1
	if c.account == urgentAccount {
		level = 0
	}
	return places.Caller{Account: fmt.Sprint(c.account), Rank: level*kinds + c.kind, Ranks: 2 * kinds}, level
}

// search queries engines one after the other, the less loaded of a random choice first.
func (r *replay) search(c *call) {
	caller, oldRank := c.request()
	retry := c.refusals == 1 && c.account != busyAccount
	s := &admission.Search{
		Service: admission.Service{
			Places: enginePlaces, ReadTime: 35 * time.Millisecond, Objective: 400 * time.Millisecond,
			PlaceInterval: meanHold / enginePlaces, Saturation: r.saturation,
		},
		Request: admission.Request{Rank: oldRank, Retry: retry, Divided: r.divided},
	}
	tried := map[*engine]bool{}
	var query func()
	query = func() {
		e := r.choose(tried)
		tried[e] = true
		request := places.Request{Limit: s.Limit(false), Size: places.Size{PromptTokens: int(1000 * c.size)}}
		if r.divided {
			request.Caller = caller
			request.Caller.Denied, request.Caller.Last, request.Caller.Retry = s.Answered(), s.Last(false), retry
		}
		load, granted := e.ledger.Reserve(request)
		if granted {
			r.saturation += 0.002 * (0 - r.saturation)
			r.after(roundTrip, func() { r.start(c, e) })
			return
		}
		if s.AddDenied(load); !s.Done() {
			r.after(roundTrip, query)
			return
		}
		if s.AllFull() {
			r.saturation += 0.002 * (1 - r.saturation)
		}
		r.refuse(c)
	}
	query()
}

func (r *replay) choose(tried map[*engine]bool) *engine {
	var best *engine
	for n := 0; n < 3; {
		e := r.engines[r.rng.IntN(engines)]
		if tried[e] {
			continue
		}
		if n++; best == nil || e.reports < best.reports {
			best = e
		}
	}
	return best
}

func (r *replay) start(c *call, e *engine) {
	e.running++
	c.served = true
	r.after(time.Duration(c.size*float64(meanHold)), func() { e.running-- })
}

// refuse lets a caller repeat once, and that of the busy account three times.
func (r *replay) refuse(c *call) {
	c.refusals++
	if c.refusals == 1 || c.account == busyAccount && c.refusals <= r.repeats {
		r.after(admission.RetryAfter(admission.EnginesFull, r.rng.Float64()), func() { r.search(c) })
	}
}

// served returns the ratio of calls served among those that match.
func (r *replay) served(match func(c *call) bool) float64 {
	served, all := 0, 0
	for _, c := range r.calls {
		if c.measured && match(c) {
			all++
			if c.served {
				served++
			}
		}
	}
	return float64(served) / math.Max(1, float64(all))
}

func (r *replay) byKind(kind int) float64 {
	return r.served(func(c *call) bool { return c.kind == kind && c.account != urgentAccount })
}

func (r *replay) byAccount(account int) float64 {
	return r.served(func(c *call) bool { return c.account == account })
}

func (r *replay) work() float64 {
	sum := 0.0
	for _, c := range r.calls {
		if c.served && c.measured {
			sum += c.size
		}
	}
	return sum / (duration - warmup).Seconds() * meanHold.Seconds() / engines / enginePlaces
}

func (r *replay) String() string {
	all := r.served(func(*call) bool { return true })
	text := fmt.Sprintf("all %.3f work %.3f idle %.3f kinds %.2f %.2f %.2f urgent %.2f busy %.2f |", all, r.work(),
		r.idle/((duration-warmup).Seconds()*100*engines*enginePlaces), r.byKind(0), r.byKind(1), r.byKind(2), r.byAccount(urgentAccount), r.byAccount(busyAccount))
	for account := range accounts {
		text += fmt.Sprintf(" %.2f", r.byAccount(account))
	}
	for kind := range kinds {
		large := r.served(func(c *call) bool { return c.kind == kind && c.size > 0.3+0.7*2.3 })
		text += fmt.Sprintf(" L%.2f", large)
	}
	return text
}

// TestDivisionInOverload replays overloads, and a burst of the least urgent kind, with the previous
// decision as the baseline: places first come, first served within a reserve by rank, where the
// priority of the account replaces that of the route. It guards against kinds that are served out of
// order or starve, an account that gains by repeating, large requests that starve, and throughput
// that the division costs.
func TestDivisionInOverload(t *testing.T) {
	tests := []struct {
		name        string
		load, burst float64
		// maxLoss is the highest loss of engine time against the baseline.
		maxLoss float64
	}{{"slight", 1.1, 1, 0.03}, {"1.3 times the room", 1.3, 1, 0}, {"2 times the room", 2, 1, 0}, {"burst", 1, 2.1, 0}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			base, got := run(false, test.load, test.burst, 3), run(true, test.load, test.burst, 3)
			t.Logf("before: %s", base)
			t.Logf("now:    %s", got)
			all := got.served(func(*call) bool { return true })
			for kind := range kinds {
				assert.Greater(t, got.byKind(kind), all/2, "kind %d", kind)
				large := got.served(func(c *call) bool { return c.kind == kind && c.size > 0.3+0.7*math.Log(10) })
				assert.Greater(t, large, got.byKind(kind)/2, "largest tenth of kind %d", kind)
			}
			for kind := range kinds - 1 {
				assert.Greater(t, got.byKind(kind), got.byKind(kind+1))
			}
			for account := range accounts {
				assert.Greater(t, got.byAccount(account), all/4, "account %d", account)
			}
			assert.GreaterOrEqual(t, got.byAccount(urgentAccount), got.byKind(0)-0.05)
			once, baseOnce := run(true, test.load, test.burst, 1), run(false, test.load, test.burst, 1)
			t.Logf("busy account: repeats once %.3f (before %.3f), three times %.3f (before %.3f)",
				once.byAccount(busyAccount), baseOnce.byAccount(busyAccount), got.byAccount(busyAccount), base.byAccount(busyAccount))
			assert.Less(t, got.byAccount(busyAccount), base.byAccount(busyAccount))
			assert.Less(t, got.byAccount(busyAccount)-once.byAccount(busyAccount), 0.07)
			assert.Greater(t, got.work(), base.work()-test.maxLoss)
		})
	}
}

// TestCalmLoadIsUndivided guards against requests that are refused while there is room for all.
func TestCalmLoadIsUndivided(t *testing.T) {
	base, got := run(false, 0.9, 1, 3), run(true, 0.9, 1, 3)
	assert.Equal(t, base.String(), got.String())
}

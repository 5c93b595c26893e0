package balance_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file replays the calm load of the deployments of docs/OVERLOAD.md in virtual time: engines
// that read prompts between decoding passes, loaders that grant places, load reports in batches of
// 8 to 95 ms, and routers that query one loader after the other with round trips of 1 to 6 ms.

// replaySetup describes a fleet and its load.
type replaySetup struct {
	engines, routers int
	// perSecond is the rate of requests, and demand the relative demand of each of the halls.
	perSecond float64
	demand    []float64
	// slowEvery makes each engine of that number slower by slowPace; 0 means none.
	slowEvery int
	slowPace  float64
	// step multiplies the demand of the first hall from stepAt on.
	step   float64
	stepAt time.Duration
	until  time.Duration
	// feeds is the number of loaders of its own hall that a router follows; 0 means all loaders.
	feeds int
	rules rules
	seed  uint64
	model replayModel
}

// replayModel is the speed of the engines and the work of a stream.
type replayModel struct {
	steps                int // decoding steps in a pass
	stepMs, perRequestMs float64
	tokensPerMs          float64
	objective, gap       time.Duration
	kinds                [][2]float64 // mean prompt tokens and events
}

var (
	highlightsModel = replayModel{
		steps: 5, stepMs: 8.87, perRequestMs: 0.0388, tokensPerMs: 19.1, objective: 400 * time.Millisecond, gap: 400 * time.Millisecond,
		kinds: [][2]float64{{1290, 22}, {787, 22}, {607, 14}},
	}
	tutoringModel = replayModel{
		steps: 7, stepMs: 7.4, perRequestMs: 0.0387, tokensPerMs: 31.9, objective: 400 * time.Millisecond, gap: 400 * time.Millisecond,
		kinds: [][2]float64{{1290, 18}, {787, 18}, {607, 10}},
	}
)

// rules choose an engine for a request of a router.
type rules string

const (
	byReport       rules = "last report (today)"
	byExpected     rules = "expected load, few drawn"
	byExpectedAll  rules = "expected load, least of all"
	byTwoChoices   rules = "two drawn, last report"
	byThreeChoices rules = "three drawn, last report"
	byIdleQueue    rules = "join idle queue"
)

// highlights is the highlights deployment after the second group of engines was added.
func highlights(rule rules, seed uint64) replaySetup {
	return replaySetup{
		engines: 68, routers: 35, perSecond: 452, demand: []float64{1.4, 1, 1}, slowEvery: 7, slowPace: 2.5,
		until: 12 * time.Second, rules: rule, seed: seed, model: highlightsModel,
	}
}

const (
	replayPlaces     = 12
	replayPassTokens = 2048
	replayMeanPrompt = 895
	replayWarmUp     = 4 * time.Second
)

type replayJob struct {
	tokens, events int
	sent           time.Duration
	lastEvent      time.Duration
	late           bool
	onEnd          func()
}

type replayEngine struct {
	upstream         *provider.Upstream
	pace             float64
	ledger           places.Ledger
	waiting, running []*replayJob
	busy             bool
	followers        []*replayRouter
}

func (e *replayEngine) inUse() int { return len(e.waiting) + len(e.running) }

type replayRouter struct {
	pool      balance.Pool
	hall      int
	last      map[*replayEngine]balance.LoadReport
	idle      []*replayEngine
	candidate []*provider.Upstream
}

type replayEvent struct {
	at    time.Duration
	order int
	run   func()
}

type replayQueue []replayEvent

func (q replayQueue) Len() int { return len(q) }
func (q replayQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q replayQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *replayQueue) Push(x any)   { *q = append(*q, x.(replayEvent)) }
func (q *replayQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// replayResult holds what a replay measured after its warm-up.
type replayResult struct {
	requests, queries, denied, refused, remote int
	served, late, slowServed                   int
	firstByte                                  time.Duration
	// inUse holds samples of the places in use, and fastInUse those of engines of pace 1.
	inUse, fastInUse []float64
	// overrun counts the samples in which an engine was beyond its places while another had three
	// free.
	overrun, samples int
	// ofHall holds the requests of the first hall and those that it sent to others, by tenths of a
	// second.
	ofHall, ofHallRemote []int
}

func (r replayResult) deniedPerRequest() float64 { return ratio(r.denied, r.requests) }
func (r replayResult) remoteShare() float64      { return ratio(r.remote, r.requests) }
func (r replayResult) overrunShare() float64     { return ratio(r.overrun, r.samples) }
func (r replayResult) lateShare() float64        { return ratio(r.late, r.served) }
func (r replayResult) refusedShare() float64     { return ratio(r.refused, r.requests) }

// add adds the counts of another replay.
func (r *replayResult) add(o replayResult) {
	r.requests, r.queries, r.denied, r.refused, r.remote = r.requests+o.requests, r.queries+o.queries, r.denied+o.denied, r.refused+o.refused, r.remote+o.remote
	r.served, r.late, r.slowServed = r.served+o.served, r.late+o.late, r.slowServed+o.slowServed
	r.overrun, r.samples = r.overrun+o.overrun, r.samples+o.samples
	r.inUse, r.fastInUse = append(r.inUse, o.inUse...), append(r.fastInUse, o.fastInUse...)
	r.firstByte += o.firstByte
}

func ratio(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

// unevenness returns the 99th percentile over the mean. The percentile of these whole numbers is that
// of grouped data: a number stands for all values that are rounded to it, since otherwise most rules
// have the same percentile.
func unevenness(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	rank := len(sorted) * 99 / 100
	first, _ := slices.BinarySearch(sorted, sorted[rank])
	end, _ := slices.BinarySearch(sorted, sorted[rank]+1)
	return (sorted[rank] - 0.5 + ratio(rank-first, end-first)) / mean(values)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

func (r replayResult) String() string {
	return fmt.Sprintf("mean %.1f, p99/mean in use %.2f (pace 1: %.2f), beyond places %.4f, denied per request %.3f, first byte %v, late %.4f, refused %.4f, to other halls %.3f, on slow engines %.3f",
		mean(r.inUse), unevenness(r.inUse), unevenness(r.fastInUse), r.overrunShare(), r.deniedPerRequest(), (r.firstByte / time.Duration(max(r.served, 1))).Round(100*time.Microsecond), r.lateShare(), r.refusedShare(), r.remoteShare(), ratio(r.slowServed, r.served))
}

type replay struct {
	replaySetup
	now     time.Duration
	queue   replayQueue
	order   int
	random  *rand.Rand // for the load, the same under all rules
	noise   *rand.Rand
	engines []*replayEngine
	routers []*replayRouter
	result  replayResult
}

var replayEpoch = time.Unix(1_000_000, 0)

func (r *replay) clock() time.Time { return replayEpoch.Add(r.now) }

func (r *replay) after(delay time.Duration, run func()) {
	r.order++
	heap.Push(&r.queue, replayEvent{r.now + delay, r.order, run})
}

func (r *replay) delay(low, high float64) time.Duration {
	return time.Duration((low + r.noise.Float64()*(high-low)) * float64(time.Millisecond))
}

func play(setup replaySetup) replayResult {
	r := &replay{replaySetup: setup, random: rand.New(rand.NewPCG(setup.seed, 1)), noise: rand.New(rand.NewPCG(setup.seed, 2))}
	halls := len(setup.demand)
	routersOfHall := map[string]int{}
	for i := range setup.engines {
		e := &replayEngine{pace: 1, upstream: &provider.Upstream{
			ID: fmt.Sprintf("e%d", i), Service: "s", Hall: fmt.Sprintf("h%d", i%halls), Places: replayPlaces, Models: []provider.LoadedModel{{Model: "m", Version: 1}},
		}}
		if setup.slowEvery > 0 && i%setup.slowEvery == 0 {
			e.pace = setup.slowPace
		}
		e.ledger.Now = r.clock
		r.engines = append(r.engines, e)
		r.after(r.delay(0, 20), func() { r.poll(e) })
		r.after(r.delay(8, 95), func() { r.report(e) })
	}
	for i := range setup.routers {
		routersOfHall[fmt.Sprintf("h%d", i%halls)]++
	}
	for i := range setup.routers {
		r.routers = append(r.routers, r.newRouter(i, routersOfHall))
	}
	r.after(0, r.arrive)
	r.after(replayWarmUp, r.sample)
	for len(r.queue) > 0 {
		event := heap.Pop(&r.queue).(replayEvent)
		r.now = event.at
		event.run()
	}
	return r.result
}

func (r *replay) newRouter(index int, routersOfHall map[string]int) *replayRouter {
	hall := fmt.Sprintf("h%d", index%len(r.demand))
	router := &replayRouter{hall: index % len(r.demand), last: map[*replayEngine]balance.LoadReport{}}
	router.pool.Hall, router.pool.Now, router.pool.Rand = hall, r.clock, r.noise.Float64
	if r.rules == byExpected {
		router.pool.ExpectedLoad = func(string) balance.ExpectedLoad { return balance.ExpectedLoadAlways }
		router.pool.OtherRouters = func(of string) int {
			if of == hall {
				return routersOfHall[of] - 1
			}
			return routersOfHall[of]
		}
	}
	followed := 0
	for _, at := range rand.New(rand.NewPCG(uint64(index), 3)).Perm(len(r.engines)) {
		e := r.engines[at]
		if r.feeds == 0 || e.upstream.Hall == hall && followed < r.feeds {
			e.followers = append(e.followers, router)
			followed++
		}
	}
	for _, e := range r.engines {
		router.candidate = append(router.candidate, e.upstream)
	}
	return router
}

func (r *replay) poll(e *replayEngine) {
	e.ledger.Observe(places.EngineLoad{Running: len(e.running), Waiting: len(e.waiting), Pace: e.pace}, true)
	if r.now < r.until {
		r.after(20*time.Millisecond, func() { r.poll(e) })
	}
}

// report sends an engine's load to the routers that follow it.
func (r *replay) report(e *replayEngine) {
	load := balance.LoadReport{Running: len(e.running), Waiting: len(e.waiting), Pace: e.pace, Models: e.upstream.Models}
	r.after(r.delay(1, 3), func() {
		for _, router := range e.followers {
			router.pool.Report(e.upstream.ID, load)
			router.last[e] = load
		}
	})
	if r.now < r.until {
		r.after(r.delay(8, 95), func() { r.report(e) })
	}
}

// arrive sends a request to a router and draws the next arrival.
func (r *replay) arrive() {
	demand, total := slices.Clone(r.demand), 0.0
	base := 0.0
	for hall := range demand {
		base += demand[hall]
		if hall == 0 && r.step > 0 && r.now >= r.stepAt {
			demand[hall] *= r.step
		}
		total += demand[hall]
	}
	hall, at := 0, r.random.Float64()*total
	for at -= demand[hall]; at > 0 && hall+1 < len(demand); at -= demand[hall] {
		hall++
	}
	ofHall := (r.routersCount() - hall + len(demand) - 1) / len(demand)
	router := r.routers[hall+len(demand)*r.random.IntN(ofHall)]
	kind := r.model.kinds[r.random.IntN(len(r.model.kinds))]
	job := &replayJob{
		tokens: int(kind[0] * math.Exp(0.5*r.random.NormFloat64()-0.125)), events: 1 + int((kind[1]-1)*math.Exp(0.5*r.random.NormFloat64()-0.125)), sent: r.now,
	}
	search := &admission.Search{Service: admission.Service{
		Places: replayPlaces, ReadTime: time.Duration(replayMeanPrompt / r.model.tokensPerMs * float64(time.Millisecond)), Objective: r.model.objective, PlaceInterval: 100 * time.Millisecond,
	}}
	r.count(func() { r.result.requests++ })
	r.countHall(&r.result.ofHall, router)
	r.query(router, job, search, nil)
	gap := time.Duration(r.random.ExpFloat64() / (r.perSecond * total / base) * float64(time.Second))
	if r.now+gap < r.until {
		r.after(gap, r.arrive)
	}
}

func (r *replay) routersCount() int { return len(r.routers) }

func (r *replay) count(add func()) {
	if r.now >= replayWarmUp {
		add()
	}
}

func (r *replay) countHall(counts *[]int, router *replayRouter) {
	if router.hall != 0 {
		return
	}
	at := int(r.now / (100 * time.Millisecond))
	for len(*counts) <= at {
		*counts = append(*counts, 0)
	}
	(*counts)[at]++
}

// query queries one loader after the other for a place.
func (r *replay) query(router *replayRouter, job *replayJob, search *admission.Search, exclude []string) {
	if search.Done() {
		r.count(func() { r.result.refused++ })
		return
	}
	e, choice, ok := r.choose(router, exclude)
	if !ok {
		r.count(func() { r.result.refused++ })
		return
	}
	r.count(func() { r.result.queries++ })
	there, back := r.delay(0.5, 3), r.delay(0.5, 3)
	limit := search.Limit(false)
	r.after(there, func() {
		load, granted := e.ledger.Reserve(places.Request{Limit: limit})
		r.after(back, func() {
			report := balance.LoadReport{Running: load.Running, Waiting: load.Waiting, Pace: load.Pace}
			router.last[e] = report
			if choice.Upstream != nil {
				router.pool.ReportLoad(choice.Upstream.ID, report)
				choice.RecordPlace(granted)
			}
			if granted {
				r.send(router, e, job, choice)
				return
			}
			r.count(func() { r.result.denied++ })
			if choice.Upstream != nil {
				choice.Done(balance.Canceled)
			}
			search.AddDenied(load)
			r.query(router, job, search, append(slices.Clone(exclude), e.upstream.ID))
		})
	})
}

func (r *replay) send(router *replayRouter, e *replayEngine, job *replayJob, choice balance.Choice) {
	if e.upstream.Hall != router.pool.Hall {
		r.count(func() { r.result.remote++ })
		r.countHall(&r.result.ofHallRemote, router)
	}
	job.onEnd = func() {
		if choice.Upstream != nil {
			choice.Done(balance.Served)
		}
		if job.sent < replayWarmUp {
			return
		}
		r.result.served++
		if job.late {
			r.result.late++
		}
		if e.pace > 1 {
			r.result.slowServed++
		}
	}
	r.after(r.delay(1, 4), func() {
		e.waiting = append(e.waiting, job)
		if !e.busy {
			r.pass(e)
		}
	})
}

// pass runs one pass of an engine: it reads waiting prompts and decodes some steps.
func (r *replay) pass(e *replayEngine) {
	tokens := 0
	for len(e.waiting) > 0 && len(e.running) < replayPlaces && (tokens == 0 || tokens+e.waiting[0].tokens <= replayPassTokens) {
		tokens += e.waiting[0].tokens
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	if e.busy = len(e.running) > 0; !e.busy {
		return
	}
	ms := float64(r.model.steps)*(r.model.stepMs+r.model.perRequestMs*float64(len(e.running))) + float64(tokens)/r.model.tokensPerMs
	r.after(time.Duration(ms*e.pace*float64(time.Millisecond)), func() {
		for _, job := range e.running {
			if job.lastEvent == 0 {
				if job.sent >= replayWarmUp {
					r.result.firstByte += r.now - job.sent
				}
				job.late = r.now-job.sent > r.model.objective
			} else if r.now-job.lastEvent > r.model.gap {
				job.late = true
			}
			job.lastEvent = r.now
			if job.events--; job.events == 0 {
				job.onEnd()
			}
		}
		e.running = slices.DeleteFunc(e.running, func(job *replayJob) bool { return job.events <= 0 })
		if len(e.running)+len(e.waiting) == 0 && r.rules == byIdleQueue {
			router := r.routers[r.noise.IntN(len(r.routers))]
			router.idle = append(router.idle, e)
		}
		r.pass(e)
	})
}

// sample records the places in use.
func (r *replay) sample() {
	most, least := 0, replayPlaces
	for _, e := range r.engines {
		used := e.inUse()
		most, least = max(most, used), min(least, used)
		r.result.inUse = append(r.result.inUse, float64(used))
		if e.pace == 1 {
			r.result.fastInUse = append(r.result.fastInUse, float64(used))
		}
	}
	r.result.samples++
	if most > replayPlaces && least <= replayPlaces-3 {
		r.result.overrun++
	}
	if r.now+10*time.Millisecond < r.until {
		r.after(10*time.Millisecond, r.sample)
	}
}

// choose chooses an engine by the rules of the setup.
func (r *replay) choose(router *replayRouter, exclude []string) (*replayEngine, balance.Choice, bool) {
	switch r.rules {
	case byReport, byExpected:
		choice, ok := router.pool.Choose(router.candidate, balance.Query{Model: "m", Exclude: exclude})
		if !ok {
			return nil, choice, false
		}
		index := slices.Index(router.candidate, choice.Upstream)
		return r.engines[index], choice, true
	default:
		e := r.chooseSimply(router, exclude)
		return e, balance.Choice{}, e != nil
	}
}

// chooseSimply chooses by rules that the pool does not have. The cost of another hall is that of
// the pool.
func (r *replay) chooseSimply(router *replayRouter, exclude []string) *replayEngine {
	const otherHall = 2.0
	var own, others []*replayEngine
	for _, e := range r.engines {
		if slices.Contains(exclude, e.upstream.ID) {
			continue
		}
		if e.upstream.Hall == router.pool.Hall {
			own = append(own, e)
		} else {
			others = append(others, e)
		}
	}
	for r.rules == byIdleQueue && len(router.idle) > 0 {
		e := router.idle[0]
		router.idle = router.idle[1:]
		if slices.Contains(own, e) {
			return e
		}
	}
	draws := map[rules]int{byTwoChoices: 2, byThreeChoices: 3, byIdleQueue: 1, byExpectedAll: len(r.engines)}[r.rules]
	var best *replayEngine
	lowest := math.Inf(1)
	for i, options := range [][]*replayEngine{own, others} {
		r.noise.Shuffle(len(options), func(a, b int) { options[a], options[b] = options[b], options[a] })
		for _, e := range options[:min(draws, len(options))] {
			load := router.last[e]
			cost := max(load.Pace, 1)*(float64(load.Waiting)+4*float64(load.Running+load.Waiting)/replayPlaces) + float64(i)*otherHall
			if cost < lowest {
				best, lowest = e, cost
			}
		}
	}
	return best
}

// stepReplay holds the requests of the first hall, and those of them that went to other halls, by
// seconds after its demand rose.
type stepReplay struct{ all, remote []float64 }

// stepReplays plays a rise of the demand of the first hall under different seeds.
func stepReplays(rule rules, seeds, seconds int) []stepReplay {
	const stepAt, tenths = 2, 10
	replays := make([]stepReplay, seeds)
	var wait sync.WaitGroup
	for seed := range seeds {
		wait.Go(func() {
			setup := highlights(rule, uint64(seed))
			// As many engines and routers as at first, with the same load for each.
			setup.engines, setup.routers, setup.perSecond = 40, 20, 200
			setup.demand, setup.step, setup.stepAt = []float64{1, 1, 1}, 1.6, stepAt*time.Second
			setup.until = time.Duration(stepAt+seconds) * time.Second
			result := play(setup)
			replays[seed] = stepReplay{make([]float64, seconds), make([]float64, seconds)}
			for i := stepAt * tenths; i < min(len(result.ofHall), (stepAt+seconds)*tenths); i++ {
				replays[seed].all[i/tenths-stepAt] += float64(result.ofHall[i])
				if i < len(result.ofHallRemote) {
					replays[seed].remote[i/tenths-stepAt] += float64(result.ofHallRemote[i])
				}
			}
		})
	}
	wait.Wait()
	return replays
}

// remoteShare returns the share of requests that went to other halls in the seconds from first to
// before end, over all replays, and its standard error.
func remoteShare(replays []stepReplay, first, end int) (share, standardError float64) {
	var all, remote float64
	for _, played := range replays {
		for i := first; i < end; i++ {
			all, remote = all+played.all[i], remote+played.remote[i]
		}
	}
	share = remote / all
	squares := 0.0
	for _, played := range replays {
		deviation := 0.0
		for i := first; i < end; i++ {
			deviation += played.remote[i] - share*played.all[i]
		}
		squares += deviation * deviation
	}
	return share, math.Sqrt(squares) / all
}

// playSeeds returns the sum of several replays.
func playSeeds(setup replaySetup) replayResult {
	const seeds = 2
	results := make(chan replayResult)
	for seed := range uint64(seeds) {
		go func() {
			own := setup
			own.seed = seed
			results <- play(own)
		}()
	}
	var sum replayResult
	for range seeds {
		sum.add(<-results)
	}
	return sum
}

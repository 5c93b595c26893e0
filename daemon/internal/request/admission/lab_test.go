package admission_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/admission"
)

// A fleet of engines in small, by a clock of its own. An engine works in passes: it reads
// the prompts that wait, as many as fit, and then lets all that run write a few tokens.

const (
	engines    = 40
	enginePool = 8 // places of an engine
	readRate   = 13.8
	chunk      = 2048
	passTokens = 5
	passTime   = 70 * time.Millisecond
	usual      = 900
	answer     = 70 // tokens
	objective  = 500 * time.Millisecond
	// tick is the step of the clock, and length how long callers come.
	tick   = 5 * time.Millisecond
	length = 24 * time.Second
	// backAfter is when a refused caller comes back, once.
	backAfter = 1500 * time.Millisecond
)

// caller is one request; times are since the begin of the play.
type caller struct {
	came          time.Duration
	prompt, left  int
	hint          float64 // tokens that the caller expects
	firstByte     time.Duration
	refusals      int
	served, ended bool
}

// engine is one engine.
type engine struct {
	waiting, reading, running []*caller
	passEnds                  time.Duration
	busy                      bool
	// turn is when the engine takes nothing more, because it is to take a version; it does
	// so once nothing runs, and serves again at back. Zero where it takes none.
	turn, back time.Duration
}

// out reports whether the engine takes nothing new.
func (e *engine) out(now time.Duration) bool {
	return e.turn > 0 && now >= e.turn && (e.back == 0 || now < e.back)
}

// load has an engine whose turn has come take its version once nothing is left there.
func (e *engine) takeVersion(now time.Duration) {
	const loadTime = 300 * time.Millisecond
	if e.out(now) && e.back == 0 && len(e.waiting)+len(e.reading)+len(e.running) == 0 {
		e.back = now + loadTime
	}
}

// version is a change of weights: when the first and the last engine have their turn, and
// how long before its turn an engine takes only what is likely to be done by then.
type version struct{ first, last, ahead time.Duration }

// turns gives each engine its turn.
func (v version) turns(fleet []*engine) {
	for i, e := range fleet {
		e.turn = v.first + (v.last-v.first)*time.Duration(i)/time.Duration(len(fleet)-1)
	}
}

// closing reports whether a caller would likely run at an engine when its turn comes.
func (v version) closing(e *engine, c *caller, now time.Duration) bool {
	s := admission.Service{ReadTime: readTime(usual)}
	lasts := admission.Lasts(s, passTime*answer/passTokens, c.hint, answer)
	return e.turn > now && e.turn-now <= v.ahead && now+lasts > e.turn
}

// readTime is how long some tokens of prompts take.
func readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / readRate * float64(time.Millisecond))
}

// pass begins the next pass.
func (e *engine) pass(now time.Duration) {
	tokens := 0
	for len(e.waiting) > 0 && len(e.running)+len(e.reading) < enginePool && tokens+e.waiting[0].prompt <= chunk {
		tokens += e.waiting[0].prompt
		e.reading = append(e.reading, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	took := readTime(tokens)
	if len(e.running) > 0 {
		took += passTime
	}
	e.busy = took > 0
	e.passEnds = now + took
}

// step ends a pass that is over and begins the next one.
func (e *engine) step(now time.Duration) {
	if now < e.passEnds {
		return
	}
	if e.busy {
		for _, c := range e.running {
			if c.firstByte == 0 {
				c.firstByte = now
			}
			if c.left -= passTokens; c.left <= 0 {
				c.served, c.ended = true, true
			}
		}
		e.running = append(slices.DeleteFunc(e.running, func(c *caller) bool { return c.ended }), e.reading...)
		e.reading = nil
	}
	e.pass(now)
}

func (e *engine) load() places.Load {
	return places.Load{Running: len(e.running), Waiting: len(e.waiting) + len(e.reading)}
}

// policy says how loaded an engine may be that is asked after some others.
type policy struct {
	questions int
	version   version
	limit     func(s admission.Service, r admission.Request, asked int, last bool) places.Limit
}

// result is what became of all callers of a play, in parts of them.
type result struct{ inTime, late, refused, again float64 }

// worth is what callers get of it: a late answer a quarter of one in time; a second
// refusal costs.
func (r result) worth() float64 { return r.inTime + r.late/4 - 0.3*r.again }

// play has callers come at a rate, which may change over time, in parts of what the
// engines bear.
func play(p policy, rate func(now time.Duration) float64) result {
	const bears = 4.4 // requests a second and engine
	draw, hints := rand.New(rand.NewPCG(7, 7)), rand.New(rand.NewPCG(8, 8))
	fleet := make([]*engine, engines)
	for i := range fleet {
		fleet[i] = &engine{}
	}
	if p.version.last > 0 {
		p.version.turns(fleet)
	}
	var callers []*caller
	var back []*caller
	full := 0.0
	for now := time.Duration(0); now < length+10*time.Second; now += tick {
		for _, e := range fleet {
			e.step(now)
			e.takeVersion(now)
		}
		for len(back) > 0 && back[0].came+backAfter <= now {
			full = ask(p, fleet, back[0], now, full, draw)
			back = back[1:]
		}
		expected := rate(now) * bears * engines * tick.Seconds()
		for now < length && draw.Float64() < expected {
			expected--
			c := &caller{came: now, prompt: 200 + int(draw.ExpFloat64()*(usual-200)), left: 5 + int(draw.ExpFloat64()*(answer-5))}
			c.prompt = min(c.prompt, chunk)
			c.hint = float64(c.left) * hintErr(hints)
			callers = append(callers, c)
			full = ask(p, fleet, c, now, full, draw)
			if c.refusals > 0 {
				back = append(back, c)
			}
		}
	}
	return judge(callers)
}

// ask asks engines for a place, the better ones first as far as news tells, and returns
// the share of the time in which there was none.
func ask(p policy, fleet []*engine, c *caller, now time.Duration, full float64, draw *rand.Rand) float64 {
	const weight = 0.01
	s := admission.Service{
		Places: enginePool, ReadTime: readTime(usual),
		PlaceEvery: 1500 * time.Millisecond / enginePool, Objective: objective, Full: full,
	}
	order := draw.Perm(len(fleet))[:2*p.questions]
	score := func(i int) int {
		const avoided = 10
		if p.version.closing(fleet[i], c, now) || fleet[i].out(now) {
			return avoided + fleet[i].load().Waiting
		}
		return fleet[i].load().Waiting
	}
	slices.SortStableFunc(order, func(a, b int) int { return score(a) - score(b) })
	nonefree := 1.0
	for asked, i := range order[:p.questions] {
		limit := p.limit(s, admission.Request{Returned: c.refusals > 0}, asked, asked == p.questions-1)
		load := fleet[i].load()
		if load.Running+load.Waiting < enginePool {
			nonefree = 0
		}
		if fleet[i].out(now) || p.version.closing(fleet[i], c, now) {
			continue
		}
		if load.Waiting <= limit.Waiting && load.Running+load.Waiting <= limit.InUse {
			fleet[i].waiting = append(fleet[i].waiting, c)
			return full + weight*(nonefree-full)
		}
	}
	c.refusals++
	return full + weight*(nonefree-full)
}

// hintErr is by how much a caller's guess of the answer's length is off: right at the
// median, by a half or twice for one in six.
func hintErr(draw *rand.Rand) float64 {
	const spread = 0.7
	return math.Exp(spread * draw.NormFloat64())
}

func judge(callers []*caller) result {
	var r result
	each := 1 / float64(len(callers))
	for _, c := range callers {
		switch {
		case c.served && c.firstByte-c.came <= objective:
			r.inTime += each
		case c.served:
			r.late += each
		case c.refusals > 1:
			r.again += each
		default:
			r.refused += each
		}
	}
	return r
}

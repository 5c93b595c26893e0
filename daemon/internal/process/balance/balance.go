// Package balance keeps what this process knows of each upstream's load and
// soundness, and chooses one for a request.
//
// Soundness is judged only by outcomes of own requests: a health page may be
// good while requests fail. Failures fade with time, so that an upstream comes
// back by itself: first with a request now and then, as its penalty sinks, then
// with its share. A hard ejection was rejected: a sound upstream of one service
// fails one request in seven, and an ejection cannot tell that from a bad one
// without a long history.
//
// What upstreams tell is some ten milliseconds old and the same for all routers.
// A finer measure of it than "a request waits there" sends all routers to the
// one upstream that looks best until the next news, so requests that run do not
// count before the places are taken, and the rest is left to chance. Measured
// in docs/ROUTING.md.
package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// fadeTime is the time in which past outcomes lose two thirds of their weight.
	fadeTime = 3 * time.Second
	// soundShare is the share of failures that sound upstreams show.
	soundShare = 0.25
	// failurePenalty is what a full share of failures counts, in places.
	failurePenalty = 40.0
	// priorWeight is the number of good outcomes that an unknown upstream has.
	priorWeight = 6.0
	// firstBlock and longestBlock bound the time in which an upstream that did
	// not take a connection gets no request.
	firstBlock   = 300 * time.Millisecond
	longestBlock = 1500 * time.Millisecond
	// fullBlock is the time in which an upstream that refused gets no request.
	fullBlock = 60 * time.Millisecond
	// forgetAfter is when the state of an upstream without requests is dropped.
	forgetAfter = time.Minute
)

// Outcome is how a request at an upstream ended.
type Outcome int

// The outcomes.
const (
	// Served requests got an answer that an upstream gives when it is sound.
	Served Outcome = iota
	// Failed requests got an error, a broken answer or none.
	Failed
	// Full means that the upstream had no place.
	Full
	// Unreachable means that no connection was made.
	Unreachable
	// Moved means that the upstream or its version is not there any more.
	Moved
	// Abandoned requests say nothing: the caller left.
	Abandoned
)

// Pool holds the state of upstreams by id. The zero value is ready to use.
type Pool struct {
	// Hall is this process's own data hall: upstreams elsewhere are taken when
	// those of the hall are busier, "" for no difference.
	Hall string
	// Now is the clock; nil means clock.Now.
	Now func() time.Time
	// Draw returns a number from 0 to 1 by chance; nil means rand.Float64.
	Draw func() float64

	mu     sync.Mutex
	states map[string]*state
	swept  time.Time
}

// state is one upstream's; Pool.mu guards it.
type state struct {
	// started is when the upstream had started, zero where that is not told.
	started  time.Time
	inFlight int
	// failures and outcomes fade with fadeTime; faded is when they last did.
	failures, outcomes float64
	faded              time.Time
	blockedUntil       time.Time
	block              time.Duration
	// told is what the upstream's host last told, and sentSince the requests
	// sent there since, by this process.
	told   Told
	toldAt time.Time
	// modelsAt is when it last told what the upstream holds: an answer to a question for a
	// place tells of the load alone.
	modelsAt time.Time
	// closes is when the upstream is to take a version, zero where that is not soon.
	closes    time.Time
	sentSince int
	// heldUntil is until when it gets no request, because it named a limit that is used up.
	heldUntil time.Time
	used      time.Time
}

// Told is what an upstream's host tells of it.
type Told struct {
	// Running and Waiting count its requests, of all routers.
	Running, Waiting int
	// Loading says that it takes a new version and serves nothing meanwhile.
	Loading bool
	// ClosesIn is in how long it is to take one, 0 where that is not soon.
	ClosesIn time.Duration
	// Models is what it holds.
	Models []provider.LoadedModel
}

// Query says what a request needs.
type Query struct {
	// Tried are upstreams not to be chosen again.
	Tried []string
	// Model is what the upstream must hold, "" for none, and Version the lowest
	// version of it.
	Model   string
	Version int
	// Reserve is how many places of each upstream are left to more urgent
	// requests.
	Reserve int
	// Lasts is how long the request is likely to run, 0 where that does not matter.
	Lasts time.Duration
	// Preferred is the version below which upstreams are avoided, and Avoid how
	// much, from 0 to 1.
	Preferred int
	Avoid     float64
}

// Choice is a chosen upstream. Done must be called once.
type Choice struct {
	Upstream *provider.Upstream
	// Version is the version of the model that the upstream says it holds.
	Version int
	// InFlight, Score and Candidates are what the choice was made by.
	InFlight   int
	Score      float64
	Candidates int
	// Waiting is how many requests are read before this one, and Beyond how many
	// must end first, as far as the upstream's host has told of late; 0 where it
	// has not.
	Waiting, Beyond int
	// Running is how many requests run there, as far as the host has told of late,
	// else 0. Age is how long ago it last told, 0 where it never did.
	Running int
	Age     time.Duration
	// Told says that the host has told of the upstream of late.
	Told bool

	pool *Pool
}

// WithLoad returns the choice with the load that the upstream's host answered just now.
func (c Choice) WithLoad(running, waiting int) Choice {
	c.Running, c.Waiting, c.Age = running, waiting, 0
	c.Beyond = max(0, running+waiting+1-c.Upstream.Places)
	return c
}

// Choose takes the upstream with the lowest score, or returns false where none
// is fit. Blocked upstreams are taken only when no other is left.
func (p *Pool) Choose(upstreams []*provider.Upstream, query Query) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.sweep(now)
	best := Choice{Score: math.Inf(1), pool: p}
	for _, candidate := range upstreams {
		s := p.state(candidate.ID, now)
		s.noteStart(candidate.Started, now)
		if !s.fits(candidate, query, now) {
			continue
		}
		score := s.score(candidate, query, now) + p.draw()*chance
		if query.Preferred > 0 && s.holds(candidate, query.Model, now) < query.Preferred {
			score += oldScore * query.Avoid
		}
		if p.Hall != "" && candidate.Hall != p.Hall {
			score += farScore
		}
		best.Candidates++
		if score < best.Score {
			best.Upstream, best.Score, best.InFlight = candidate, score, s.inFlight
		}
	}
	if best.Upstream == nil {
		return Choice{}, false
	}
	chosen := p.states[best.Upstream.ID]
	best.Waiting, best.Beyond = chosen.ahead(best.Upstream, query.Reserve, now)
	best.Running, best.Age = chosen.running(now)
	best.Told = now.Sub(chosen.toldAt) <= toldFor
	chosen.inFlight++
	chosen.sentSince++
	best.Version = chosen.holds(best.Upstream, query.Model, now)
	return best, true
}

// noteStart forgets what the upstream did before it started again under its id: it holds
// nothing of that, and its failures were another process's.
func (s *state) noteStart(started, now time.Time) {
	if !started.After(s.started) {
		return
	}
	if s.started.IsZero() {
		s.started = started
		return
	}
	*s = state{started: started, inFlight: s.inFlight, faded: now, used: now}
}

func (p *Pool) now() time.Time { return helpers.Now(p.Now) }

func (p *Pool) draw() float64 {
	if p.Draw != nil {
		return p.Draw()
	}
	return rand.Float64()
}

func (p *Pool) state(id string, now time.Time) *state {
	if p.states == nil {
		p.states = map[string]*state{}
	}
	s := p.states[id]
	if s == nil {
		s = &state{faded: now}
		p.states[id] = s
	}
	s.used = now
	return s
}

// sweep drops the state of upstreams that are long gone.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.swept) < forgetAfter {
		return
	}
	p.swept = now
	for id, s := range p.states {
		if s.inFlight == 0 && now.Sub(s.used) > forgetAfter {
			delete(p.states, id)
		}
	}
}

// Silent reports whether the host of an upstream has fallen silent: it is cut
// off, frozen or overloaded, or only its loader is gone.
func (p *Pool) Silent(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	return s != nil && s.silent(p.now())
}

// Loading reports whether the host of an upstream has told that it takes a new
// version, or is about to: what breaks off there is no fault of the upstream.
func (p *Pool) Loading(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	return s != nil && s.told.Loading && p.now().Sub(s.toldAt) <= toldFor
}

// Tell takes what an upstream's host says of it.
func (p *Pool) Tell(id string, told Told) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s := p.state(id, now)
	s.told, s.toldAt, s.modelsAt, s.sentSince = told, now, now, 0
	s.closes = time.Time{}
	if told.ClosesIn > 0 {
		s.closes = now.Add(told.ClosesIn)
	}
}

// TellLoad takes the load that an upstream's host answered when it was asked for a
// place, which counts all places that it gave.
func (p *Pool) TellLoad(id string, running, waiting int, loading bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s := p.state(id, now)
	s.told.Running, s.told.Waiting, s.told.Loading = running, waiting, loading
	s.toldAt, s.sentSince = now, 0
}

// Hold has an upstream get no request for a while: what it takes from all routers in a second
// is used up. A time of 0 ends that.
func (p *Pool) Hold(id string, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.state(id, now).heldUntil = now.Add(wait)
}

// Holds reports whether an upstream is held.
func (p *Pool) Holds(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[id]
	return s != nil && s.heldUntil.After(p.now())
}

// Held reports whether some of the upstreams that do not leave are held, and for how long the
// first of them is.
func (p *Pool) Held(upstreams []*provider.Upstream) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	var least time.Duration
	for _, candidate := range upstreams {
		s := p.states[candidate.ID]
		if s == nil || candidate.Leaving || !s.heldUntil.After(now) {
			continue
		}
		if left := s.heldUntil.Sub(now); least == 0 || left < least {
			least = left
		}
	}
	return least, least > 0
}

func (s *state) fade(now time.Time) {
	factor := math.Exp(-float64(now.Sub(s.faded)) / float64(fadeTime))
	s.failures *= factor
	s.outcomes *= factor
	s.faded = now
}

// Done takes back the choice's place and counts its outcome.
func (c Choice) Done(outcome Outcome) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	now := c.pool.now()
	s := c.pool.state(c.Upstream.ID, now)
	s.inFlight--
	s.fade(now)
	switch outcome {
	case Served:
		s.outcomes++
		s.block = 0
	case Failed:
		s.outcomes++
		s.failures++
	case Full:
		s.blockedUntil = now.Add(fullBlock)
	case Unreachable:
		s.outcomes++
		s.failures++
		s.block = min(max(2*s.block, firstBlock), longestBlock)
		s.blockedUntil = now.Add(s.block)
	case Moved:
		s.blockedUntil = now.Add(firstBlock)
	case Abandoned:
	}
}

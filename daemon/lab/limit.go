package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/balance"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file plays upstreams that name limits: how much comes to them from all routers, while
// loaders and routers are gone, cut off or stand still. Only the limits are played: upstreams
// bear what comes otherwise, so that a caller is refused for a limit alone.

// LimitFault is what goes wrong meanwhile.
type LimitFault string

// The faults. Each but the last four lasts from second 12 to second 17.
const (
	LimitNoFault        LimitFault = "none"
	LimitLoaderGone     LimitFault = "loader-gone"     // of the limited, which forget what they know
	LimitHallCut        LimitFault = "hall-cut"        // from all others
	LimitRoutersRestart LimitFault = "routers-restart" // one after the other, and forget
	LimitRoutersFreeze  LimitFault = "routers-freeze"  // a quarter; what came meanwhile goes out then
	LimitPlain          LimitFault = "plain"           // there are no loaders
	LimitAllLimited     LimitFault = "all-limited"     // else one of three upstreams is
	LimitFlapping       LimitFault = "flapping"        // named for half a second of each
	LimitGarbled        LimitFault = "garbled"         // each second answer cannot be read
)

// LimitFaults lists all.
func LimitFaults() []LimitFault {
	return []LimitFault{
		LimitNoFault, LimitLoaderGone, LimitHallCut, LimitRoutersRestart, LimitRoutersFreeze, LimitPlain,
		LimitAllLimited, LimitFlapping, LimitGarbled,
	}
}

// LimitFaultNames lists what FindLimitFault knows.
func LimitFaultNames() []string {
	var names []string
	for _, fault := range LimitFaults() {
		names = append(names, string(fault))
	}
	return names
}

// FindLimitFault finds one by its name.
func FindLimitFault(name string) (LimitFault, error) {
	if !slices.Contains(LimitFaults(), LimitFault(name)) {
		return "", fmt.Errorf("fault %q: use one of %s", name, strings.Join(LimitFaultNames(), ", "))
	}
	return LimitFault(name), nil
}

// LimitSetup is a fleet whose upstreams name limits for a while.
type LimitSetup struct {
	Routers, Halls, Upstreams int
	// PerSecond is the limit that each limited upstream names.
	PerSecond float64
	// Rate is the requests a second of all callers.
	Rate  float64
	Fault LimitFault
	Seed  uint64
}

// DefaultLimit is a fleet of 7 routers and 12 upstreams.
func DefaultLimit() LimitSetup {
	return LimitSetup{Routers: 7, Halls: 3, Upstreams: 12, PerSecond: 2, Rate: 120, Fault: LimitNoFault, Seed: 1}
}

// The times of a play.
const (
	limitFrom, limitTo     = 5 * time.Second, 25 * time.Second
	limitEnds              = 32 * time.Second
	limitFaultFrom         = 12 * time.Second
	limitFaultTo           = 17 * time.Second
	limitedOf              = 3 // one of so many upstreams is limited
	frozenOf               = 4 // one of so many routers is frozen
	limitMute              = 600 * time.Millisecond
	limitTakes, limitVary  = 30 * time.Millisecond, 300 * time.Millisecond // an answer
	limitAsks              = 200 * time.Millisecond                        // after a start
	limitSettles           = 3 * time.Second                               // until what comes is judged
	limitAllow, limitExtra = 1.5, 5.0
	limitBackWithin        = time.Second
)

// LimitResult is what came of it.
type LimitResult struct {
	Fault     LimitFault `json:"fault"`
	Routers   int        `json:"routers"`
	PerSecond float64    `json:"per_second"`
	Seed      uint64     `json:"seed"`
	// Worst is the most that came to an upstream in 4 s, in parts of what is allowed, from
	// 3 s after it first named its limit; Mean is the mean of all such windows.
	Worst float64 `json:"worst"`
	Mean  float64 `json:"mean"`
	// Falls is how long after the first naming the last second began in which more came than
	// is allowed in 4 s, and Back how long after its end the first second began in which the
	// limited upstreams got half of their usual share again.
	Falls time.Duration `json:"falls"`
	Back  time.Duration `json:"back"`
	// Served is the part of the callers that were sent to an upstream.
	Served float64 `json:"served"`
	// Seconds is what came to the limited upstreams in each second.
	Seconds []int `json:"seconds"`
}

// limitPlay is a run under way.
type limitPlay struct {
	LimitSetup
	events    events
	random    *rand.Rand
	routers   []*limitRouter
	upstreams []*limitUpstream
	list      []*provider.Upstream
	came      int
	served    int
}

// limitUpstream is an upstream and the loader beside it.
type limitUpstream struct {
	record  *provider.Upstream
	limited bool
	loader  ratelimit.Table
	answers int
	arrived []time.Duration
}

// limitRouter is a router: what it knows of limits, and the packages by which it decides.
type limitRouter struct {
	play  *limitPlay
	hall  string
	pool  balance.Pool
	table ratelimit.Table
	// muted is until when a loader is not asked, by upstream.
	muted  map[string]time.Duration
	frozen bool
	late   []func()
}

// PlayLimit runs a setup.
func PlayLimit(setup LimitSetup) (*LimitResult, error) {
	if setup.Routers < 1 || setup.Halls < 1 || setup.Upstreams < limitedOf || setup.Rate <= 0 || setup.PerSecond < 0 {
		return nil, fmt.Errorf("%w: it takes a router, a hall, %d upstreams, callers and a limit of 0 or more", ErrSetup, limitedOf)
	}
	p := &limitPlay{LimitSetup: setup, random: rand.New(rand.NewPCG(setup.Seed, 1))}
	for i := range setup.Upstreams {
		u := &limitUpstream{
			record:  &provider.Upstream{ID: fmt.Sprintf("u%d", i), Hall: hallOf(i, setup.Halls)},
			limited: i%limitedOf == 0 || setup.Fault == LimitAllLimited,
		}
		u.loader.Draw = p.random.Float64
		p.upstreams, p.list = append(p.upstreams, u), append(p.list, u.record)
	}
	for i := range setup.Routers {
		r := &limitRouter{play: p, hall: hallOf(i, setup.Halls), muted: map[string]time.Duration{}}
		r.pool.Hall, r.pool.Now, r.pool.Rand, r.table.Draw = r.hall, p.now, p.random.Float64, p.random.Float64
		p.routers = append(p.routers, r)
	}
	p.bring()
	p.strike()
	p.events.run()
	return p.judge(), nil
}

func (p *limitPlay) now() time.Time { return start.Add(p.events.now) }

// bring has callers come, each to any router.
func (p *limitPlay) bring() {
	for at := time.Duration(0); at < limitEnds; {
		at += time.Duration(p.random.ExpFloat64() / p.Rate * float64(time.Second))
		r := p.routers[p.random.IntN(len(p.routers))]
		p.events.at(at, func() {
			p.came++
			r.do(r.route)
		})
	}
}

// strike has what goes wrong happen.
func (p *limitPlay) strike() {
	switch p.Fault {
	case LimitLoaderGone:
		p.events.at(limitFaultTo, func() {
			for _, u := range p.upstreams {
				u.loader = ratelimit.Table{Draw: p.random.Float64}
			}
		})
	case LimitRoutersRestart:
		for i, r := range p.routers {
			at := limitFaultFrom + (limitFaultTo-limitFaultFrom)*time.Duration(i)/time.Duration(len(p.routers))
			p.events.at(at, r.restart)
		}
	case LimitRoutersFreeze:
		for _, r := range p.routers[:(len(p.routers)+frozenOf-1)/frozenOf] {
			p.events.at(limitFaultFrom, func() { r.frozen = true })
			p.events.at(limitFaultTo, r.thaw)
		}
	default:
	}
}

// struck reports whether a fault is under way.
func (p *limitPlay) struck(fault LimitFault) bool {
	return p.Fault == fault && p.events.now >= limitFaultFrom && p.events.now < limitFaultTo
}

// reach reports whether what is in one hall reaches another.
func (p *limitPlay) reach(one, other string) bool {
	return one == other || !p.struck(LimitHallCut) || one != hallOf(0, p.Halls) && other != hallOf(0, p.Halls)
}

// do does something at a router, once it is no longer frozen.
func (r *limitRouter) do(work func()) {
	if r.frozen {
		r.late = append(r.late, work)
		return
	}
	work()
}

func (r *limitRouter) thaw() {
	r.frozen = false
	for _, work := range r.late {
		work()
	}
	r.late = nil
}

// restart has the router forget, and ask two others once it runs.
func (r *limitRouter) restart() {
	r.table = ratelimit.Table{Draw: r.play.random.Float64}
	for range 2 {
		other := r.play.routers[r.play.random.IntN(len(r.play.routers))]
		r.play.events.after(limitAsks, func() {
			if !r.play.reach(r.hall, other.hall) {
				return
			}
			for _, named := range other.table.Reports(r.play.now()) {
				r.told(named.Upstream, named.Report)
			}
		})
	}
}

func (r *limitRouter) told(upstream ratelimit.Upstream, note ratelimit.Report) {
	if r.table.Merge(upstream, note, r.play.now()).Changed {
		r.pool.Throttle(upstream.ID, 0)
	}
}

// route sends a request to an upstream, if one may be sent to.
func (r *limitRouter) route() {
	var query balance.Query
	for {
		choice, ok := r.pool.Choose(r.play.list, query)
		if !ok {
			return
		}
		u := r.play.upstreams[slices.Index(r.play.list, choice.Upstream)]
		wait, ok := time.Duration(0), r.play.reach(r.hall, u.record.Hall)
		if ok {
			wait, ok = r.allow(u)
		}
		if ok {
			r.send(u, choice)
			return
		}
		choice.Done(balance.Canceled)
		query.Exclude = append(query.Exclude, choice.Upstream.ID)
		if wait > 0 {
			r.pool.Throttle(choice.Upstream.ID, wait)
		}
	}
}

// allow asks the loader beside an upstream, or takes this router's own turn.
func (r *limitRouter) allow(u *limitUpstream) (time.Duration, bool) {
	key, now, routers := ratelimit.Upstream{ID: u.record.ID}, r.play.now(), len(r.play.routers)
	if r.play.Fault == LimitPlain {
		return r.table.Allow(key, ratelimit.NoLoaderShare.Among(routers), now)
	}
	if r.play.struck(LimitLoaderGone) || r.muted[key.ID] > r.play.events.now {
		if r.muted[key.ID] <= r.play.events.now {
			r.muted[key.ID] = r.play.events.now + limitMute
		}
		return r.table.Allow(key, ratelimit.LoaderUnreachableShare.Among(routers), now)
	}
	if note, known := r.table.Report(key, now); known {
		u.loader.Merge(key, note, now)
	}
	if note, known := u.loader.Report(key, now); known {
		r.told(key, note)
	}
	return u.loader.Allow(key, ratelimit.FullShare, now)
}

// send has a request come to an upstream, and its answer back.
func (r *limitRouter) send(u *limitUpstream, choice balance.Choice) {
	p, sent := r.play, r.play.events.now
	p.served++
	u.arrived = append(u.arrived, sent)
	took := limitTakes + time.Duration(p.random.Int64N(int64(limitVary)))
	p.events.after(took, func() {
		said := u.says(p)
		r.do(func() {
			choice.Done(balance.Served)
			r.heard(u, said, sent)
		})
	})
}

// says is what an answer names.
func (u *limitUpstream) says(p *limitPlay) ratelimit.ResponseLimit {
	u.answers++
	now := p.events.now
	switch {
	case !u.limited || now < limitFrom || now >= limitTo || p.Fault == LimitFlapping && now%time.Second >= time.Second/2:
		return ratelimit.ResponseLimit{Kind: ratelimit.Unlimited}
	case p.Fault == LimitGarbled && u.answers%2 == 0:
		return ratelimit.Parse([]string{"x"})
	default:
		return ratelimit.ResponseLimit{Kind: ratelimit.Limited, PerSecond: p.PerSecond}
	}
}

// heard takes what an answer says, and tells the others.
func (r *limitRouter) heard(u *limitUpstream, said ratelimit.ResponseLimit, sent time.Duration) {
	p, key := r.play, ratelimit.Upstream{ID: u.record.ID}
	change := r.table.Observe(key, said, start.Add(sent), p.now())
	if change.Changed {
		r.pool.Throttle(key.ID, 0)
	}
	if !change.Notify {
		return
	}
	for _, other := range p.routers {
		if other != r && p.reach(r.hall, other.hall) {
			p.events.after(travel+time.Duration(p.random.Int64N(int64(lookEvery))), func() { other.do(func() { other.told(key, change.Current) }) })
		}
	}
}

// judge adds up what came to the limited upstreams.
func (p *limitPlay) judge() *LimitResult {
	r := &LimitResult{Fault: p.Fault, Routers: p.Routers, PerSecond: p.PerSecond, Seed: p.Seed, Seconds: make([]int, int(limitEnds/time.Second)+1)}
	r.Served = float64(p.served) / float64(max(p.came, 1))
	limited, allowed := 0, limitAllow*p.PerSecond*limitWindow.Seconds()+limitExtra
	sum, windows := 0.0, 0
	for _, u := range p.upstreams {
		if !u.limited {
			continue
		}
		limited++
		for _, at := range u.arrived {
			r.Seconds[min(int(at/time.Second), len(r.Seconds)-1)]++
		}
		for from := limitFrom + limitSettles; from+limitWindow <= limitTo; from += limitWindow / 16 {
			used := float64(u.count(from, from+limitWindow)) / allowed
			r.Worst, sum, windows = max(r.Worst, used), sum+used, windows+1
		}
		for from := limitFrom; from < limitFrom+limitSettles; from += limitWindow / 16 {
			if float64(u.count(from, from+time.Second)) > allowed {
				r.Falls = max(r.Falls, from-limitFrom)
			}
		}
	}
	r.Mean = sum / float64(max(windows, 1))
	r.Back = p.back(limited)
	return r
}

// count is how many came in a time.
func (u *limitUpstream) count(from, to time.Duration) int {
	first, _ := slices.BinarySearch(u.arrived, from)
	last, _ := slices.BinarySearch(u.arrived, to)
	return last - first
}

// back is after what time the limited upstreams got half of their usual share again.
func (p *limitPlay) back(limited int) time.Duration {
	usual := p.Rate / float64(len(p.upstreams)) * float64(limited)
	for from := limitTo; from+limitBackWithin < limitEnds; from += limitWindow / 16 {
		came := 0
		for _, u := range p.upstreams {
			if u.limited {
				came += u.count(from, from+limitBackWithin)
			}
		}
		if float64(came) >= usual/2*limitBackWithin.Seconds() {
			return from - limitTo
		}
	}
	return limitEnds - limitTo
}

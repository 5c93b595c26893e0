package simulation

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

// This file simulates upstreams that announce request rate limits, while loaders and routers
// fail. It measures the total request rate that reaches a limited upstream from all routers.
// Upstreams have unlimited capacity otherwise, so a request is only refused because of a limit.

// LimitFault is a fault that is injected into a limit simulation.
type LimitFault string

// The faults. LimitLoaderDown to LimitRoutersFreeze are active from second 12 to second 17, the
// others for the whole run.
const (
	LimitNoFault        LimitFault = "none"
	LimitLoaderDown     LimitFault = "loader-gone"     // loaders are unreachable, then restart with empty tables
	LimitHallPartition  LimitFault = "hall-cut"        // one hall cannot reach the others
	LimitRoutersRestart LimitFault = "routers-restart" // one after the other, each losing its table
	LimitRoutersFreeze  LimitFault = "routers-freeze"  // a quarter; deferred work runs at the end
	LimitNoLoaders      LimitFault = "plain"           // upstreams without loaders
	LimitAllLimited     LimitFault = "all-limited"     // all upstreams instead of one in three
	LimitFlapping       LimitFault = "flapping"        // announced for half of each second
	LimitMalformed      LimitFault = "garbled"         // every second limit header is malformed
)

// LimitFaults returns all faults.
func LimitFaults() []LimitFault {
	return []LimitFault{
		LimitNoFault, LimitLoaderDown, LimitHallPartition, LimitRoutersRestart, LimitRoutersFreeze, LimitNoLoaders,
		LimitAllLimited, LimitFlapping, LimitMalformed,
	}
}

// LimitFaultNames returns the names that FindLimitFault accepts.
func LimitFaultNames() []string {
	var names []string
	for _, fault := range LimitFaults() {
		names = append(names, string(fault))
	}
	return names
}

// FindLimitFault returns the fault of a name.
func FindLimitFault(name string) (LimitFault, error) {
	if !slices.Contains(LimitFaults(), LimitFault(name)) {
		return "", fmt.Errorf("unknown fault %q; use one of %s", name, strings.Join(LimitFaultNames(), ", "))
	}
	return LimitFault(name), nil
}

// LimitSetup describes a fleet whose upstreams announce limits for part of the run.
type LimitSetup struct {
	Routers, Halls, Upstreams int
	// PerSecond is the rate that each limited upstream announces.
	PerSecond float64
	// Rate is the request rate of all callers together, per second.
	Rate  float64
	Fault LimitFault
	Seed  uint64
}

// DefaultLimit returns a fleet of 7 routers and 12 upstreams.
func DefaultLimit() LimitSetup {
	return LimitSetup{Routers: 7, Halls: 3, Upstreams: 12, PerSecond: 2, Rate: 120, Fault: LimitNoFault, Seed: 1}
}

// Times and sizes of a run.
const (
	limitFrom, limitTo                    = 5 * time.Second, 25 * time.Second
	limitRunLength                        = 32 * time.Second
	limitFaultFrom                        = 12 * time.Second
	limitFaultTo                          = 17 * time.Second
	limitedOneIn                          = 3 // one in limitedOneIn upstreams is limited
	frozenOneIn                           = 4 // one in frozenOneIn routers freezes
	loaderBackoff                         = 600 * time.Millisecond
	limitMinResponse, limitResponseJitter = 30 * time.Millisecond, 300 * time.Millisecond // response time
	limitResyncDelay                      = 200 * time.Millisecond                        // after a restart
	limitSettleTime                       = 3 * time.Second                               // excluded from the utilization
	limitTolerance, limitAllowance        = 1.5, 5.0
	limitRecoveryWindow                   = time.Second
)

// LimitResult summarizes a run.
type LimitResult struct {
	Fault     LimitFault `json:"fault"`
	Routers   int        `json:"routers"`
	PerSecond float64    `json:"per_second"`
	Seed      uint64     `json:"seed"`
	// MaxUtilization is the highest number of requests that an upstream received in 4 s, relative
	// to the allowed number, from 3 s after the first announcement on; MeanUtilization is the
	// mean over all such windows.
	MaxUtilization  float64 `json:"worst"`
	MeanUtilization float64 `json:"mean"`
	// OverloadDuration is the time from the first announcement to the last second in which more
	// requests arrived than are allowed in 4 s. RecoveryTime is the time from the end of the
	// limits to the first second in which the limited upstreams received half of their usual
	// share.
	OverloadDuration time.Duration `json:"falls"`
	RecoveryTime     time.Duration `json:"back"`
	// ServedShare is the share of the requests that were sent to an upstream.
	ServedShare float64 `json:"served"`
	// RequestsBySecond is the number of requests to limited upstreams in each second.
	RequestsBySecond []int `json:"seconds"`
}

// limitSim is the state of one run.
type limitSim struct {
	LimitSetup
	events    eventLoop
	rng       *rand.Rand
	routers   []*limitRouter
	upstreams []*limitUpstream
	records   []*provider.Upstream
	requests  int
	served    int
}

// limitUpstream is an upstream and its loader.
type limitUpstream struct {
	upstream    *provider.Upstream
	limited     bool
	loaderTable ratelimit.Table
	responses   int
	arrivals    []time.Duration
}

// limitRouter is a router with its own table of limits.
type limitRouter struct {
	sim   *limitSim
	hall  string
	pool  balance.Pool
	table ratelimit.Table
	// backoffUntil is the end of the backoff of each upstream's loader.
	backoffUntil map[string]time.Duration
	frozen       bool
	deferred     []func()
}

// RunLimit simulates a setup.
func RunLimit(setup LimitSetup) (*LimitResult, error) {
	if setup.Routers < 1 || setup.Halls < 1 || setup.Upstreams < limitedOneIn || setup.Rate <= 0 || setup.PerSecond < 0 {
		return nil, fmt.Errorf("%w: at least one router, one hall, %d upstreams, a positive request rate and a limit of 0 or more are required", ErrSetup, limitedOneIn)
	}
	s := &limitSim{LimitSetup: setup, rng: rand.New(rand.NewPCG(setup.Seed, 1))}
	for i := range setup.Upstreams {
		u := &limitUpstream{
			upstream: &provider.Upstream{ID: fmt.Sprintf("u%d", i), Hall: hallOf(i, setup.Halls)},
			limited:  i%limitedOneIn == 0 || setup.Fault == LimitAllLimited,
		}
		u.loaderTable.Draw = s.rng.Float64
		s.upstreams, s.records = append(s.upstreams, u), append(s.records, u.upstream)
	}
	for i := range setup.Routers {
		r := &limitRouter{sim: s, hall: hallOf(i, setup.Halls), backoffUntil: map[string]time.Duration{}}
		r.pool.Hall, r.pool.Now, r.pool.Rand, r.table.Draw = r.hall, s.now, s.rng.Float64, s.rng.Float64
		s.routers = append(s.routers, r)
	}
	s.scheduleArrivals()
	s.scheduleFaults()
	s.events.run()
	return s.summarize(), nil
}

func (s *limitSim) now() time.Time { return epoch.Add(s.events.now) }

// scheduleArrivals schedules all requests, each at a random router.
func (s *limitSim) scheduleArrivals() {
	for at := time.Duration(0); at < limitRunLength; {
		at += time.Duration(s.rng.ExpFloat64() / s.Rate * float64(time.Second))
		r := s.routers[s.rng.IntN(len(s.routers))]
		s.events.at(at, func() {
			s.requests++
			r.run(r.route)
		})
	}
}

// scheduleFaults schedules the fault's events.
func (s *limitSim) scheduleFaults() {
	switch s.Fault {
	case LimitLoaderDown:
		s.events.at(limitFaultTo, func() {
			for _, u := range s.upstreams {
				u.loaderTable = ratelimit.Table{Draw: s.rng.Float64}
			}
		})
	case LimitRoutersRestart:
		for i, r := range s.routers {
			at := limitFaultFrom + (limitFaultTo-limitFaultFrom)*time.Duration(i)/time.Duration(len(s.routers))
			s.events.at(at, r.restart)
		}
	case LimitRoutersFreeze:
		for _, r := range s.routers[:(len(s.routers)+frozenOneIn-1)/frozenOneIn] {
			s.events.at(limitFaultFrom, func() { r.frozen = true })
			s.events.at(limitFaultTo, r.unfreeze)
		}
	default:
	}
}

// faultActive reports whether the setup's fault is the given one and is in effect.
func (s *limitSim) faultActive(fault LimitFault) bool {
	return s.Fault == fault && s.events.now >= limitFaultFrom && s.events.now < limitFaultTo
}

// reachable reports whether two halls can communicate.
func (s *limitSim) reachable(from, to string) bool {
	return from == to || !s.faultActive(LimitHallPartition) || from != hallOf(0, s.Halls) && to != hallOf(0, s.Halls)
}

// run runs a function at the router, or defers it while the router is frozen.
func (r *limitRouter) run(fn func()) {
	if r.frozen {
		r.deferred = append(r.deferred, fn)
		return
	}
	fn()
}

func (r *limitRouter) unfreeze() {
	r.frozen = false
	for _, fn := range r.deferred {
		fn()
	}
	r.deferred = nil
}

// restart clears the router's limits and fetches those of two random peers after limitResyncDelay.
func (r *limitRouter) restart() {
	r.table = ratelimit.Table{Draw: r.sim.rng.Float64}
	for range 2 {
		other := r.sim.routers[r.sim.rng.IntN(len(r.sim.routers))]
		r.sim.events.after(limitResyncDelay, func() {
			if !r.sim.reachable(r.hall, other.hall) {
				return
			}
			for _, received := range other.table.Reports(r.sim.now()) {
				r.applyLimit(received.Upstream, received.Report)
			}
		})
	}
}

func (r *limitRouter) applyLimit(upstream ratelimit.Upstream, report ratelimit.Report) {
	if r.table.Merge(upstream, report, r.sim.now()).Changed {
		r.pool.Throttle(upstream.ID, 0)
	}
}

// route sends a request to the first chosen upstream whose limit allows it.
func (r *limitRouter) route() {
	var query balance.Query
	for {
		choice, ok := r.pool.Choose(r.sim.records, query)
		if !ok {
			return
		}
		u := r.sim.upstreams[slices.Index(r.sim.records, choice.Upstream)]
		wait, ok := time.Duration(0), r.sim.reachable(r.hall, u.upstream.Hall)
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

// allow requests permission from the upstream's loader, or applies this router's share of the
// limit if the loader cannot be reached.
func (r *limitRouter) allow(u *limitUpstream) (time.Duration, bool) {
	key, now, routers := ratelimit.Upstream{ID: u.upstream.ID}, r.sim.now(), len(r.sim.routers)
	if r.sim.Fault == LimitNoLoaders {
		return r.table.Allow(key, ratelimit.NoLoaderShare.Among(routers), now)
	}
	if r.sim.faultActive(LimitLoaderDown) || r.backoffUntil[key.ID] > r.sim.events.now {
		if r.backoffUntil[key.ID] <= r.sim.events.now {
			r.backoffUntil[key.ID] = r.sim.events.now + loaderBackoff
		}
		return r.table.Allow(key, ratelimit.LoaderUnreachableShare.Among(routers), now)
	}
	if report, known := r.table.Report(key, now); known {
		u.loaderTable.Merge(key, report, now)
	}
	if report, known := u.loaderTable.Report(key, now); known {
		r.applyLimit(key, report)
	}
	return u.loaderTable.Allow(key, ratelimit.LoaderShare, now)
}

// send delivers a request to an upstream and schedules its response.
func (r *limitRouter) send(u *limitUpstream, choice balance.Choice) {
	s, sent := r.sim, r.sim.events.now
	s.served++
	u.arrivals = append(u.arrivals, sent)
	responseTime := limitMinResponse + time.Duration(s.rng.Int64N(int64(limitResponseJitter)))
	s.events.after(responseTime, func() {
		announced := u.announcedLimit(s)
		r.run(func() {
			choice.Done(balance.Served)
			r.recordLimit(u, announced, sent)
		})
	})
}

// announcedLimit returns the limit that a response announces.
func (u *limitUpstream) announcedLimit(s *limitSim) ratelimit.ResponseLimit {
	u.responses++
	now := s.events.now
	switch {
	case !u.limited || now < limitFrom || now >= limitTo || s.Fault == LimitFlapping && now%time.Second >= time.Second/2:
		return ratelimit.ResponseLimit{Kind: ratelimit.Unlimited}
	case s.Fault == LimitMalformed && u.responses%2 == 0:
		return ratelimit.Parse([]string{"x"})
	default:
		return ratelimit.ResponseLimit{Kind: ratelimit.Limited, PerSecond: s.PerSecond}
	}
}

// recordLimit applies the limit of a response and propagates changes to the other routers.
func (r *limitRouter) recordLimit(u *limitUpstream, announced ratelimit.ResponseLimit, sent time.Duration) {
	s, key := r.sim, ratelimit.Upstream{ID: u.upstream.ID}
	change := r.table.Observe(key, announced, epoch.Add(sent), s.now())
	if change.Changed {
		r.pool.Throttle(key.ID, 0)
	}
	if !change.Notify {
		return
	}
	for _, other := range s.routers {
		if other != r && s.reachable(r.hall, other.hall) {
			s.events.after(networkDelay+time.Duration(s.rng.Int64N(int64(pollInterval))), func() { other.run(func() { other.applyLimit(key, change.Current) }) })
		}
	}
}

// summarize computes the result of a finished run.
func (s *limitSim) summarize() *LimitResult {
	r := &LimitResult{Fault: s.Fault, Routers: s.Routers, PerSecond: s.PerSecond, Seed: s.Seed, RequestsBySecond: make([]int, int(limitRunLength/time.Second)+1)}
	r.ServedShare = float64(s.served) / float64(max(s.requests, 1))
	limited, allowed := 0, limitTolerance*s.PerSecond*limitWindow.Seconds()+limitAllowance
	sum, windows := 0.0, 0
	for _, u := range s.upstreams {
		if !u.limited {
			continue
		}
		limited++
		for _, at := range u.arrivals {
			r.RequestsBySecond[min(int(at/time.Second), len(r.RequestsBySecond)-1)]++
		}
		for from := limitFrom + limitSettleTime; from+limitWindow <= limitTo; from += limitWindow / 16 {
			utilization := float64(u.arrivalsIn(from, from+limitWindow)) / allowed
			r.MaxUtilization, sum, windows = max(r.MaxUtilization, utilization), sum+utilization, windows+1
		}
		for from := limitFrom; from < limitFrom+limitSettleTime; from += limitWindow / 16 {
			if float64(u.arrivalsIn(from, from+time.Second)) > allowed {
				r.OverloadDuration = max(r.OverloadDuration, from-limitFrom)
			}
		}
	}
	r.MeanUtilization = sum / float64(max(windows, 1))
	r.RecoveryTime = s.recoveryTime(limited)
	return r
}

// arrivalsIn returns the number of requests that arrived in an interval.
func (u *limitUpstream) arrivalsIn(from, to time.Duration) int {
	first, _ := slices.BinarySearch(u.arrivals, from)
	last, _ := slices.BinarySearch(u.arrivals, to)
	return last - first
}

// recoveryTime returns the time after the end of the limits until the limited upstreams receive
// half of their usual share again.
func (s *limitSim) recoveryTime(limited int) time.Duration {
	usualRate := s.Rate / float64(len(s.upstreams)) * float64(limited)
	for from := limitTo; from+limitRecoveryWindow < limitRunLength; from += limitWindow / 16 {
		requests := 0
		for _, u := range s.upstreams {
			if u.limited {
				requests += u.arrivalsIn(from, from+limitRecoveryWindow)
			}
		}
		if float64(requests) >= usualRate/2*limitRecoveryWindow.Seconds() {
			return from - limitTo
		}
	}
	return limitRunLength - limitTo
}

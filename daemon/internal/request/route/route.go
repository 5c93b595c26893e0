// Package route selects the host for a request at an entry.
//
// Candidates are the hosts that report the service as ready and are neither leaving
// nor suspect. Hosts of the entry's own hall are preferred; those of other halls are
// considered only if no local host is eligible. Among the candidates the one with the
// lowest expected load is chosen: the requests that this entry has in flight there,
// plus the requests of other entries that the agent last reported, weighted down as
// the report ages.
package route

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/members"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/placer"
)

const (
	// reportHalfLife is the time in which the weight of an agent's load report halves.
	reportHalfLife = 500 * time.Millisecond
	// ejectBase is how long a host is ejected after its first failure; it doubles
	// with each consecutive failure, up to ejectMax.
	ejectBase = 500 * time.Millisecond
	ejectMax  = 30 * time.Second
	// ejectMaxShare bounds the share of a service's hosts that may be ejected.
	ejectMaxShare = 0.5
)

// Choice is the host selected for a request.
type Choice struct {
	Host    string
	Hall    string
	Address netip.AddrPort
	// Manifest is the version that the host reports as ready, "" for a plain service.
	Manifest string
	// Candidates is the number of eligible hosts.
	Candidates int
	Reason     string
}

// Router selects hosts and tracks the load and failures that this entry observes at
// each. The zero value is ready to use.
//
// mu is the only lock; it is not held while a request runs.
type Router struct {
	// Hall is the data hall of this entry.
	Hall string
	// Now overrides the clock in tests; nil means clock.Now.
	Now func() time.Time

	mu        sync.Mutex
	upstreams map[string]*upstream
}

// upstream is the state of one host as observed by this entry.
type upstream struct {
	// inFlight counts this entry's requests at the host.
	inFlight int
	// reported is the number of requests in flight that the agent reported at
	// reportedAt, less those of this entry.
	reported   int
	reportedAt time.Time
	// failures counts consecutive failures. The host is ejected until ejectedUntil.
	failures     int
	ejectedUntil time.Time
}

func (r *Router) now() time.Time { return helpers.Now(r.Now) }

// get returns the state of a host, creating it if needed. The caller must hold mu.
func (r *Router) get(host string) *upstream {
	if r.upstreams == nil {
		r.upstreams = map[string]*upstream{}
	}
	u := r.upstreams[host]
	if u == nil {
		u = &upstream{}
		r.upstreams[host] = u
	}
	return u
}

// load returns the expected number of requests in flight at the host.
func (u *upstream) load(now time.Time) float64 {
	age := now.Sub(u.reportedAt)
	if u.reported <= 0 || age > 8*reportHalfLife {
		return float64(u.inFlight)
	}
	weight := 1.0
	for ; age > reportHalfLife; age -= reportHalfLife {
		weight /= 2
	}
	return float64(u.inFlight) + weight*float64(u.reported)
}

// Query holds the inputs of Choose.
type Query struct {
	Service *api.Resource
	Members *members.View
	// Tried names the hosts to exclude because they have refused the request.
	Tried []string
}

// Choose returns the host for a request, or false if none is eligible. The request
// counts as in flight at that host until Done.
func (r *Router) Choose(query Query) (Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	candidates := r.candidates(query, now)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	best := r.leastLoaded(candidates, now)
	address, err := netip.ParseAddrPort(best.GetAddress())
	if err != nil {
		return Choice{}, false
	}
	r.get(best.GetName()).inFlight++
	reason := "lowest expected load in the local hall"
	if best.GetHall() != r.Hall {
		reason = "lowest expected load in a remote hall; no eligible host in the local hall"
	}
	return Choice{
		Host: best.GetName(), Hall: best.GetHall(), Address: address,
		Manifest: best.GetReadyManifest(), Candidates: len(candidates), Reason: reason,
	}, true
}

// CountAttempt counts another attempt at the host of an earlier choice as in flight until
// Done.
func (r *Router) CountAttempt(choice Choice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(choice.Host).inFlight++
}

// candidates returns the eligible hosts of the own hall or, if there are none, those
// of other halls. The caller must hold mu.
func (r *Router) candidates(query Query, now time.Time) []*members.Agent {
	var local, remote []*members.Agent
	for _, agent := range query.Members.ByService[query.Service.Name] {
		switch {
		case agent.GetLeaving() || agent.GetSuspect() || slices.Contains(query.Tried, agent.GetName()):
		case !placer.ServesHall(query.Service.Service.Halls, agent.GetHall()):
		case agent.GetHall() == r.Hall:
			local = append(local, agent)
		default:
			remote = append(remote, agent)
		}
	}
	if local = r.withoutEjected(local, now); len(local) > 0 {
		return local
	}
	return r.withoutEjected(remote, now)
}

// withoutEjected filters out ejected hosts, but never more than
// ejectMaxShare of them: if most fail, the fault is more likely at this entry.
func (r *Router) withoutEjected(agents []*members.Agent, now time.Time) []*members.Agent {
	var healthy []*members.Agent
	for _, agent := range agents {
		if !now.Before(r.get(agent.GetName()).ejectedUntil) {
			healthy = append(healthy, agent)
		}
	}
	if float64(len(agents)-len(healthy)) > ejectMaxShare*float64(len(agents)) {
		return agents
	}
	return healthy
}

// leastLoaded returns the candidate with the lowest load and breaks ties at random.
func (r *Router) leastLoaded(candidates []*members.Agent, now time.Time) *members.Agent {
	start := rand.IntN(len(candidates))
	best := candidates[start]
	bestLoad := r.get(best.GetName()).load(now)
	for i := 1; i < len(candidates); i++ {
		candidate := candidates[(start+i)%len(candidates)]
		if load := r.get(candidate.GetName()).load(now); load < bestLoad {
			best, bestLoad = candidate, load
		}
	}
	return best
}

// Result is the result of an attempt at a host.
type Result int

// Values of Result.
const (
	// ResultAnswered means that the upstream responded.
	ResultAnswered Result = iota
	// ResultRefused means that the agent refused before the upstream received the
	// request.
	ResultRefused
	// ResultFailed means no connection or no complete response.
	ResultFailed
	// ResultCanceled means that the client disconnected, which is no evidence
	// about the host.
	ResultCanceled
)

// Done ends an attempt counted by Choose or CountAttempt and records its result.
func (r *Router) Done(host string, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.get(host)
	u.inFlight--
	switch result {
	case ResultAnswered:
		u.failures = 0
	case ResultFailed:
		u.failures++
		wait := ejectMax
		if u.failures < 8 {
			wait = min(ejectBase<<(u.failures-1), ejectMax)
		}
		u.ejectedUntil = r.now().Add(wait)
	case ResultRefused, ResultCanceled:
	}
}

// Report records the number of requests in flight that an agent reported.
func (r *Router) Report(host string, inFlight int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.get(host)
	u.reported = inFlight - u.inFlight
	u.reportedAt = r.now()
}

// Prune drops the state of hosts that are no longer members and have no requests in flight.
func (r *Router) Prune(view *members.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for host, u := range r.upstreams {
		if view.ByName[host] == nil && u.inFlight == 0 {
			delete(r.upstreams, host)
		}
	}
}

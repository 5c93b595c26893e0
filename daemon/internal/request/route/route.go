// Package route chooses the upstream for a request.
//
// Candidates are the hosts that say they serve the service, are not leaving and
// not suspect. The own hall goes first; other halls follow only when no host of
// the own one can take the request. Among the candidates of a hall the one with
// the least expected load wins: the requests this entry has there, plus what
// the agent last said that others have, which fades, since it is old.
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
	// reportFade is the time in which an agent's word on its load loses half
	// of its weight.
	reportFade = 500 * time.Millisecond
	// ejectBase is how long a host is left out after its first failure; it
	// doubles with each further one, up to ejectMax.
	ejectBase = 500 * time.Millisecond
	ejectMax  = 30 * time.Second
	// ejectShare bounds the share of a service's hosts that may be left out.
	ejectShare = 0.5
)

// Choice is the upstream that a request goes to.
type Choice struct {
	Host    string
	Hall    string
	Address netip.AddrPort
	// Manifest is the version that the host says it serves, "" for plain ones.
	Manifest string
	// Candidates is the number of hosts that could have been chosen.
	Candidates int
	Reason     string
}

// Router keeps what an entry knows of each upstream from its own requests. The
// zero value is ready to use.
//
// Lock order: mu is the only lock; it is not held while a request runs.
type Router struct {
	// Hall is the entry's own data hall.
	Hall string
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	mu        sync.Mutex
	upstreams map[string]*upstream
}

// upstream is one host as seen by this entry's requests.
type upstream struct {
	// inFlight counts this entry's requests at the host.
	inFlight int
	// reported is what the agent said of all its requests at reportedAt, less
	// this entry's own at that time.
	reported   int
	reportedAt time.Time
	// failures counts failures in a row; until ejectedUntil the host is left out.
	failures     int
	ejectedUntil time.Time
}

func (r *Router) now() time.Time { return helpers.Now(r.Now) }

// get returns an upstream's state; the caller holds mu.
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

// load is the expected number of requests at the host.
func (u *upstream) load(now time.Time) float64 {
	age := now.Sub(u.reportedAt)
	if u.reported <= 0 || age > 8*reportFade {
		return float64(u.inFlight)
	}
	weight := 1.0
	for ; age > reportFade; age -= reportFade {
		weight /= 2
	}
	return float64(u.inFlight) + weight*float64(u.reported)
}

// Query is what a choice depends on.
type Query struct {
	Service *api.Resource
	Members *members.View
	// Tried names the hosts that refused the request already.
	Tried []string
}

// Choose returns the upstream for a request, false where there is none. The
// chosen host counts the request until Done.
func (r *Router) Choose(query Query) (Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	candidates := r.candidates(query, now)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	best := r.least(candidates, now)
	address, err := netip.ParseAddrPort(best.GetAddress())
	if err != nil {
		return Choice{}, false
	}
	r.get(best.GetName()).inFlight++
	reason := "least expected load in the own hall"
	if best.GetHall() != r.Hall {
		reason = "least expected load in another hall; the own one has no host for it"
	}
	return Choice{
		Host: best.GetName(), Hall: best.GetHall(), Address: address,
		Manifest: best.GetReadyManifest(), Candidates: len(candidates), Reason: reason,
	}, true
}

// Again counts one more request at the host of an earlier choice, until Done.
func (r *Router) Again(choice Choice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(choice.Host).inFlight++
}

// candidates returns the hosts of the own hall that can take the request, or
// else those of other halls; the caller holds mu.
func (r *Router) candidates(query Query, now time.Time) []*members.Agent {
	var own, others []*members.Agent
	for _, agent := range query.Members.ByService[query.Service.Name] {
		switch {
		case agent.GetLeaving() || agent.GetSuspect() || slices.Contains(query.Tried, agent.GetName()):
		case !placer.ServesHall(query.Service.Service.Halls, agent.GetHall()):
		case agent.GetHall() == r.Hall:
			own = append(own, agent)
		default:
			others = append(others, agent)
		}
	}
	if own = r.withoutEjected(own, now); len(own) > 0 {
		return own
	}
	return r.withoutEjected(others, now)
}

// withoutEjected leaves out hosts that failed lately, but never more than
// ejectShare of them: when most fail, the fault is more likely on this side.
func (r *Router) withoutEjected(agents []*members.Agent, now time.Time) []*members.Agent {
	var healthy []*members.Agent
	for _, agent := range agents {
		if !now.Before(r.get(agent.GetName()).ejectedUntil) {
			healthy = append(healthy, agent)
		}
	}
	if float64(len(agents)-len(healthy)) > ejectShare*float64(len(agents)) {
		return agents
	}
	return healthy
}

// least returns the candidate with the least load, a random one among equals.
func (r *Router) least(candidates []*members.Agent, now time.Time) *members.Agent {
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

// Result is what became of a request at an upstream.
type Result int

// The results.
const (
	// ResultAnswered: the upstream answered.
	ResultAnswered Result = iota
	// ResultRefused: the agent refused before the upstream saw the request.
	ResultRefused
	// ResultFailed: no connection, or no answer.
	ResultFailed
	// ResultCallerGone: the caller left; this says nothing of the upstream.
	ResultCallerGone
)

// Done ends a request that Choose counted.
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
	case ResultRefused, ResultCallerGone:
	}
}

// Report notes what an agent said of its number of requests.
func (r *Router) Report(host string, inFlight int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.get(host)
	u.reported = inFlight - u.inFlight
	u.reportedAt = r.now()
}

// Keep drops the state of hosts that are gone.
func (r *Router) Keep(view *members.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for host, u := range r.upstreams {
		if view.ByName[host] == nil && u.inFlight == 0 {
			delete(r.upstreams, host)
		}
	}
}

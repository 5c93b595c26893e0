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

// Selector selects hosts and tracks the load and failures that this entry observes at
// each. The zero value is ready to use.
//
// mu is the only lock; it is not held while a request runs.
type Selector struct {
	// Hall is the data hall of this entry.
	Hall string
	// Now overrides the clock in tests; nil means clock.Now.
	Now func() time.Time

	mu    sync.Mutex
	hosts map[string]*hostState
}

// hostState is the state of one host as observed by this entry.
type hostState struct {
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

func (s *Selector) now() time.Time { return helpers.Now(s.Now) }

// get returns the state of a host, creating it if needed. The caller must hold mu.
func (s *Selector) get(host string) *hostState {
	if s.hosts == nil {
		s.hosts = map[string]*hostState{}
	}
	h := s.hosts[host]
	if h == nil {
		h = &hostState{}
		s.hosts[host] = h
	}
	return h
}

// load returns the expected number of requests in flight at the host.
func (h *hostState) load(now time.Time) float64 {
	age := now.Sub(h.reportedAt)
	if h.reported <= 0 || age > 8*reportHalfLife {
		return float64(h.inFlight)
	}
	weight := 1.0
	for ; age > reportHalfLife; age -= reportHalfLife {
		weight /= 2
	}
	return float64(h.inFlight) + weight*float64(h.reported)
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
func (s *Selector) Choose(query Query) (Choice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	candidates := s.candidates(query, now)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	best := s.leastLoaded(candidates, now)
	address, err := netip.ParseAddrPort(best.GetAddress())
	if err != nil {
		return Choice{}, false
	}
	s.get(best.GetName()).inFlight++
	reason := "lowest expected load in the local hall"
	if best.GetHall() != s.Hall {
		reason = "lowest expected load in a remote hall; no eligible host in the local hall"
	}
	return Choice{
		Host: best.GetName(), Hall: best.GetHall(), Address: address,
		Manifest: best.GetReadyManifest(), Candidates: len(candidates), Reason: reason,
	}, true
}

// CountAttempt counts another attempt at the host of an earlier choice as in flight until
// Done.
func (s *Selector) CountAttempt(choice Choice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(choice.Host).inFlight++
}

// candidates returns the eligible hosts of the own hall or, if there are none, those
// of other halls. The caller must hold mu.
func (s *Selector) candidates(query Query, now time.Time) []*members.Agent {
	var local, remote []*members.Agent
	for _, agent := range query.Members.ByService[query.Service.Name] {
		switch {
		case agent.GetLeaving() || agent.GetSuspect() || slices.Contains(query.Tried, agent.GetName()):
		case !placer.ServesHall(query.Service.Service.Halls, agent.GetHall()):
		case agent.GetHall() == s.Hall:
			local = append(local, agent)
		default:
			remote = append(remote, agent)
		}
	}
	if local = s.withoutEjected(local, now); len(local) > 0 {
		return local
	}
	return s.withoutEjected(remote, now)
}

// withoutEjected filters out ejected hosts, but never more than
// ejectMaxShare of them: if most fail, the fault is more likely at this entry.
func (s *Selector) withoutEjected(agents []*members.Agent, now time.Time) []*members.Agent {
	var healthy []*members.Agent
	for _, agent := range agents {
		if !now.Before(s.get(agent.GetName()).ejectedUntil) {
			healthy = append(healthy, agent)
		}
	}
	if float64(len(agents)-len(healthy)) > ejectMaxShare*float64(len(agents)) {
		return agents
	}
	return healthy
}

// leastLoaded returns the candidate with the lowest load and breaks ties at random.
func (s *Selector) leastLoaded(candidates []*members.Agent, now time.Time) *members.Agent {
	start := rand.IntN(len(candidates))
	best := candidates[start]
	bestLoad := s.get(best.GetName()).load(now)
	for i := 1; i < len(candidates); i++ {
		candidate := candidates[(start+i)%len(candidates)]
		if load := s.get(candidate.GetName()).load(now); load < bestLoad {
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
	// ResultCanceled means that the caller disconnected, which is no evidence
	// about the host.
	ResultCanceled
)

// Done ends an attempt counted by Choose or CountAttempt and records its result.
func (s *Selector) Done(host string, result Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.get(host)
	h.inFlight--
	switch result {
	case ResultAnswered:
		h.failures = 0
	case ResultFailed:
		h.failures++
		wait := ejectMax
		if h.failures < 8 {
			wait = min(ejectBase<<(h.failures-1), ejectMax)
		}
		h.ejectedUntil = s.now().Add(wait)
	case ResultRefused, ResultCanceled:
	}
}

// Report records the number of requests in flight that an agent reported.
func (s *Selector) Report(host string, inFlight int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.get(host)
	h.reported = inFlight - h.inFlight
	h.reportedAt = s.now()
}

// Prune drops the state of hosts that are no longer members and have no requests in flight.
func (s *Selector) Prune(view *members.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for host, h := range s.hosts {
		if view.ByName[host] == nil && h.inFlight == 0 {
			delete(s.hosts, host)
		}
	}
}

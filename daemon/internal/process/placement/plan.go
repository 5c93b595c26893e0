package placement

import (
	"fmt"
	"slices"
	"strings"

	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
)

// Target is what one service declares for the hall.
type Target struct {
	Service  string
	Version  Version
	Replicas int
	// WaveSize is the number of hosts per wave; 0 means all at once.
	WaveSize          int
	ContinueOnFailure bool
}

// Candidate is one engine host of the hall.
type Candidate struct {
	Name string
	// Keep is false for a host that is gone, leaving, or suspect for long:
	// its assignment moves.
	Keep bool
	// Take is true for a host that may get a new assignment.
	Take bool
	// Ready is the manifest that it serves, for ReadyService.
	Ready        string
	ReadyService string
	// Staged is the manifest that it holds or fetches.
	Staged string
	// Failed is the manifest whose activation failed, Failure why.
	Failed  string
	Failure string
}

// Input is all that a plan depends on.
type Input struct {
	Previous Document
	Targets  []Target
	Hosts    []Candidate
	// PauseOver reports whether the pause before a service's next wave has
	// passed; nil means it always has.
	PauseOver func(service string) bool
}

// Step is one decision of a plan, for the log.
type Step struct {
	Service string
	Choice  string
	Reason  string
}

// Plan returns the next document and the decisions that led to it. Without a
// decision the document is the previous one.
func Plan(input Input) (Document, []Step) {
	p := &planner{input: input, hosts: byName(input.Hosts), taken: map[string]bool{}}
	targets := slices.Clone(input.Targets)
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.Service, b.Service) })
	p.generation = input.Previous.Generation + 1
	for _, target := range targets {
		p.keep(target)
	}
	for i := range p.services {
		p.fill(&p.services[i], targets[i])
		p.retarget(&p.services[i], targets[i])
		p.advance(&p.services[i], targets[i])
		p.services[i].prune()
	}
	p.noteRemoved(targets)
	if len(p.steps) == 0 {
		return input.Previous, nil
	}
	return Document{Hall: input.Previous.Hall, Generation: p.generation, Services: p.services}, p.steps
}

func byName(hosts []Candidate) map[string]*Candidate {
	found := make(map[string]*Candidate, len(hosts))
	for i := range hosts {
		found[hosts[i].Name] = &hosts[i]
	}
	return found
}

// planner is one run of Plan.
type planner struct {
	input      Input
	generation uint64
	hosts      map[string]*Candidate
	// taken holds every host that a service of the new document has.
	taken    map[string]bool
	services []Service
	steps    []Step
}

func (p *planner) note(service, choice, reason string) {
	p.steps = append(p.steps, Step{Service: service, Choice: choice, Reason: reason})
}

// keep carries a service's hosts over from the previous document, all
// services first, so that no service takes a host that another one keeps.
func (p *planner) keep(target Target) {
	next := Service{Name: target.Service, Target: None, Previous: None}
	if previous := p.input.Previous.Find(target.Service); previous != nil {
		next = previous.clone()
	}
	next.Hosts = slices.DeleteFunc(next.Hosts, func(host Host) bool {
		candidate := p.hosts[host.Name]
		if candidate != nil && candidate.Keep {
			p.taken[host.Name] = true
			return false
		}
		p.note(target.Service, "drop "+host.Name, "the host is gone or leaving")
		return true
	})
	p.services = append(p.services, next)
}

// fill brings a service to its number of replicas with the least movement.
func (p *planner) fill(service *Service, target Target) {
	for len(service.Hosts) > target.Replicas {
		p.dropOne(service)
	}
	for _, name := range p.free(target, target.Replicas-len(service.Hosts)) {
		p.taken[name] = true
		host := Host{Name: name, Token: p.generation, Serve: service.Target}
		// A host that comes in the middle of a rollout does not run ahead of
		// it: it serves what the service last reached as a whole, and turns
		// with the last wave.
		if service.OpenWave < service.Waves && service.Previous != None {
			host.Serve = service.Previous
			host.Wave = service.Waves - 1
		}
		service.Hosts = append(service.Hosts, host)
		p.note(service.Name, "place on "+name, placeReason(p.hosts[name], target))
	}
	slices.SortFunc(service.Hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
}

// holds reports whether a host has the target's version already.
func holds(candidate *Candidate, target Target) bool {
	manifest := target.Version.Manifest
	return candidate.Ready == manifest || candidate.Staged == manifest
}

func placeReason(candidate *Candidate, target Target) string {
	if holds(candidate, target) {
		return "the host holds the version already"
	}
	return "first free host by rendezvous rank"
}

// free returns up to count free hosts, those that hold the version first.
func (p *planner) free(target Target, count int) []string {
	if count <= 0 {
		return nil
	}
	var names []string
	for name, candidate := range p.hosts {
		if candidate.Take && candidate.Keep && !p.taken[name] {
			names = append(names, name)
		}
	}
	ranked := rendezvous.Rank(target.Service, names)
	var holding, empty []string
	for _, name := range ranked {
		if holds(p.hosts[name], target) {
			holding = append(holding, name)
		} else {
			empty = append(empty, name)
		}
	}
	holding = append(holding, empty...)
	return holding[:min(count, len(holding))]
}

// dropOne takes the host away that costs least: one that is not ready, else
// the one that ranks last.
func (p *planner) dropOne(service *Service) {
	names := make([]string, len(service.Hosts))
	for i, host := range service.Hosts {
		names[i] = host.Name
	}
	ranked := rendezvous.Rank(service.Name, names)
	victim := ranked[len(ranked)-1]
	for _, name := range ranked {
		if p.hosts[name].Ready != service.Manifest(service.Target) {
			victim = name
		}
	}
	service.Hosts = slices.DeleteFunc(service.Hosts, func(h Host) bool { return h.Name == victim })
	delete(p.taken, victim)
	p.note(service.Name, "drop "+victim, "fewer replicas are declared")
}

// retarget starts a rollout where the declared version changed.
func (p *planner) retarget(service *Service, target Target) {
	if service.Manifest(service.Target) == target.Version.Manifest {
		return
	}
	if service.Target != None && service.OpenWave >= service.Waves && service.Halted == "" {
		service.Previous = service.Target
	}
	service.Target = service.indexOf(target.Version)
	size := target.WaveSize
	if size == 0 {
		size = max(len(service.Hosts), 1)
	}
	turning := 0
	for i := range service.Hosts {
		host := &service.Hosts[i]
		if service.Manifest(host.Serve) == target.Version.Manifest {
			host.Wave = 0 // a rollback finds it where it was
			continue
		}
		host.Wave = turning / size
		turning++
	}
	service.Halted = ""
	service.OpenWave = 1
	service.Waves = max((turning+size-1)/size, 1)
	p.turn(service)
	short := target.Version.Manifest[:min(12, len(target.Version.Manifest))]
	p.note(service.Name, fmt.Sprintf("open wave 1 of %d", service.Waves), "version "+target.Version.Version+" ("+short+") is declared")
}

// turn gives every host of the open waves the target.
func (p *planner) turn(service *Service) {
	for i := range service.Hosts {
		host := &service.Hosts[i]
		if host.Wave < service.OpenWave && host.Serve != service.Target {
			host.Serve = service.Target
			host.Token = p.generation
		}
	}
}

// advance opens the next wave, or halts.
func (p *planner) advance(service *Service, target Target) {
	if service.OpenWave >= service.Waves {
		return
	}
	if service.Halted != "" {
		if !target.ContinueOnFailure {
			return
		}
		service.Halted = ""
		p.note(service.Name, "go on", "the declaration now goes on in spite of failures")
	}
	ready, failure := waveState(service, p.hosts)
	if failure != "" && !target.ContinueOnFailure {
		service.Halted = failure
		p.note(service.Name, "halt", failure)
		return
	}
	if !ready || p.input.PauseOver != nil && !p.input.PauseOver(service.Name) {
		return
	}
	service.OpenWave++
	p.turn(service)
	p.note(service.Name, fmt.Sprintf("open wave %d of %d", service.OpenWave, service.Waves), "every host of the open waves is ready")
}

// waveState reports whether all hosts of the open waves are ready, and the
// first failure among them. A failed host counts as settled, so that a rollout
// that goes on in spite of failures does not wait for it.
func waveState(service *Service, hosts map[string]*Candidate) (ready bool, failure string) {
	target := service.Manifest(service.Target)
	ready = true
	for _, host := range service.Hosts {
		if host.Wave >= service.OpenWave {
			continue
		}
		candidate := hosts[host.Name]
		switch {
		case candidate == nil:
			ready = false
		case candidate.Failed == target:
			if failure == "" {
				failure = host.Name + ": " + candidate.Failure
			}
		case candidate.Ready != target || candidate.ReadyService != service.Name:
			ready = false
		}
	}
	return ready, failure
}

// WaveReady reports whether every host of the open waves is ready, for the
// caller's clock of the pause.
func WaveReady(service *Service, hosts []Candidate) bool {
	ready, _ := waveState(service, byName(hosts))
	return ready
}

// noteRemoved records the services that are no longer declared for the hall.
func (p *planner) noteRemoved(targets []Target) {
	for _, previous := range p.input.Previous.Services {
		declared := slices.ContainsFunc(targets, func(t Target) bool { return t.Service == previous.Name })
		if !declared {
			p.note(previous.Name, "remove", "the service is no longer declared for this hall")
		}
	}
}

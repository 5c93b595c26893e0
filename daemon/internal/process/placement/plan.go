package placement

import (
	"fmt"
	"slices"
	"strings"

	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
)

// Target is the declaration of one service for the hall.
type Target struct {
	Service  string
	Version  Version
	Replicas int
	// WaveSize is the number of hosts per wave; 0 means all hosts.
	WaveSize          int
	ContinueOnFailure bool
}

// Candidate is one engine host of the hall.
type Candidate struct {
	Name string
	// KeepAssignment is false for a host that has left, is leaving, or has been suspect for
	// too long. Its assignment moves to another host.
	KeepAssignment bool
	// Assignable is set if the host may get a new assignment.
	Assignable bool
	// ReadyManifest is the manifest that the host serves for ReadyService.
	ReadyManifest string
	ReadyService  string
	// StagedManifest is the manifest that the host holds or fetches.
	StagedManifest string
	// FailedManifest is the manifest whose activation failed, and Failure the reason.
	FailedManifest string
	Failure        string
}

// Input holds the inputs of Plan.
type Input struct {
	Previous Document
	Targets  []Target
	Hosts    []Candidate
	// PauseElapsed reports whether the pause before a service's next wave is over; nil means
	// that there are no pauses.
	PauseElapsed func(service string) bool
}

// Step is one decision of a plan, which is logged.
type Step struct {
	Service string
	Choice  string
	Reason  string
}

// Plan returns the next document and the decisions that led to it. Without decisions it
// returns the previous document.
func Plan(input Input) (Document, []Step) {
	p := &planner{input: input, hosts: byName(input.Hosts), assigned: map[string]bool{}}
	targets := slices.Clone(input.Targets)
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.Service, b.Service) })
	p.generation = input.Previous.Generation + 1
	for _, target := range targets {
		p.keepAssignments(target)
	}
	for i := range p.services {
		p.scale(&p.services[i], targets[i])
		p.retarget(&p.services[i], targets[i])
		p.advance(&p.services[i], targets[i])
		p.services[i].prune()
	}
	p.recordRemoved(targets)
	if len(p.steps) == 0 {
		return input.Previous, nil
	}
	return Document{Hall: input.Previous.Hall, Generation: p.generation, Services: p.services}, p.steps
}

func byName(hosts []Candidate) map[string]*Candidate {
	candidates := make(map[string]*Candidate, len(hosts))
	for i := range hosts {
		candidates[hosts[i].Name] = &hosts[i]
	}
	return candidates
}

// planner is one run of Plan.
type planner struct {
	input      Input
	generation uint64
	hosts      map[string]*Candidate
	// assigned holds the hosts that are assigned to a service of the new document.
	assigned map[string]bool
	services []Service
	steps    []Step
}

func (p *planner) record(service, choice, reason string) {
	p.steps = append(p.steps, Step{Service: service, Choice: choice, Reason: reason})
}

// keepAssignments copies a service's assignments from the previous document. Plan calls it for all
// services before it assigns further hosts, so that no service gets a host of another one.
func (p *planner) keepAssignments(target Target) {
	next := Service{Name: target.Service, Target: None, Previous: None}
	if previous := p.input.Previous.FindService(target.Service); previous != nil {
		next = previous.clone()
	}
	next.Hosts = slices.DeleteFunc(next.Hosts, func(host Host) bool {
		candidate := p.hosts[host.Name]
		if candidate != nil && candidate.KeepAssignment {
			p.assigned[host.Name] = true
			return false
		}
		p.record(target.Service, "drop "+host.Name, "the host has left, is leaving or is suspect")
		return true
	})
	p.services = append(p.services, next)
}

// scale assigns or removes hosts until a service has its declared number of replicas.
func (p *planner) scale(service *Service, target Target) {
	for len(service.Hosts) > target.Replicas {
		p.dropOne(service)
	}
	for _, name := range p.freeHosts(target, target.Replicas-len(service.Hosts)) {
		p.assigned[name] = true
		host := Host{Name: name, Token: p.generation, VersionIndex: service.Target}
		// A host that is added during a rollout serves the previous version until the last
		// wave opens, so that it does not get the target before the waves do.
		if service.OpenWave < service.Waves && service.Previous != None {
			host.VersionIndex = service.Previous
			host.Wave = service.Waves - 1
		}
		service.Hosts = append(service.Hosts, host)
		p.record(service.Name, "place on "+name, placeReason(p.hosts[name], target))
	}
	slices.SortFunc(service.Hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
}

// holds reports whether a host already has the target's version.
func holds(candidate *Candidate, target Target) bool {
	manifest := target.Version.Manifest
	return candidate.ReadyManifest == manifest || candidate.StagedManifest == manifest
}

func placeReason(candidate *Candidate, target Target) string {
	if holds(candidate, target) {
		return "the host already holds the version"
	}
	return "first free host by rendezvous rank"
}

// freeHosts returns up to count unassigned hosts, those that hold the version first.
func (p *planner) freeHosts(target Target, count int) []string {
	if count <= 0 {
		return nil
	}
	var names []string
	for name, candidate := range p.hosts {
		if candidate.Assignable && candidate.KeepAssignment && !p.assigned[name] {
			names = append(names, name)
		}
	}
	ranked := rendezvous.Rank(target.Service, names)
	var holding, others []string
	for _, name := range ranked {
		if holds(p.hosts[name], target) {
			holding = append(holding, name)
		} else {
			others = append(others, name)
		}
	}
	holding = append(holding, others...)
	return holding[:min(count, len(holding))]
}

// dropOne removes one assignment: the lowest-ranked host that is not ready, or if all are
// ready, the lowest-ranked host.
func (p *planner) dropOne(service *Service) {
	names := make([]string, len(service.Hosts))
	for i, host := range service.Hosts {
		names[i] = host.Name
	}
	ranked := rendezvous.Rank(service.Name, names)
	dropped := ranked[len(ranked)-1]
	for _, name := range ranked {
		if p.hosts[name].ReadyManifest != service.Manifest(service.Target) {
			dropped = name
		}
	}
	service.Hosts = slices.DeleteFunc(service.Hosts, func(h Host) bool { return h.Name == dropped })
	delete(p.assigned, dropped)
	p.record(service.Name, "drop "+dropped, "the declared number of replicas is lower")
}

// retarget starts a rollout if the declared version has changed.
func (p *planner) retarget(service *Service, target Target) {
	if service.Manifest(service.Target) == target.Version.Manifest {
		return
	}
	if service.Target != None && service.OpenWave >= service.Waves && service.Halted == "" {
		service.Previous = service.Target
	}
	service.Target = service.addVersion(target.Version)
	size := target.WaveSize
	if size == 0 {
		size = max(len(service.Hosts), 1)
	}
	changing := 0
	for i := range service.Hosts {
		host := &service.Hosts[i]
		if service.Manifest(host.VersionIndex) == target.Version.Manifest {
			host.Wave = 0 // already serves the target, as in a rollback
			continue
		}
		host.Wave = changing / size
		changing++
	}
	service.Halted = ""
	service.OpenWave = 1
	service.Waves = max((changing+size-1)/size, 1)
	p.activate(service)
	digest := target.Version.Manifest[:min(12, len(target.Version.Manifest))]
	p.record(service.Name, fmt.Sprintf("open wave 1 of %d", service.Waves), "version "+target.Version.Version+" ("+digest+") is declared")
}

// activate assigns the target to the hosts of the open waves.
func (p *planner) activate(service *Service) {
	for i := range service.Hosts {
		host := &service.Hosts[i]
		if host.Wave < service.OpenWave && host.VersionIndex != service.Target {
			host.VersionIndex = service.Target
			host.Token = p.generation
		}
	}
}

// advance opens the next wave or halts the rollout.
func (p *planner) advance(service *Service, target Target) {
	if service.OpenWave >= service.Waves {
		return
	}
	if service.Halted != "" {
		if !target.ContinueOnFailure {
			return
		}
		service.Halted = ""
		p.record(service.Name, "go on", "the declaration now continues on failure")
	}
	ready, failure := waveState(service, p.hosts)
	if failure != "" && !target.ContinueOnFailure {
		service.Halted = failure
		p.record(service.Name, "halt", failure)
		return
	}
	if !ready || p.input.PauseElapsed != nil && !p.input.PauseElapsed(service.Name) {
		return
	}
	service.OpenWave++
	p.activate(service)
	p.record(service.Name, fmt.Sprintf("open wave %d of %d", service.OpenWave, service.Waves), "all hosts of the open waves are ready")
}

// waveState reports whether all hosts of the open waves are ready, and the first failure
// among them. A failed host counts as ready, so that a rollout that continues on failure does
// not wait for it.
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
		case candidate.FailedManifest == target:
			if failure == "" {
				failure = host.Name + ": " + candidate.Failure
			}
		case candidate.ReadyManifest != target || candidate.ReadyService != service.Name:
			ready = false
		}
	}
	return ready, failure
}

// WaveReady reports whether all hosts of a service's open waves are ready. Callers measure
// the pause before the next wave from then on.
func WaveReady(service *Service, hosts []Candidate) bool {
	ready, _ := waveState(service, byName(hosts))
	return ready
}

// recordRemoved records the services that are no longer declared for the hall.
func (p *planner) recordRemoved(targets []Target) {
	for _, previous := range p.input.Previous.Services {
		declared := slices.ContainsFunc(targets, func(t Target) bool { return t.Service == previous.Name })
		if !declared {
			p.record(previous.Name, "remove", "the service is no longer declared for this hall")
		}
	}
}

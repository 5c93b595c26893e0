package placement

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func version(name string) Version {
	return Version{Model: "m", Version: name, Manifest: strings.Repeat(name, 8)}
}

func liveHosts(names ...string) []Candidate {
	var hosts []Candidate
	for _, name := range names {
		hosts = append(hosts, Candidate{Name: name, KeepAssignment: true, Assignable: true})
	}
	return hosts
}

// hall simulates a hall whose hosts carry out their assignments.
type hall struct {
	document Document
	targets  []Target
	hosts    []Candidate
}

func (h *hall) plan() []Step {
	var steps []Step
	h.document, steps = Plan(Input{Previous: h.document, Targets: h.targets, Hosts: h.hosts})
	return steps
}

// applyAssignments makes all hosts ready for their assignments, except the named ones.
func (h *hall) applyAssignments(except ...string) {
	for i := range h.hosts {
		candidate := &h.hosts[i]
		service, host := h.document.FindHost(candidate.Name)
		if service != nil && host.VersionIndex != None && !slices.Contains(except, candidate.Name) {
			candidate.ReadyManifest, candidate.ReadyService = service.Manifest(host.VersionIndex), service.Name
		}
	}
}

// settle repeats applyAssignments and plan until the plan has no more steps.
func (h *hall) settle(t require.TestingT, except ...string) {
	for range 100 {
		h.applyAssignments(except...)
		steps := h.plan()
		if len(steps) == 0 {
			return
		}
	}
	require.Fail(t, "the plan does not converge")
}

// assignedManifests returns the manifest that each host of service "s" is to serve, by host.
func (h *hall) assignedManifests() map[string]string {
	manifests := map[string]string{}
	placed := h.document.FindService("s")
	for _, host := range placed.Hosts {
		manifests[host.Name] = placed.Manifest(host.VersionIndex)
	}
	return manifests
}

func TestFirstPlacementFillsReplicas(t *testing.T) {
	h := &hall{targets: []Target{{Service: "s", Version: version("v1"), Replicas: 2}}, hosts: liveHosts("a", "b", "c")}
	h.settle(t)
	placed := h.document.FindService("s")
	require.Len(t, placed.Hosts, 2)
	for _, host := range placed.Hosts {
		assert.Equal(t, version("v1").Manifest, placed.Manifest(host.VersionIndex))
		assert.Equal(t, uint64(1), host.Token)
	}
	assert.Empty(t, h.plan(), "an unchanged input must not change the document")
}

func TestHostsWithVersionArePreferred(t *testing.T) {
	for _, holder := range []string{"a", "b", "c"} {
		h := &hall{targets: []Target{{Service: "s", Version: version("v1"), Replicas: 1}}, hosts: liveHosts("a", "b", "c")}
		for i := range h.hosts {
			if h.hosts[i].Name == holder {
				h.hosts[i].StagedManifest = version("v1").Manifest
			}
		}
		h.plan()
		assert.Equal(t, holder, h.document.FindService("s").Hosts[0].Name)
	}
}

func TestRolloutProceedsInWaves(t *testing.T) {
	h := &hall{targets: []Target{{Service: "s", Version: version("v1"), Replicas: 4, WaveSize: 2}}, hosts: liveHosts("a", "b", "c", "d")}
	h.settle(t)
	require.Equal(t, 2, h.document.FindService("s").OpenWave)
	h.targets[0].Version = version("v2")
	h.plan()
	updated := 0
	for _, manifest := range h.assignedManifests() {
		if manifest == version("v2").Manifest {
			updated++
		}
	}
	assert.Equal(t, 2, updated, "only the first wave activates the new version")
	h.applyAssignments("a", "b", "c", "d")
	assert.Empty(t, h.plan(), "the second wave opens only after the first is ready")
	h.settle(t)
	for host, manifest := range h.assignedManifests() {
		assert.Equal(t, version("v2").Manifest, manifest, host)
	}
	assert.Len(t, h.document.FindService("s").Versions, 2, "the previous version is kept for a rollback")
}

func TestNextWaveWaitsForPause(t *testing.T) {
	h := &hall{targets: []Target{{Service: "s", Version: version("v1"), Replicas: 2, WaveSize: 1}}, hosts: liveHosts("a", "b")}
	h.plan()
	h.applyAssignments()
	paused := Input{Previous: h.document, Targets: h.targets, Hosts: h.hosts, PauseElapsed: func(string) bool { return false }}
	_, steps := Plan(paused)
	assert.Empty(t, steps)
	paused.PauseElapsed = func(string) bool { return true }
	next, _ := Plan(paused)
	assert.Equal(t, 2, next.FindService("s").OpenWave)
}

func TestFailureHaltsRolloutUntilRollback(t *testing.T) {
	h := &hall{targets: []Target{{Service: "s", Version: version("v1"), Replicas: 4, WaveSize: 1}}, hosts: liveHosts("a", "b", "c", "d")}
	h.settle(t)
	h.targets[0].Version = version("v2")
	h.plan()
	h.hosts[0].FailedManifest, h.hosts[0].Failure = version("v2").Manifest, "out of memory"
	h.settle(t, "a")
	placed := h.document.FindService("s")
	assert.Equal(t, "a: out of memory", placed.Halted)
	assert.Equal(t, 1, placed.OpenWave)
	assert.Equal(t, version("v1").Manifest, h.assignedManifests()["d"], "later waves keep the previous version")

	h.hosts[3].KeepAssignment = false
	h.hosts = append(h.hosts, liveHosts("e")...)
	h.settle(t, "a")
	assert.Equal(t, version("v1").Manifest, h.assignedManifests()["e"], "a replacement must not get the target of a halted rollout")

	h.targets[0].Version = version("v1")
	h.settle(t)
	for host, manifest := range h.assignedManifests() {
		assert.Equal(t, version("v1").Manifest, manifest, host)
	}
	assert.Empty(t, h.document.FindService("s").Halted)
}

func TestHaltedRolloutResumesWithContinueOnFailure(t *testing.T) {
	h := &hall{targets: []Target{{Service: "s", Version: version("v1"), Replicas: 2, WaveSize: 1}}, hosts: liveHosts("a", "b")}
	h.plan()
	h.hosts[0].FailedManifest, h.hosts[0].Failure = version("v1").Manifest, "no"
	h.settle(t, "a")
	require.NotEmpty(t, h.document.FindService("s").Halted)
	h.targets[0].ContinueOnFailure = true
	h.settle(t, "a")
	assert.Equal(t, 2, h.document.FindService("s").OpenWave)
}

func TestRemovedServiceFreesItsHosts(t *testing.T) {
	h := &hall{targets: []Target{{Service: "s", Version: version("v1"), Replicas: 2}}, hosts: liveHosts("a", "b")}
	h.settle(t)
	h.targets = []Target{{Service: "t", Version: version("v1"), Replicas: 2}}
	h.settle(t)
	assert.Nil(t, h.document.FindService("s"))
	assert.Len(t, h.document.FindService("t").Hosts, 2)
}

// Guards against a host in two services, decreasing tokens of a host, and hosts of open waves
// without the target, over random sequences of declarations, host changes and failures.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &hall{hosts: liveHosts("h0", "h1", "h2", "h3", "h4", "h5")}
		tokens := map[string]uint64{}
		declare := func(t *rapid.T) {
			h.targets = nil
			for _, name := range []string{"s", "t"} {
				if rapid.IntRange(0, 5).Draw(t, "declared") > 0 {
					h.targets = append(h.targets, Target{
						Service: name, Version: version(rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")),
						Replicas: rapid.IntRange(1, 4).Draw(t, "replicas"), WaveSize: rapid.IntRange(0, 3).Draw(t, "wave"),
						ContinueOnFailure: rapid.Bool().Draw(t, "continue"),
					})
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"declare": declare,
			"hosts apply assignments": func(t *rapid.T) {
				h.applyAssignments(rapid.SampledFrom([]string{"h0", "h3", ""}).Draw(t, "except"))
			},
			"host changes": func(t *rapid.T) {
				host := &h.hosts[rapid.IntRange(0, len(h.hosts)-1).Draw(t, "host")]
				host.KeepAssignment = rapid.Bool().Draw(t, "keep")
				host.Assignable = host.KeepAssignment && rapid.Bool().Draw(t, "assignable")
				if !host.KeepAssignment {
					host.ReadyManifest, host.ReadyService, host.FailedManifest = "", "", ""
				}
			},
			"activation fails": func(t *rapid.T) {
				host := &h.hosts[rapid.IntRange(0, len(h.hosts)-1).Draw(t, "host")]
				if service, assignment := h.document.FindHost(host.Name); service != nil {
					host.FailedManifest, host.Failure = service.Manifest(assignment.VersionIndex), "failed"
				}
			},
			"plan": func(t *rapid.T) {
				before := h.document
				steps := h.plan()
				if len(steps) > 0 {
					require.Equal(t, before.Generation+1, h.document.Generation)
				}
				checkDocument(t, h, tokens)
			},
		})
		h.settle(t)
		checkDocument(t, h, tokens)
	})
}

func checkDocument(t *rapid.T, h *hall, tokens map[string]uint64) {
	owner := map[string]string{}
	for _, service := range h.document.Services {
		index := slices.IndexFunc(h.targets, func(target Target) bool { return target.Service == service.Name })
		if index < 0 {
			continue // planned before the last declaration
		}
		for _, host := range service.Hosts {
			require.Empty(t, owner[host.Name], "a host must serve only one service")
			owner[host.Name] = service.Name
			require.GreaterOrEqual(t, host.Token, tokens[host.Name], "tokens of a host must not decrease")
			tokens[host.Name] = host.Token
			require.Less(t, host.VersionIndex, len(service.Versions))
			if host.Wave < service.OpenWave && service.Halted == "" {
				require.Equal(t, service.Target, host.VersionIndex, "hosts of open waves must have the target: %s", fmt.Sprint(service))
			}
		}
	}
}

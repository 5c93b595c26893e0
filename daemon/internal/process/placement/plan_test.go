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

func live(names ...string) []Candidate {
	var hosts []Candidate
	for _, name := range names {
		hosts = append(hosts, Candidate{Name: name, Keep: true, Take: true})
	}
	return hosts
}

// hall is a small world around Plan: hosts do what their orders say.
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

// obey makes the hosts ready for what they are told, except the named ones.
func (h *hall) obey(except ...string) {
	for i := range h.hosts {
		candidate := &h.hosts[i]
		service, host := h.document.FindHost(candidate.Name)
		if service != nil && host.Serve != None && !slices.Contains(except, candidate.Name) {
			candidate.Ready, candidate.ReadyService = service.Manifest(host.Serve), service.Name
		}
	}
}

// settle obeys and plans until nothing changes.
func (h *hall) settle(t require.TestingT, except ...string) {
	for range 100 {
		h.obey(except...)
		steps := h.plan()
		if len(steps) == 0 {
			return
		}
	}
	require.Fail(t, "the plan does not settle")
}

// serving returns what each host of service "s" serves.
func (h *hall) serving() map[string]string {
	serving := map[string]string{}
	placed := h.document.Find("s")
	for _, host := range placed.Hosts {
		serving[host.Name] = placed.Manifest(host.Serve)
	}
	return serving
}

func TestFirstPlacement(t *testing.T) {
	h := &hall{targets: []Target{{Service: "s", Version: version("v1"), Replicas: 2}}, hosts: live("a", "b", "c")}
	h.settle(t)
	placed := h.document.Find("s")
	require.Len(t, placed.Hosts, 2)
	for _, host := range placed.Hosts {
		assert.Equal(t, version("v1").Manifest, placed.Manifest(host.Serve))
		assert.Equal(t, uint64(1), host.Token)
	}
	assert.Empty(t, h.plan(), "nothing to do, nothing written")
}

func TestHoldersGoFirst(t *testing.T) {
	for _, holder := range []string{"a", "b", "c"} {
		h := &hall{targets: []Target{{Service: "s", Version: version("v1"), Replicas: 1}}, hosts: live("a", "b", "c")}
		for i := range h.hosts {
			if h.hosts[i].Name == holder {
				h.hosts[i].Staged = version("v1").Manifest
			}
		}
		h.plan()
		assert.Equal(t, holder, h.document.Find("s").Hosts[0].Name)
	}
}

func TestWaves(t *testing.T) {
	h := &hall{targets: []Target{{Service: "s", Version: version("v1"), Replicas: 4, WaveSize: 2}}, hosts: live("a", "b", "c", "d")}
	h.settle(t)
	require.Equal(t, 2, h.document.Find("s").OpenWave)
	h.targets[0].Version = version("v2")
	h.plan()
	turned := 0
	for _, manifest := range h.serving() {
		if manifest == version("v2").Manifest {
			turned++
		}
	}
	assert.Equal(t, 2, turned, "the first wave turns, the second serves on")
	h.obey("a", "b", "c", "d")
	assert.Empty(t, h.plan(), "the second wave waits for the first")
	h.settle(t)
	for host, manifest := range h.serving() {
		assert.Equal(t, version("v2").Manifest, manifest, host)
	}
	assert.Len(t, h.document.Find("s").Versions, 2, "the version before stays known for a rollback")
}

func TestPauseBetweenWaves(t *testing.T) {
	h := &hall{targets: []Target{{Service: "s", Version: version("v1"), Replicas: 2, WaveSize: 1}}, hosts: live("a", "b")}
	h.plan()
	h.obey()
	paused := Input{Previous: h.document, Targets: h.targets, Hosts: h.hosts, PauseOver: func(string) bool { return false }}
	_, steps := Plan(paused)
	assert.Empty(t, steps)
	paused.PauseOver = func(string) bool { return true }
	next, _ := Plan(paused)
	assert.Equal(t, 2, next.Find("s").OpenWave)
}

func TestHaltAndRollBack(t *testing.T) {
	h := &hall{targets: []Target{{Service: "s", Version: version("v1"), Replicas: 4, WaveSize: 1}}, hosts: live("a", "b", "c", "d")}
	h.settle(t)
	h.targets[0].Version = version("v2")
	h.plan()
	h.hosts[0].Failed, h.hosts[0].Failure = version("v2").Manifest, "out of memory"
	h.settle(t, "a")
	placed := h.document.Find("s")
	assert.Equal(t, "a: out of memory", placed.Halted)
	assert.Equal(t, 1, placed.OpenWave)
	assert.Equal(t, version("v1").Manifest, h.serving()["d"], "later waves serve on")

	h.hosts[3].Keep = false
	h.hosts = append(h.hosts, live("e")...)
	h.settle(t, "a")
	assert.Equal(t, version("v1").Manifest, h.serving()["e"], "a replacement does not run ahead of a halted rollout")

	h.targets[0].Version = version("v1")
	h.settle(t)
	for host, manifest := range h.serving() {
		assert.Equal(t, version("v1").Manifest, manifest, host)
	}
	assert.Empty(t, h.document.Find("s").Halted)
}

func TestContinueOnFailure(t *testing.T) {
	h := &hall{targets: []Target{{Service: "s", Version: version("v1"), Replicas: 2, WaveSize: 1}}, hosts: live("a", "b")}
	h.plan()
	h.hosts[0].Failed, h.hosts[0].Failure = version("v1").Manifest, "no"
	h.settle(t, "a")
	require.NotEmpty(t, h.document.Find("s").Halted)
	h.targets[0].ContinueOnFailure = true
	h.settle(t, "a")
	assert.Equal(t, 2, h.document.Find("s").OpenWave)
}

func TestRemovedServiceFreesItsHosts(t *testing.T) {
	h := &hall{targets: []Target{{Service: "s", Version: version("v1"), Replicas: 2}}, hosts: live("a", "b")}
	h.settle(t)
	h.targets = []Target{{Service: "t", Version: version("v1"), Replicas: 2}}
	h.settle(t)
	assert.Nil(t, h.document.Find("s"))
	assert.Len(t, h.document.Find("t").Hosts, 2)
}

// TestInvariants throws races of operators and losses of hosts at the plan.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &hall{hosts: live("h0", "h1", "h2", "h3", "h4", "h5")}
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
			"obey": func(t *rapid.T) {
				h.obey(rapid.SampledFrom([]string{"h0", "h3", ""}).Draw(t, "but"))
			},
			"host changes": func(t *rapid.T) {
				host := &h.hosts[rapid.IntRange(0, len(h.hosts)-1).Draw(t, "host")]
				host.Keep = rapid.Bool().Draw(t, "keep")
				host.Take = host.Keep && rapid.Bool().Draw(t, "take")
				if !host.Keep {
					host.Ready, host.ReadyService, host.Failed = "", "", ""
				}
			},
			"activation fails": func(t *rapid.T) {
				host := &h.hosts[rapid.IntRange(0, len(h.hosts)-1).Draw(t, "host")]
				if service, at := h.document.FindHost(host.Name); service != nil {
					host.Failed, host.Failure = service.Manifest(at.Serve), "failed"
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
		at := slices.IndexFunc(h.targets, func(target Target) bool { return target.Service == service.Name })
		if at < 0 {
			continue // planned before the last declaration
		}
		for _, host := range service.Hosts {
			require.Empty(t, owner[host.Name], "a host serves one service")
			owner[host.Name] = service.Name
			require.GreaterOrEqual(t, host.Token, tokens[host.Name], "tokens of a host never fall")
			tokens[host.Name] = host.Token
			require.Less(t, host.Serve, len(service.Versions))
			if host.Wave < service.OpenWave && service.Halted == "" {
				require.Equal(t, service.Target, host.Serve, "open waves turn: %s", fmt.Sprint(service))
			}
		}
	}
}

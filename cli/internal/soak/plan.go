// Package soak runs routers and loaders as real processes on loopback against stand-ins
// of the platform, injects faults from outside, and checks what callers, upstreams and the
// store observe. The soak command and the tests of this package call it.
//
// A run follows a plan, which is generated from a seed and saved as a file, so that it can
// be replayed and reduced to the steps that still fail. The oracle shares nothing with the
// daemons but the messages on the wire. A simulation in one process could be deterministic,
// but would leave out sockets, signals and the scheduler.
package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/wheelcleat/wheelcleat/api"
)

// Kind is the fault or change that a step injects.
type Kind string

// The kinds of steps.
const (
	// Faults of processes.
	RouterStop Kind = "router-stop" // SIGTERM, restarted after it has exited
	// RouterStopStreams is RouterStop while callers send long streams on connections that they keep.
	RouterStopStreams Kind = "router-stop-streams"
	RouterKill        Kind = "router-kill"
	RouterFreeze      Kind = "router-freeze"
	RouterReload      Kind = "router-reload" // SIGHUP after its settings changed
	LoaderStop        Kind = "loader-stop"
	LoaderKill        Kind = "loader-kill"
	LoaderFreeze      Kind = "loader-freeze"
	AllKill           Kind = "all-kill"
	// Faults of a share of the routers and of the loaders at one moment.
	ProcessesStop   Kind = "processes-stop"
	ProcessesKill   Kind = "processes-kill"
	ProcessesFreeze Kind = "processes-freeze"
	// Faults of the store.
	StoreDown          Kind = "store-down"
	StoreUnresponsive  Kind = "store-silent"
	StoreSlow          Kind = "store-slow"
	StoreRefuse        Kind = "store-refuse"
	StoreDropResponses Kind = "store-lose"     // a share of writes is applied, but gets no response
	StoreDropHistory   Kind = "store-forget"   // watches cannot resume and have to list again
	StoreBlockRouter   Kind = "store-turn-off" // the store's responses to one router are blocked
	// StoreRestore restores the store, after a moment in which it is down, from a copy that was
	// taken at the start of the step. What was written since is written again.
	StoreRestore Kind = "store-restore"
	// Faults of the links to upstreams, except where stated.
	LinkDelay        Kind = "link-delay"
	LinkReset        Kind = "link-reset"
	LinkOneWay       Kind = "link-one-way" // bytes from the upstream are blocked
	LinkUnresponsive Kind = "link-silent"
	LinkNarrow       Kind = "link-narrow"
	// LinkSilentOpen makes the open connections of a link to an upstream or to the store silent for
	// good, without a reset, while new ones work.
	LinkSilentOpen Kind = "link-silent-open"
	// Faults of upstreams.
	UpstreamCrash   Kind = "upstream-crash"
	UpstreamLeave   Kind = "upstream-leave"
	UpstreamUnlist  Kind = "upstream-unlist" // leaves and announces nothing: its record is removed
	UpstreamShed    Kind = "upstream-shed"   // rejects a share of requests as not run
	UpstreamFail    Kind = "upstream-fail"   // runs a share of requests and returns an error
	UpstreamHang    Kind = "upstream-hang"
	UpstreamReset   Kind = "upstream-reset"
	UpstreamCut     Kind = "upstream-cut"     // truncates a share of responses
	UpstreamSurplus Kind = "upstream-surplus" // appends bytes to a share of responses
	// UpstreamLimited makes an upstream announce a rate limit over all routers.
	UpstreamLimited Kind = "upstream-limited"
	// UpstreamLeaveUnrecorded makes an upstream leave that says so in its responses only.
	UpstreamLeaveUnrecorded Kind = "upstream-leave-unrecorded"
	// UpstreamPause makes an upstream reject each request with a Retry-After.
	UpstreamPause Kind = "upstream-pause"
	// UpstreamCold replaces an upstream by one that is cold.
	UpstreamCold Kind = "upstream-cold"
	// EngineCorrupt flips a bit of a chunk that an engine has staged.
	EngineCorrupt Kind = "engine-rot"
	// RequestsCrash repeatedly sends a request that crashes each upstream that starts it.
	RequestsCrash Kind = "requests-crash"
	// PartShared sends requests with a part that crashes upstreams to one router, and sound ones that share another
	// part with these to the others.
	PartShared Kind = "part-shared"
	// CallersLeave sends requests whose callers close their connections at any time.
	CallersLeave Kind = "callers-leave"
	// EntriesCorrupt replaces an upstream's store entry by a value that cannot be decoded.
	EntriesCorrupt Kind = "entries-spoiled"
	// Faults of the origin.
	OriginDown    Kind = "origin-down"
	OriginCorrupt Kind = "origin-spoil"
	OriginSlow    Kind = "origin-slow"
	// HallEvacuate evacuates a hall for longer than the bound of its check.
	HallEvacuate Kind = "hall-evacuate"
	// Changes by operators.
	Configure Kind = "configure"
	Version   Kind = "version"
	// VersionsOverlap declares two versions in close succession, the second while the origin is down.
	VersionsOverlap Kind = "versions-overlap"
	// Changes of the load. They are no faults: all checks stay in force.
	EngineSlow    Kind = "engine-slow"    // an engine reports a pace above 1 and is that much slower
	AccountGreedy Kind = "account-greedy" // the callers of one account send three times as many requests
	DemandShift   Kind = "demand-shift"   // half of the callers of a hall use the routers of another
)

// kinds lists the kinds to draw from. Changes are listed twice, which doubles their frequency.
var kinds = []Kind{
	RouterStop, RouterStopStreams, RouterKill, RouterFreeze, RouterReload, LoaderStop, LoaderKill, LoaderFreeze, AllKill,
	ProcessesStop, ProcessesKill, ProcessesFreeze,
	StoreDown, StoreUnresponsive, StoreSlow, StoreRefuse, StoreDropResponses, StoreDropHistory, StoreBlockRouter, StoreRestore,
	LinkDelay, LinkReset, LinkOneWay, LinkUnresponsive, LinkNarrow, LinkSilentOpen,
	UpstreamCrash, UpstreamLeave, UpstreamUnlist, UpstreamShed, UpstreamFail, UpstreamHang, UpstreamReset, UpstreamCut, UpstreamSurplus,
	UpstreamLimited, UpstreamLeaveUnrecorded, UpstreamPause, UpstreamCold, EngineCorrupt,
	RequestsCrash, PartShared, CallersLeave, EntriesCorrupt,
	OriginDown, OriginCorrupt, OriginSlow,
	HallEvacuate,
	Configure, Configure, Version, Version, VersionsOverlap,
	EngineSlow, AccountGreedy, DemandShift,
}

// isChange reports whether the kind is a change by operators or of the load, rather than a fault.
func (k Kind) isChange() bool {
	return slices.Contains([]Kind{Configure, Version, VersionsOverlap, EngineSlow, AccountGreedy, DemandShift}, k)
}

// affects reports whether the kind is a fault of a component, such as "store".
func (k Kind) affects(component string) bool { return strings.HasPrefix(string(k), component+"-") }

// Step is one entry of a plan.
type Step struct {
	// At is the time since the start of the traffic, For the duration of the step.
	At  api.Duration `json:"at"`
	For api.Duration `json:"for,omitempty"`
	// Kind is the fault or change. Target selects the process, host or link, modulo their
	// number.
	Kind   Kind `json:"kind"`
	Target int  `json:"target,omitempty"`
	// Strength is the share of requests or of processes that the fault affects, 0 to 1, for kinds that use it.
	Strength float64 `json:"strength,omitempty"`
}

// Plan is the schedule of a run.
type Plan struct {
	Seed uint64 `json:"seed"`
	// Cause describes the defect that the plan reproduced.
	Cause  string       `json:"cause,omitempty"`
	Length api.Duration `json:"length"`
	Steps  []Step       `json:"steps"`
}

const (
	// minStepGap and maxStepGap bound the time between steps: short enough that most overlap.
	minStepGap, maxStepGap = 100 * time.Millisecond, 1500 * time.Millisecond
	// minStepDuration and maxStepDuration bound the duration of a step.
	minStepDuration, maxStepDuration = 200 * time.Millisecond, 4 * time.Second
	// maxSeries is the maximum number of consecutive steps of one kind, minStepGap apart.
	maxSeries = 3
	// maxTarget is the number of targets that are drawn.
	maxTarget = 1000
)

// GeneratePlan generates the plan of a seed. The same seed and length give the same plan.
func GeneratePlan(seed uint64, length time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, seed))
	plan := Plan{Seed: seed, Length: api.Duration(length)}
	for at := minStepGap; at < length; at += between(random, minStepGap, maxStepGap) {
		kind := kinds[random.IntN(len(kinds))]
		series := 1 + random.IntN(maxSeries)
		for ; series > 0 && at < length; series-- {
			plan.Steps = append(plan.Steps, Step{
				At: rounded(at), For: rounded(between(random, minStepDuration, maxStepDuration)), Kind: kind,
				Target: random.IntN(maxTarget), Strength: drawStrength(random),
			})
			at += minStepGap
		}
	}
	plan.addVersionSteps(random)
	return plan
}

// drawStrength draws a share of at least a tenth.
func drawStrength(random *rand.Rand) float64 { return float64(10+random.IntN(60)) / 100 }

func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

func rounded(d time.Duration) api.Duration { return api.Duration(d.Round(10 * time.Millisecond)) }

// LoadPlan reads a plan from a file and sorts its steps by time.
func LoadPlan(path string) (Plan, error) {
	var plan Plan
	text, err := os.ReadFile(path) //nolint:gosec // the path comes from the caller
	if err != nil {
		return plan, fmt.Errorf("read the plan: %w", err)
	}
	if err := json.Unmarshal(text, &plan); err != nil {
		return plan, fmt.Errorf("%s: %w", path, err)
	}
	for i, step := range plan.Steps {
		if !slices.Contains(kinds, step.Kind) {
			return plan, fmt.Errorf("%s: steps[%d].kind: unknown %q", path, i, step.Kind)
		}
	}
	plan.sortSteps()
	return plan, nil
}

// sortSteps sorts the steps by time. The run waits for steps in sequence: a step out of order would be injected late.
func (p *Plan) sortSteps() {
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
}

// Package soak runs routers and loaders as real processes on loopback, beside stand-ins
// for the platform, lets faults strike them from outside, and checks what callers,
// upstreams and the store see.
//
// A run follows a plan, which is drawn from a seed, printed, and kept as a file: it can
// be played again and cut down to the steps that still fail. The oracle shares nothing
// with the daemons but the messages on the wire. A simulation of the daemons in one
// process was rejected: it is quick and repeats, but sockets, signals and schedulers are
// what it leaves out.
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

// Kind is what a step does.
type Kind string

// The kinds of steps.
const (
	// Of processes.
	RouterStop   Kind = "router-stop" // SIGTERM, started again once it has ended
	RouterKill   Kind = "router-kill"
	RouterFreeze Kind = "router-freeze"
	RouterReload Kind = "router-reload" // SIGHUP after its settings changed
	LoaderStop   Kind = "loader-stop"
	LoaderKill   Kind = "loader-kill"
	LoaderFreeze Kind = "loader-freeze"
	AllKill      Kind = "all-kill"
	// Of the store.
	StoreDown    Kind = "store-down"
	StoreSilent  Kind = "store-silent"
	StoreSlow    Kind = "store-slow"
	StoreRefuse  Kind = "store-refuse"
	StoreLose    Kind = "store-lose"
	StoreForget  Kind = "store-forget"
	StoreTurnOff Kind = "store-turn-off" // one router is not served any more
	// Of links to upstreams.
	LinkDelay  Kind = "link-delay"
	LinkReset  Kind = "link-reset"
	LinkOneWay Kind = "link-one-way"
	LinkSilent Kind = "link-silent"
	LinkNarrow Kind = "link-narrow"
	// Of upstreams.
	UpstreamCrash   Kind = "upstream-crash"
	UpstreamLeave   Kind = "upstream-leave"
	UpstreamShed    Kind = "upstream-shed"
	UpstreamFail    Kind = "upstream-fail"
	UpstreamHang    Kind = "upstream-hang"
	UpstreamReset   Kind = "upstream-reset"
	UpstreamCut     Kind = "upstream-cut"
	UpstreamSurplus Kind = "upstream-surplus"
	// UpstreamLimited has an upstream name the requests a second that it takes from all
	// routers.
	UpstreamLimited Kind = "upstream-limited"
	EngineRot       Kind = "engine-rot"
	// RequestsCrash has a caller come again and again with a request that ends each upstream
	// that begins it.
	RequestsCrash Kind = "requests-crash"
	// EntriesSpoiled has something that is no record stand in an upstream's entry.
	EntriesSpoiled Kind = "entries-spoiled"
	// Of the origin.
	OriginDown  Kind = "origin-down"
	OriginSpoil Kind = "origin-spoil"
	OriginSlow  Kind = "origin-slow"
	// Changes that operators make.
	Configure Kind = "configure"
	Version   Kind = "version"
)

// kinds are all kinds, the changes twice: each run has some.
var kinds = []Kind{
	RouterStop, RouterKill, RouterFreeze, RouterReload, LoaderStop, LoaderKill, LoaderFreeze, AllKill,
	StoreDown, StoreSilent, StoreSlow, StoreRefuse, StoreLose, StoreForget, StoreTurnOff,
	LinkDelay, LinkReset, LinkOneWay, LinkSilent, LinkNarrow,
	UpstreamCrash, UpstreamLeave, UpstreamShed, UpstreamFail, UpstreamHang, UpstreamReset, UpstreamCut, UpstreamSurplus, UpstreamLimited, EngineRot,
	RequestsCrash, EntriesSpoiled,
	OriginDown, OriginSpoil, OriginSlow,
	Configure, Configure, Version, Version,
}

// changes reports whether a step is an operator's change and no fault.
func (k Kind) changes() bool { return k == Configure || k == Version }

// on reports whether a kind strikes a part, such as "store".
func (k Kind) on(part string) bool { return strings.HasPrefix(string(k), part+"-") }

// Step is one entry of a plan.
type Step struct {
	// At is the time since the start of the traffic, For how long it lasts.
	At  api.Duration `json:"at"`
	For api.Duration `json:"for,omitempty"`
	// Kind is what happens, to the target of that number, counted around.
	Kind   Kind `json:"kind"`
	Target int  `json:"target,omitempty"`
	// Strength is a share of requests, 0 to 1, where the kind has one.
	Strength float64 `json:"strength,omitempty"`
}

// Plan is the whole schedule of a run.
type Plan struct {
	Seed uint64 `json:"seed"`
	// Cause says why a plan that once failed did so.
	Cause  string       `json:"cause,omitempty"`
	Length api.Duration `json:"length"`
	Steps  []Step       `json:"steps"`
}

const (
	// leastGap and mostGap lie between steps: short enough that most overlap.
	leastGap, mostGap = 100 * time.Millisecond, 1500 * time.Millisecond
	// leastFor and mostFor bound how long a step lasts.
	leastFor, mostFor = 200 * time.Millisecond, 4 * time.Second
	// mostSeries is how many steps of one kind may follow each other at once.
	mostSeries = 3
)

// Draw draws a plan.
func Draw(seed uint64, length time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, seed))
	plan := Plan{Seed: seed, Length: api.Duration(length)}
	for at := leastGap; at < length; at += between(random, leastGap, mostGap) {
		kind := kinds[random.IntN(len(kinds))]
		series := 1 + random.IntN(mostSeries)
		for ; series > 0 && at < length; series-- {
			plan.Steps = append(plan.Steps, Step{
				At: rounded(at), For: rounded(between(random, leastFor, mostFor)), Kind: kind,
				Target: random.IntN(1000), Strength: float64(10+random.IntN(60)) / 100,
			})
			at += leastGap
		}
	}
	return plan
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

func rounded(d time.Duration) api.Duration { return api.Duration(d.Round(10 * time.Millisecond)) }

// Load reads a plan from a file.
func Load(path string) (Plan, error) {
	var plan Plan
	text, err := os.ReadFile(path) //nolint:gosec // the file that the caller named
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
	// A step out of order would wait for those before it, and strike with them.
	slices.SortStableFunc(plan.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return plan, nil
}

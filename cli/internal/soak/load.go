package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/platform/standin"
)

const (
	// minLoadTime is added to the duration of a change of the load, so that callers send enough
	// requests for the checks.
	minLoadTime = 2 * time.Second
	// slowPace is the pace of a slow engine, that of the slow engines in docs/OVERLOAD.md.
	slowPace = 2.5
	// Callers belong to numberOfAccounts accounts while one of these sends greedyFactor times as many
	// requests. In a step, an account that sent minAccountRequests streams must have been served at
	// least minAccountShare times as often as all.
	numberOfAccounts, greedyFactor = 3, 3
	minAccountRequests             = 20
	minAccountShare                = 0.25
	// versionGap is the time between two versions that overlap.
	versionGap = 1500 * time.Millisecond
	// longPriority is the priority of long streams. That of the others is 1.
	longPriority = 2
)

// engineSpec declares the engines with the rates of the stand-in: an event is a token, and a fifth of
// the streams are long.
func engineSpec() *provider.EngineSpec {
	return &provider.EngineSpec{
		Model: modelName, Places: enginePlaces, Chunks: chunks, ChunkBytes: chunkBytes,
		PromptRate: 30_000, MeanPromptTokens: 300, MeanAnswerTokens: (4*standin.StreamEvents + standin.LongEvents) / 5,
		StepTime: standin.EventInterval, StepsPerPass: 1, PromptTokensPerPass: 2048,
	}
}

// accountKey returns the key of an account that is valid in every configuration.
func accountKey(account int64) string {
	if account == 0 {
		return constantKey
	}
	return fmt.Sprintf("%s-%d", constantKey, account)
}

// accounts returns the accounts that are the same in every configuration.
func accounts() []provider.Account {
	all := []provider.Account{{Name: "constant", Keys: []string{constantKey}}}
	for account := int64(1); account <= numberOfAccounts; account++ {
		all = append(all, provider.Account{Name: fmt.Sprintf("account-%d", account), Keys: []string{accountKey(account)}})
	}
	return all
}

// overlapVersions publishes two versions versionGap apart. The origin is down from the given part of
// that time until the duration has passed since the second.
func (f *fleet) overlapVersions(duration time.Duration, part float64) {
	copying := time.Duration(part * float64(versionGap))
	f.publishVersion()
	f.wait(copying)
	f.injectOnce(OriginDown, "", func() {
		f.origin.SetFault(standin.OriginFault{Down: true})
		f.wait(versionGap - copying)
		f.publishVersion()
		f.wait(duration)
		f.origin.SetFault(standin.OriginFault{})
	})
}

// changeLoad changes the load for the duration of a step and minLoadTime. It records no fault, so that
// all checks stay in force.
func (f *fleet) changeLoad(step Step) {
	duration := minLoadTime + time.Duration(step.For)
	switch step.Kind {
	case AccountGreedy:
		if f.greedy.CompareAndSwap(false, true) {
			f.sendGreedily(1+int64(step.Target%numberOfAccounts), duration)
			f.greedy.Store(false)
		}
	case DemandShift:
		f.shiftDemand(step.Target, duration)
	default:
		end := f.oracle.BeginLoad(step.Kind)
		engine := f.engineHosts()[step.Target%len(f.engineHosts())]
		engine.currentUpstream().SetPace(slowPace)
		f.wait(duration)
		engine.currentUpstream().SetPace(0)
		end()
	}
}

// sendGreedily divides the callers among the accounts, and lets other callers send for one of them in
// addition, until the duration has passed.
func (f *fleet) sendGreedily(greedy int64, duration time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	var additional sync.WaitGroup
	end := f.oracle.BeginLoad(AccountGreedy)
	for i, c := range f.callers {
		c.account.Store(1 + int64(i%numberOfAccounts))
		for n := 1; n < greedyFactor && c.account.Load() == greedy; n++ {
			other := &caller{oracle: c.oracle, tally: c.tally, newestConfiguration: c.newestConfiguration, requestCount: c.requestCount}
			other.destination.Store(c.destination.Load())
			other.account.Store(greedy)
			additional.Go(func() { other.run(ctx) })
		}
	}
	f.wait(duration)
	end()
	cancel()
	additional.Wait()
	for _, c := range f.callers {
		c.account.Store(0)
	}
}

// shiftDemand lets every second caller of a hall send to the routers of the next hall, until the
// duration has passed.
func (f *fleet) shiftDemand(target int, duration time.Duration) {
	halls := f.halls()
	from, to := halls[target%len(halls)], f.routersOf(halls[(target+1)%len(halls)])
	var moved []*caller
	end := f.oracle.BeginLoad(DemandShift)
	for i, c := range f.callers {
		if i%2 == 0 && c.home.hall == from {
			c.destination.Store(to[i/2%len(to)])
			moved = append(moved, c)
		}
	}
	f.wait(duration)
	for _, c := range moved {
		c.destination.Store(c.home)
	}
	end()
}

func (f *fleet) routersOf(hall string) []*router {
	return slices.DeleteFunc(slices.Clone(f.routers), func(r *router) bool { return r.hall != hall })
}

// loadSpan counts the requests that end while a change of the load is in effect.
type loadSpan struct {
	kind Kind
	// unaffected counts the requests that no fault affected.
	unaffected RequestCounts
	// all counts the streams of all accounts, and byKey those of each by its key. Those that a fault of
	// their router affected are left out.
	all   RequestCounts
	byKey map[string]*RequestCounts
}

// BeginLoad records that a change of the load takes effect. The returned function records its end and
// checks the requests that ended meanwhile.
func (o *Oracle) BeginLoad(kind Kind) func() {
	o.mu.Lock()
	defer o.mu.Unlock()
	span := &loadSpan{kind: kind, byKey: map[string]*RequestCounts{}}
	o.loads = append(o.loads, span)
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.loads = slices.DeleteFunc(o.loads, func(s *loadSpan) bool { return s == span })
		o.checkLoad(span)
	}
}

// countForLoads counts an outcome for each change of the load that is in effect. It must be called with
// mu held.
func (o *Oracle) countForLoads(outcome Outcome) {
	affected := func(components ...string) bool {
		return outcome.Unsent || o.faultActive(outcome.Started, outcome.Ended, outcome.Router, components...)
	}
	for _, span := range o.loads {
		if !affected("router", "loader", "all", "store", "link", "upstream", "engine", "requests", "entries", "origin", "hall") {
			span.unaffected.count(outcome)
		}
		if strings.HasPrefix(outcome.Path, standin.StreamPath) && !affected("router", "all") {
			if span.byKey[outcome.Key] == nil {
				span.byKey[outcome.Key] = &RequestCounts{}
			}
			span.byKey[outcome.Key].count(outcome)
			span.all.count(outcome)
		}
	}
}

func (c *RequestCounts) count(outcome Outcome) {
	c.Requested++
	if outcome.served() {
		c.Served++
	}
}

// checkLoad checks that callers were served while no fault affected them, and if an account was greedy,
// that the others were served. It must be called with mu held.
func (o *Oracle) checkLoad(span *loadSpan) {
	if c := span.unaffected; c.Requested >= minAccountRequests && float64(c.Served) < minServedShare*float64(c.Requested) {
		o.violatef(CheckServed, "", "%s: %d of %d requests were served while no fault affected them", span.kind, c.Served, c.Requested)
	}
	for key, c := range span.byKey {
		served := float64(c.Served) / float64(c.Requested)
		if span.kind == AccountGreedy && c.Requested >= minAccountRequests && served < minAccountShare*float64(span.all.Served)/float64(span.all.Requested) {
			o.violatef(CheckShares, "", "the account of %s was served %d of %d streams, all accounts %d of %d", key, c.Served, c.Requested, span.all.Served, span.all.Requested)
		}
	}
}

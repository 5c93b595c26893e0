package soak

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// This file injects faults into several processes at one moment.

// affectsGroup reports whether the kind is a fault of several processes.
func (k Kind) affectsGroup() bool { return k == AllKill || k.affects("processes") }

// injectGroup injects the fault of a step into several processes.
func (f *fleet) injectGroup(step Step) {
	if step.Kind == AllKill {
		f.killAll(time.Duration(step.For))
		return
	}
	f.injectShare(step)
}

// processKinds returns the kinds of the faults that a step for a share of the processes injects into routers and
// into loaders.
func (k Kind) processKinds() (router, loader Kind) {
	switch k {
	case ProcessesStop:
		return RouterStop, LoaderStop
	case ProcessesKill:
		return RouterKill, LoaderKill
	default:
		return RouterFreeze, LoaderFreeze
	}
}

// injectShare injects the fault of a step into the step's share of the routers and of the loaders.
func (f *fleet) injectShare(step Step) {
	var routers, loaders []*process
	for _, r := range f.routers {
		routers = append(routers, r.process)
	}
	for _, h := range f.engineHosts() {
		loaders = append(loaders, h.loader)
	}
	routerKind, loaderKind := step.Kind.processKinds()
	var injections sync.WaitGroup
	inject := func(kind Kind, processes []*process) {
		single := step
		single.Kind = kind
		for _, p := range drawShare(processes, step) {
			injections.Go(func() { f.injectProcess(single, p, nil) })
		}
	}
	inject(routerKind, routers)
	inject(loaderKind, loaders)
	injections.Wait()
}

// drawShare returns the step's share of the processes, at least one. The target of the step selects which.
func drawShare(processes []*process, step Step) []*process {
	random := rand.New(rand.NewPCG(uint64(step.Target), 0)) //nolint:gosec // no secret, and any number is a seed
	count := max(int(math.Round(step.Strength*float64(len(processes)))), 1)
	drawn := make([]*process, 0, count)
	for _, i := range random.Perm(len(processes))[:min(count, len(processes))] {
		drawn = append(drawn, processes[i])
	}
	return drawn
}

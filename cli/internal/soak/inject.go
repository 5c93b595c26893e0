package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/platform/standin"
)

const (
	// entryExpiry is how long the entry of a crashed upstream stays in the store.
	entryExpiry = 1200 * time.Millisecond
	// drainTime is how long a leaving upstream keeps serving: longer than routers may send
	// to it, and than an outage of the store.
	drainTime = leaveBound + maxStepDuration + contactTime
	// responseDelay is the delay of each response of a slow store or origin, chunkDelay the mean
	// delay of each chunk that a proxy forwards.
	responseDelay, chunkDelay = 400 * time.Millisecond, 40 * time.Millisecond
	// narrowLinkRate is the rate of a narrow link in bytes per second.
	narrowLinkRate = 20 << 10
	// storeRefuseShare is the share of calls that a refusing store refuses.
	storeRefuseShare = 0.7
)

// inject injects the fault of a step and ends it after the step's duration, or makes the
// change of the step.
func (f *fleet) inject(step Step) {
	if step.Kind.isChange() {
		f.applyChange(step)
		return
	}
	duration := time.Duration(step.For)
	router := f.routers[step.Target%len(f.routers)]
	host := f.hosts[step.Target%len(f.hosts)]
	engine := f.engineHosts()[step.Target%len(f.engineHosts())]
	switch {
	case step.Kind.affectsGroup():
		f.injectGroup(step)
	case step.Kind == StoreBlockRouter:
		f.injectFor(step.Kind, router.name, duration, func(on bool) { router.link.SetFault(LinkFault{BlockFromTarget: on}) })
	case step.Kind.affects("router"):
		f.injectRouter(step, router)
	case step.Kind.affects("loader"):
		f.injectProcess(step, engine.loader, nil)
	case step.Kind.affects("store"):
		f.injectStore(step, duration)
	case step.Kind == LinkSilentOpen:
		link := f.proxies[step.Target%len(f.proxies)]
		f.injectOnce(step.Kind, link.address.String(), link.SilenceOpen)
	case step.Kind.affects("link"):
		f.injectFor(step.Kind, host.address.String(), duration, func(on bool) { host.link.SetFault(linkFault(step.Kind, on)) })
	case step.Kind.affects("origin"):
		f.injectFor(step.Kind, "", duration, func(on bool) { f.origin.SetFault(originFault(step, on)) })
	case step.Kind == HallEvacuate:
		halls := f.halls()
		f.evacuateHall(halls[step.Target%len(halls)], duration)
	case slices.Contains([]Kind{RequestsCrash, PartShared, CallersLeave}, step.Kind):
		f.sendRequests(step)
	case step.Kind == EntriesCorrupt:
		f.corruptEntry(host, step.Target, duration)
	case step.Kind == EngineCorrupt:
		f.injectOnce(step.Kind, engine.address.String(), func() {
			engine.currentUpstream().CorruptStagedChunk()
		})
	default:
		f.injectUpstream(step, host)
	}
}

// sendRequests sends the requests of a step that is one of callers.
func (f *fleet) sendRequests(step Step) {
	switch step.Kind {
	case RequestsCrash:
		f.sendCrashing(step.Target, time.Duration(step.For))
	case PartShared:
		f.sendSharedPart(step.Target)
	default:
		f.sendAndLeave(time.Duration(step.For))
	}
}

// injectUpstream ends or replaces an upstream, changes what its responses state, or makes a share of them
// fail.
func (f *fleet) injectUpstream(step Step, host *host) {
	switch step.Kind {
	case UpstreamCrash:
		f.crash(host, time.Duration(step.For))
	case UpstreamLeave:
		f.leave(host)
	case UpstreamUnlist:
		f.unlist(host)
	case UpstreamLimited:
		f.limitUpstream(host, step)
	case UpstreamLeaveUnrecorded:
		f.leaveUnrecorded(host)
	case UpstreamPause:
		f.pauseUpstream(host, step)
	case UpstreamCold:
		f.startCold(host, time.Duration(step.For))
	default:
		f.injectFor(step.Kind, host.address.String(), time.Duration(step.For), func(on bool) { host.currentUpstream().SetFault(upstreamFault(step, on)) })
	}
}

// injectFor activates a fault for a duration and records it with the oracle.
func (f *fleet) injectFor(kind Kind, target string, duration time.Duration, setActive func(on bool)) {
	end := f.oracle.BeginFault(kind, target)
	setActive(true)
	f.wait(duration)
	setActive(false)
	end()
}

// injectOnce records a fault with the oracle for as long as the injection runs.
func (f *fleet) injectOnce(kind Kind, target string, injection func()) {
	end := f.oracle.BeginFault(kind, target)
	injection()
	end()
}

func (f *fleet) applyChange(step Step) {
	switch step.Kind {
	case Configure:
		f.configure()
	case Version:
		f.publishVersion()
	case VersionsOverlap:
		f.overlapVersions(time.Duration(step.For), step.Strength)
	default:
		f.changeLoad(step)
	}
}

func (f *fleet) injectRouter(step Step, router *router) {
	if step.Kind == RouterStopStreams {
		f.stopWithStreams(router)
		return
	}
	f.injectProcess(step, router.process, func() { router.changeSettings(step.Target) })
}

// injectProcess sends a process the signal of a step.
func (f *fleet) injectProcess(step Step, p *process, changeSettings func()) {
	switch step.Kind {
	case RouterReload:
		if err := p.reload(changeSettings); err != nil {
			f.oracle.Violatef(CheckProcess, "reload in the soak harness: %v", err)
		}
	case RouterStop, LoaderStop:
		f.injectOnce(step.Kind, p.name, func() {
			p.stop(stopTimeout)
			f.restart(p)
		})
	case RouterKill, LoaderKill:
		f.injectOnce(step.Kind, p.name, func() {
			p.kill()
			f.restart(p)
		})
	default:
		f.injectFor(step.Kind, p.name, time.Duration(step.For), func(on bool) {
			if on {
				p.freeze()
				return
			}
			p.resume()
		})
	}
}

// restart starts a process that is down, unless a concurrent step has done so.
func (f *fleet) restart(p *process) {
	f.wait(restartDelay)
	if err := p.start(); err != nil {
		f.oracle.Violatef(CheckProcess, "%v", err)
	}
}

func (f *fleet) killAll(downtime time.Duration) {
	f.injectOnce(AllKill, "", func() {
		for _, p := range f.processes() {
			p.kill()
		}
		f.wait(downtime)
		var starting sync.WaitGroup
		for _, p := range f.processes() {
			starting.Go(func() { f.restart(p) })
		}
		starting.Wait()
	})
}

func (f *fleet) injectStore(step Step, duration time.Duration) {
	if step.Kind == StoreRestore {
		f.restoreStore(duration)
		return
	}
	if step.Kind == StoreDropHistory {
		f.injectOnce(step.Kind, "", func() {
			f.store.Compact()
		})
		return
	}
	f.injectFor(step.Kind, "", duration, func(on bool) { f.store.SetFault(storeFault(step, on)) })
}

func storeFault(step Step, on bool) standin.StoreFault {
	if !on {
		return standin.StoreFault{}
	}
	switch step.Kind {
	case StoreDown:
		return standin.StoreFault{Down: true}
	case StoreUnresponsive:
		return standin.StoreFault{Unresponsive: true}
	case StoreSlow:
		return standin.StoreFault{Delay: responseDelay}
	case StoreRefuse:
		return standin.StoreFault{Refuse: storeRefuseShare}
	default:
		return standin.StoreFault{DropResponses: step.Strength}
	}
}

func linkFault(kind Kind, on bool) LinkFault {
	if !on {
		return LinkFault{}
	}
	switch kind {
	case LinkDelay:
		return LinkFault{Delay: chunkDelay}
	case LinkReset:
		return LinkFault{Reset: true}
	case LinkOneWay:
		return LinkFault{BlockFromTarget: true}
	case LinkNarrow:
		return LinkFault{BytesPerSecond: narrowLinkRate}
	default:
		return LinkFault{BlockToTarget: true, BlockFromTarget: true}
	}
}

func originFault(step Step, on bool) standin.OriginFault {
	switch {
	case !on:
		return standin.OriginFault{}
	case step.Kind == OriginDown:
		return standin.OriginFault{Down: true}
	case step.Kind == OriginCorrupt:
		return standin.OriginFault{Corrupt: step.Strength}
	default:
		return standin.OriginFault{Delay: responseDelay}
	}
}

func upstreamFault(step Step, on bool) standin.UpstreamFault {
	if !on {
		return standin.UpstreamFault{}
	}
	switch step.Kind {
	case UpstreamShed:
		return standin.UpstreamFault{Shed: step.Strength}
	case UpstreamFail:
		return standin.UpstreamFault{Fail: step.Strength}
	case UpstreamHang:
		return standin.UpstreamFault{Hang: step.Strength}
	case UpstreamReset:
		return standin.UpstreamFault{Reset: step.Strength}
	case UpstreamCut:
		return standin.UpstreamFault{Cut: step.Strength}
	default:
		return standin.UpstreamFault{Surplus: step.Strength}
	}
}

// crash kills an upstream without notice and starts a new one on its host after the delay.
func (f *fleet) crash(h *host, delay time.Duration) {
	if h.claim() {
		f.crashClaimed(h, delay, h.link.StopListening)
	}
}

// crashClaimed crashes the upstream of a claimed host, restarts it after the delay and releases the
// host. It calls onClosed once the upstream is closed.
func (f *fleet) crashClaimed(h *host, delay time.Duration, onClosed func()) {
	defer h.release()
	f.injectOnce(UpstreamCrash, h.address.String(), func() {
		id := f.closeUpstream(h)
		onClosed()
		f.expireUpstream(id, entryExpiry)
		f.wait(delay)
		f.restartUpstream(h, 0)
	})
}

// restartUpstream starts the next upstream of a host, which is cold for a time.
func (f *fleet) restartUpstream(h *host, coldFor time.Duration) {
	if err := f.startUpstream(h, coldFor); err != nil {
		f.oracle.Violatef(CheckProcess, "start of an upstream in the soak harness: %v", err)
	}
}

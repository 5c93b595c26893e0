package soak

import (
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/platform/standin"
)

const (
	// lapseTime is how long the entry of a crashed upstream stays in the store.
	lapseTime = 1200 * time.Millisecond
	// drainTime is how long an upstream that leaves serves on: longer than anybody may
	// send to it.
	drainTime = leaveBound + 2*time.Second
	// slowStore and slowLink are delays of an answer and of a piece.
	slowStore, slowLink = 400 * time.Millisecond, 40 * time.Millisecond
	narrowLink          = 20 << 10 // bytes a second
	// turnedAway is the share of calls that a refusing store refuses.
	turnedAway = 0.7
)

// strike does what a step says and undoes it after its time.
func (f *fleet) strike(step Step) {
	if step.Kind.changes() {
		f.change(step.Kind)
		return
	}
	lasts := time.Duration(step.For)
	router := f.routers[step.Target%len(f.routers)]
	host := f.hosts[step.Target%len(f.hosts)]
	engine := f.engines()[step.Target%len(f.engines())]
	switch {
	case step.Kind == AllKill:
		f.killAll(lasts)
	case step.Kind == StoreTurnOff:
		f.during(step.Kind, router.name, lasts, func(on bool) { router.link.Set(LinkFault{StopBack: on}) })
	case step.Kind.on("router"):
		f.strikeProcess(step, router.process, func() { router.changeSettings(step.Target) })
	case step.Kind.on("loader"):
		f.strikeProcess(step, engine.loader, nil)
	case step.Kind.on("store"):
		f.strikeStore(step, lasts)
	case step.Kind.on("link"):
		f.during(step.Kind, host.address.String(), lasts, func(on bool) { host.link.Set(linkFault(step.Kind, on)) })
	case step.Kind.on("origin"):
		f.during(step.Kind, "", lasts, func(on bool) { f.origin.SetFault(originFault(step, on)) })
	case step.Kind == UpstreamCrash:
		f.crash(host, lasts)
	case step.Kind == UpstreamLeave:
		f.leave(host)
	case step.Kind == RequestsCrash:
		f.sendDeadly(lasts)
	case step.Kind == UpstreamLimited:
		f.limit(host, step)
	case step.Kind == EntriesSpoiled:
		f.spoil(host, step.Target, lasts)
	case step.Kind == EngineRot:
		f.once(step.Kind, engine.address.String(), func() {
			engine.current().CorruptStagedChunk()
		})
	default:
		f.during(step.Kind, host.address.String(), lasts, func(on bool) { host.current().SetFault(upstreamFault(step, on)) })
	}
}

// during has a fault be active for a while.
func (f *fleet) during(kind Kind, target string, lasts time.Duration, set func(on bool)) {
	end := f.oracle.Strike(kind, target)
	set(true)
	f.wait(lasts)
	set(false)
	end()
}

// once has a fault be active for as long as it takes to bring it about.
func (f *fleet) once(kind Kind, target string, strike func()) {
	end := f.oracle.Strike(kind, target)
	strike()
	end()
}

func (f *fleet) change(kind Kind) {
	if kind == Configure {
		f.configure()
		return
	}
	f.nameVersion()
}

// strikeProcess lets a process meet a signal.
func (f *fleet) strikeProcess(step Step, p *process, changeSettings func()) {
	switch step.Kind {
	case RouterReload:
		if err := p.reload(changeSettings); err != nil {
			f.oracle.Violatef(CheckProcess, "the soak itself: %v", err)
		}
	case RouterStop, LoaderStop:
		f.once(step.Kind, p.name, func() {
			p.stop(drainLimit)
			f.startAgain(p)
		})
	case RouterKill, LoaderKill:
		f.once(step.Kind, p.name, func() {
			p.kill()
			f.startAgain(p)
		})
	default:
		f.during(step.Kind, p.name, time.Duration(step.For), func(on bool) {
			if on {
				p.freeze()
				return
			}
			p.thaw()
		})
	}
}

// startAgain starts a process that is down; another step may have done so.
func (f *fleet) startAgain(p *process) {
	f.wait(restartPause)
	if err := p.start(); err != nil {
		f.oracle.Violatef(CheckProcess, "%v", err)
	}
}

func (f *fleet) killAll(lasts time.Duration) {
	f.once(AllKill, "", func() {
		for _, p := range f.processes() {
			p.kill()
		}
		f.wait(lasts)
		var starting sync.WaitGroup
		for _, p := range f.processes() {
			starting.Go(func() { f.startAgain(p) })
		}
		starting.Wait()
	})
}

func (f *fleet) strikeStore(step Step, lasts time.Duration) {
	if step.Kind == StoreForget {
		f.once(step.Kind, "", func() {
			f.store.Compact()
		})
		return
	}
	f.during(step.Kind, "", lasts, func(on bool) { f.store.SetFault(storeFault(step, on)) })
}

func storeFault(step Step, on bool) standin.StoreFault {
	if !on {
		return standin.StoreFault{}
	}
	switch step.Kind {
	case StoreDown:
		return standin.StoreFault{Down: true}
	case StoreSilent:
		return standin.StoreFault{Unresponsive: true}
	case StoreSlow:
		return standin.StoreFault{Delay: slowStore}
	case StoreRefuse:
		return standin.StoreFault{Refuse: turnedAway}
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
		return LinkFault{Delay: slowLink}
	case LinkReset:
		return LinkFault{Reset: true}
	case LinkOneWay:
		return LinkFault{StopBack: true}
	case LinkNarrow:
		return LinkFault{BytesPerSecond: narrowLink}
	default:
		return LinkFault{StopThere: true, StopBack: true}
	}
}

func originFault(step Step, on bool) standin.OriginFault {
	switch {
	case !on:
		return standin.OriginFault{}
	case step.Kind == OriginDown:
		return standin.OriginFault{Down: true}
	case step.Kind == OriginSpoil:
		return standin.OriginFault{Corrupt: step.Strength}
	default:
		return standin.OriginFault{Delay: slowStore}
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

// crash ends an upstream without a word; a new one comes on its host a while later.
func (f *fleet) crash(h *host, lasts time.Duration) {
	if !h.claim() {
		return
	}
	defer h.release()
	f.once(UpstreamCrash, h.address.String(), func() {
		f.bury(h, lapseTime)
		f.wait(lasts)
		f.bearAgain(h)
	})
}

// leave has an upstream say that it leaves, serve on, and end.
func (f *fleet) leave(h *host) {
	if !h.claim() {
		return
	}
	defer h.release()
	f.once(UpstreamLeave, h.address.String(), func() {
		u := h.current()
		u.StartDraining()
		f.oracle.Left(u.Record.ID)
		f.wait(drainTime)
		f.bury(h, 0)
		h.rename()
		f.bearAgain(h)
	})
}

func (f *fleet) bearAgain(h *host) {
	if err := f.bear(h); err != nil {
		f.oracle.Violatef(CheckProcess, "the soak itself: %v", err)
	}
}

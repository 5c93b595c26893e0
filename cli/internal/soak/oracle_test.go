package soak

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/settings"
	"github.com/wheelcleat/wheelcleat/platform/standin"
)

var errReset = errors.New("connection reset by peer")

// longRunning returns the condition of a router that started an hour ago.
func longRunning() condition {
	return condition{state: Running, starts: 1, started: time.Now().Add(-time.Hour)}
}

// streamBody returns the complete body of a stream.
func streamBody() string {
	text := ""
	for number := 1; number <= standin.StreamEvents; number++ {
		text += standin.Event("id", number)
	}
	return text
}

// outcomeOf returns the outcome of a request that started and ended now.
func outcomeOf(path string, status int, body string) Outcome {
	return Outcome{
		ID: "id", Router: "router", Path: path, Started: time.Now(), Ended: time.Now(),
		Status: status, Signed: status == http.StatusOK, Body: body, ConditionBefore: longRunning(), ConditionAfter: longRunning(),
	}
}

// probeOutcome returns the outcome of a request that only one configuration serves.
func probeOutcome(configuration, status int) Outcome {
	outcome := outcomeOf(probePath(configuration)+"x", status, standin.ResponseBody("id"))
	outcome.Probe = configuration
	return outcome
}

// brokenWhileStopping returns the outcome of a request whose connection broke while its
// router was stopping.
func brokenWhileStopping() Outcome {
	outcome := outcomeOf(safePath+"x", 0, "")
	outcome.Err, outcome.ConditionAfter.state = errReset, Stopping
	return outcome
}

// brokenStream returns the outcome of a stream whose connection broke midway.
func brokenStream(after condition) Outcome {
	outcome := outcomeOf(standin.LongPath+"x", http.StatusOK, streamBody()[:40])
	outcome.Err, outcome.ConditionAfter = errReset, after
	return outcome
}

// cutAtDrainEnd returns the outcome of a stream that was sent a time after its router's SIGTERM and cut when the drain
// ended.
func cutAtDrainEnd(sentAfter time.Duration) Outcome {
	signal := time.Now().Add(-settings.DefaultRouterLoaderDrain)
	stopping := condition{state: Stopping, starts: 1, started: time.Now().Add(-time.Hour), stopSignal: signal}
	outcome := brokenStream(stopping)
	outcome.Started = signal.Add(sentAfter)
	return outcome
}

// cutAfter returns the outcome of a stream that was cut a time after it was sent, early in the drain of its router.
func cutAfter(duration time.Duration) Outcome {
	outcome := brokenStream(condition{state: Stopping, starts: 1, started: time.Now().Add(-time.Hour), stopSignal: time.Now()})
	outcome.Started = time.Now().Add(-duration)
	return outcome
}

// recordPause records that an upstream asked a router for a pause, and requests after a time.
func recordPause(o *Oracle, requests int, after time.Duration) {
	o.RecordSent("id", "router")
	o.RecordResponse("id", "u", http.Header{"Retry-After": {"30"}})
	sleep(after)
	for range requests {
		o.RecordArrival("id", "u")
	}
}

// recordCrashingRuns records that upstreams started a crashing request count times, after a delay.
func recordCrashingRuns(o *Oracle, count int, after time.Duration) {
	sleep(after)
	for range count {
		id := fmt.Sprint("crashing-", o.sent)
		o.RecordSent(id, "router")
		o.RecordRun(standin.Run{ID: id, Upstream: "u", Path: standin.CrashPath + "1", At: time.Now()})
	}
}

// recordCrashingPart records starts of requests that have nothing in common but a part.
func recordCrashingPart(o *Oracle, count int, part string) {
	for range count {
		id := fmt.Sprint("crashing-", o.sent)
		o.RecordSent(id, "router")
		o.RecordRun(standin.Run{ID: id, Upstream: "u", Path: standin.StreamPath + id, CrashPart: part, At: time.Now()})
	}
}

// recordShared records sound requests that share a part with crashing ones. All of them begin in calm, and lateBegan
// of minSoundRequests afterwards.
func recordShared(o *Oracle, lateBegan int) {
	var requests []soundRequest
	send := func(began bool) {
		id := fmt.Sprint("sound-", o.sent)
		o.RecordSent(id, "router")
		requests = append(requests, soundRequest{id: id, router: "router", sentAt: time.Now()})
		if began {
			o.RecordRun(standin.Run{ID: id, Upstream: "u", Path: standin.StreamPath + id, At: time.Now()})
		}
	}
	for range minSoundRequests {
		send(true)
	}
	sleep(calmTime)
	crashingFrom := time.Now()
	recordCrashingPart(o, quarantineAfter, standin.CrashPart)
	sleep(2*quarantineBound + time.Millisecond)
	for i := range minSoundRequests {
		send(i < lateBegan)
	}
	o.checkShared(standin.CrashPart, crashingFrom, requests)
}

// recordLeft records that the caller of a request leaves.
func recordLeft(o *Oracle) {
	o.RecordSent("id", "router")
	o.RecordLeft("id")
}

// recordEvacuation records that a hall is evacuated after an upstream of "hall" has started and a router
// has received a request.
func recordEvacuation(o *Oracle, hall string) {
	o.RecordStarted("u", "hall")
	o.RecordSent("id", "router")
	o.RecordEvacuated(hall)
}

// recordRunOn records that an engine starts a request of "router" on a version.
func recordRunOn(o *Oracle, version int) {
	o.RecordSent("id", "router")
	o.RecordRun(standin.Run{ID: "id", Path: standin.StreamPath, Version: version, At: time.Now()})
}

// recordOverlappingVersions records version 2, and version 3 while version 2 has a moment left.
func recordOverlappingVersions(o *Oracle) {
	o.RecordVersion(2)
	sleep(versionBound)
	o.RecordVersion(3)
	sleep(1)
}

// recordRunAfterFault records a request that starts on version 1 a time after a fault, at whose end version 2 is published.
func recordRunAfterFault(o *Oracle, kind Kind, target string, after time.Duration) {
	end := o.BeginFault(kind, target)
	o.RecordVersion(2)
	end()
	sleep(after)
	recordRunOn(o, 1)
}

// recordRunAfterContact records a request that starts on version 1, out of its time, a time after a fault.
func recordRunAfterContact(o *Oracle, kind Kind, target string, after time.Duration) {
	o.RecordVersion(2)
	sleep(versionBound)
	o.BeginFault(kind, target)()
	sleep(after)
	recordRunOn(o, 1)
}

// recordRunDuringFaults records a request that starts on version 1, out of its time, during a fault.
func recordRunDuringFaults(o *Oracle, kind Kind, target string) {
	o.RecordVersion(2)
	o.BeginFault(kind, target)
	sleep(versionBound + 1)
	recordRunOn(o, 1)
}

// sleep waits on the fake clock of synctest.
func sleep(d time.Duration) { <-time.After(d) }

// TestEachCheckReportsItsViolation guards against checks that never fail, and against false
// violations: each case records events that violate one check, and similar ones that violate none.
func TestEachCheckReportsItsViolation(t *testing.T) {
	unsafeRun := standin.Run{ID: "id", Upstream: "u", Path: unsafePath + "x"}
	cases := map[string]struct {
		check   Check
		violate func(*Oracle)
		// comply records similar events without a violation.
		comply func(*Oracle)
	}{
		"an answer to another request": {
			CheckComplete,
			func(o *Oracle) {
				o.RecordOutcome(outcomeOf(safePath+"x", http.StatusOK, standin.ResponseBody("other")))
			},
			func(o *Oracle) { o.RecordOutcome(outcomeOf(safePath+"x", http.StatusOK, standin.ResponseBody("id"))) },
		},
		"a repeated event": {
			CheckComplete,
			func(o *Oracle) {
				o.RecordOutcome(outcomeOf(standin.StreamPath+"x", http.StatusOK, streamBody()+standin.Event("id", standin.StreamEvents)))
			},
			func(o *Oracle) { o.RecordOutcome(outcomeOf(standin.StreamPath+"x", http.StatusOK, streamBody())) },
		},
		"a truncated answer that looks complete": {
			CheckComplete,
			func(o *Oracle) { o.RecordOutcome(outcomeOf(standin.StreamPath+"x", http.StatusOK, streamBody()[:40])) },
			func(o *Oracle) {
				o.BeginFault(UpstreamCut, "u")
				outcome := outcomeOf(standin.StreamPath+"x", http.StatusOK, streamBody()[:40])
				outcome.Err = errReset
				o.RecordOutcome(outcome)
			},
		},
		"a request that runs twice": {
			CheckAtMostOnce,
			func(o *Oracle) { o.RecordRun(unsafeRun); o.RecordRun(unsafeRun) },
			func(o *Oracle) { o.RecordRun(unsafeRun) },
		},
		"a request reported as not run that has run": {
			CheckNotRun,
			func(o *Oracle) {
				o.RecordRun(unsafeRun)
				o.RecordOutcome(outcomeOf(unsafePath+"x", http.StatusServiceUnavailable, ""))
			},
			func(o *Oracle) { o.RecordOutcome(outcomeOf(unsafePath+"x", http.StatusServiceUnavailable, "")) },
		},
		"a request to a leaving upstream": {
			CheckLeaving,
			func(o *Oracle) { o.RecordLeaving("u"); sleep(leaveBound + 1); o.RecordArrival("id", "u") },
			func(o *Oracle) { o.RecordLeaving("u"); sleep(leaveBound); o.RecordArrival("id", "u") },
		},
		"a request to a leaving upstream, long after a fault of the store": {
			CheckLeaving,
			func(o *Oracle) {
				o.BeginFault(StoreDown, "")()
				sleep(settleTime + 1)
				o.RecordLeaving("u")
				sleep(leaveBound + 1)
				o.RecordArrival("id", "u")
			},
			func(o *Oracle) {
				o.RecordLeaving("u")
				o.BeginFault(StoreDown, "")()
				sleep(leaveBound + 1)
				o.RecordArrival("id", "u")
			},
		},
		"a request to a leaving upstream while another router is frozen": {
			CheckLeaving,
			func(o *Oracle) {
				o.RecordSent("id", "router")
				o.RecordLeaving("u")
				o.BeginFault(RouterFreeze, "other")
				sleep(leaveBound + 1)
				o.RecordArrival("id", "u")
			},
			func(o *Oracle) {
				o.RecordSent("id", "router")
				o.RecordLeaving("u")
				o.BeginFault(RouterFreeze, "router")
				sleep(leaveBound + 1)
				o.RecordArrival("id", "u")
			},
		},
		"a request to a leaving upstream, a while after a fault that followed the acknowledgement": {
			CheckLeaving,
			func(o *Oracle) {
				o.RecordLeaving("u")
				o.BeginFault(StoreDown, "")()
				sleep(contactTime + 1)
				o.RecordArrival("id", "u")
			},
			func(o *Oracle) {
				o.RecordLeaving("u")
				sleep(leaveBound + 1)
				o.BeginFault(StoreDown, "")()
				sleep(contactTime)
				o.RecordArrival("id", "u")
			},
		},
		"a request to an upstream whose leaving was acknowledged while the store was stable": {
			CheckLeaving,
			func(o *Oracle) {
				o.BeginFault(StoreDown, "")()
				sleep(contactTime + 1)
				o.RecordLeaving("u")
				sleep(leaveBound + 1)
				o.RecordArrival("id", "u")
			},
			func(o *Oracle) {
				o.BeginFault(StoreDown, "")()
				sleep(contactTime)
				o.RecordLeaving("u")
				sleep(leaveBound + 1)
				o.RecordArrival("id", "u")
			},
		},
		"a request to a leaving upstream on a machine that is not late": {
			CheckLeaving,
			func(o *Oracle) {
				o.recordHeartbeat(time.Now(), time.Second)
				sleep(1)
				o.RecordLeaving("u")
				sleep(leaveBound + 1)
				o.recordHeartbeat(time.Now(), minDelay-1)
				o.RecordArrival("id", "u")
			},
			func(o *Oracle) {
				o.RecordLeaving("u")
				sleep(leaveBound + time.Second)
				o.recordHeartbeat(time.Now(), time.Second)
				o.RecordArrival("id", "u")
			},
		},
		"a stream that is cut at the end of a drain and was sent late": {
			CheckStop,
			func(o *Oracle) { o.RecordOutcome(cutAtDrainEnd(earlyPeriod)) },
			func(o *Oracle) { o.RecordOutcome(cutAtDrainEnd(earlyPeriod - 1)) },
		},
		"a stream that is cut before the time limit of its route": {
			CheckStop,
			func(o *Oracle) { o.RecordOutcome(cutAfter(routeTimeout - 1)) },
			func(o *Oracle) { o.RecordOutcome(cutAfter(routeTimeout)) },
		},
		"a request without a response at the end of a drain": {
			CheckStop,
			func(o *Oracle) {
				outcome := cutAtDrainEnd(0)
				outcome.Status = 0
				o.RecordOutcome(outcome)
			},
			func(o *Oracle) { o.RecordOutcome(cutAtDrainEnd(0)) },
		},
		"a request to an upstream whose entry cannot be decoded": {
			CheckLeaving,
			func(o *Oracle) { o.RecordLeaving("u"); sleep(leaveBound + 1); o.RecordArrival("id", "u") },
			func(o *Oracle) {
				o.RecordLeaving("u")
				o.RecordRestored("u")
				sleep(leaveBound + 1)
				o.RecordArrival("id", "u")
			},
		},
		"a request whose caller has left": {
			CheckLeft,
			func(o *Oracle) { recordLeft(o); sleep(leftBound + 1); o.RecordArrival("id", "u") },
			func(o *Oracle) {
				recordLeft(o)
				sleep(leftBound)
				o.RecordArrival("id", "u")
				sleep(1)
				o.RecordArrival("other", "u")
			},
		},
		"a run whose caller has left": {
			CheckLeft,
			func(o *Oracle) {
				recordLeft(o)
				sleep(leftBound + 1)
				o.RecordRunEnded(standin.Run{ID: "id", Path: standin.StreamPath})
			},
			func(o *Oracle) {
				recordLeft(o)
				sleep(leftBound)
				o.RecordRunEnded(standin.Run{ID: "id", Path: standin.StreamPath})
				sleep(time.Minute)
				o.RecordRunEnded(unsafeRun)
			},
		},
		"requests to a cold upstream": {
			CheckCold,
			func(o *Oracle) {
				o.RecordCold("u", time.Minute)
				recordArrivals(o, coldRate*coldSlack+coldExtra+1)
			},
			func(o *Oracle) {
				o.RecordCold("u", coldWindow+1)
				recordArrivals(o, coldRate*coldSlack+coldExtra)
				sleep(coldWindow)
				recordArrivals(o, coldRate*coldSlack+coldExtra)
				sleep(2)
				recordArrivals(o, coldRate*coldSlack+coldExtra+1)
			},
		},
		"a request to an evacuated hall": {
			CheckEvacuated,
			func(o *Oracle) { recordEvacuation(o, "hall"); sleep(evacuationBound + 1); o.RecordArrival("id", "u") },
			func(o *Oracle) {
				recordEvacuation(o, "other")
				recordEvacuation(o, "hall")
				sleep(evacuationBound)
				o.RecordArrival("id", "u")
				sleep(1)
				o.RecordEvacuationEnded("hall")
				o.RecordArrival("id", "u")
			},
		},
		"a request to an evacuated hall after a late fault of the store": {
			CheckEvacuated,
			func(o *Oracle) {
				recordEvacuation(o, "hall")
				sleep(evacuationBound + 1)
				o.BeginFault(StoreDown, "")
				o.RecordArrival("id", "u")
			},
			func(o *Oracle) {
				recordEvacuation(o, "hall")
				sleep(evacuationBound)
				o.BeginFault(StoreDown, "")
				sleep(1)
				o.RecordArrival("id", "u")
			},
		},
		"a request to a hall that was evacuated during a fault of another router": {
			CheckEvacuated,
			func(o *Oracle) {
				o.BeginFault(RouterFreeze, "other")
				recordEvacuation(o, "hall")
				sleep(evacuationBound + 1)
				o.RecordArrival("id", "u")
			},
			func(o *Oracle) {
				o.BeginFault(RouterFreeze, "router")
				recordEvacuation(o, "hall")
				sleep(evacuationBound + 1)
				o.RecordArrival("id", "u")
			},
		},
		"a request to an upstream whose response stated that it leaves": {
			CheckStatedLeaving,
			func(o *Oracle) {
				o.RecordSent("id", "router")
				o.RecordResponse("id", "u", http.Header{standin.HeaderLeaving: {"1"}})
				sleep(statedLeaveBound + 1)
				o.RecordArrival("id", "u")
			},
			func(o *Oracle) {
				o.RecordSent("id", "router")
				o.RecordSent("other-id", "other")
				o.RecordResponse("other-id", "u", http.Header{standin.HeaderLeaving: {"1"}})
				sleep(statedLeaveBound + 1)
				o.RecordArrival("id", "u")
			},
		},
		"requests to an upstream that asked for a pause": {
			CheckPause,
			func(o *Oracle) { recordPause(o, maxInPause+1, pauseGrace) },
			func(o *Oracle) {
				recordPause(o, maxInPause, pauseGrace)
				sleep(time.Minute)
				recordPause(o, maxInPause+1, 0)
			},
		},
		"a request that crashes too many upstreams": {
			CheckQuarantine,
			func(o *Oracle) { recordCrashingRuns(o, maxCrashingRuns+1, 0) },
			func(o *Oracle) { recordCrashingRuns(o, maxCrashingRuns, 0) },
		},
		"requests of which a common part crashes too many upstreams": {
			CheckQuarantine,
			func(o *Oracle) { recordCrashingPart(o, maxCrashingRuns+1, standin.CrashPart) },
			func(o *Oracle) {
				recordCrashingPart(o, maxCrashingRuns, standin.CrashPart+"01")
				recordCrashingPart(o, maxCrashingRuns, standin.CrashPart+"02")
			},
		},
		"sound requests that share a part with crashing ones are held": {
			CheckShared,
			func(o *Oracle) { recordShared(o, minSoundRequests/2-1) },
			func(o *Oracle) { recordShared(o, minSoundRequests/2) },
		},
		"a request that crashes upstreams after it should be quarantined": {
			CheckQuarantine,
			func(o *Oracle) {
				recordCrashingRuns(o, quarantineAfter, 0)
				recordCrashingRuns(o, maxLateRuns+1, quarantineBound+1)
			},
			func(o *Oracle) {
				recordCrashingRuns(o, quarantineAfter, 0)
				recordCrashingRuns(o, maxLateRuns, quarantineBound+1)
			},
		},
		"a request that crashes upstreams while another router is frozen": {
			CheckQuarantine,
			func(o *Oracle) {
				o.BeginFault(RouterFreeze, "other")
				recordCrashingRuns(o, maxCrashingRuns+1, 0)
			},
			func(o *Oracle) {
				o.BeginFault(RouterFreeze, "router")
				recordCrashingRuns(o, maxCrashingRuns+1, 0)
			},
		},
		"a new version that breaks a connection": {
			CheckCut,
			func(o *Oracle) {
				o.BeginFault(LoaderKill, "loader")
				o.RecordVersion(2)
				o.RecordOutcome(brokenStream(longRunning()))
			},
			func(o *Oracle) {
				o.BeginFault(UpstreamCut, "u")
				o.RecordOutcome(brokenStream(longRunning()))
			},
		},
		"a stop that breaks a connection": {
			CheckStop,
			func(o *Oracle) { o.RecordOutcome(brokenWhileStopping()) },
			func(o *Oracle) {
				killed := brokenWhileStopping()
				killed.ConditionAfter.lastFaultSignal = time.Now()
				o.RecordOutcome(killed)
			},
		},
		"a stop that breaks a stream": {
			CheckStop,
			func(o *Oracle) {
				cut := brokenWhileStopping()
				cut.Status = http.StatusOK
				o.RecordOutcome(cut)
			},
			func(o *Oracle) {
				o.BeginFault(UpstreamCut, "u")
				cut := brokenWhileStopping()
				cut.Status = http.StatusOK
				o.RecordOutcome(cut)
			},
		},
		"a configuration that takes effect late": {
			CheckConfiguration,
			func(o *Oracle) {
				o.RecordConfiguration(1)
				sleep(configurationBound + 1)
				o.RecordOutcome(probeOutcome(1, http.StatusNotFound))
			},
			func(o *Oracle) {
				o.RecordConfiguration(1)
				sleep(configurationBound)
				o.RecordOutcome(probeOutcome(1, http.StatusNotFound))
			},
		},
		"a removed key that is accepted": {
			CheckConfiguration,
			func(o *Oracle) {
				o.RecordConfiguration(1)
				o.RecordConfiguration(2)
				sleep(configurationBound + 1)
				o.RecordOutcome(probeOutcome(1, http.StatusOK))
			},
			func(o *Oracle) {
				o.RecordConfiguration(1)
				o.RecordConfiguration(2)
				sleep(configurationBound + 1)
				o.RecordOutcome(probeOutcome(1, http.StatusUnauthorized))
			},
		},
		"a return to an older configuration": {
			CheckConfigurationOrder,
			func(o *Oracle) {
				o.RecordConfiguration(1)
				o.RecordConfiguration(2)
				o.RecordOutcome(probeOutcome(2, http.StatusOK))
				sleep(time.Millisecond)
				o.RecordOutcome(probeOutcome(1, http.StatusOK))
			},
			func(o *Oracle) {
				o.RecordConfiguration(1)
				o.RecordConfiguration(2)
				o.RecordOutcome(probeOutcome(1, http.StatusOK))
				sleep(time.Millisecond)
				o.RecordOutcome(probeOutcome(2, http.StatusOK))
			},
		},
		"a configuration that is no longer in force": {
			CheckConfigurationOrder,
			func(o *Oracle) {
				o.RecordConfiguration(1)
				o.RecordOutcome(probeOutcome(1, http.StatusOK))
				sleep(time.Millisecond)
				o.RecordOutcome(probeOutcome(1, http.StatusUnauthorized))
			},
			func(o *Oracle) {
				o.RecordConfiguration(1)
				o.RecordOutcome(probeOutcome(1, http.StatusOK))
				o.RecordConfiguration(2)
				sleep(time.Millisecond)
				o.RecordOutcome(probeOutcome(1, http.StatusUnauthorized))
			},
		},
		"a request on an old version": {
			CheckVersion,
			func(o *Oracle) { o.RecordVersion(2); sleep(versionBound + 1); recordRunOn(o, 1) },
			func(o *Oracle) { o.RecordVersion(2); sleep(versionBound); recordRunOn(o, 1) },
		},
		"a request on a version of which not the newest but another newer one is out of time": {
			CheckVersion,
			func(o *Oracle) { recordOverlappingVersions(o); recordRunOn(o, 1) },
			func(o *Oracle) { recordOverlappingVersions(o); recordRunOn(o, 2) },
		},
		"a request on the older of two versions that replaced one another": {
			CheckVersion,
			func(o *Oracle) { recordOverlappingVersions(o); sleep(versionBound); recordRunOn(o, 2) },
			func(o *Oracle) { recordOverlappingVersions(o); sleep(versionBound); recordRunOn(o, 3) },
		},
		"a request on an old version, long after a fault of the store": {
			CheckVersion,
			func(o *Oracle) { recordRunAfterFault(o, StoreSlow, "", contactTime+versionBound+1) },
			func(o *Oracle) { recordRunAfterFault(o, StoreSlow, "", contactTime+versionBound) },
		},
		"a request on an old version, long after a fault of a link": {
			CheckVersion,
			func(o *Oracle) { recordRunAfterFault(o, LinkDelay, "link", contactTime+versionBound+1) },
			func(o *Oracle) { recordRunAfterFault(o, LinkDelay, "link", contactTime+versionBound) },
		},
		"a request on an old version, long after a fault between another router and the store": {
			CheckVersion,
			func(o *Oracle) { recordRunAfterFault(o, StoreBlockRouter, "other", contactTime+versionBound+1) },
			func(o *Oracle) { recordRunAfterFault(o, StoreBlockRouter, "other", contactTime+versionBound) },
		},
		"a request on an old version, long after a short fault late in its time": {
			CheckVersion,
			func(o *Oracle) {
				o.RecordVersion(2)
				sleep(versionBound)
				o.BeginFault(StoreDropHistory, "")()
				sleep(contactTime + versionBound + 1)
				recordRunOn(o, 1)
			},
			func(o *Oracle) {
				o.RecordVersion(2)
				sleep(versionBound)
				o.BeginFault(StoreDropHistory, "")()
				sleep(contactTime + versionBound)
				recordRunOn(o, 1)
			},
		},
		"a request on an old version whose newer one was published while the store was stable": {
			CheckVersion,
			func(o *Oracle) {
				o.BeginFault(StoreDown, "")()
				sleep(contactTime)
				o.RecordVersion(2)
				sleep(versionBound + 1)
				recordRunOn(o, 1)
			},
			func(o *Oracle) {
				o.BeginFault(StoreDown, "")()
				sleep(contactTime - 1)
				o.RecordVersion(2)
				sleep(versionBound + 1)
				recordRunOn(o, 1)
			},
		},
		"a request on an old version from a router in touch": {
			CheckVersion,
			func(o *Oracle) { recordRunAfterContact(o, RouterFreeze, "router", contactTime+1) },
			func(o *Oracle) { recordRunAfterContact(o, RouterFreeze, "router", contactTime) },
		},
		"a request on an old version from a router that was stopped and started": {
			CheckVersion,
			func(o *Oracle) { recordRunAfterContact(o, RouterStop, "router", contactTime+1) },
			func(o *Oracle) { recordRunAfterContact(o, RouterStop, "router", contactTime) },
		},
		"a request on an old version from a router that was killed with all others": {
			CheckVersion,
			func(o *Oracle) { recordRunAfterContact(o, AllKill, "", contactTime+1) },
			func(o *Oracle) { recordRunAfterContact(o, AllKill, "", contactTime) },
		},
		"a request on an old version during the fault of another router": {
			CheckVersion,
			func(o *Oracle) { recordRunDuringFaults(o, RouterFreeze, "other") },
			func(o *Oracle) { recordRunDuringFaults(o, RouterFreeze, "router") },
		},
		"a request on an old version during the fault of a loader": {
			CheckVersion,
			func(o *Oracle) { recordRunDuringFaults(o, LoaderFreeze, "loader") },
			func(o *Oracle) { recordRunDuringFaults(o, LinkNarrow, "link") },
		},
		"a request on an old version during faults of an engine": {
			CheckVersion,
			func(o *Oracle) {
				o.BeginFault(UpstreamHang, "u")
				recordRunDuringFaults(o, EngineCorrupt, "u")
			},
			func(o *Oracle) {
				o.BeginFault(UpstreamHang, "u")
				recordRunDuringFaults(o, StoreBlockRouter, "router")
			},
		},
		"a request on an old version while the origin is down": {
			CheckVersion,
			func(o *Oracle) { recordRunDuringFaults(o, OriginDown, "") },
			func(o *Oracle) { recordRunDuringFaults(o, StoreDown, "") },
		},
		"a request on an old version on a machine that is not late": {
			CheckVersion,
			func(o *Oracle) {
				o.recordHeartbeat(time.Now(), time.Second)
				sleep(1)
				o.RecordVersion(2)
				sleep(versionBound + 1)
				recordRunOn(o, 1)
			},
			func(o *Oracle) {
				o.RecordVersion(2)
				sleep(versionBound + time.Second)
				o.recordHeartbeat(time.Now(), time.Second)
				recordRunOn(o, 1)
			},
		},
		"too many retries": {
			CheckBudget,
			func(o *Oracle) { recordArrivals(o, retrySlack+2); o.Finish() },
			func(o *Oracle) { recordArrivals(o, retrySlack); o.Finish() },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				violating, compliant := &Oracle{Start: time.Now()}, &Oracle{Start: time.Now()}
				c.violate(violating)
				found := violating.Violations()
				require.Len(t, found, 1)
				assert.Equal(t, c.check, found[0].Check)
				c.comply(compliant)
				assert.Empty(t, compliant.Violations())
			})
		})
	}
}

// recordArrivals records that one request arrived at upstreams a number of times.
func recordArrivals(o *Oracle, times int) {
	o.RecordSent("id", "router")
	for range times {
		o.RecordArrival("id", "u")
	}
}

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

	"github.com/wheelcleat/wheelcleat/platform/standin"
)

var errBroken = errors.New("connection reset by peer")

// running is the condition of a router that has run for long.
func running() condition {
	return condition{state: Running, starts: 1, started: time.Now().Add(-time.Hour)}
}

func streamed() string {
	text := ""
	for number := 1; number <= standin.StreamEvents; number++ {
		text += standin.Event("id", number)
	}
	return text
}

// outcomeOf is a request that began and ended just now.
func outcomeOf(path string, status int, body string) Outcome {
	return Outcome{
		ID: "id", Router: "router", Path: path, Started: time.Now(), Ended: time.Now(),
		Status: status, Signed: status == http.StatusOK, Body: body, Before: running(), After: running(),
	}
}

// probe is a request that one configuration serves.
func probe(configuration, status int) Outcome {
	outcome := outcomeOf(probePath(configuration)+"x", status, standin.ResponseBody("id"))
	outcome.Probe = configuration
	return outcome
}

// stopping is a request whose connection broke while its router was to stop.
func stopping() Outcome {
	outcome := outcomeOf(safePath+"x", 0, "")
	outcome.Err, outcome.After.state = errBroken, Stopping
	return outcome
}

// broken is a stream whose connection broke in its middle.
func broken(after condition) Outcome {
	outcome := outcomeOf(standin.LongPath+"x", http.StatusOK, streamed()[:40])
	outcome.Err, outcome.After = errBroken, after
	return outcome
}

// deadlyRuns has upstreams begin a deadly request some times, after a while.
func deadlyRuns(o *Oracle, count int, after time.Duration) {
	later(after)
	for range count {
		id := fmt.Sprint("deadly-", o.sent)
		o.Sent(id, "router")
		o.Ran(standin.Run{ID: id, Upstream: "u", Path: standin.CrashPath + "1", At: time.Now()})
	}
}

func later(d time.Duration) { <-time.After(d) } // by the clock of the test's bubble

// TestEachCheckFindsItsFault feeds the oracle with what a daemon that breaks one promise
// would show, and with the like that is no fault.
func TestEachCheckFindsItsFault(t *testing.T) {
	unsafeRun := standin.Run{ID: "id", Upstream: "u", Path: unsafePath + "x"}
	cases := map[string]struct {
		check  Check
		mutant func(*Oracle)
		// keep is the same but for what makes it a fault.
		keep func(*Oracle)
	}{
		"another answer": {
			CheckWhole,
			func(o *Oracle) { o.Ended(outcomeOf(safePath+"x", http.StatusOK, standin.ResponseBody("other"))) },
			func(o *Oracle) { o.Ended(outcomeOf(safePath+"x", http.StatusOK, standin.ResponseBody("id"))) },
		},
		"an event twice": {
			CheckWhole,
			func(o *Oracle) {
				o.Ended(outcomeOf(standin.StreamPath+"x", http.StatusOK, streamed()+standin.Event("id", standin.StreamEvents)))
			},
			func(o *Oracle) { o.Ended(outcomeOf(standin.StreamPath+"x", http.StatusOK, streamed())) },
		},
		"a cut answer that looks whole": {
			CheckWhole,
			func(o *Oracle) { o.Ended(outcomeOf(standin.StreamPath+"x", http.StatusOK, streamed()[:40])) },
			func(o *Oracle) {
				o.Strike(UpstreamCut, "u")
				outcome := outcomeOf(standin.StreamPath+"x", http.StatusOK, streamed()[:40])
				outcome.Err = errBroken
				o.Ended(outcome)
			},
		},
		"run twice": {
			CheckOnce,
			func(o *Oracle) { o.Ran(unsafeRun); o.Ran(unsafeRun) },
			func(o *Oracle) { o.Ran(unsafeRun) },
		},
		"not run, though it has": {
			CheckNotRun,
			func(o *Oracle) {
				o.Ran(unsafeRun)
				o.Ended(outcomeOf(unsafePath+"x", http.StatusServiceUnavailable, ""))
			},
			func(o *Oracle) { o.Ended(outcomeOf(unsafePath+"x", http.StatusServiceUnavailable, "")) },
		},
		"sent to one that leaves": {
			CheckLeaving,
			func(o *Oracle) { o.Left("u"); later(leaveBound + 1); o.Reached("id", "u") },
			func(o *Oracle) { o.Left("u"); later(leaveBound); o.Reached("id", "u") },
		},
		"sent to one that leaves, long after a fault of the store": {
			CheckLeaving,
			func(o *Oracle) {
				o.Strike(StoreDown, "")()
				later(settleTime + 1)
				o.Left("u")
				later(leaveBound + 1)
				o.Reached("id", "u")
			},
			func(o *Oracle) {
				o.Left("u")
				o.Strike(StoreDown, "")()
				later(leaveBound + 1)
				o.Reached("id", "u")
			},
		},
		"sent to one that leaves, while another router is frozen": {
			CheckLeaving,
			func(o *Oracle) {
				o.Sent("id", "router")
				o.Left("u")
				o.Strike(RouterFreeze, "other")
				later(leaveBound + 1)
				o.Reached("id", "u")
			},
			func(o *Oracle) {
				o.Sent("id", "router")
				o.Left("u")
				o.Strike(RouterFreeze, "router")
				later(leaveBound + 1)
				o.Reached("id", "u")
			},
		},
		"an entry that cannot be read": {
			CheckLeaving,
			func(o *Oracle) { o.Left("u"); later(leaveBound + 1); o.Reached("id", "u") },
			func(o *Oracle) { o.Left("u"); o.Back("u"); later(leaveBound + 1); o.Reached("id", "u") },
		},
		"a request that ends upstream after upstream": {
			CheckHeld,
			func(o *Oracle) { deadlyRuns(o, mostDeadly+1, 0) },
			func(o *Oracle) { deadlyRuns(o, mostDeadly, 0) },
		},
		"a request that ends upstreams long after it is known": {
			CheckHeld,
			func(o *Oracle) { deadlyRuns(o, heldAfter, 0); deadlyRuns(o, mostLate+1, heldBound+1) },
			func(o *Oracle) { deadlyRuns(o, heldAfter, 0); deadlyRuns(o, mostLate, heldBound+1) },
		},
		"a request that ends upstreams while its router is frozen": {
			CheckHeld,
			func(o *Oracle) {
				o.Strike(RouterFreeze, "other")
				deadlyRuns(o, mostDeadly+1, 0)
			},
			func(o *Oracle) {
				o.Strike(RouterFreeze, "router")
				deadlyRuns(o, mostDeadly+1, 0)
			},
		},
		"a version that cuts": {
			CheckCut,
			func(o *Oracle) {
				o.Strike(LoaderKill, "loader")
				o.Named(2)
				o.Ended(broken(running()))
			},
			func(o *Oracle) {
				o.Strike(UpstreamCut, "u")
				o.Ended(broken(running()))
			},
		},
		"a stop that cuts": {
			CheckStop,
			func(o *Oracle) { o.Ended(stopping()) },
			func(o *Oracle) {
				killed := stopping()
				killed.After.disturbed = time.Now()
				o.Ended(killed)
			},
		},
		"a stop that cuts a stream": {
			CheckStop,
			func(o *Oracle) {
				cut := stopping()
				cut.Status = http.StatusOK
				o.Ended(cut)
			},
			func(o *Oracle) {
				o.Strike(UpstreamCut, "u")
				cut := stopping()
				cut.Status = http.StatusOK
				o.Ended(cut)
			},
		},
		"a change that comes late": {
			CheckConfiguration,
			func(o *Oracle) {
				o.Configured(1)
				later(configurationBound + 1)
				o.Ended(probe(1, http.StatusNotFound))
			},
			func(o *Oracle) { o.Configured(1); later(configurationBound); o.Ended(probe(1, http.StatusNotFound)) },
		},
		"a removed key that is taken": {
			CheckConfiguration,
			func(o *Oracle) {
				o.Configured(1)
				o.Configured(2)
				later(configurationBound + 1)
				o.Ended(probe(1, http.StatusOK))
			},
			func(o *Oracle) {
				o.Configured(1)
				o.Configured(2)
				later(configurationBound + 1)
				o.Ended(probe(1, http.StatusUnauthorized))
			},
		},
		"an older configuration again": {
			CheckBack,
			func(o *Oracle) {
				o.Configured(1)
				o.Configured(2)
				o.Ended(probe(2, http.StatusOK))
				later(time.Millisecond)
				o.Ended(probe(1, http.StatusOK))
			},
			func(o *Oracle) {
				o.Configured(1)
				o.Configured(2)
				o.Ended(probe(1, http.StatusOK))
				later(time.Millisecond)
				o.Ended(probe(2, http.StatusOK))
			},
		},
		"a configuration that is forgotten": {
			CheckBack,
			func(o *Oracle) {
				o.Configured(1)
				o.Ended(probe(1, http.StatusOK))
				later(time.Millisecond)
				o.Ended(probe(1, http.StatusUnauthorized))
			},
			func(o *Oracle) {
				o.Configured(1)
				o.Ended(probe(1, http.StatusOK))
				o.Configured(2)
				later(time.Millisecond)
				o.Ended(probe(1, http.StatusUnauthorized))
			},
		},
		"an old version": {
			CheckVersion,
			func(o *Oracle) {
				o.Named(2)
				later(versionBound + 1)
				o.Ran(standin.Run{ID: "id", Path: standin.StreamPath, Version: 1, At: time.Now()})
			},
			func(o *Oracle) {
				o.Named(2)
				later(versionBound)
				o.Ran(standin.Run{ID: "id", Path: standin.StreamPath, Version: 1, At: time.Now()})
			},
		},
		"too many second sends": {
			CheckBudget,
			func(o *Oracle) { reach(o, retrySlack+2); o.Finish() },
			func(o *Oracle) { reach(o, retrySlack); o.Finish() },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				broken, sound := &Oracle{Began: time.Now()}, &Oracle{Began: time.Now()}
				c.mutant(broken)
				found := broken.Violations()
				require.Len(t, found, 1)
				assert.Equal(t, c.check, found[0].Check)
				c.keep(sound)
				assert.Empty(t, sound.Violations())
			})
		})
	}
}

// reach has one request come to upstreams a number of times.
func reach(o *Oracle, times int) {
	o.Sent("id", "router")
	for range times {
		o.Reached("id", "u")
	}
}

package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
)

// An upstream tolerates up to factor times its limit plus extra requests, from all
// routers together, in any window.
const (
	window        = 4 * time.Second
	factor, extra = 1.5, 5.0
)

var engine = ratelimit.Upstream{ID: "u1"}

var start = time.Unix(1000, 0)

// allowance returns the number of requests that an upstream tolerates in a window.
func allowance(perSecond float64) int { return int(factor*perSecond*window.Seconds() + extra) }

// maxInWindow returns the highest number of sends in any window.
func maxInWindow(sends []time.Duration) int {
	highest, first := 0, 0
	for last, at := range sends {
		for at-sends[first] >= window {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

func limited(perSecond float64) ratelimit.ResponseLimit {
	return ratelimit.ResponseLimit{Kind: ratelimit.Limited, PerSecond: perSecond}
}

var unlimited = ratelimit.ResponseLimit{Kind: ratelimit.Unlimited}

// load describes routers that compete for one upstream and honor the delays that Allow returns.
type load struct {
	routers int
	// unreachable is the share of the routers that cannot reach the loader.
	unreachable float64
	// noLoader means that the upstream has no loader.
	noLoader bool
	// idle is a pause without requests, after which all routers start at once.
	idle      time.Duration
	perSecond float64
	seed      uint64
}

// targetShare returns the share of the limit that the routers may use together.
func (l load) targetShare() float64 {
	if l.noLoader {
		return ratelimit.NoLoaderShare.Fraction
	}
	share := ratelimit.LoaderUnreachableShare.Fraction * l.unreachable
	if l.unreachable < 1 {
		share += ratelimit.LoaderShare.Fraction
	}
	return share
}

// minUtilization is the share of targetShare that busy routers must reach.
const minUtilization = 0.5

// simulate returns the times of all sends within a minute.
func (l load) simulate() []time.Duration {
	const duration, step, sendProbability = time.Minute, 20 * time.Millisecond, 0.2
	random := rand.New(rand.NewPCG(l.seed, 1))
	loader := &ratelimit.Table{Draw: random.Float64}
	loader.Observe(engine, limited(l.perSecond), start, start)
	routerTables := make([]*ratelimit.Table, l.routers)
	next := make([]time.Duration, l.routers)
	for i := range routerTables {
		routerTables[i] = &ratelimit.Table{Draw: random.Float64}
		routerTables[i].Observe(engine, limited(l.perSecond), start, start)
	}
	var sends []time.Duration
	for at := time.Duration(0); at < duration; at += step {
		if l.idle > 0 && at < l.idle && at > 0 {
			continue
		}
		for _, i := range random.Perm(l.routers) {
			if at < next[i] || random.Float64() > sendProbability {
				continue
			}
			table, share := loader, ratelimit.LoaderShare
			switch {
			case l.noLoader:
				table, share = routerTables[i], ratelimit.NoLoaderShare.Among(l.routers)
			case float64(i) < l.unreachable*float64(l.routers):
				table, share = routerTables[i], ratelimit.LoaderUnreachableShare.Among(l.routers)
			}
			wait, ok := table.Allow(engine, share, start.Add(at))
			next[i] = at + wait
			if ok {
				sends = append(sends, at)
			}
		}
	}
	return sends
}

// TestRoutersTogetherStayWithinLimit guards against routers exceeding a limit together, with a
// reachable, unreachable or missing loader and after an idle pause, and against a limit that is
// left unused.
func TestRoutersTogetherStayWithinLimit(t *testing.T) {
	const seeds = 5
	for _, routers := range []int{6, 40, 400} {
		for _, perSecond := range []float64{0.2, 1, 2.3, 5, 50} {
			for name, l := range map[string]load{
				"loader":             {},
				"loader unreachable": {unreachable: 1},
				"loader unreachable for half of the routers": {unreachable: 0.5},
				"no loader":                   {noLoader: true},
				"no loader, after idle pause": {noLoader: true, idle: 20 * time.Second},
				"loader, after idle pause":    {idle: 20 * time.Second},
			} {
				l.routers, l.perSecond = routers, perSecond
				total := 0
				for seed := range uint64(seeds) {
					l.seed = seed
					sends := l.simulate()
					total += len(sends)
					assert.LessOrEqual(t, maxInWindow(sends), allowance(perSecond), "%s, %d routers, limit %g, seed %d", name, routers, perSecond, seed)
				}
				if l.idle == 0 && perSecond <= 5 { // six routers cannot use up a higher limit
					used := float64(total) / seeds / 60 / perSecond
					assert.Greater(t, used, minUtilization*l.targetShare(), "%s, %d routers, utilization of limit %g is %.2f", name, routers, perSecond, used)
				}
			}
		}
	}
}

// TestIndependentRoutersExceedLimit shows that a limit needs a shared counter or shares.
func TestIndependentRoutersExceedLimit(t *testing.T) {
	l := load{noLoader: true, routers: 6, perSecond: 1}
	assert.LessOrEqual(t, maxInWindow(l.simulate()), allowance(1))
	tables := make([]ratelimit.Table, l.routers)
	sent := 0
	for i := range tables {
		tables[i].Observe(engine, limited(1), start, start)
		for at := time.Duration(0); at < window; at += 10 * time.Millisecond {
			if _, ok := tables[i].Allow(engine, ratelimit.LoaderShare, start.Add(at)); ok {
				sent++
			}
		}
	}
	assert.Greater(t, sent, allowance(1))
}

// TestNewestObservationWins guards against a limit lifted by the response to an older request,
// against older reports of other processes, and against reports passed back and forth that make
// an old limit look new.
func TestNewestObservationWins(t *testing.T) {
	var table ratelimit.Table
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	assert.False(t, table.Observe(engine, unlimited, at(0), at(1)).Changed, "an upstream that never stated a limit")
	change := table.Observe(engine, limited(2), at(0), at(100))
	assert.True(t, change.Changed && change.Notify && change.Previous.Lifted)
	assert.False(t, table.Observe(engine, unlimited, at(50), at(300)).Changed, "response to a request sent before the limit was stated")
	assert.True(t, table.Limited(engine))

	var other ratelimit.Table
	other.Observe(engine, limited(2), at(0), at(100))
	report, ok := table.Report(engine, at(400))
	assert.True(t, ok)
	assert.Equal(t, 300*time.Millisecond, report.Age)
	for ms := 400; ms < 4000; ms += 10 { // each report takes 10 ms each way
		report, _ = other.Report(engine, at(ms))
		other.Merge(engine, report, at(ms+10))
	}
	assert.False(t, other.Observe(engine, unlimited, at(450), at(3000)).Changed, "within the grace period")
	lifted := other.Observe(engine, unlimited, at(1450), at(4000))
	assert.True(t, lifted.Changed && lifted.Notify, "request sent after the limit was stated")
	assert.Equal(t, 3550*time.Millisecond, lifted.Current.Age, "the report carries its age")

	assert.True(t, table.Merge(engine, ratelimit.Report{Lifted: true, Age: 10 * time.Millisecond}, at(5000)).Changed)
	assert.False(t, table.Merge(engine, ratelimit.Report{PerSecond: 2, Age: time.Second}, at(5000)).Changed, "older than the lifting")
	assert.True(t, table.Observe(engine, limited(2), at(4000), at(5100)).Changed)

	assert.False(t, table.Observe(engine, ratelimit.ResponseLimit{Invalid: "x"}, at(6000), at(6001)).Changed, "an invalid value leaves the limit unchanged")
	assert.True(t, table.Limited(engine))
}

// TestRestartOrNewAddressClearsLimit guards against applying a limit to another run of the
// upstream.
func TestRestartOrNewAddressClearsLimit(t *testing.T) {
	var table ratelimit.Table
	table.Observe(engine, limited(1), start, start)
	restarted, moved := engine, engine
	restarted.Started = start.Add(time.Second)
	moved.Address = netip.MustParseAddrPort("10.0.0.1:80")
	assert.True(t, table.Limited(engine))
	assert.False(t, table.Limited(restarted))
	assert.False(t, table.Limited(moved))
	local := engine
	local.Started = restarted.Started.In(time.FixedZone("x", 3600))
	table.Observe(restarted, limited(1), start, start)
	assert.True(t, table.Limited(local), "the same instant in another time zone")
}

// TestNotificationsAreThrottled guards against a notification per response when a limit changes
// with each, and against a delayed notification when it is lifted.
func TestNotificationsAreThrottled(t *testing.T) {
	var table ratelimit.Table
	notified := 0
	now := start
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		if table.Observe(engine, limited(2+float64(i%7)), now, now).Notify {
			notified++
		}
	}
	assert.LessOrEqual(t, notified, 3)
	later := now.Add(1001 * time.Millisecond)
	assert.True(t, table.Observe(engine, unlimited, later, later).Notify)
}

// TestZeroLimitStillAllowsProbes guards against a limit of 0 that could never be found lifted.
func TestZeroLimitStillAllowsProbes(t *testing.T) {
	var table ratelimit.Table
	table.Observe(engine, limited(0), start, start)
	sent := 0
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		if _, ok := table.Allow(engine, ratelimit.LoaderShare, start.Add(at)); ok {
			sent++
		}
	}
	assert.InDelta(t, 12, sent, 2)
}

// TestIdleCounterSavesNoBurst guards against catching up on unsent requests after a pause, and
// against unbounded growth of the table.
func TestIdleCounterSavesNoBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0, 60).Draw(t, "limit")
		var table ratelimit.Table
		table.Observe(engine, limited(perSecond), start, start)
		var sends []time.Duration
		at := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			at += time.Duration(rapid.SampledFrom([]int{0, 0, 1, 10, 100, 10_000}).Draw(t, "pause")) * time.Millisecond
			if _, ok := table.Allow(engine, ratelimit.LoaderShare, start.Add(at)); ok {
				sends = append(sends, at)
			}
		}
		assert.LessOrEqual(t, maxInWindow(sends), allowance(perSecond))
	})
	var table ratelimit.Table
	for i := range 10_000 {
		table.Observe(ratelimit.Upstream{ID: fmt.Sprint(i)}, limited(1), start, start.Add(time.Duration(i)))
	}
	assert.LessOrEqual(t, len(table.Reports(start)), 4096)
}

package quarantine_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
)

// Parameters of the simulated fleet.
const (
	routers, engines, places = 7, 20, 16
	arrivalRate              = 150 // other requests per second
	runTime                  = 1400 * time.Millisecond
	restartTime              = 4 * time.Second
	maxAttempts              = 2
	queueTime, crashTime     = 400 * time.Millisecond, 100 * time.Millisecond
	crashingInterval         = 450 * time.Millisecond
	retryAfter               = 1300 * time.Millisecond
	tick                     = 10 * time.Millisecond
)

// request is a caller's request at one router.
type request struct {
	content  content.Digest
	router   int
	attempts int // remaining
	retries  int // remaining, by the caller
	crashing bool
	sent     time.Duration
	until    time.Duration // end of its run at the engine
}

// network holds the tables of the routers and delivers their reports.
type network struct {
	reportDelay time.Duration
	// isLost reports whether a report to another router is lost; nil means never.
	isLost func() bool
	tables [routers]quarantine.Table
	// inTransit holds reports that have not been delivered.
	inTransit []delivery
	now       time.Duration
}

type delivery struct {
	at     time.Duration
	router int
	report quarantine.Report
}

func (n *network) time() time.Time { return time.Unix(1000, 0).Add(n.now) }

// broadcast sends a report to all routers; the sender receives it at once.
func (n *network) broadcast(from int, report quarantine.Report) {
	for router := range routers {
		at := n.now
		if router != from {
			at += n.reportDelay
		}
		if router == from || n.isLost == nil || !n.isLost() {
			n.inTransit = append(n.inTransit, delivery{at, router, report})
		}
	}
}

// reportCrash reports the crash of an engine, in its run with a number, to all routers for each of the keys of a request
// that a router had sent there.
func (n *network) reportCrash(router, engine int, run int64, keys []content.Digest, sent time.Duration) {
	for _, key := range keys {
		observed, counts := n.tables[router].Attribute(quarantine.Attempt{
			Content: key, Upstream: fmt.Sprint("e", engine), Started: time.Unix(run, 0), SentAt: time.Unix(1000, 0).Add(sent),
		}, n.time())
		if counts {
			n.broadcast(router, quarantine.Report{Content: key, Crashes: []quarantine.Crash{observed}})
		}
	}
}

// complete records a complete response at a router and reports what it clears.
func (n *network) complete(router int, keys []content.Digest) {
	table := &n.tables[router]
	for _, key := range keys {
		table.RecordSuccess(key, n.time())
		if table.Suspected(key) {
			n.broadcast(router, quarantine.Report{Content: key, Cleared: true})
		}
	}
}

// tryOrAdmit returns the verdict of a router on a new request, and reports a trial to the other routers.
func (n *network) tryOrAdmit(router int, keys []content.Digest) quarantine.Verdict {
	position := func(key content.Digest) int { return (int(key[7]) + router) % routers }
	admission := n.tables[router].Admit(keys, position, n.time())
	for _, key := range admission.Trials {
		for other := range routers {
			if other != router {
				n.inTransit = append(n.inTransit, delivery{n.now + n.reportDelay, other, quarantine.Report{Content: key, Trial: true}})
			}
		}
	}
	return admission.Verdict
}

// deliver merges the reports that are due.
func (n *network) deliver() {
	var remaining []delivery
	for _, d := range n.inTransit {
		if d.at > n.now {
			remaining = append(remaining, d)
			continue
		}
		n.tables[d.router].Merge(d.report, n.time())
	}
	n.inTransit = remaining
}

// fleet simulates a request that crashes engines among requests that do not.
type fleet struct {
	network
	random *rand.Rand
	// running holds the requests of each engine, downUntil the end of its restart.
	running   [engines][]*request
	downUntil [engines]time.Duration
	started   [engines]int64
	delayed   []delayed
	contents  uint64

	crashes, sentAfterQuarantine, bystandersQuarantined, bystanders int
	thirdCrash                                                      time.Duration
}

type delayed struct {
	at      time.Duration
	request *request
}

func (f *fleet) newContent() content.Digest {
	var digest content.Digest
	f.contents++
	binary.BigEndian.PutUint64(digest[:], f.contents)
	return digest
}

// admit sends a new request to a random router.
func (f *fleet) admit(r *request) {
	r.router, r.attempts = f.random.IntN(routers), maxAttempts
	f.sendByVerdict(r, f.tryOrAdmit(r.router, []content.Digest{r.content}))
}

// send sends an admitted request to a free engine if the verdict of its router allows it.
func (f *fleet) send(r *request) {
	f.sendByVerdict(r, f.tables[r.router].Verdict([]content.Digest{r.content}, f.time()))
}

func (f *fleet) sendByVerdict(r *request, verdict quarantine.Verdict) {
	switch {
	case verdict == quarantine.Quarantined && !r.crashing:
		f.bystandersQuarantined++
		return
	case verdict == quarantine.Quarantined:
		return
	case verdict == quarantine.SingleAttempt && r.attempts < maxAttempts:
		f.fail(r)
		return
	case verdict == quarantine.SingleAttempt:
		r.attempts = 1
	}
	for range 5 {
		engine := f.random.IntN(engines)
		if f.now >= f.downUntil[engine] && len(f.running[engine]) < places {
			f.run(engine, r)
			return
		}
	}
}

func (f *fleet) run(engine int, r *request) {
	r.attempts--
	r.sent, r.until = f.now, f.now+runTime
	if r.crashing {
		r.until = f.now + queueTime + crashTime
		if f.thirdCrash > 0 && f.now > f.thirdCrash+3*time.Second {
			f.sentAfterQuarantine++
		}
	}
	f.running[engine] = append(f.running[engine], r)
}

// fail ends a request without a response; its caller may retry.
func (f *fleet) fail(r *request) {
	if r.retries > 0 {
		r.retries--
		f.delayed = append(f.delayed, delayed{f.now + retryAfter, &request{content: r.content, retries: r.retries}})
	}
}

// crash crashes an engine, reports it to all routers and retries the requests that ran there.
func (f *fleet) crash(engine int) {
	f.crashes++
	if f.crashes == 3 {
		f.thirdCrash = f.now
	}
	f.downUntil[engine] = f.now + restartTime
	f.started[engine]++
	interrupted := f.running[engine]
	f.running[engine] = nil
	for _, r := range interrupted {
		observed := attribute(&f.tables[r.router], quarantine.Attempt{
			Content: r.content, Upstream: fmt.Sprint("e", engine), Started: time.Unix(f.started[engine], 0),
			SentAt: time.Unix(1000, 0).Add(r.sent),
		}, f.time())
		f.broadcast(r.router, quarantine.Report{Content: r.content, Crashes: []quarantine.Crash{observed}})
	}
	f.deliver()
	for _, r := range interrupted {
		if r.attempts == 0 {
			f.fail(r)
			continue
		}
		f.delayed = append(f.delayed, delayed{f.now + time.Duration(f.random.IntN(500))*time.Millisecond, r})
	}
}

// step advances the simulation by one tick.
func (f *fleet) step() {
	f.now += tick
	f.deliver()
	for engine := range engines {
		var remaining []*request
		crashes := false
		for _, r := range f.running[engine] {
			switch {
			case f.canceled(r):
			case r.until > f.now:
				remaining = append(remaining, r)
			case r.crashing:
				crashes = true
				remaining = append(remaining, r)
			default:
				f.tables[r.router].Merge(quarantine.Report{Content: r.content, Cleared: true}, f.time())
			}
		}
		f.running[engine] = remaining
		if crashes {
			f.crash(engine)
		}
	}
	pending := f.delayed
	f.delayed = nil
	for _, d := range pending {
		switch {
		case d.at > f.now:
			f.delayed = append(f.delayed, d)
		case d.request.until == 0:
			f.admit(d.request)
		default:
			f.send(d.request)
		}
	}
}

// canceled reports whether the router cancels an attempt that has not begun, because its
// content has been quarantined since.
func (f *fleet) canceled(r *request) bool {
	begin := r.until - crashTime
	return r.crashing && f.now < begin && f.tables[r.router].Verdict([]content.Digest{r.content}, f.time()) == quarantine.Quarantined
}

// simulate sends the crashing request at intervals among random others.
func (f *fleet) simulate(duration time.Duration) {
	crashing := f.newContent()
	for f.now < duration {
		if f.random.Float64() < arrivalRate*tick.Seconds() {
			f.bystanders++
			f.admit(&request{content: f.newContent(), retries: 1})
		}
		if f.now > 2*time.Second && f.now%crashingInterval < tick {
			f.admit(&request{content: crashing, crashing: true})
		}
		f.step()
	}
}

// TestCrashingContentIsStopped simulates a request that crashes every engine that runs it and is
// repeated at random routers. It guards against many crashes, also with slow reports between
// routers, and against quarantining the requests that ran beside it.
func TestCrashingContentIsStopped(t *testing.T) {
	const seeds = 40
	for delay, maxCrashes := range map[time.Duration]int{20 * time.Millisecond: 6, time.Second: 12} {
		crashes, quarantined, bystanders := 0, 0, 0
		for seed := range uint64(seeds) {
			f := &fleet{random: rand.New(rand.NewPCG(seed, 0)), network: network{reportDelay: delay}}
			f.simulate(30 * time.Second)
			assert.LessOrEqual(t, f.crashes, maxCrashes, "seed %d, report delay %s", seed, delay)
			assert.LessOrEqual(t, f.sentAfterQuarantine, 1, "more than the trial was sent after the quarantine; seed %d, report delay %s", seed, delay)
			crashes, quarantined, bystanders = crashes+f.crashes, quarantined+f.bystandersQuarantined, bystanders+f.bystanders
		}
		t.Logf("report delay %s: %.2f engines crash, %d of %d other requests are quarantined", delay, float64(crashes)/seeds, quarantined, bystanders)
		assert.LessOrEqual(t, quarantined, bystanders/10000)
	}
}

package quarantine_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
)

// Bounds of what a crashing part may do to the requests of its route.
const (
	contact = 3 * time.Second
	// maxSentLate bounds the requests with the crashing part that reach engines later than contact after
	// the fifth crash.
	maxSentLate = 3
	// minBeginShare bounds the sound requests that begin at the first attempt, from twice contact after
	// the fifth crash or the last, against their share before.
	minBeginShare = 0.5
)

// sharedPartCase describes requests that all share their first parts, and of which some have a part that
// crashes engines besides.
type sharedPartCase struct {
	shared                  int // parts that all requests share
	soundRouters            []int
	soundInterval           time.Duration
	clump                   int // sound requests that arrive together
	crashingRouters         []int
	crashingParts           int
	crashingInterval        time.Duration
	reportDelay             time.Duration
	lostShare               float64 // of the reports
	restartAt, restartEvery time.Duration
	soundRunTime            time.Duration
}

// sharedPartFleet simulates such a case.
type sharedPartFleet struct {
	network
	sharedPartCase
	random    *rand.Rand
	running   [engines][]*sharedPartRequest
	downUntil [engines]time.Duration
	started   [engines]int64
	number    int
	// unready is the end of the restart of each router.
	unready [routers]time.Duration

	crashes            []time.Duration
	crashingSends      []time.Duration
	soundBegan, soundN map[time.Duration]int // by time of arrival
}

type sharedPartRequest struct {
	keys        []content.Digest
	crashing    bool
	router      int
	attempts    int
	sent, until time.Duration
}

const sharedPartsCalm, sharedPartsTrouble = 10 * time.Second, 140 * time.Second

func (f *sharedPartFleet) newRequest(router int, crashing bool) *sharedPartRequest {
	f.number++
	keys := []content.Digest{digest(f.number)}
	for i := range f.shared {
		keys = append(keys, part(i))
	}
	if crashing {
		keys = append(keys, crashingPart(f.number%f.crashingParts))
	}
	return &sharedPartRequest{keys: keys, crashing: crashing, router: router, attempts: maxAttempts}
}

func (f *sharedPartFleet) arrive(routers []int, crashing bool) {
	r := f.newRequest(routers[f.random.IntN(len(routers))], crashing)
	if f.now < f.unready[r.router] {
		return
	}
	verdict := f.tryOrAdmit(r.router, r.keys)
	sent := f.send(r, verdict)
	if !crashing {
		f.soundN[f.now]++
		if sent {
			f.soundBegan[f.now]++
		}
	}
}

// send sends a request to an engine with a place and reports whether there is one.
func (f *sharedPartFleet) send(r *sharedPartRequest, verdict quarantine.Verdict) bool {
	if verdict == quarantine.Quarantined {
		return false
	}
	if verdict == quarantine.SingleAttempt {
		r.attempts = 1
	}
	for _, engine := range f.random.Perm(engines) {
		if f.now < f.downUntil[engine] || len(f.running[engine]) >= places {
			continue
		}
		r.attempts--
		r.sent, r.until = f.now, f.now+f.soundRunTime
		if r.crashing {
			r.until = f.now + crashTime
			f.crashingSends = append(f.crashingSends, f.now)
		}
		f.running[engine] = append(f.running[engine], r)
		return true
	}
	return false
}

func (f *sharedPartFleet) crash(engine int) {
	f.crashes = append(f.crashes, f.now)
	f.downUntil[engine] = f.now + restartTime
	f.started[engine]++
	interrupted := f.running[engine]
	f.running[engine] = nil
	for _, r := range interrupted {
		f.reportCrash(r.router, engine, f.started[engine], r.keys, r.sent)
	}
	f.deliver()
	for _, r := range interrupted {
		verdict := f.tables[r.router].Verdict(r.keys, f.time())
		if r.attempts > 0 && verdict == quarantine.Unrestricted {
			f.send(r, verdict)
		}
	}
}

// restart empties the table of a router, which accepts requests once it has the reports of another.
func (f *sharedPartFleet) restart(router int) {
	const catchUpTime = 200 * time.Millisecond
	f.tables[router], f.unready[router] = quarantine.Table{}, f.now+catchUpTime
	for _, report := range f.tables[(router+1)%routers].Reports(f.time()) {
		f.inTransit = append(f.inTransit, delivery{f.unready[router], router, report})
	}
}

func (f *sharedPartFleet) step() {
	f.now += tick
	f.deliver()
	if f.restartEvery > 0 && f.now >= f.restartAt && (f.now-f.restartAt)%f.restartEvery < tick {
		f.restart(int((f.now-f.restartAt)/f.restartEvery) % routers)
	}
	for engine := range engines {
		var remaining []*sharedPartRequest
		crashes := false
		for _, r := range f.running[engine] {
			switch {
			case r.until > f.now:
				remaining = append(remaining, r)
			case r.crashing:
				crashes = true
				remaining = append(remaining, r)
			default:
				f.complete(r.router, r.keys)
			}
		}
		f.running[engine] = remaining
		if crashes {
			f.crash(engine)
		}
	}
}

func (f *sharedPartFleet) simulate() {
	f.soundBegan, f.soundN = map[time.Duration]int{}, map[time.Duration]int{}
	offset := time.Duration(f.random.Int64N(int64(f.soundInterval)))
	for f.now < sharedPartsCalm+sharedPartsTrouble {
		if (f.now+offset)%f.soundInterval < tick {
			for range f.clump {
				f.arrive(f.soundRouters, false)
			}
		}
		if f.now >= sharedPartsCalm && f.now%f.crashingInterval < tick {
			f.arrive(f.crashingRouters, true)
		}
		f.step()
	}
}

// beginShare returns the share of the sound requests that began at the first attempt, of those that
// arrived in a time.
func (f *sharedPartFleet) beginShare(from, until time.Duration) float64 {
	began, all := 0, 0
	for at, n := range f.soundN {
		if at >= from && at < until {
			began, all = began+f.soundBegan[at], all+n
		}
	}
	return float64(began) / float64(max(all, 1))
}

func (f *sharedPartFleet) sentLate() int {
	if len(f.crashes) < 5 {
		return 0
	}
	return len(slices.DeleteFunc(slices.Clone(f.crashingSends), func(at time.Duration) bool { return at <= f.crashes[4]+contact }))
}

// TestPartsThatSoundRequestsShareAreNotQuarantined guards against quarantining the parts that all
// requests of a route share together with the one that crashes engines, and against letting the crashing
// part through for their sake.
func TestPartsThatSoundRequestsShareAreNotQuarantined(t *testing.T) {
	const seeds = 20
	base := sharedPartCase{
		shared: 1, soundRouters: []int{0, 2}, soundInterval: 3 * time.Second, clump: 3, crashingRouters: []int{1}, crashingParts: 1,
		crashingInterval: 130 * time.Millisecond, reportDelay: 20 * time.Millisecond, soundRunTime: time.Second,
	}
	all := []int{0, 1, 2, 3, 4, 5, 6}
	cases := map[string]func(*sharedPartCase){
		"sound requests at two routers, crashing ones at a third": func(*sharedPartCase) {},
		"sound requests at one router":                            func(c *sharedPartCase) { c.soundRouters = []int{4} },
		"sound requests at all routers":                           func(c *sharedPartCase) { c.soundRouters = all },
		"crashing ones at all routers":                            func(c *sharedPartCase) { c.crashingRouters = all },
		"both at all routers":                                     func(c *sharedPartCase) { c.soundRouters, c.crashingRouters = all, all },
		"both at one router":                                      func(c *sharedPartCase) { c.soundRouters, c.crashingRouters = []int{3}, []int{3} },
		"two shared parts":                                        func(c *sharedPartCase) { c.shared = 2 },
		"three shared parts":                                      func(c *sharedPartCase) { c.shared = 3 },
		"a crashing request in four seconds":                      func(c *sharedPartCase) { c.crashingInterval = 4 * time.Second },
		"a hundred crashing requests a second":                    func(c *sharedPartCase) { c.crashingInterval = tick },
		"a sound request in four seconds":                         func(c *sharedPartCase) { c.soundInterval, c.clump = 4*time.Second, 1 },
		"fifty sound requests a second":                           func(c *sharedPartCase) { c.soundInterval, c.clump = 2*tick, 1 },
		"long sound requests":                                     func(c *sharedPartCase) { c.soundRunTime = 5 * time.Second },
		"two crashing parts":                                      func(c *sharedPartCase) { c.crashingParts = 2 },
		"two crashing parts at all routers":                       func(c *sharedPartCase) { c.crashingParts, c.crashingRouters = 2, all },
		"late reports":                                            func(c *sharedPartCase) { c.reportDelay = time.Second },
		"a fifth of the reports is lost":                          func(c *sharedPartCase) { c.lostShare = 0.2 },
		"routers restart":                                         func(c *sharedPartCase) { c.restartAt, c.restartEvery = sharedPartsCalm, 700*time.Millisecond },
	}
	for name, vary := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			crashes, late, share := 0, 0, 0.0
			for seed := range uint64(seeds) {
				f := &sharedPartFleet{sharedPartCase: base, random: rand.New(rand.NewPCG(seed, 0))}
				vary(&f.sharedPartCase)
				f.network.reportDelay = f.sharedPartCase.reportDelay
				f.isLost = func() bool { return f.random.Float64() < f.lostShare }
				f.simulate()
				from := f.crashes[min(len(f.crashes), 5)-1] + 2*contact
				before, after := f.beginShare(0, sharedPartsCalm), f.beginShare(from, f.now)
				assert.GreaterOrEqual(t, after, minBeginShare*before, "share of sound requests that begin, seed %d; crashes at %v", seed, f.crashes)
				assert.LessOrEqual(t, f.sentLate(), maxSentLate*f.crashingParts, "sent late, seed %d; crashes at %v", seed, f.crashes)
				crashes, late, share = crashes+len(f.crashes), late+f.sentLate(), share+after
			}
			t.Logf("%s: %.2f crashes, %.2f sent late, %.3f of the sound requests begin", name, float64(crashes)/seeds, float64(late)/seeds, share/seeds)
		})
	}
}

// Package staleload estimates the present load of engines from old reports and draws the engines
// among which a router chooses.
//
// It is made for fleets in which tens to hundreds of routers read the same load reports of 40 to
// 440 engines, 10 to 100 ms after they were true. In that time an engine with 12 places gets up
// to one request from all routers together and reads the prompts that were waiting. Two rules
// follow. A report counts less the older it is, and the requests that have probably arrived since
// are added to it. A router compares a few engines that it draws at random, because the engine
// with the lowest load by the last report is the same one for all routers.
//
// An engine's load is counted in waiting requests, as in package balance. Nothing in this package
// reads a clock or keeps a goroutine.
package staleload

import (
	"math"
	"slices"
	"time"
)

const (
	// readTime is the mean time for which a prompt waits on an engine of pace 1: until the end of
	// the pass under way, which takes 50 to 110 ms with the prompts that it reads. Half or twice
	// the value changes the number of denied queries per request by at most 0.04.
	readTime = 50 * time.Millisecond
	// runningWeight is the cost of running requests on a full engine in waiting requests. With 1,
	// the places in use at 0.45 of the capacity are nearly as uneven as by the last reports. With
	// 8, 1.1 to 1.2 times as many queries are denied.
	runningWeight = 4.0
	// excessWeight is the cost of a request beyond the places, which waits until another one ends.
	excessWeight = 3.0
)

// Report is what a router knows of one engine.
type Report struct {
	// Running and Waiting are the reported numbers of requests, and Age the age of the report.
	Running, Waiting int
	Age              time.Duration
	// Sent counts the requests of this router that the report does not include.
	Sent int
	// Places is the number of requests that the engine runs at once, and Pace the factor by which
	// it is slower than declared, as returned by Pace.
	Places int
	Pace   float64
	// OthersPerSecond is the rate at which other routers send requests to an engine of pace 1.
	OthersPerSecond float64
}

// Load is the expected load of an engine.
type Load struct {
	// Waiting and Running are expected numbers of requests.
	Waiting, Running float64
}

// Expected returns the load that is expected now. Of the requests that waited at the time of the
// report, and of those that have arrived since, all but a share that falls with time have begun to
// run. As many requests are assumed to have ended as have begun, except for those of this router,
// which are known: the load of an engine changes far less in the age of a report than in the
// duration of a request.
func (r Report) Expected() Load {
	const perSecond = float64(time.Second)
	read := float64(readTime) * r.Pace
	unread := math.Exp(-float64(max(r.Age, 0)) / read)
	arriving := r.OthersPerSecond / r.Pace * read / perSecond
	waiting := float64(r.Waiting)*unread + arriving*(1-unread)
	begun := float64(r.Waiting) * (1 - unread)
	return Load{Waiting: waiting + float64(r.Sent), Running: float64(r.Running) + begun}
}

// Cost returns how unfavorable an engine with this load is for one more request that must leave
// some places free, in waiting requests on an engine of pace 1.
func (l Load) Cost(places, reserved int, pace float64) float64 {
	if places <= 0 {
		return l.Waiting * pace
	}
	inUse := l.Waiting + l.Running
	excess := max(0, inUse+1+float64(reserved)-float64(places))
	return pace*(l.Waiting+runningWeight*inUse/float64(places)) + excessWeight*excess
}

// Rate is a decayed rate of events. The zero value is ready to use.
type Rate struct {
	count float64
	at    time.Time
	since time.Time
}

// rateWindow is the time constant of a Rate. Routers of a large fleet get one request a second.
const rateWindow = 4 * time.Second

// Add counts an event.
func (r *Rate) Add(now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
	r.count = r.decayed(now) + 1
	r.at = now
}

// PerSecond returns the rate, which is 0 before the first event.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.since.IsZero() {
		return 0
	}
	// The sum of the weights of the time since the first event corrects the rate of a young process.
	weight := 1 - math.Exp(-float64(now.Sub(r.since))/float64(rateWindow))
	return r.decayed(now) / (rateWindow.Seconds() * max(weight, minRateWeight))
}

// minRateWeight bounds the rate that follows from the first requests of a process.
const minRateWeight = 0.1

func (r *Rate) decayed(now time.Time) float64 {
	return r.count * math.Exp(-float64(max(now.Sub(r.at), 0))/float64(rateWindow))
}

// minNoise keeps the random part of a draw finite.
const minNoise = 1e-12

// Draw returns the indices of up to count engines drawn at random without replacement. An engine
// whose penalty is higher by 1 is drawn with 1/e of the weight, so a penalty above all others
// excludes an engine as long as others are left. Random returns numbers in [0, 1).
func Draw(penalties []float64, count int, random func() float64) []int {
	// The engines with the lowest sums of penalty and Gumbel noise are a sample with weights
	// exp(-penalty).
	var drawn []int
	var keys []float64
	for i, penalty := range penalties {
		key := penalty + math.Log(max(-math.Log1p(-random()), minNoise))
		at := len(drawn)
		for at > 0 && key < keys[at-1] {
			at--
		}
		if at >= count {
			continue
		}
		drawn, keys = slices.Insert(drawn, at, i), slices.Insert(keys, at, key)
		drawn, keys = drawn[:min(len(drawn), count)], keys[:min(len(keys), count)]
	}
	return drawn
}

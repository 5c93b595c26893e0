package admission

import (
	"slices"
	"sync"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

const (
	// routeTTL is how long the samples of an unused route are kept, maxSamples is the maximum
	// number of samples per route, and minSamples the number from which they are used.
	routeTTL   = 30 * time.Second
	maxSamples = 64
	minSamples = 8
	// longestQuantile is the upper quantile of the samples that counts as a route's longest
	// timeout, since a few callers may send far longer ones.
	longestQuantile = 0.05
	// maxShortShare is the share of short remaining times among the baseline samples, those taken
	// while no request was refused, above which retries cannot be distinguished from first
	// attempts. shortWeight is the weight of one sample in the moving average.
	maxShortShare, shortWeight = 0.1, 0.02
	// minLongShare is the share of samples above the threshold that is required until there are
	// enough baseline samples, minDeclaredShare the same if the threshold stems from the declared
	// timeout.
	minLongShare, minDeclaredShare = 0.5, 0.125
	// maxRetryDelay is the time within which the retry of a refused request arrives, unless the
	// caller was told a longer time than MaxRetryAfter.
	maxRetryDelay = MaxRetryAfter + 600*time.Millisecond
	// timeoutTolerance is the assumed inaccuracy of the remaining times that callers send.
	timeoutTolerance = 50 * time.Millisecond
)

// Arrival describes an arriving request.
type Arrival struct {
	// Route is the name of the route.
	Route string
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// Declared is the route's declared timeout, 0 if there is none.
	Declared time.Duration
}

// RetryDetector recognizes retries of refused requests by the time until the caller's deadline. The
// timeout of a caller includes its retries, and no refused caller retries before MinRetryAfter. A
// request is therefore a first attempt if its remaining time is within MinRetryAfter of the
// longest timeout on its route, and a likely retry otherwise.
//
// The longest timeout is taken from sampled requests. Until there are enough baseline samples, it
// is at least the route's declared timeout, provided that some requests have that much time: right
// after a start all arriving requests may be retries, whose remaining times would pass for full
// timeouts.
//
// If the timeouts of first attempts on a route differ too much, no request is classified as a
// retry. The zero value is ready to use.
type RetryDetector struct {
	// Now overrides the clock in tests; nil means clock.Now.
	Now func() time.Time

	mu      sync.Mutex
	routes  map[string]*routeSamples
	sweptAt time.Time
	// refusedAt is when this process last refused a request, moved by the time by which its
	// caller waits for longer than MaxRetryAfter. It starts at the first request, since another
	// process may have refused requests before.
	refusedAt time.Time
}

// routeSamples holds the samples of one route; RetryDetector.mu guards it.
type routeSamples struct {
	// remaining is a ring of the latest remaining times; next is the index of the oldest once
	// it is full.
	remaining []time.Duration
	next      int
	// longest is the longest timeout apart from outliers, recomputed every minSamples samples.
	longest time.Duration
	// baselineSamples counts the samples taken while no request was refused, and shortShare is
	// the moving share of them with a short remaining time.
	baselineSamples int
	shortShare      float64
	seenAt          time.Time
}

// RecordRefusal records that a request was refused.
func (d *RetryDetector) RecordRefusal() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordRefusalAt(helpers.Now(d.Now))
}

// RecordLongRefusal records that a request with a remaining time was refused and its caller told to
// wait for longer than MaxRetryAfter. Its retry would otherwise count as a baseline sample.
func (d *RetryDetector) RecordLongRefusal(wait, remaining time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordRefusalAt(helpers.Now(d.Now).Add(max(min(wait, remaining/maxWaitDivisor)-MaxRetryAfter, 0)))
}

// recordRefusalAt moves refusedAt forward. The caller holds mu.
func (d *RetryDetector) recordRefusalAt(at time.Time) {
	if at.After(d.refusedAt) {
		d.refusedAt = at
	}
}

// IsRetry samples a request and reports whether it is probably a retry of a refused one.
func (d *RetryDetector) IsRetry(arrival Arrival) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := helpers.Now(d.Now)
	d.sweep(now)
	r := d.routes[arrival.Route]
	if r == nil {
		r = &routeSamples{}
		d.routes[arrival.Route] = r
	}
	r.seenAt = now
	r.add(arrival.Remaining)
	threshold := r.threshold(arrival.Declared)
	isShort := arrival.Remaining < threshold
	if now.Sub(d.refusedAt) > maxRetryDelay {
		r.addBaseline(isShort)
	}
	return isShort && r.conclusive(threshold, arrival.Declared)
}

// threshold returns the remaining time from which a request is a first attempt.
func (r *routeSamples) threshold(declared time.Duration) time.Duration {
	longest := r.longest
	if !r.calibrated() {
		longest = max(longest, declared)
	}
	return longest - min(MinRetryAfter, longest/maxWaitDivisor) + timeoutTolerance
}

// calibrated reports whether there are enough baseline samples.
func (r *routeSamples) calibrated() bool { return r.baselineSamples >= minSamples }

// conclusive reports whether a remaining time below the threshold identifies a retry.
func (r *routeSamples) conclusive(threshold, declared time.Duration) bool {
	switch {
	case r.calibrated():
		return r.shortShare <= maxShortShare
	case r.longest < declared:
		return r.shareFrom(threshold) >= minDeclaredShare
	default:
		return r.shareFrom(threshold) >= minLongShare
	}
}

// add samples the remaining time of a request.
func (r *routeSamples) add(remaining time.Duration) {
	if len(r.remaining) < maxSamples {
		r.remaining = append(r.remaining, remaining)
	} else {
		r.remaining[r.next] = remaining
	}
	r.next = (r.next + 1) % maxSamples
	if r.next%minSamples == 0 {
		sorted := slices.Sorted(slices.Values(r.remaining))
		r.longest = sorted[len(sorted)-1-int(longestQuantile*float64(len(sorted)))]
	}
}

// addBaseline samples whether a request had a short remaining time while no request was refused.
// The first samples are weighted equally.
func (r *routeSamples) addBaseline(isShort bool) {
	r.baselineSamples++
	sample := 0.0
	if isShort {
		sample = 1
	}
	r.shortShare += max(shortWeight, 1/float64(r.baselineSamples)) * (sample - r.shortShare)
}

// shareFrom returns the share of the sampled remaining times at or above the threshold.
func (r *routeSamples) shareFrom(threshold time.Duration) float64 {
	count := 0
	for _, remaining := range r.remaining {
		if remaining >= threshold {
			count++
		}
	}
	return float64(count) / float64(len(r.remaining))
}

// sweep drops routes without requests for routeTTL.
func (d *RetryDetector) sweep(now time.Time) {
	if d.routes == nil {
		d.routes = map[string]*routeSamples{}
		d.refusedAt = now
	}
	if now.Sub(d.sweptAt) < routeTTL {
		return
	}
	d.sweptAt = now
	for name, r := range d.routes {
		if now.Sub(r.seenAt) > routeTTL {
			delete(d.routes, name)
		}
	}
}

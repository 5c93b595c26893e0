// Package ratelimit enforces the request rates that upstreams state in their responses. A rate
// is the limit for all routers together. Routers and loaders each keep a Table.
//
// One process counts the requests of all routers: the loader beside the upstream, which grants
// the places there anyway (package places). If a router cannot reach the loader or there is none, the
// router uses periodic time slots: an equal share of a part of the limit, with a random phase.
// An unused slot expires, since hundreds of idle routers would otherwise save up a burst.
//
// Invariants: the newest response decides, whichever process received it. The absence of a limit
// is as old as the request whose response stated none. Loader and time slots together stay within
// the burst that an upstream tolerates above its limit. The package has no clock and no network.
//
// Rejected: a router that counts for an upstream without a loader, because routers with
// different views of the fleet would elect two; a limit in the store, whose call rate is bounded
// and which may be unreachable.
package ratelimit

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	// minPerSecond replaces lower limits, 0 included, so that a few requests detect when
	// the limit is lifted.
	minPerSecond = 0.2
	// maxBurst bounds the credit that an idle limiter accumulates.
	maxBurst = 100 * time.Millisecond
	// slotDuration is how long a time slot may be used.
	slotDuration = time.Second
	// maxPeriod bounds the time between two slots.
	maxPeriod = time.Hour
	// maxWait bounds the delay that Allow returns, since the upstream may have lifted its
	// limit by then.
	maxWait = 2 * time.Second
	// liftGrace backdates the absence of a limit, since responses may arrive out of order.
	liftGrace = time.Second
	// clockSkew is the difference below which two reports count as equally old.
	clockSkew = 300 * time.Millisecond
	// notifyInterval and notifyMinChange, a share of the limit, bound the notifications of a
	// limit that changes with each response.
	notifyInterval  = 500 * time.Millisecond
	notifyMinChange = 0.25
	// liftedReportTTL is how long a lifted limit is reported.
	liftedReportTTL = 30 * time.Second
	// maxUpstreams bounds the table.
	maxUpstreams = 4096
)

// Upstream identifies one run of an upstream. A limit does not carry over to another start
// time or another address under the same id.
type Upstream struct {
	ID      string         `json:"id"`
	Address netip.AddrPort `json:"address,omitzero"`
	// Started is zero if unknown.
	Started time.Time `json:"started,omitzero"`
}

// key is the map key of an upstream. It holds the start time as a number, because time.Time
// values of the same instant may differ in their location.
type key struct {
	id      string
	address netip.AddrPort
	started int64
}

func (u Upstream) key() key {
	k := key{id: u.ID, address: u.Address}
	if !u.Started.IsZero() {
		k.started = u.Started.UnixNano()
	}
	return k
}

// Report reports an upstream's limit from one process to another.
type Report struct {
	// PerSecond is the limit in requests per second.
	PerSecond float64 `json:"perSecond"`
	// Lifted means that the upstream has lifted its limit.
	Lifted bool `json:"ended,omitempty"`
	// Age is the time since the limit was observed, in nanoseconds.
	Age time.Duration `json:"age"`
}

// same reports whether two reports agree apart from their age.
func (r Report) same(o Report) bool { return r.Lifted == o.Lifted && r.PerSecond == o.PerSecond }

// Change is the effect of an observation or a report on the table.
type Change struct {
	// Changed means that the limit was set, changed or lifted.
	Changed bool
	// Notify means that Current must be sent to other processes.
	Notify bool
	// Previous is the limit before the change, with Lifted set if there was none. Current is the
	// present one; the age of a lifted limit is that of the request whose response lacked it.
	Previous, Current Report
}

// Share is the part of a limit that one process may use.
type Share struct {
	// Processes is the number of processes that share the limit; 1 means a single counter.
	Processes int
	// Fraction is the fraction of the limit that all of them together use, from 0 to 1.
	Fraction float64
}

// Shares by the process that counts.
var (
	// LoaderShare is the share of a loader, which counts for all routers.
	LoaderShare = Share{Processes: 1, Fraction: 1}
	// LoaderUnreachableShare is the share of routers that cannot reach the loader. It is small,
	// because the loader may still grant places to other routers.
	LoaderUnreachableShare = Share{Fraction: 0.25}
	// NoLoaderShare is the share of routers whose upstream has no loader.
	NoLoaderShare = Share{Fraction: 0.7}
)

// Among returns the share of a single router out of the given number.
func (s Share) Among(routers int) Share {
	s.Processes = max(routers, 1)
	return s
}

// Table holds the limits of upstreams. The zero value is empty and ready to use. It is not
// safe for concurrent use.
type Table struct {
	// Draw returns a random number in [0, 1); nil means rand.Float64.
	Draw func() float64

	limits map[key]*limit
}

// limit is the state of one upstream's limit.
type limit struct {
	upstream Upstream
	report   Report // Age is unset; at holds the time of observation
	at       time.Time
	// due is the earliest time of the next request; zero before the first.
	due time.Time
	// denied counts the requests denied since the last allowed one.
	denied int
	// notified is the report last sent to other processes, at notifiedAt.
	notified   Report
	notifiedAt time.Time
}

// Observe records what the response to a request sent at the given time states about the limit.
func (t *Table) Observe(upstream Upstream, limit ResponseLimit, sent, now time.Time) Change {
	switch limit.Kind {
	case Limited:
		return t.update(upstream, Report{PerSecond: limit.PerSecond}, now, now, 0)
	case Unlimited:
		return t.update(upstream, Report{Lifted: true}, sent.Add(-liftGrace), now, 0)
	default:
		return Change{}
	}
}

// Merge merges the report of another process.
func (t *Table) Merge(upstream Upstream, report Report, now time.Time) Change {
	return t.update(upstream, report, now.Add(-max(report.Age, 0)), now, clockSkew)
}

// update applies what was observed at the given time unless the table holds something newer. An
// equal limit refreshes the time of observation only if it is newer by more than slack, so that
// reports passed back and forth do not keep a limit alive.
func (t *Table) update(upstream Upstream, report Report, at, now time.Time, slack time.Duration) Change {
	entry := t.limits[upstream.key()]
	if entry == nil {
		if report.Lifted {
			return Change{}
		}
		entry = t.add(upstream, at)
	} else if !at.After(entry.at) {
		return Change{}
	}
	if report.same(entry.report) {
		if at.Sub(entry.at) > slack {
			entry.at = at
		}
		return Change{}
	}
	change := Change{Changed: true, Previous: entry.report}
	entry.report, entry.at = report, at
	change.Current, change.Notify = entry.reportAt(now), entry.notifyDue(now)
	return change
}

// notifyDue reports whether to notify other processes and, if so, records the notification. It
// is always due when a limit is first stated or lifted.
func (l *limit) notifyDue(now time.Time) bool {
	switched := l.report.Lifted != l.notified.Lifted
	if !switched && now.Sub(l.notifiedAt) < notifyInterval {
		return false
	}
	if !switched && math.Abs(l.report.PerSecond-l.notified.PerSecond) < notifyMinChange*l.notified.PerSecond {
		return false
	}
	l.notified, l.notifiedAt = l.report, now
	return true
}

// add inserts an upstream without a limit and evicts the oldest one from a full table.
func (t *Table) add(upstream Upstream, at time.Time) *limit {
	if t.limits == nil {
		t.limits = map[key]*limit{}
	}
	if len(t.limits) >= maxUpstreams {
		t.evictOldest()
	}
	none := Report{Lifted: true}
	created := &limit{upstream: upstream, report: none, notified: none, at: at}
	t.limits[upstream.key()] = created
	return created
}

// evictOldest removes the limit that was observed longest ago.
func (t *Table) evictOldest() {
	var oldest key
	var at time.Time
	for k, l := range t.limits {
		if at.IsZero() || l.at.Before(at) {
			oldest, at = k, l.at
		}
	}
	delete(t.limits, oldest)
}

// Report returns the report of an upstream's limit, or false if the upstream never stated a limit
// or lifted it longer than liftedReportTTL ago.
func (t *Table) Report(upstream Upstream, now time.Time) (Report, bool) {
	entry := t.limits[upstream.key()]
	if entry == nil || entry.report.Lifted && now.Sub(entry.at) > liftedReportTTL {
		return Report{}, false
	}
	return entry.reportAt(now), true
}

func (l *limit) reportAt(now time.Time) Report {
	report := l.report
	report.Age = max(now.Sub(l.at), 0)
	return report
}

// UpstreamReport is the report of one upstream's limit.
type UpstreamReport struct {
	Upstream Upstream `json:"upstream"`
	Report
}

// Delayed returns the report as of a time after it was made.
func (r UpstreamReport) Delayed(by time.Duration) UpstreamReport {
	r.Age += max(by, 0)
	return r
}

// Reports returns the reports of all upstreams.
func (t *Table) Reports(now time.Time) []UpstreamReport {
	all := make([]UpstreamReport, 0, len(t.limits))
	for _, l := range t.limits {
		if report, ok := t.Report(l.upstream, now); ok {
			all = append(all, UpstreamReport{l.upstream, report})
		}
	}
	return all
}

// Limited reports whether an upstream has a limit.
func (t *Table) Limited(upstream Upstream) bool {
	entry := t.limits[upstream.key()]
	return entry != nil && !entry.report.Lifted
}

// Allow reports whether a request may be sent to an upstream now by the given share of its
// limit, and counts the request if so. Otherwise it returns the delay before the next attempt.
func (t *Table) Allow(upstream Upstream, share Share, now time.Time) (wait time.Duration, ok bool) {
	entry := t.limits[upstream.key()]
	if entry == nil || entry.report.Lifted {
		return 0, true
	}
	period := periodOf(entry.report.PerSecond, share)
	if share.Processes > 1 {
		entry.advanceSlot(period, now, t.draw)
	} else {
		entry.advanceBucket(period, now)
	}
	if entry.due.After(now) {
		entry.denied++
		return entry.wait(period, share, now), false
	}
	entry.due, entry.denied = entry.due.Add(period), 0
	return 0, true
}

// periodOf returns the time between two requests by a share of a limit.
func periodOf(perSecond float64, share Share) time.Duration {
	rate := max(perSecond, minPerSecond) * share.Fraction / float64(share.Processes)
	return time.Duration(min(float64(time.Second)/rate, float64(maxPeriod)))
}

// advanceBucket bounds the time of the next request of a single counter. The lower bound caps
// the credit of an idle limiter at maxBurst; the upper bound applies a raised limit at once.
func (l *limit) advanceBucket(period time.Duration, now time.Time) {
	if earliest := now.Add(-maxBurst); l.due.Before(earliest) {
		l.due = earliest
	}
	if latest := now.Add(period); l.due.After(latest) {
		l.due = latest
	}
}

// advanceSlot moves the next time slot. The first slot gets a random phase, which spreads the
// routers; expired slots are skipped.
func (l *limit) advanceSlot(period time.Duration, now time.Time, draw func() float64) {
	if l.due.IsZero() || l.due.After(now.Add(period)) {
		l.due = now.Add(time.Duration(draw() * float64(period)))
		return
	}
	if late := now.Sub(l.due) - slotDuration; late > 0 && period > 0 {
		l.due = l.due.Add((late/period + 1) * period)
	}
}

// wait returns the delay before the next attempt. A single counter adds a period for each request
// denied before, so that the denied requests are not all retried at once.
func (l *limit) wait(period time.Duration, share Share, now time.Time) time.Duration {
	wait := l.due.Sub(now)
	if share.Processes == 1 {
		wait += time.Duration(min(l.denied-1, int(maxWait/max(period, 1)))) * period
	}
	return min(wait, maxWait)
}

func (t *Table) draw() float64 {
	if t.Draw != nil {
		return t.Draw()
	}
	return rand.Float64()
}

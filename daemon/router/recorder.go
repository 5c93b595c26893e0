package router

import (
	"math"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/dispatch"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

const (
	// maxServedLines and maxFailedLines bound the log lines a second about requests. Failures
	// have a bound of their own, so that successes never suppress them.
	maxServedLines = 100
	maxFailedLines = 200
	// maxLimitLines bounds the log lines a second about rate limits and the availability of
	// upstreams.
	maxLimitLines = 20
)

// Names of log fields.
const (
	fieldDecision = "decision" // the kind of decision
	fieldRequest  = "request"  // the ID of the request
	fieldUpstream = "upstream" // the ID of the upstream
	fieldAddress  = "address"
	fieldContent  = "content" // the digest of a content or of a part of prompts
)

// decisionBelieve is the value of fieldDecision for a change of what the process holds of the store.
const decisionBelieve = "believe"

// recorder writes the router's log lines and metrics.
type recorder struct {
	telemetry      *telemetry.Telemetry
	log            *log.Entry
	scope          tally.Scope
	served, failed *rate.Limiter
	// limits bounds the lines about rate limits, which may change with each answer.
	limits  *rate.Limiter
	latency tally.Histogram
	// suppressed counts the lines dropped by these bounds since the last notice, and
	// suppressedNotices bounds the notices.
	suppressed        atomic.Int64
	suppressedNotices *rate.Limiter
}

func newRecorder(t *telemetry.Telemetry) *recorder {
	const buckets, first, factor = 16, 5 * time.Millisecond, 1.7
	return &recorder{
		telemetry: t, log: t.Log, scope: t.Scope,
		served:            rate.NewLimiter(maxServedLines, maxServedLines),
		failed:            rate.NewLimiter(maxFailedLines, maxFailedLines),
		suppressedNotices: rate.NewLimiter(1, 1),
		limits:            rate.NewLimiter(maxLimitLines, maxLimitLines),
		latency:           t.Scope.Histogram("request_first_byte_seconds", tally.MustMakeExponentialDurationBuckets(first, factor, buckets)),
	}
}

// request logs the end of a request.
func (r *recorder) request(trace *dispatch.Trace) {
	r.count(trace)
	limiter := r.failed
	if trace.Outcome == dispatch.OutcomeServed && len(trace.Attempts) < 2 {
		limiter = r.served
	}
	if !limiter.Allow() {
		r.scope.Counter("request_lines_left_out").Inc(1)
		r.suppressed.Add(1)
		return
	}
	r.logSuppressed()
	fields := log.Fields{
		fieldDecision: "route", fieldRequest: trace.ID, "route": trace.Route, "service": trace.Service, "account": trace.Account,
		"outcome": trace.Outcome, "status": trace.Status, "tries": trace.Attempts, "configuration": trace.Configuration.Number(),
		"took": clock.Since(trace.Started).Round(time.Microsecond).String(),
	}
	if !trace.FirstByte.IsZero() {
		fields["firstByte"] = trace.FirstByte.Sub(trace.Started).Round(time.Microsecond).String()
	}
	if len(trace.Attempts) > 1 || trace.Outcome != dispatch.OutcomeServed {
		fields[fieldContent] = trace.Content
		if len(trace.Parts) > 0 {
			fields["parts"] = trace.Parts
		}
		if len(trace.Trials) > 0 {
			fields["trials"] = trace.Trials
		}
	}
	if len(trace.PlaceRequests) > 0 {
		fields["asked"] = trace.PlaceRequests
	}
	if trace.Cause != "" {
		fields["reason"] = trace.Cause
		fields["budgetLeft"] = math.Round(trace.RemainingRetries)
	}
	addAdmissionFields(fields, trace)
	r.log.WithFields(fields).Info("request ended")
}

// addAdmissionFields adds what decided whether a request was admitted, and when its caller may return.
func addAdmissionFields(fields log.Fields, trace *dispatch.Trace) {
	if trace.Stale {
		fields["stale"] = true
	}
	if trace.Retried {
		fields["returned"] = true
	}
	if trace.RemainingTime > 0 {
		fields["left"] = trace.RemainingTime.Round(time.Millisecond).String()
	}
	if trace.RetryAfter > 0 {
		fields["retryAfter"], fields["retryRule"] = trace.RetryAfter.Round(time.Millisecond).String(), trace.RetryRule
	}
	if trace.Drain != nil {
		fields["drainLeft"], fields["expected"] = trace.Drain.Remaining.Round(time.Millisecond).String(), trace.Drain.Expected.Round(time.Millisecond).String()
	}
	if trace.Readiness != nil {
		fields["readiness"] = trace.Readiness
	}
}

// connectionBroke logs a broken connection to an upstream: whether the upstream crashed, and the
// content that ran there, which identifies retries of the same request.
func (r *recorder) connectionBroke(disconnect dispatch.Disconnect, crashed bool) {
	r.scope.Tagged(map[string]string{"ended": strconv.FormatBool(crashed)}).Counter("connections_broke").Inc(1)
	if !r.failed.Allow() {
		r.suppressed.Add(1)
		return
	}
	fields := log.Fields{
		fieldDecision: "witness", fieldRequest: disconnect.Request, fieldContent: disconnect.Content, fieldUpstream: disconnect.Upstream.ID,
		fieldAddress: disconnect.Upstream.Address, "ended": crashed, "after": disconnect.After.Round(time.Millisecond).String(),
	}
	if len(disconnect.Parts) > 0 {
		fields["parts"] = disconnect.Parts
	}
	r.log.WithFields(fields).Info("connection to upstream broke")
}

// verdict logs a changed verdict on a content.
func (r *recorder) verdict(c verdictChange, from source, peer netip.AddrPort) {
	r.scope.Tagged(map[string]string{"verdict": c.after.String()}).Counter("content_verdicts").Inc(1)
	fields := log.Fields{
		fieldDecision: "quarantine", fieldContent: c.merged.Content, "verdict": c.after.String(), "before": c.before.String(),
		"ends": c.merged.Crashes, "from": from,
	}
	if c.merged.Part {
		fields["part"] = true
	}
	if peer.IsValid() {
		fields["peer"] = peer
	}
	entry := r.log.WithFields(fields)
	if c.after == quarantine.Quarantined {
		entry.Warn("verdict on a content changed")
		return
	}
	entry.Info("verdict on a content changed")
}

// trialBegan logs that a request is sent although its content or a part of its prompt is quarantined.
func (r *recorder) trialBegan(digest content.Digest) {
	r.scope.Counter("content_trials").Inc(1)
	r.log.WithFields(log.Fields{fieldDecision: "quarantine", fieldContent: digest}).Info("trial of a quarantined content begins")
}

// verdictNotPersisted logs that a verdict could not be written to the store. Routers that start
// later receive it only from other routers.
func (r *recorder) verdictNotPersisted(digest content.Digest, err error) {
	r.log.WithFields(log.Fields{fieldContent: digest, "reason": err.Error()}).Warn("cannot write verdict on a content to the store")
}

// notificationFailed logs that another router did not receive a report of a crash or a limit. That
// router receives it with the answer to the next notification that it sends.
func (r *recorder) notificationFailed(peer netip.AddrPort, err error) {
	r.scope.Counter("routers_not_told").Inc(1)
	if !r.failed.Allow() {
		r.suppressed.Add(1)
		return
	}
	r.log.WithFields(log.Fields{"dependency": "router", "peer": peer, "reason": err.Error()}).Warn("cannot notify router of crashes and limits of upstreams")
}

// notificationDropped counts a report that was dropped because the queue of the notifier was full.
func (r *recorder) notificationDropped() { r.scope.Counter("notes_not_told").Inc(1) }

// announced counts the answers that state something about their upstream, and logs what cannot
// be parsed.
func (r *recorder) announced(report dispatch.AnnouncementReport) {
	if report.Leaving {
		r.scope.Counter("answers_leaving").Inc(1)
	}
	if report.RetryAfter > 0 {
		r.scope.Counter("answers_retry_after").Inc(1)
	}
	if report.Invalid != "" {
		r.scope.Counter("announcements_unread").Inc(1)
		r.invalidAnnouncement(report)
	}
	if report.Limit.Kind == ratelimit.Limited {
		r.scope.Counter("answers_naming_limits").Inc(1)
	}
	if report.Limit.Invalid == "" {
		return
	}
	r.scope.Counter("limits_unread").Inc(1)
	if !r.limits.Allow() {
		r.suppressed.Add(1)
		return
	}
	r.log.WithFields(log.Fields{
		fieldRequest: report.Request, fieldUpstream: report.Upstream.ID, fieldAddress: report.Upstream.Address, "limit": report.Limit.String(),
	}).Warn("cannot parse limit of an upstream; keeping the last valid one")
}

// upstreamLeaving logs that an upstream stated for the first time that it is leaving.
func (r *recorder) upstreamLeaving(report dispatch.AnnouncementReport) {
	r.scope.Counter("upstreams_left_by_answer").Inc(1)
	r.availabilityChanged(report, log.Fields{"leaving": true})
}

// upstreamPaused logs that an upstream asked for a pause, and when that ends.
func (r *recorder) upstreamPaused(report dispatch.AnnouncementReport, until time.Time) {
	r.scope.Counter("upstream_pauses").Inc(1)
	r.availabilityChanged(report, log.Fields{"pausedFor": clock.Until(until).Round(time.Millisecond).String()})
}

// pauseEnded logs that an upstream accepts requests after a pause.
func (r *recorder) pauseEnded(report dispatch.AnnouncementReport) {
	r.availabilityChanged(report, log.Fields{"pausedFor": "0s"})
}

// availabilityChanged logs what an answer changed in the availability of its upstream.
func (r *recorder) availabilityChanged(report dispatch.AnnouncementReport, change log.Fields) {
	if !r.limits.Allow() {
		r.suppressed.Add(1)
		return
	}
	r.log.WithFields(log.Fields{
		fieldDecision: "availability", fieldUpstream: report.Upstream.ID, fieldAddress: report.Upstream.Address, fieldRequest: report.Request, "from": sourceLocal,
	}).WithFields(change).Info("availability of an upstream changed")
}

// invalidAnnouncement logs header values about an upstream that cannot be parsed.
func (r *recorder) invalidAnnouncement(report dispatch.AnnouncementReport) {
	if !r.limits.Allow() {
		r.suppressed.Add(1)
		return
	}
	r.log.WithFields(log.Fields{
		fieldRequest: report.Request, fieldUpstream: report.Upstream.ID, fieldAddress: report.Upstream.Address, "values": report.Invalid,
	}).Warn("cannot parse what an upstream states about itself; ignoring it")
}

// limitChanged logs a changed limit of an upstream.
func (r *recorder) limitChanged(update limitUpdate) {
	r.scope.Tagged(map[string]string{"from": string(update.from)}).Counter("limits_changed").Inc(1)
	if !r.limits.Allow() {
		r.suppressed.Add(1)
		return
	}
	fields := log.Fields{
		fieldDecision: "limit", fieldUpstream: update.upstream.ID, fieldAddress: update.upstream.Address,
		"limit": limitText(update.change.Current), "before": limitText(update.change.Previous), "from": update.from,
	}
	if update.peer.IsValid() {
		fields["peer"] = update.peer
	}
	if update.request != "" {
		fields[fieldRequest] = update.request
	}
	r.log.WithFields(fields).Info("limit of an upstream changed")
}

// limitText formats a limit, in requests a second of all routers, or "none".
func limitText(report ratelimit.Report) string {
	if report.Lifted {
		return "none"
	}
	return strconv.FormatFloat(report.PerSecond, 'g', -1, 64)
}

// limitDenied counts requests rejected because an upstream's limit was used up.
func (r *recorder) limitDenied(path dispatch.AdmissionPath) {
	r.scope.Tagged(map[string]string{"by": string(path)}).Counter("limit_denied").Inc(1)
}

// logSuppressed logs, at most once a second, how many lines were dropped, so that readers of the log
// know that lines are missing.
func (r *recorder) logSuppressed() {
	if r.suppressed.Load() == 0 || !r.suppressedNotices.Allow() {
		return
	}
	r.log.WithField("count", r.suppressed.Swap(0)).Warn("request lines left out")
}

func (r *recorder) count(trace *dispatch.Trace) {
	r.scope.Tagged(map[string]string{"outcome": string(trace.Outcome)}).Counter("requests").Inc(1)
	if trace.RetryRule != "" {
		r.scope.Tagged(map[string]string{"rule": string(trace.RetryRule)}).Counter("refusals").Inc(1)
	}
	if len(trace.Attempts) > 1 {
		r.scope.Counter("second_sends").Inc(int64(len(trace.Attempts) - 1))
	}
	for _, query := range trace.PlaceRequests {
		if query.Cause == "" {
			r.scope.Tagged(map[string]string{"given": strconv.FormatBool(query.Granted)}).Counter("place_queries").Inc(1)
		}
	}
	for _, attempt := range trace.Attempts {
		r.scope.Tagged(map[string]string{"hall": hallTag(attempt.OtherHall)}).Counter("sends").Inc(1)
		if attempt.Kept > 0 {
			r.scope.Counter("sends_kept").Inc(1)
		}
		if attempt.AfterClose != "" {
			r.scope.Tagged(map[string]string{"upstream": string(attempt.AfterClose)}).Counter("responses_closed").Inc(1)
		}
		if attempt.Interrupt != "" {
			r.scope.Tagged(map[string]string{"by": string(attempt.Interrupt)}).Counter("sends_broken").Inc(1)
		}
	}
	if !trace.FirstByte.IsZero() {
		r.latency.RecordDuration(trace.FirstByte.Sub(trace.Started))
	}
}

// hallTag returns the tag of a send to this router's own data hall or to another one.
func hallTag(other bool) string {
	if other {
		return "other"
	}
	return "own"
}

// entryApplied logs a change of the replica, or an entry that was rejected. The change was made
// within gap before, and passed hops other routers on its way from the store.
func (r *recorder) entryApplied(change replica.EntryChange, gap time.Duration, hops int) {
	fields := log.Fields{
		fieldDecision: decisionBelieve, "key": change.Entry.Key, "revision": change.Entry.Revision.Number(), "bytes": len(change.Entry.Value),
		"gap": gap.Round(time.Millisecond).String(), "hops": hops,
	}
	if era := change.Entry.Revision.Era(); era > 0 {
		fields["era"] = era
	}
	record := change.Record
	switch {
	case change.Err != nil:
		fields["reason"] = change.Err.Error()
		if change.Dropped {
			r.scope.Counter("entries_dropped").Inc(1)
			r.log.WithFields(fields).Error("invalid store entry; removed what it declared before")
			return
		}
		r.log.WithFields(fields).Error("invalid store entry; keeping the last valid one")
		return
	case change.Entry.Deleted:
		fields["gone"] = true
		if grace := change.Entry.Grace; change.Kept {
			r.scope.Tagged(map[string]string{"after": string(grace.Reason)}).Counter("upstreams_kept").Inc(1)
			fields["keptFor"], fields["keptAfter"] = grace.For.Round(time.Millisecond).String(), grace.Reason
		}
	case record.Configuration != nil:
		fields["version"] = record.Configuration.Version
		fields["routes"] = len(record.Configuration.Routes)
		fields["accounts"] = len(record.Configuration.Accounts)
	case record.Upstream != nil:
		fields["service"], fields[fieldAddress] = record.Upstream.Service, record.Upstream.Address
		fields["leaving"], fields["models"] = record.Upstream.Leaving, record.Upstream.Models
		if !record.Upstream.Started.IsZero() {
			fields["started"] = record.Upstream.Started
		}
		if record.Upstream.ColdFor > 0 {
			fields["coldFor"] = record.Upstream.ColdFor.String()
		}
	case record.Target != nil:
		fields["model"], fields["version"] = record.Target.Model, record.Target.Version
		fields["source"], fields["age"] = change.Entry.Source, change.Entry.Written.Age(clock.Now())
	case record.EvacuatedHall != "":
		fields["evacuated"] = record.EvacuatedHall
	case record.Member != nil:
		fields["peers"] = record.Member.Peers
	}
	r.log.WithFields(fields).Info("belief changed")
}

// declaredLearned logs when versions were declared, by what a peer knows too.
func (r *recorder) declaredLearned(versions []replica.DeclaredVersion) {
	r.log.WithFields(log.Fields{fieldDecision: decisionBelieve, "declared": replica.Ages(versions, clock.Now())}).Info("ages of versions learned")
}

// keptEnded logs that an upstream whose entry was removed is listed again, or is out of use now.
func (r *recorder) keptEnded(upstream *provider.Upstream, registered bool) {
	r.log.WithFields(log.Fields{
		fieldDecision: decisionBelieve, fieldUpstream: upstream.ID, fieldAddress: upstream.Address, "registered": registered,
		"keptFor": clock.Since(upstream.KeptSince).Round(time.Millisecond).String(),
	}).Info("upstream without an entry is no longer kept")
}

// storeConnectionChanged logs that the store became unreachable, with the cause, or is reachable
// again.
func (r *recorder) storeConnectionChanged(prefix string, cause error) {
	r.telemetry.LogStoreConnection(prefix, cause)
	if cause != nil {
		r.scope.Counter("store_lost").Inc(1)
	}
}

// storeRestored logs that the store was restored from a copy.
func (r *recorder) storeRestored(era uint64) {
	r.scope.Counter("store_restored").Inc(1)
	r.log.WithFields(log.Fields{fieldDecision: decisionBelieve, "dependency": "store", "era": era}).Warn("the store was restored from a copy; entries are read and written again")
}

// entrySuperseded logs an entry of a restored store that is older than what is in force.
func (r *recorder) entrySuperseded(entry provider.Entry) {
	r.scope.Counter("entries_superseded").Inc(1)
	r.log.WithFields(log.Fields{
		fieldDecision: decisionBelieve, "key": entry.Key, "revision": entry.Revision.Number(), "era": entry.Revision.Era(),
	}).Warn("store entry is older than what is in force; keeping that")
}

// storeBytes counts bytes received from the store, including those of aborted answers.
func (r *recorder) storeBytes(bytes int) { r.scope.Counter("store_bytes").Inc(int64(bytes)) }

// peerPulled logs the updates received from a peer, or a failed query.
func (r *recorder) peerPulled(peer netip.AddrPort, updates int, err error) {
	r.scope.Counter("peer_pulls").Inc(1)
	fields := log.Fields{"dependency": "peer", "peer": peer, "entries": updates}
	if err != nil {
		fields["reason"] = err.Error()
		r.log.WithFields(fields).Warn("cannot query peer")
		return
	}
	if updates > 0 {
		r.log.WithFields(fields).Info("news from a peer")
	}
}

// suspended logs a suspension of the host, during which the replica received no updates.
func (r *recorder) suspended(duration time.Duration) {
	r.scope.Counter("suspensions").Inc(1)
	r.log.WithField("for", duration.Round(time.Millisecond).String()).Warn("the host was suspended")
}

func (r *recorder) started(s *settings.Router) {
	r.log.WithFields(log.Fields{"callers": s.Listen.Callers, "peers": s.Listen.Peers, "store": s.Store}).Info("started")
}

func (r *recorder) stopping() { r.log.Info("stopping") }

func (r *recorder) stopped(err error) {
	if err != nil {
		r.log.WithField("reason", err.Error()).Error("stopped, requests were cut")
		return
	}
	r.log.Info("stopped")
}

func (r *recorder) reloaded(reason string, accepted bool) {
	if !accepted {
		r.log.WithField("reason", reason).Error("changed settings rejected; keeping those in force")
		return
	}
	r.log.Info("settings reloaded")
}

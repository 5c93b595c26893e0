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
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/dispatch"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

const (
	// servedLines and failedLines bound the lines a second about requests.
	// Failures have a bound of their own, so that success never hides them.
	servedLines = 100
	failedLines = 200
	// limitLines is the same about the limits that upstreams name.
	limitLines = 20
)

// fieldDecision names the kind of decision that a line tells.
const fieldDecision = "decision"

// recorder writes the router's log lines and metrics.
type recorder struct {
	telemetry      *telemetry.Telemetry
	log            *log.Entry
	scope          tally.Scope
	served, failed *rate.Limiter
	// limits bounds the lines on limits, which may change with each answer.
	limits  *rate.Limiter
	latency tally.Histogram
	// leftOut counts the lines that the bounds kept back since telling said so.
	leftOut atomic.Int64
	telling *rate.Limiter
}

func newRecorder(t *telemetry.Telemetry) *recorder {
	const buckets, first, factor = 16, 5 * time.Millisecond, 1.7
	return &recorder{
		telemetry: t, log: t.Log, scope: t.Scope,
		served:  rate.NewLimiter(servedLines, servedLines),
		failed:  rate.NewLimiter(failedLines, failedLines),
		telling: rate.NewLimiter(1, 1),
		limits:  rate.NewLimiter(limitLines, limitLines),
		latency: t.Scope.Histogram("request_first_byte_seconds", tally.MustMakeExponentialDurationBuckets(first, factor, buckets)),
	}
}

// request writes one line for a request that ended.
func (r *recorder) request(story *dispatch.Story) {
	r.count(story)
	limiter := r.failed
	if story.Outcome == dispatch.EndServed && len(story.Tries) < 2 {
		limiter = r.served
	}
	if !limiter.Allow() {
		r.scope.Counter("request_lines_left_out").Inc(1)
		r.leftOut.Add(1)
		return
	}
	r.tellLeftOut()
	fields := log.Fields{
		fieldDecision: "route", "request": story.ID, "route": story.Route, "service": story.Service, "account": story.Account,
		"outcome": story.Outcome, "status": story.Status, "tries": story.Tries, "configuration": story.Configuration,
		"took": clock.Since(story.Started).Round(time.Microsecond).String(),
	}
	if !story.FirstByte.IsZero() {
		fields["firstByte"] = story.FirstByte.Sub(story.Started).Round(time.Microsecond).String()
	}
	if len(story.Tries) > 1 || story.Outcome != dispatch.EndServed {
		fields["content"] = story.Content
	}
	if len(story.Asked) > 0 {
		fields["asked"] = story.Asked
	}
	if story.Cause != "" {
		fields["reason"] = story.Cause
		fields["budgetLeft"] = math.Round(story.BudgetLeft)
	}
	if story.Stale {
		fields["stale"] = true
	}
	if story.Returned {
		fields["returned"] = true
	}
	if story.Left > 0 {
		fields["left"] = story.Left.Round(time.Millisecond).String()
	}
	if story.RetryAfter > 0 {
		fields["retryAfter"] = story.RetryAfter.Round(time.Millisecond).String()
	}
	r.log.WithFields(fields).Info("request ended")
}

// broke writes one line for a send whose connection broke: whether the upstream itself
// ended, and the content that ran there, by which requests are known again.
func (r *recorder) broke(b dispatch.Break, ended bool) {
	r.scope.Tagged(map[string]string{"ended": strconv.FormatBool(ended)}).Counter("connections_broke").Inc(1)
	if !r.failed.Allow() {
		r.leftOut.Add(1)
		return
	}
	r.log.WithFields(log.Fields{
		fieldDecision: "witness", "request": b.Request, "content": b.Content, "upstream": b.Upstream.ID,
		"address": b.Upstream.Address, "ended": ended, "after": b.After.Round(time.Millisecond).String(),
	}).Info("connection to upstream broke")
}

// verdict writes one line when it changes what may be done with a content.
func (r *recorder) verdict(c change, from source, peer netip.AddrPort) {
	r.scope.Tagged(map[string]string{"verdict": c.after.String()}).Counter("content_verdicts").Inc(1)
	fields := log.Fields{
		fieldDecision: "quarantine", "content": c.known.Content, "verdict": c.after.String(), "before": c.before.String(),
		"ends": c.known.Crashes, "from": from,
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

// verdictNotKept writes one line where a verdict could not be put into the store: routers
// that start later hear of it from others only.
func (r *recorder) verdictNotKept(name content.Digest, err error) {
	r.log.WithFields(log.Fields{"content": name, "reason": err.Error()}).Warn("verdict on a content not kept in the store")
}

// routerNotTold writes one line where another router did not hear of an end or a limit. It
// does with its own next one.
func (r *recorder) routerNotTold(peer netip.AddrPort, err error) {
	r.scope.Counter("routers_not_told").Inc(1)
	if !r.failed.Allow() {
		r.leftOut.Add(1)
		return
	}
	r.log.WithFields(log.Fields{"dependency": "router", "peer": peer, "reason": err.Error()}).Warn("router not told of what upstreams did")
}

// notTold counts a note that was one too many to be told.
func (r *recorder) notTold() { r.scope.Counter("notes_not_told").Inc(1) }

// limitSaid counts what answers say of limits, and writes a line for what cannot be read.
func (r *recorder) limitSaid(heard dispatch.Heard) {
	if heard.Said.Kind == ratelimit.Limited {
		r.scope.Counter("answers_naming_limits").Inc(1)
	}
	if heard.Said.Invalid == "" {
		return
	}
	r.scope.Counter("limits_unread").Inc(1)
	if !r.limits.Allow() {
		r.leftOut.Add(1)
		return
	}
	r.log.WithFields(log.Fields{
		"request": heard.Request, "upstream": heard.Upstream.ID, "address": heard.Upstream.Address, "limit": heard.Said.String(),
	}).Warn("limit of an upstream not read, the last good one stays")
}

// limitChanged writes one line when this router knows another limit of an upstream.
func (r *recorder) limitChanged(news limitNews) {
	r.scope.Tagged(map[string]string{"from": string(news.from)}).Counter("limits_changed").Inc(1)
	if !r.limits.Allow() {
		r.leftOut.Add(1)
		return
	}
	fields := log.Fields{
		fieldDecision: "limit", "upstream": news.upstream.ID, "address": news.upstream.Address,
		"limit": limitText(news.change.Current), "before": limitText(news.change.Previous), "from": news.from,
	}
	if news.peer.IsValid() {
		fields["peer"] = news.peer
	}
	if news.request != "" {
		fields["request"] = news.request
	}
	r.log.WithFields(fields).Info("limit of an upstream changed")
}

// limitText is a limit in requests a second of all routers, or "none".
func limitText(note ratelimit.Report) string {
	if note.Lifted {
		return "none"
	}
	return strconv.FormatFloat(note.PerSecond, 'g', -1, 64)
}

// limitDenied counts requests that went elsewhere because an upstream's limit was used up.
func (r *recorder) limitDenied(door dispatch.Door) {
	r.scope.Tagged(map[string]string{"by": string(door)}).Counter("limit_denied").Inc(1)
}

// tellLeftOut writes, once a second at most, how many lines were left out, so
// that whoever looks for one knows why it may not be there.
func (r *recorder) tellLeftOut() {
	if r.leftOut.Load() == 0 || !r.telling.Allow() {
		return
	}
	r.log.WithField("count", r.leftOut.Swap(0)).Warn("request lines left out")
}

func (r *recorder) count(story *dispatch.Story) {
	r.scope.Tagged(map[string]string{"outcome": string(story.Outcome)}).Counter("requests").Inc(1)
	if len(story.Tries) > 1 {
		r.scope.Counter("second_sends").Inc(int64(len(story.Tries) - 1))
	}
	for _, try := range story.Tries {
		if try.BrokenBy != "" {
			r.scope.Tagged(map[string]string{"by": string(try.BrokenBy)}).Counter("sends_broken").Inc(1)
		}
	}
	if !story.FirstByte.IsZero() {
		r.latency.RecordDuration(story.FirstByte.Sub(story.Started))
	}
}

// belief writes one line for a change of what this router believes.
func (r *recorder) belief(belief mirror.Belief) {
	fields := log.Fields{
		fieldDecision: "believe", "key": belief.Entry.Key, "revision": belief.Entry.Revision, "bytes": len(belief.Entry.Value),
	}
	record := belief.Record
	switch {
	case belief.Err != nil:
		fields["reason"] = belief.Err.Error()
		if belief.Dropped {
			r.scope.Counter("entries_dropped").Inc(1)
			r.log.WithFields(fields).Error("entry not taken, what it named is not used any more")
			return
		}
		r.log.WithFields(fields).Error("entry not taken, the last good one stays")
		return
	case belief.Entry.Gone:
		fields["gone"] = true
	case record.Configuration != nil:
		fields["version"] = record.Configuration.Version
		fields["routes"] = len(record.Configuration.Routes)
		fields["accounts"] = len(record.Configuration.Accounts)
	case record.Upstream != nil:
		fields["service"], fields["address"] = record.Upstream.Service, record.Upstream.Address
		fields["leaving"], fields["models"] = record.Upstream.Leaving, record.Upstream.Models
		if !record.Upstream.Started.IsZero() {
			fields["started"] = record.Upstream.Started
		}
		if record.Upstream.ColdFor > 0 {
			fields["coldFor"] = record.Upstream.ColdFor.String()
		}
	case record.Target != nil:
		fields["model"], fields["version"] = record.Target.Model, record.Target.Version
	case record.Evacuated != "":
		fields["evacuated"] = record.Evacuated
	case record.Member != nil:
		fields["peers"] = record.Member.Peers
	}
	r.log.WithFields(fields).Info("belief changed")
}

// contact writes one line when the store is lost or answers again.
func (r *recorder) contact(prefix string, lost error) {
	r.telemetry.Contact(prefix, lost)
	if lost != nil {
		r.scope.Counter("store_lost").Inc(1)
	}
}

// storeBytes counts what the store sent, also of answers that were given up.
func (r *recorder) storeBytes(bytes int) { r.scope.Counter("store_bytes").Inc(int64(bytes)) }

// pulled writes one line when a peer had news, or could not be asked.
func (r *recorder) pulled(peer netip.AddrPort, fresh int, err error) {
	r.scope.Counter("peer_pulls").Inc(1)
	fields := log.Fields{"dependency": "peer", "peer": peer, "entries": fresh}
	if err != nil {
		fields["reason"] = err.Error()
		r.log.WithFields(fields).Warn("peer not asked")
		return
	}
	if fresh > 0 {
		r.log.WithFields(fields).Info("news from a peer")
	}
}

// suspended writes one line when the host was suspended: what this router believed is older
// by that.
func (r *recorder) suspended(took time.Duration) {
	r.scope.Counter("suspensions").Inc(1)
	r.log.WithField("for", took.Round(time.Millisecond).String()).Warn("the host was suspended")
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

func (r *recorder) reloaded(refused string, taken bool) {
	if !taken {
		r.log.WithField("reason", refused).Error("changed settings not taken, the last good ones stay")
		return
	}
	r.log.Info("settings reloaded")
}

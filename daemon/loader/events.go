package loader

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/enginetime"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/reconcile"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// fieldDecision is the log field for the kind of a decision, and decisionBelieve its value for a
// change of what the process holds of the store.
const (
	fieldDecision   = "decision"
	decisionBelieve = "believe"
)

// logDeclaration logs a change of the declared version. Changes of other hosts' engines are
// logged by the routers.
func (p *Process) logDeclaration(change replica.EntryChange) {
	fields := log.Fields{fieldDecision: decisionBelieve, "key": change.Entry.Key, "revision": change.Entry.Revision.Number(), "era": change.Entry.Revision.Era()}
	switch target := change.Record.Target; {
	case change.Err != nil:
		fields["reason"] = change.Err.Error()
		p.log.WithFields(fields).Error("invalid store entry; keeping the last valid one")
	case target != nil:
		fields["model"], fields["version"], fields["age"] = target.Model, target.Version, change.Entry.Written.Age(clock.Now())
		fields["source"], fields["gap"], fields["hops"] = change.Entry.Source, p.versions.AnswerGap().Round(time.Millisecond).String(), p.versions.Status().Hops
		p.log.WithFields(fields).Info("belief changed")
	}
}

// learnDeclared learns from a router when versions were declared.
func (p *Process) learnDeclared(versions []replica.DeclaredVersion) bool {
	changed := p.compiler.LearnDeclared(versions)
	if changed {
		p.log.WithFields(log.Fields{fieldDecision: decisionBelieve, "declared": replica.Ages(p.compiler.Declared(), clock.Now())}).Info("ages of versions learned")
	}
	return changed
}

// logRestore logs that the store was restored from a copy.
func (p *Process) logRestore(era uint64) {
	p.telemetry.Scope.Counter("store_restored").Inc(1)
	p.log.WithFields(log.Fields{fieldDecision: decisionBelieve, "dependency": "store", "era": era}).Warn("the store was restored from a copy")
}

// logSuperseded logs a declaration of a restored store that is older than the one in force.
func (p *Process) logSuperseded(entry provider.Entry) {
	p.log.WithFields(log.Fields{
		fieldDecision: decisionBelieve, "key": entry.Key, "revision": entry.Revision.Number(), "era": entry.Revision.Era(),
	}).Warn("store entry is older than what is in force; keeping that")
}

// publishReport publishes the engine's report to the routers and to the ledger of places.
func (p *Process) publishReport(report provider.EngineReport, err error) {
	if err != nil {
		p.feed.Publish(loadfeed.State{Loading: true})
		p.ledger.Observe(places.EngineLoad{}, false)
		p.telemetry.SetNotReady("the engine does not answer")
		return
	}
	p.telemetry.SetReady()
	if p.engineLeaving.Swap(report.Leaving) != report.Leaving {
		p.log.WithFields(log.Fields{fieldDecision: "availability", "engine": p.current.Load().Engine, "leaving": report.Leaving}).Info("availability of an upstream changed")
	}
	// An engine without a loaded version refuses every request, so it grants no place either.
	loading, closesAt := report.Loading || p.reconciler.Draining() || len(report.Models) == 0, p.reconciler.ClosesAt()
	pace := enginetime.ReportedPace(report.Pace)
	p.telemetry.Scope.Gauge("engine_pace").Update(enginetime.NormalPace(pace))
	p.feed.Publish(loadfeed.State{
		Running: report.Running, Waiting: report.Waiting, Loading: loading, Leaving: report.Leaving, ClosesIn: loadfeed.ClosesIn(closesAt, clock.Now()), Models: report.Models, Pace: pace,
		Next: nextVersion(p.reconciler.Expected(), clock.Now()),
	})
	p.ledger.CloseAt(closesAt)
	p.ledger.Observe(places.EngineLoad{Running: report.Running, Waiting: report.Waiting, Loading: loading, Leaving: report.Leaving, Pace: pace}, true)
}

// countResponse counts a response to a router's request for a place.
func (p *Process) countResponse(response places.Response) {
	name, scope := "places_given", p.telemetry.Scope
	switch {
	case response.Late.Reason != "":
		name, scope = "places_denied_late", scope.Tagged(map[string]string{"for": string(response.Late.Reason)})
	case response.RetryAfter > 0:
		name = "places_denied_by_limit"
	case !response.Granted:
		name = "places_denied"
	}
	scope.Counter(name).Inc(1)
	if response.Caller.Ranks == 0 {
		return
	}
	tags := map[string]string{"rank": strconv.Itoa(min(response.Caller.Rank, maxRankTag)), "kept_for": string(response.DeniedBy)}
	scope.Tagged(tags).Counter(name + "_by_rank").Inc(1)
}

// maxRankTag bounds the ranks that metrics distinguish.
const maxRankTag = 15

// limitLogRate is the maximum number of log lines per second about limits, which may change
// with each response.
const limitLogRate = 5

// logLimit logs a change of the engine's limit, which applies to all routers together.
func (p *Process) logLimit(engine ratelimit.Upstream, change ratelimit.Change) {
	p.telemetry.Scope.Counter("limits_changed").Inc(1)
	if !p.limitLog.Allow() {
		return
	}
	p.log.WithFields(log.Fields{
		fieldDecision: "limit", "upstream": engine.ID, "engine": p.current.Load().Engine, "perSecond": change.Current.PerSecond, "ended": change.Current.Lifted,
	}).Info("limit of an upstream changed")
}

// logStep logs a step towards a version and counts it.
func (p *Process) logStep(step reconcile.Step) {
	fields := log.Fields{fieldDecision: step.Name, "version": step.Version, "took": step.Took.String()}
	switch step.Name {
	case reconcile.StepFetch:
		fields["bytes"] = p.receivedBytes.takeCounts()
	case reconcile.StepOrder:
		fields["engine"], fields["running"] = p.current.Load().Engine, step.Running
		fields["afterPlanned"] = clock.Since(step.Planned).Round(time.Millisecond).String()
		fields["dueIn"] = clock.Until(step.Due).Round(time.Millisecond).String()
	}
	if step.Reason != "" {
		fields["choice"] = step.Reason
	}
	p.telemetry.Scope.Counter("weights_" + step.Name).Inc(1)
	if step.Err != nil {
		fields["reason"] = step.Err.Error()
		p.telemetry.Scope.Counter("weights_" + step.Name + "_failed").Inc(1)
		p.log.WithFields(fields).Warn("weights")
		return
	}
	p.log.WithFields(fields).Info("weights")
}

// The sources of chunks in metrics and logs.
const (
	fromOrigin     = "origin"
	fromOwnHall    = "hall"
	fromOtherHalls = "otherHalls"
)

// receivedBytes counts the bytes of chunks by source since the last fetch ended. Those from the
// origin and from other halls use links that a whole region shares.
type receivedBytes struct{ origin, ownHall, otherHalls atomic.Int64 }

func (r *receivedBytes) counter(source string) *atomic.Int64 {
	switch source {
	case fromOrigin:
		return &r.origin
	case fromOwnHall:
		return &r.ownHall
	default:
		return &r.otherHalls
	}
}

// takeCounts returns the counts for a log line and resets them.
func (r *receivedBytes) takeCounts() map[string]int64 {
	counts := map[string]int64{}
	for _, source := range []string{fromOrigin, fromOwnHall, fromOtherHalls} {
		counts[source] = r.counter(source).Swap(0)
	}
	return counts
}

// countChunk counts the bytes of a chunk by its source.
func (p *Process) countChunk(_ int, chunk []byte, from string) {
	source := fromOtherHalls
	switch {
	case from == swarm.FromOrigin:
		source = fromOrigin
	case p.roster().inHall(from, p.current.Load().Hall):
		source = fromOwnHall
	}
	p.receivedBytes.counter(source).Add(int64(len(chunk)))
	p.telemetry.Scope.Tagged(map[string]string{"from": source}).Counter("chunk_bytes").Inc(int64(len(chunk)))
}

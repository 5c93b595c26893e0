package loader

import (
	"sync/atomic"

	"github.com/apex/log"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/ratelimit"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/keep"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/swarm"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// fieldDecision names the kind of decision that a line tells.
const fieldDecision = "decision"

// noteBelief writes one line for a change of the declared version; changes of
// other hosts' engines are the routers' to log.
func (p *Process) noteBelief(belief replica.EntryChange) {
	fields := log.Fields{fieldDecision: "believe", "key": belief.Entry.Key, "revision": belief.Entry.Revision}
	switch target := belief.Record.Target; {
	case belief.Err != nil:
		fields["reason"] = belief.Err.Error()
		p.log.WithFields(fields).Error("entry not taken, the last good one stays")
	case target != nil:
		fields["model"], fields["version"] = target.Model, target.Version
		p.log.WithFields(fields).Info("belief changed")
	}
}

// noteReport publishes what the engine says of itself.
func (p *Process) noteReport(report provider.EngineReport, err error) {
	if err != nil {
		p.feed.Publish(loadfeed.Line{Loading: true})
		p.ledger.Observe(places.Load{}, false)
		p.telemetry.SetNotReady("the engine does not answer")
		return
	}
	p.telemetry.SetReady()
	// An engine that holds nothing refuses all: a place there would be a send in vain.
	loading, closes := report.Loading || p.keeper.Clearing() || len(report.Models) == 0, p.keeper.Closes()
	p.feed.Publish(loadfeed.Line{
		Running: report.Running, Waiting: report.Waiting, Loading: loading, ClosesIn: loadfeed.ClosesIn(closes, clock.Now()), Models: report.Models,
	})
	p.ledger.Close(closes)
	p.ledger.Observe(places.Load{Running: report.Running, Waiting: report.Waiting, Loading: loading}, true)
}

// noteAnswer counts an answer to a router that asked for a place.
func (p *Process) noteAnswer(answer places.Answer) {
	name := "places_given"
	switch {
	case answer.Wait > 0:
		name = "places_denied_by_limit"
	case !answer.Given:
		name = "places_denied"
	}
	p.telemetry.Scope.Counter(name).Inc(1)
}

// limitLines bounds the lines a second about limits: one may change with each answer.
const limitLines = 5

// noteLimit writes one line when the engine's limit changes, by which all routers are counted.
func (p *Process) noteLimit(engine ratelimit.Upstream, change ratelimit.Change) {
	p.telemetry.Scope.Counter("limits_changed").Inc(1)
	if !p.limitLines.Allow() {
		return
	}
	p.log.WithFields(log.Fields{
		fieldDecision: "limit", "upstream": engine.ID, "engine": p.current.Load().Engine, "perSecond": change.Current.PerSecond, "ended": change.Current.Lifted,
	}).Info("limit of an upstream changed")
}

// noteStep writes one line for a decision about weights.
func (p *Process) noteStep(step keep.Step) {
	fields := log.Fields{fieldDecision: step.Name, "version": step.Version, "took": step.Took.String()}
	switch step.Name {
	case keep.StepFetch:
		fields["bytes"] = p.received.fields()
	case keep.StepOrder:
		fields["engine"], fields["running"] = p.current.Load().Engine, step.Running
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

// Where a chunk came from, as metrics and logs name it.
const (
	fromOrigin     = "origin"
	fromHall       = "hall"
	fromOtherHalls = "otherHalls"
)

// received counts the bytes of chunks since the last version was fetched. Those of
// the origin and of other halls took a part of the links that a whole region shares.
type received struct{ origin, hall, otherHalls atomic.Int64 }

func (r *received) of(source string) *atomic.Int64 {
	switch source {
	case fromOrigin:
		return &r.origin
	case fromHall:
		return &r.hall
	default:
		return &r.otherHalls
	}
}

// fields returns the counts for a log line and begins anew.
func (r *received) fields() map[string]int64 {
	counts := map[string]int64{}
	for _, source := range []string{fromOrigin, fromHall, fromOtherHalls} {
		counts[source] = r.of(source).Swap(0)
	}
	return counts
}

// noteChunk counts a chunk by where it came from.
func (p *Process) noteChunk(_ int, chunk []byte, from string) {
	source := fromOtherHalls
	switch {
	case from == swarm.FromOrigin:
		source = fromOrigin
	case p.roster().inHall(from, p.current.Load().Hall):
		source = fromHall
	}
	p.received.of(source).Add(int64(len(chunk)))
	p.telemetry.Scope.Tagged(map[string]string{"from": source}).Counter("chunk_bytes").Inc(int64(len(chunk)))
}

package loader

import (
	"github.com/apex/log"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/loadfeed"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/internal/version/keep"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// noteBelief writes one line for a change of the declared version; changes of
// other hosts' engines are the routers' to log.
func (p *Process) noteBelief(belief mirror.Belief) {
	fields := log.Fields{"decision": "believe", "key": belief.Entry.Key, "revision": belief.Entry.Revision}
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
	loading := report.Loading || p.keeper.Clearing()
	p.feed.Publish(loadfeed.Line{Running: report.Running, Waiting: report.Waiting, Loading: loading, Models: report.Models})
	p.ledger.Observe(places.Load{Running: report.Running, Waiting: report.Waiting, Loading: loading}, true)
}

// noteAnswer counts an answer to a router that asked for a place.
func (p *Process) noteAnswer(given bool) {
	name := "places_given"
	if !given {
		name = "places_denied"
	}
	p.telemetry.Scope.Counter(name).Inc(1)
}

// noteStep writes one line for a decision about weights.
func (p *Process) noteStep(step keep.Step) {
	fields := log.Fields{"decision": step.Name, "version": step.Version, "took": step.Took.String()}
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

// noteChunk counts a chunk by where it came from.
func (p *Process) noteChunk(_ int, chunk []byte, from string) {
	source := "peer"
	if from == "origin" {
		source = from
	}
	p.telemetry.Scope.Tagged(map[string]string{"from": source}).Counter("chunk_bytes").Inc(int64(len(chunk)))
}

// Package placer lets one entry of a hall decide the hall's placement.
//
// The holder of the hall's lease plans and writes. The lease only saves wasted
// work: safety is the compare and swap on the document, and the fencing tokens
// that follow from its generation. A holder that was paused and wakes writes
// against an old revision, fails, and finds out. Two entries that both believe
// they hold the lease can both plan; one write wins and the other plans again
// from the winner's document.
package placer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/kvwrite"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/members"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/placement"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/tables"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/telemetry"
)

// Defaults of a Placer.
const (
	// DefaultTTL is the time of the lease.
	DefaultTTL = 6 * time.Second
	// DefaultEvery is the least time between two writes of the document: at 7
	// halls and 300 ms that is at most 24 of the service's 400 writes a second.
	DefaultEvery = 300 * time.Millisecond
	// DefaultReplaceAfter is how long a host is suspect before its assignment
	// moves: longer than a restart, since a move costs a fetch.
	DefaultReplaceAfter = 10 * time.Second
)

// writeTimeout bounds one write of the document with its retries.
const writeTimeout = 5 * time.Second

// Placer plans for one hall while it holds the lease. Set the fields before
// Start.
type Placer struct {
	Hall, Name string
	KV         *platform.KV
	Table      *tables.Table
	Members    *members.Table
	// Listed returns the host list; false where none was ever fetched.
	Listed    func() ([]platform.Host, bool)
	Telemetry *telemetry.Telemetry
	// Now is the clock; nil means clock.Now.
	Now func() time.Time
	// TTL, Every and ReplaceAfter vary the defaults; 0 takes them.
	TTL, Every, ReplaceAfter time.Duration

	tomb tomb.Tomb

	// The rest belongs to the one goroutine that run starts.

	lease platform.Lease
	// validUntil is when the lease lapses by this process's own clock,
	// counted from before the call that renewed it.
	validUntil time.Time
	// heldSince is when the lease was taken.
	heldSince time.Time
	// wroteAt is when the document was last written.
	wroteAt time.Time
	// readySince is when the open waves of a service became ready.
	readySince map[waveKey]time.Time
}

// waveKey names one wave of one rollout.
type waveKey struct {
	service  string
	manifest string
	wave     int
}

// Start begins to campaign for the lease.
func (p *Placer) Start() { p.tomb.Go(p.run) }

// Stop gives the lease back and waits for the end.
func (p *Placer) Stop() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
}

// Done is closed when the placer has ended.
func (p *Placer) Done() <-chan struct{} { return p.tomb.Dead() }

func (p *Placer) now() time.Time { return helpers.Now(p.Now) }

func (p *Placer) run() error {
	ctx := p.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	p.readySince = map[waveKey]time.Time{}
	defer p.giveBack()
	every := helpers.OrDefault(p.Every, DefaultEvery)
	for {
		changed := p.Table.Changed()
		p.step(ctx)
		wait := every
		if p.lease == 0 {
			// All entries of the hall see the lease lapse together.
			wait = every + rand.N(every)
			changed = nil
		}
		if !p.pause(wait, changed) {
			return nil
		}
	}
}

// gatherFor is the time in which further declarations join a plan that a
// change of the configuration has called for.
const gatherFor = 20 * time.Millisecond

// pause waits until it is time for the next step: the interval is over, or the
// configuration changed and nothing was written within it. It reports false
// when the placer is to end.
func (p *Placer) pause(wait time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if p.now().Sub(p.wroteAt) < wait {
		changed = nil
	}
	select {
	case <-timer.C:
		return true
	case <-changed:
	case <-p.tomb.Dying():
		return false
	}
	return helpers.Pause(gatherFor, p.tomb.Dying())
}

// step does what is due: campaign, renew, plan.
func (p *Placer) step(ctx context.Context) {
	if p.lease != 0 && !p.now().Before(p.validUntil) {
		p.lose("the lease lapsed by the own clock")
	}
	if p.lease == 0 {
		p.campaign(ctx)
	} else {
		p.renew(ctx)
	}
	if p.lease != 0 {
		p.place(ctx)
	}
}

func (p *Placer) lose(why string) {
	p.Telemetry.Decide(telemetry.Decision{Step: "placement-lease", Choice: "lose", Reason: why, Revision: p.Table.View().Revision})
	p.lease = 0
}

// campaign takes the lease if nobody has it.
func (p *Placer) campaign(ctx context.Context) {
	key := tables.PlacementLeaseKey(p.Hall)
	if _, held := p.Table.View().Leases[key]; held || len(p.targets(p.Table.View())) == 0 && len(p.previous().Document.Services) == 0 {
		return
	}
	asked := p.now()
	ttl := helpers.OrDefault(p.TTL, DefaultTTL)
	lease, err := p.KV.Grant(ctx, ttl)
	if err != nil {
		return
	}
	_, err = p.KV.Put(ctx, platform.Write{Key: key, Value: []byte(p.Name), Lease: lease})
	if err != nil {
		// Whatever became of the key, without this lease it vanishes.
		_ = p.KV.Revoke(ctx, lease)
		return
	}
	p.lease = lease
	p.validUntil = asked.Add(ttl)
	p.heldSince = asked
	p.Telemetry.Decide(telemetry.Decision{Step: "placement-lease", Choice: "take", Reason: "nobody held the hall's lease", Revision: p.Table.View().Revision})
}

// renew keeps the lease when a third of its time has passed.
func (p *Placer) renew(ctx context.Context) {
	ttl := helpers.OrDefault(p.TTL, DefaultTTL)
	asked := p.now()
	if p.validUntil.Sub(asked) > ttl*2/3 {
		return
	}
	err := p.KV.KeepAlive(ctx, p.lease)
	switch {
	case err == nil:
		p.validUntil = asked.Add(ttl)
	case errors.Is(err, platform.ErrNotFound):
		p.lose("the lease lapsed at the key-value service")
	}
}

func (p *Placer) giveBack() {
	if p.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = p.KV.Revoke(ctx, p.lease)
}

func (p *Placer) previous() tables.Placement {
	previous, ok := p.Table.View().Placements[p.Hall]
	if !ok {
		previous.Document.Hall = p.Hall
	}
	return previous
}

// targets returns what the declarations want of this hall.
func (p *Placer) targets(view *tables.View) []placement.Target {
	var targets []placement.Target
	for _, service := range view.Services {
		spec := service.Service
		if spec.Plain || !Serves(spec.Halls, p.Hall) {
			continue
		}
		version, ok := p.version(view, service)
		if !ok {
			continue
		}
		targets = append(targets, placement.Target{
			Service:           service.Name,
			Version:           version,
			Replicas:          spec.Replicas,
			WaveSize:          spec.Rollout.WaveSize,
			ContinueOnFailure: spec.Rollout.ContinueOnFailure,
		})
	}
	return targets
}

// version returns what a service is to serve. Two operators can race so that a
// service names a version that was just withdrawn; then it keeps the one that
// it has.
func (p *Placer) version(view *tables.View, service *api.Resource) (placement.Version, bool) {
	spec := service.Service
	if declared, ok := view.Target(service); ok {
		return placement.Version{Model: spec.Model, Adapter: spec.Adapter, Version: spec.Version, Manifest: declared.Manifest}, true
	}
	document := p.previous().Document
	placed := document.Find(service.Name)
	if placed == nil || placed.Target == placement.None {
		return placement.Version{}, false
	}
	return placed.Versions[placed.Target], true
}

// Serves reports whether a service with the declared halls is placed in a hall.
func Serves(declared []string, hall string) bool {
	if len(declared) == 0 {
		return true
	}
	for _, name := range declared {
		if name == hall {
			return true
		}
	}
	return false
}

// place plans and writes.
func (p *Placer) place(ctx context.Context) {
	view := p.Table.View()
	listed, ok := p.Listed()
	if !ok {
		return // without a host list nobody can be called gone
	}
	previous := p.previous()
	census := Census{
		Hall: p.Hall, Listed: listed, Members: p.Members.View(), Placed: previous.Document,
		Now: p.now(), HeldSince: p.heldSince, ReplaceAfter: helpers.OrDefault(p.ReplaceAfter, DefaultReplaceAfter),
	}
	hosts := census.Candidates()
	input := placement.Input{Previous: previous.Document, Targets: p.targets(view), Hosts: hosts, PauseOver: p.pauseOver(view, previous, hosts)}
	next, steps := placement.Plan(input)
	if len(steps) == 0 {
		return
	}
	p.write(ctx, next, previous.Revision, steps)
}

// pauseOver notes since when each open wave is ready and returns the check
// that Plan asks for.
func (p *Placer) pauseOver(view *tables.View, previous tables.Placement, hosts []placement.Candidate) func(string) bool {
	now := p.now()
	over := map[string]bool{}
	waiting := map[waveKey]time.Time{}
	for i := range previous.Document.Services {
		service := &previous.Document.Services[i]
		declared := view.Services[service.Name]
		if declared == nil || service.OpenWave >= service.Waves || !placement.WaveReady(service, hosts) {
			continue
		}
		key := waveKey{service.Name, service.Manifest(service.Target), service.OpenWave}
		since, ok := p.readySince[key]
		if !ok {
			since = now
		}
		waiting[key] = since
		over[service.Name] = now.Sub(since) >= declared.Service.Rollout.Pause.Std()
	}
	p.readySince = waiting
	return func(service string) bool { return over[service] }
}

// stampedDocument adds the revision that a write is based on.
type stampedDocument struct {
	placement.Document
	BasedOn uint64 `json:"basedOn"`
}

// StampOf reads the stamp of a stored document.
func StampOf(value []byte) (kvwrite.Stamp, bool) {
	var stored stampedDocument
	err := json.Unmarshal(value, &stored)
	return kvwrite.Stamp{WriteID: stored.WriteID, BasedOn: stored.BasedOn}, err == nil
}

func (p *Placer) write(ctx context.Context, next placement.Document, revision uint64, steps []placement.Step) {
	next.WriteID = fmt.Sprintf("%s-%016x", p.Name, rand.Uint64())
	value, err := json.Marshal(stampedDocument{Document: next, BasedOn: revision})
	if err != nil {
		p.Telemetry.Log.WithError(err).Error("placement cannot be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	writer := kvwrite.Writer{KV: p.KV, StampOf: StampOf}
	key := tables.PlacementKey(p.Hall)
	p.wroteAt = p.now()
	written, err := writer.Put(ctx, platform.Write{Key: key, Value: value, IfRevision: revision}, next.WriteID)
	if err != nil {
		p.Telemetry.Log.WithError(err).Warn("placement was not written")
		return
	}
	p.Table.ApplyWrite(platform.Change{Item: platform.Item{Key: key, Value: value, Revision: written}})
	for _, step := range steps {
		p.Telemetry.Decide(telemetry.Decision{
			Step: "place", Choice: step.Choice, Reason: step.Reason, Revision: written,
			Details: map[string]any{"service": step.Service, "generation": next.Generation},
		})
	}
}

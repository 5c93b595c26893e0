// Package placer plans the placement of a hall in the entry that holds the hall's lease, and
// writes it to the key-value service.
//
// The lease only avoids duplicate work. Safety follows from the compare and swap on the
// document and from the fencing tokens, which are the document's generations. If two entries
// both hold the lease by their own view, for example after one was paused, one write succeeds;
// the other fails and is planned again from the new document.
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
	// DefaultTTL is the lease's time to live.
	DefaultTTL = 6 * time.Second
	// DefaultMinWriteInterval is the minimum interval between two writes of a document. It
	// keeps the placers of all halls far below the service's write rate.
	DefaultMinWriteInterval = 300 * time.Millisecond
	// DefaultReplaceAfter is how long a host must be suspect before its assignment moves. It
	// is longer than a restart, since a move costs a fetch.
	DefaultReplaceAfter = 10 * time.Second
)

// writeTimeout limits a write of the document, retries included.
const writeTimeout = 5 * time.Second

// Placer plans the placement of one hall while it holds the hall's lease. Its fields must be
// set before Start.
type Placer struct {
	Hall, Name string
	KV         *platform.KV
	Table      *tables.Table
	Members    *members.Table
	// HostList returns the host list, and false if none has been fetched yet.
	HostList  func() ([]platform.Host, bool)
	Telemetry *telemetry.Telemetry
	// Now is the clock; nil means clock.Now.
	Now func() time.Time
	// TTL, MinWriteInterval and ReplaceAfter replace the defaults unless they are 0.
	TTL, MinWriteInterval, ReplaceAfter time.Duration

	tomb tomb.Tomb

	// Only run's goroutine uses the fields below.

	lease platform.Lease
	// validUntil is when the lease expires by this process's clock, computed from the time
	// before the call that granted or renewed it.
	validUntil time.Time
	// heldSince is when the lease was acquired.
	heldSince time.Time
	// wroteAt is when a write of the document was last started.
	wroteAt time.Time
	// readySince is when all hosts of a service's open waves became ready.
	readySince map[waveKey]time.Time
}

// waveKey identifies one wave of one rollout.
type waveKey struct {
	service  string
	manifest string
	wave     int
}

// Start starts campaigning for the lease in a goroutine.
func (p *Placer) Start() { p.tomb.Go(p.run) }

// Stop releases the lease and waits until the goroutine has ended.
func (p *Placer) Stop() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
}

// Done returns a channel that is closed when the placer has ended.
func (p *Placer) Done() <-chan struct{} { return p.tomb.Dead() }

func (p *Placer) now() time.Time { return helpers.Now(p.Now) }

func (p *Placer) run() error {
	ctx := p.tomb.Context(nil) //nolint:staticcheck // tomb takes nil for "no parent"
	p.readySince = map[waveKey]time.Time{}
	defer p.release()
	interval := helpers.OrDefault(p.MinWriteInterval, DefaultMinWriteInterval)
	for {
		changed := p.Table.Changed()
		p.step(ctx)
		wait := interval
		if p.lease == 0 {
			// Jitter, because all entries of the hall see the lease expire at the same time.
			wait = interval + rand.N(interval)
			changed = nil
		}
		if !p.pause(wait, changed) {
			return nil
		}
	}
}

// batchDelay is the delay between a change of the configuration and the plan for it, in which
// further changes are batched.
const batchDelay = 20 * time.Millisecond

// pause waits for the next step: until wait has passed, or until the configuration changes,
// provided that the last write is at least wait ago. It returns false once the placer is
// stopping.
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
	return helpers.Pause(batchDelay, p.tomb.Dying())
}

// step campaigns for the lease or renews it, and plans if it is held.
func (p *Placer) step(ctx context.Context) {
	if p.lease != 0 && !p.now().Before(p.validUntil) {
		p.dropLease("the lease expired by the local clock")
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

func (p *Placer) dropLease(reason string) {
	p.Telemetry.LogDecision(telemetry.Decision{Step: "placement-lease", Choice: "lose", Reason: reason, Revision: p.Table.View().Revision})
	p.lease = 0
}

// campaign acquires the lease if no entry holds it.
func (p *Placer) campaign(ctx context.Context) {
	key := tables.PlacementLeaseKey(p.Hall)
	if _, held := p.Table.View().Leases[key]; held || len(p.targets(p.Table.View())) == 0 && len(p.previous().Document.Services) == 0 {
		return
	}
	start := p.now()
	ttl := helpers.OrDefault(p.TTL, DefaultTTL)
	lease, err := p.KV.Grant(ctx, ttl)
	if err != nil {
		return
	}
	_, err = p.KV.Put(ctx, platform.Write{Key: key, Value: []byte(p.Name), Lease: lease})
	if err != nil {
		// The write may have taken effect; revoking the lease then deletes the key.
		_ = p.KV.Revoke(ctx, lease)
		return
	}
	p.lease = lease
	p.validUntil = start.Add(ttl)
	p.heldSince = start
	p.Telemetry.LogDecision(telemetry.Decision{Step: "placement-lease", Choice: "take", Reason: "no entry held the hall's lease", Revision: p.Table.View().Revision})
}

// renew renews the lease once a third of its time to live has passed.
func (p *Placer) renew(ctx context.Context) {
	ttl := helpers.OrDefault(p.TTL, DefaultTTL)
	start := p.now()
	if p.validUntil.Sub(start) > ttl*2/3 {
		return
	}
	err := p.KV.KeepAlive(ctx, p.lease)
	switch {
	case err == nil:
		p.validUntil = start.Add(ttl)
	case errors.Is(err, platform.ErrNotFound):
		p.dropLease("the lease expired at the key-value service")
	}
}

func (p *Placer) release() {
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

// targets returns the targets of the services that are declared for this hall.
func (p *Placer) targets(view *tables.View) []placement.Target {
	var targets []placement.Target
	for _, service := range view.Services {
		spec := service.Service
		if spec.Plain || !ServesHall(spec.Halls, p.Hall) {
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

// version returns the version that a service is to serve. If its model no longer has the
// declared version, because operators made conflicting changes at the same time, the service
// keeps its placed version.
func (p *Placer) version(view *tables.View, service *api.Resource) (placement.Version, bool) {
	spec := service.Service
	if declared, ok := view.Target(service); ok {
		return placement.Version{Model: spec.Model, Adapter: spec.Adapter, Version: spec.Version, Manifest: declared.Manifest}, true
	}
	document := p.previous().Document
	placed := document.FindService(service.Name)
	if placed == nil || placed.Target == placement.None {
		return placement.Version{}, false
	}
	return placed.Versions[placed.Target], true
}

// ServesHall reports whether a service that declares the given halls is placed in hall. A
// service that declares none is placed in all halls.
func ServesHall(declared []string, hall string) bool {
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

// place plans the next document and writes it if it has changed.
func (p *Placer) place(ctx context.Context) {
	view := p.Table.View()
	listed, ok := p.HostList()
	if !ok {
		return // without a host list no host can be considered removed
	}
	previous := p.previous()
	inventory := Inventory{
		Hall: p.Hall, HostList: listed, Members: p.Members.View(), Placement: previous.Document,
		Now: p.now(), HeldSince: p.heldSince, ReplaceAfter: helpers.OrDefault(p.ReplaceAfter, DefaultReplaceAfter),
	}
	hosts := inventory.Candidates()
	input := placement.Input{Previous: previous.Document, Targets: p.targets(view), Hosts: hosts, PauseElapsed: p.pauseElapsed(view, previous, hosts)}
	next, steps := placement.Plan(input)
	if len(steps) == 0 {
		return
	}
	p.write(ctx, next, previous.Revision, steps)
}

// pauseElapsed records when the open waves became ready, and returns the function for
// placement.Input.PauseElapsed.
func (p *Placer) pauseElapsed(view *tables.View, previous tables.Placement, hosts []placement.Candidate) func(string) bool {
	now := p.now()
	elapsed := map[string]bool{}
	ready := map[waveKey]time.Time{}
	for i := range previous.Document.Services {
		service := &previous.Document.Services[i]
		declared := view.Services[service.Name]
		if declared == nil || service.OpenWave >= service.Waves || !placement.WaveReady(service, hosts) {
			continue
		}
		key := waveKey{service.Name, service.Manifest(service.Target), service.OpenWave}
		readyAt, ok := p.readySince[key]
		if !ok {
			readyAt = now
		}
		ready[key] = readyAt
		elapsed[service.Name] = now.Sub(readyAt) >= declared.Service.Rollout.Pause.Std()
	}
	p.readySince = ready
	return func(service string) bool { return elapsed[service] }
}

// stampedDocument is the stored form of a document, with the revision that it replaced.
type stampedDocument struct {
	placement.Document
	BasedOn uint64 `json:"basedOn"`
}

// StampOf decodes the stamp of a stored document.
func StampOf(value []byte) (kvwrite.Stamp, bool) {
	var stored stampedDocument
	err := json.Unmarshal(value, &stored)
	return kvwrite.Stamp{WriteID: stored.WriteID, BasedOn: stored.BasedOn}, err == nil
}

func (p *Placer) write(ctx context.Context, next placement.Document, revision uint64, steps []placement.Step) {
	next.WriteID = fmt.Sprintf("%s-%016x", p.Name, rand.Uint64())
	value, err := json.Marshal(stampedDocument{Document: next, BasedOn: revision})
	if err != nil {
		p.Telemetry.Log.WithError(err).Error("cannot encode the placement document")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	writer := kvwrite.Writer{KV: p.KV, StampOf: StampOf}
	key := tables.PlacementKey(p.Hall)
	p.wroteAt = p.now()
	writtenRevision, err := writer.Put(ctx, platform.Write{Key: key, Value: value, IfRevision: revision}, next.WriteID)
	if err != nil {
		p.Telemetry.Log.WithError(err).Warn("cannot write the placement document to the key-value service")
		return
	}
	p.Table.ApplyWrite(platform.Change{Item: platform.Item{Key: key, Value: value, Revision: writtenRevision}})
	for _, step := range steps {
		p.Telemetry.LogDecision(telemetry.Decision{
			Step: "place", Choice: step.Choice, Reason: step.Reason, Revision: writtenRevision,
			Details: map[string]any{"service": step.Service, "generation": next.Generation},
		})
	}
}

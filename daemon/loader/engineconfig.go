package loader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/apex/log"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/peering"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
	"github.com/wheelcleat/wheelcleat/daemon/internal/timeout"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// This file polls the part of the configuration for the engine's service. It is a small part of
// a large configuration, and every loader needs it before it can load anything. So a loader
// queries a router of its hall, which has the complete configuration. It reads the configuration
// from the store only while none answers: the read uses the link of the region, which all of its
// loaders share, and its own link, which also carries the weights.

const (
	// minBackoff is the delay after the first failed poll. It doubles up to maxBackoff, and
	// half of it is random. pollInterval is the delay after a successful poll, long because the
	// address of the origin rarely changes.
	minBackoff   = 300 * time.Millisecond
	maxBackoff   = 2400 * time.Millisecond
	pollInterval = 10 * time.Second
	// startupPollDelay is the longest delay while the process is starting.
	startupPollDelay = 100 * time.Millisecond
	// configTTL is how long the engine's configuration is used while no router answers, before
	// it is read from the store. Routers do not answer while they are disconnected from the
	// store, and all loaders of a hall would then read the configuration over one narrow link.
	configTTL = 20 * time.Second
)

// readLimit bounds a read of the configuration from the store. All loaders of a region may
// read it over the same link: if they timed out halfway and started again, none would ever
// complete the read.
var readLimit = timeout.Limit{FirstByte: 2 * time.Second, Stall: 2 * time.Second, Total: 30 * time.Second}

// pollEngineConfig refreshes the engine's configuration at intervals.
func (p *Process) pollEngineConfig() error {
	ctx := p.tomb.Context(nil) //nolint:staticcheck // nil asks the tomb for its own context
	backoff := minBackoff
	var refreshedAt time.Time
	for {
		delay := pollInterval
		starting := p.starting()
		err := p.refreshEngineConfig(ctx, starting || clock.Since(refreshedAt) < configTTL)
		switch {
		case err == nil:
			backoff = minBackoff
			refreshedAt = clock.Now()
		case starting:
			delay = startupPollDelay/2 + rand.N(startupPollDelay/2)
		default:
			delay = backoff/2 + rand.N(backoff/2)
			backoff = min(2*backoff, maxBackoff)
		}
		if !helpers.Pause(delay, p.tomb.Dying()) {
			return nil
		}
	}
}

// refreshEngineConfig queries a router of this hall, and reads the store if none answers and
// routersOnly is not set.
func (p *Process) refreshEngineConfig(ctx context.Context, routersOnly bool) error {
	update, err := p.routerClient.FetchEngine(ctx, p.current.Load().Service)
	if err != nil && !routersOnly {
		update, err = p.readEngineConfig(ctx)
	}
	if err != nil {
		return err
	}
	p.ledger.SetEngine(update.Engine)
	if old := p.engineConfig.Swap(&update.EngineConfig); old == nil || *old != update.EngineConfig {
		p.log.WithFields(log.Fields{
			fieldDecision: decisionBelieve, "model": update.Engine.Model, "origin": update.Origin, "revision": update.Revision.Number(),
		}).Info("belief changed")
	}
	return nil
}

// readEngineConfig reads the configuration from the store.
func (p *Process) readEngineConfig(ctx context.Context) (peering.VersionedEngineConfig, error) {
	ctx, cancel := readLimit.Context(ctx)
	defer cancel()
	entry, err := p.provider.Store.GetStale(ctx, p.provider.Prefixes.Configuration)
	if err != nil {
		return peering.VersionedEngineConfig{}, timeout.Explain(ctx, err)
	}
	record, err := p.provider.Decode(entry)
	if err == nil && record.Configuration == nil {
		err = replica.ErrNoEngine
	}
	if err != nil {
		p.log.WithField("reason", err.Error()).Error("invalid configuration in the store; keeping the last valid one")
		return peering.VersionedEngineConfig{}, fmt.Errorf("decode the configuration: %w", err)
	}
	config, err := replica.EngineConfigFor(record.Configuration, p.current.Load().Service)
	return peering.VersionedEngineConfig{EngineConfig: config, Revision: entry.Revision}, err
}

// chooseRouter returns the router of this hall to query, or false if none is usable. The
// loaders' preferences differ, which spreads the load.
func (p *Process) chooseRouter(usable func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	routers := map[string]*provider.Member{}
	var names []string
	for name, member := range p.compiler.View().Members {
		if member.Hall == p.current.Load().Hall && usable(member.Peers) {
			routers[name] = member
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return netip.AddrPort{}, false
	}
	return routers[rendezvous.First("news for "+p.current.Load().Name, names)].Peers, true
}

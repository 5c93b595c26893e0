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
	"github.com/wheelcleat/wheelcleat/daemon/internal/patience"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// What the configuration says of the engine's service is some hundred bytes of
// hundreds of kilobytes, and every loader needs it before it can load anything. So a
// router of the hall is asked, which has the whole anyway. Only while none answers
// the configuration is read from the store: over the link of the region, which all
// loaders of it share, and over the own one, which weights need.

const (
	// lookSoon is the pause after the first look that failed; it doubles up to
	// lookLate and is drawn at random between half of that and all. lookAgain is the
	// pause once the needs are known: an origin seldom moves.
	lookSoon  = 300 * time.Millisecond
	lookLate  = 2400 * time.Millisecond
	lookAgain = 10 * time.Second
	// lookAtStart is the longest pause while the process is starting.
	lookAtStart = 100 * time.Millisecond
	// needsKept is how long what a loader knows suffices while no router answers. Routers
	// are silent where they do not hear the store, and then all loaders of a hall would
	// read the whole configuration over a link that has little room.
	needsKept = 20 * time.Second
)

// readLimit bounds a read of the whole configuration from the store. All loaders of a
// region may read it over the same link. Were they to give up halfway and begin anew,
// none would ever have it whole.
var readLimit = patience.Limit{First: 2 * time.Second, Stall: 2 * time.Second, Whole: 30 * time.Second}

// lookForNeeds looks now and then.
func (p *Process) lookForNeeds() error {
	ctx := p.tomb.Context(nil) //nolint:staticcheck // nil asks the tomb for its own context
	most := lookSoon
	var known time.Time
	for {
		pause := lookAgain
		starting := p.starting()
		err := p.look(ctx, starting || clock.Since(known) < needsKept)
		switch {
		case err == nil:
			most = lookSoon
			known = clock.Now()
		case starting:
			pause = lookAtStart/2 + rand.N(lookAtStart/2)
		default:
			pause = most/2 + rand.N(most/2)
			most = min(2*most, lookLate)
		}
		if !helpers.Pause(pause, p.tomb.Dying()) {
			return nil
		}
	}
}

// look asks a router of this hall, and reads the store where none answers, unless only
// routers are to be asked.
func (p *Process) look(ctx context.Context, routersOnly bool) error {
	news, err := p.neighbours.Engine(ctx, p.current.Load().Service)
	if err != nil && !routersOnly {
		news, err = p.readNeeds(ctx)
	}
	if err != nil {
		return err
	}
	if known := p.needs.Swap(&news.EngineConfig); known == nil || *known != news.EngineConfig {
		p.log.WithFields(log.Fields{
			fieldDecision: "believe", "model": news.Engine.Model, "origin": news.Origin, "revision": news.Revision,
		}).Info("belief changed")
	}
	return nil
}

// readNeeds reads the whole configuration from the store.
func (p *Process) readNeeds(ctx context.Context) (peering.EngineNews, error) {
	ctx, end := readLimit.Context(ctx)
	defer end()
	entry, err := p.provider.Store.GetStale(ctx, p.provider.Prefixes.Configuration)
	if err != nil {
		return peering.EngineNews{}, patience.Explain(ctx, err)
	}
	record, err := p.provider.Decode(entry)
	if err == nil && record.Configuration == nil {
		err = replica.ErrNoEngine
	}
	if err != nil {
		p.log.WithField("reason", err.Error()).Error("configuration not taken, the last good one stays")
		return peering.EngineNews{}, fmt.Errorf("decode the configuration: %w", err)
	}
	needs, err := replica.EngineConfigFor(record.Configuration, p.current.Load().Service)
	return peering.EngineNews{EngineConfig: needs, Revision: entry.Revision}, err
}

// neighbour returns the router of this hall to ask: each loader prefers another one.
func (p *Process) neighbour(usable func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	hall := map[string]*provider.Member{}
	var names []string
	for name, member := range p.compiler.View().Members {
		if member.Hall == p.current.Load().Hall && usable(member.Peers) {
			hall[name] = member
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return netip.AddrPort{}, false
	}
	return hall[rendezvous.First("news for "+p.current.Load().Name, names)].Peers, true
}

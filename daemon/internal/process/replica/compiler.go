package replica

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Compiler compiles changes of a table into views. The zero value has an empty view;
// Decode must be set.
type Compiler struct {
	Decode func(provider.Entry) (provider.Record, error)
	// OnEntryChange is called for each changed entry. It may be nil.
	OnEntryChange func(EntryChange)
	// OnKeptEnd is called for each upstream that stayed in use after its entry was removed, once its
	// entry is back or its grace period is over. It may be nil.
	OnKeptEnd func(upstream *provider.Upstream, registered bool)
	// OnSuspect receives the routers' encoded reports about quarantined contents. It may be
	// nil.
	OnSuspect func(report []byte) error
	// Recompile is called at the end of the next grace period of a removed entry, and must call Apply,
	// not concurrently with another call. Nil means that nobody needs the end in time.
	Recompile func()
	// OnSuperseded is called for each entry of a restored store that is older than what is in
	// force, which stays. It may be nil.
	OnSuperseded func(provider.Entry)
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	view atomic.Pointer[View]
	// upstreams, targets and members are decoded entries by key. Only Apply accesses them.
	upstreams map[string]registeredUpstream
	targets   map[string]registeredTarget
	members   map[string]*provider.Member
	// evacuated holds the evacuated halls, which get no requests, by key.
	evacuated map[string]string
	// expired holds upstreams whose entry was removed with a grace period, by key, and lostMembers the
	// routers whose entry was lost in a restore.
	expired     map[string]expiredUpstream
	lostMembers map[string]lostMember
	// expiry calls Recompile at the end of the next of these periods, nil if there was none yet.
	expiry *time.Timer
	// left holds when each upstream that is known to be leaving was last seen in that state, by
	// run, so that no older record makes it ready again.
	left map[upstreamRun]time.Time
	// declarations holds when versions were declared. LearnDeclared accesses it too.
	declarations declarations
}

// EntryChange is a changed entry, its decoded record, and the error if it was rejected.
type EntryChange struct {
	Entry  provider.Entry
	Record provider.Record
	Err    error
	// Dropped is set if the upstream or router that the entry named is no longer in use.
	Dropped bool
	// Kept is set if the upstream of a removed entry stays in use for the entry's grace period.
	Kept bool
}

// registeredUpstream is an upstream and the revision that created its entry.
type registeredUpstream struct {
	*provider.Upstream
	created provider.Revision
}

// replaces reports whether the upstream is used rather than another one at its address.
func (u registeredUpstream) replaces(other registeredUpstream, named func(service string) bool) bool {
	if mine, others := named(u.Service), named(other.Service); mine != others {
		return mine
	}
	return u.created > other.created
}

// registeredTarget is a declared version, the revision of its entry and when that was written first.
type registeredTarget struct {
	provider.Target
	revision provider.Revision
	written  provider.Span
}

// View returns the newest view; it is never nil.
func (c *Compiler) View() *View {
	if view := c.view.Load(); view != nil {
		return view
	}
	return &View{}
}

// Apply compiles changed entries into a new view. A value that cannot be decoded is
// reported to OnEntryChange. The last valid declaration of an operator stays in force
// then, while an upstream is dropped.
func (c *Compiler) Apply(changed []provider.Entry) {
	if c.upstreams == nil {
		c.upstreams = map[string]registeredUpstream{}
		c.targets = map[string]registeredTarget{}
		c.members = map[string]*provider.Member{}
		c.expired = map[string]expiredUpstream{}
		c.evacuated = map[string]string{}
		c.lostMembers = map[string]lostMember{}
		c.left = map[upstreamRun]time.Time{}
	}
	next := *c.View()
	for _, entry := range changed {
		c.applyEntry(&next, entry)
	}
	c.pruneExpired()
	evacuated := map[string]bool{}
	for _, hall := range c.evacuated {
		evacuated[hall] = true
	}
	next.Upstreams = map[string][]*provider.Upstream{}
	for _, upstream := range c.upstreamsByAddress(next.names) {
		if evacuated[upstream.Hall] {
			continue
		}
		next.Upstreams[upstream.Service] = append(next.Upstreams[upstream.Service], upstream.Upstream)
	}
	next.Targets = map[string]Declaration{}
	for _, target := range c.targets {
		next.Targets[target.Model] = c.declarations.chain(target)
	}
	next.Members = map[string]*provider.Member{}
	for _, member := range c.lostMembers {
		next.Members[member.Name] = member.Member
	}
	for _, member := range c.members {
		next.Members[member.Name] = member
	}
	c.view.Store(&next)
	c.scheduleRecompile()
}

// upstreamsByAddress returns the upstream at each address. Of several entries for one
// address the one created last wins: after a power failure the entry of the previous
// upstream stays for some heartbeats while its successor is already running. An entry of a
// service that the configuration does not name gives way to any other: another writer may
// list the addresses of upstreams for its own purposes.
func (c *Compiler) upstreamsByAddress(named func(service string) bool) map[netip.AddrPort]registeredUpstream {
	byAddress := make(map[netip.AddrPort]registeredUpstream, len(c.upstreams))
	add := func(upstream registeredUpstream) {
		current, ok := byAddress[upstream.Address]
		if !ok || upstream.replaces(current, named) {
			byAddress[upstream.Address] = upstream
		}
	}
	for _, upstream := range c.upstreams {
		add(upstream)
	}
	for _, upstream := range c.expired {
		add(upstream.registeredUpstream)
	}
	return byAddress
}

// applyEntry applies one changed entry.
func (c *Compiler) applyEntry(next *View, entry provider.Entry) {
	if entry.Deleted {
		kept := c.keepExpired(entry)
		c.forgetLeft(entry.Key)
		delete(c.upstreams, entry.Key)
		delete(c.members, entry.Key)
		delete(c.evacuated, entry.Key)
		c.report(EntryChange{Entry: entry, Kept: kept})
		return
	}
	record, err := c.Decode(entry)
	dropped := err != nil && c.drop(entry.Key)
	c.report(EntryChange{Entry: entry, Record: record, Err: err, Dropped: dropped})
	if err != nil {
		return
	}
	switch {
	case record.Configuration != nil:
		c.applyConfiguration(next, entry, record.Configuration)
	case record.EvacuatedHall != "":
		c.evacuated[entry.Key] = record.EvacuatedHall
	case record.Upstream != nil:
		if record.Upstream.ColdFor > 0 {
			record.Upstream.ColdUntil = c.now().Add(record.Upstream.ColdFor)
		}
		record.Upstream.Revision = entry.Revision
		c.keepLeaving(record.Upstream)
		c.upstreams[entry.Key] = registeredUpstream{record.Upstream, helpers.OrDefault(entry.CreateRevision, entry.Revision)}
	case record.Target != nil:
		c.applyTarget(entry, *record.Target)
	case record.Member != nil:
		c.members[entry.Key] = record.Member
	case record.Suspect != nil && c.OnSuspect != nil:
		if err := c.OnSuspect(record.Suspect); err != nil {
			c.report(EntryChange{Entry: entry, Err: err})
		}
	}
}

// drop removes the upstream or router of an entry that can no longer be decoded, and
// reports whether there was one. The address of the last valid record must not be used:
// it may belong to another upstream by now.
func (c *Compiler) drop(key string) bool {
	_, upstream := c.upstreams[key]
	_, member := c.members[key]
	delete(c.upstreams, key)
	delete(c.expired, key)
	delete(c.members, key)
	delete(c.lostMembers, key)
	return upstream || member
}

// applyConfiguration applies a configuration unless a later one is in force.
func (c *Compiler) applyConfiguration(next *View, entry provider.Entry, configuration *provider.Configuration) {
	if next.Configuration != nil && configuration.Version < next.Configuration.Version {
		c.supersede(entry)
		return
	}
	next.ConfigurationRevision = entry.Revision
	next.setConfiguration(configuration)
}

// applyTarget applies a declared version. A version that is written again keeps the time at which it
// was declared, by which its deadlines run.
func (c *Compiler) applyTarget(entry provider.Entry, target provider.Target) {
	current, ok := c.targets[entry.Key]
	if ok && target.Model == current.Model && target.Version < current.Version {
		c.supersede(entry)
		return
	}
	if ok && target == current.Target {
		current.revision = entry.Revision
		c.targets[entry.Key] = current
		return
	}
	written := entry.Written
	if written.Before.IsZero() {
		written.Before = c.now()
	}
	c.declarations.learn(target, written, c.now(), false)
	c.targets[entry.Key] = registeredTarget{target, entry.Revision, written}
}

// LearnDeclared narrows when versions were declared by what another daemon knows, and reports whether that
// changes anything. The next view has the result.
func (c *Compiler) LearnDeclared(versions []DeclaredVersion) bool {
	changed := false
	for _, version := range versions {
		changed = c.declarations.learn(version.Target, version.Declared, c.now(), true) || changed
	}
	return changed
}

// Declared returns the known versions and when they were declared, for other daemons.
func (c *Compiler) Declared() []DeclaredVersion { return c.declarations.list() }

// supersede reports an entry that is older than what is in force.
func (c *Compiler) supersede(entry provider.Entry) {
	if c.OnSuperseded != nil {
		c.OnSuperseded(entry)
	}
}

func (c *Compiler) report(change EntryChange) {
	if c.OnEntryChange != nil {
		c.OnEntryChange(change)
	}
}

func (c *Compiler) now() time.Time { return helpers.Now(c.Now) }

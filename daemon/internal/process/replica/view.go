package replica

import (
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// View is the immutable state by which requests are decided, compiled from one state of
// the table.
type View struct {
	// Configuration is nil until one was received.
	Configuration *provider.Configuration
	// ConfigurationRevision is the revision of the configuration's entry.
	ConfigurationRevision provider.Revision
	// Upstreams holds the upstreams of each service, including those that are leaving,
	// without those of evacuated halls.
	Upstreams map[string][]*provider.Upstream
	// Targets holds the declared version of each model.
	Targets map[string]Declaration
	// Members holds the routers by name.
	Members map[string]*provider.Member

	routesByHost  map[string][]*provider.Route
	accountsByKey map[string]*provider.Account
	services      map[string]*provider.Service // by name
	// rankings holds the order of each service's requests by urgency.
	rankings map[string]*ranking
	// limits holds what the routes of each service require of its engines.
	limits map[string]serviceLimits
}

// Declaration is a declared version of a model and when this daemon received it.
type Declaration struct {
	provider.Target
	Revision provider.Revision
	// ReceivedAt is when this daemon received the declaration.
	ReceivedAt time.Time
	// Initial is set if the declaration was part of the first state this daemon received,
	// so it may be much older than ReceivedAt.
	Initial bool
	// Previous is the declaration that this one replaced, if it was received. At most
	// maxDeclarations are linked.
	Previous *Declaration
}

// maxDeclarations is the number of declarations that are kept of a model.
const maxDeclarations = 4

// DeclaredAt returns when the version was declared, by the view of this daemon. A
// declaration that preceded this daemon counts as being partway through its apply timeout.
func (d *Declaration) DeclaredAt(applyTimeout time.Duration) time.Time {
	const elapsedPart = 0.6
	if d.Initial {
		return d.ReceivedAt.Add(-time.Duration(elapsedPart * float64(applyTimeout)))
	}
	return d.ReceivedAt
}

// MinVersion returns the lowest version that may serve now: the newest that was declared
// longer than grace ago, or 0.
func (d *Declaration) MinVersion(now time.Time, grace, applyTimeout time.Duration) int {
	if declared := d.olderThan(grace, now, applyTimeout); declared != nil {
		return declared.Version
	}
	return 0
}

// olderThan returns the newest declaration that is older than age, or nil.
func (d *Declaration) olderThan(age time.Duration, now time.Time, applyTimeout time.Duration) *Declaration {
	for declared := d; declared != nil; declared = declared.Previous {
		if now.Sub(declared.DeclaredAt(applyTimeout)) > age {
			return declared
		}
	}
	return nil
}

// Route returns the route of a host with the longest prefix of the path, or nil.
func (v *View) Route(host, path string) *provider.Route {
	var best *provider.Route
	for _, route := range v.routesByHost[host] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// Account returns the account of a key, or nil.
func (v *View) Account(key string) *provider.Account { return v.accountsByKey[key] }

// HasAccounts reports whether requests need a key.
func (v *View) HasAccounts() bool { return len(v.Configuration.Accounts) > 0 }

// Service returns a declared service, or nil.
func (v *View) Service(name string) *provider.Service { return v.services[name] }

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
	targets   map[string]Declaration
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
	// synced is set once any entry other than a router's was applied. Routers' records are
	// read first and do not mark the start of the replica.
	synced bool
}

// memberRestoreGrace is how long a router stays in use after its entry was lost in a restore. Routers
// write theirs again spread over some seconds.
const memberRestoreGrace = 20 * time.Second

// leftRetention is how long it is kept that an upstream is leaving after its entry was last seen.
const leftRetention = 15 * time.Minute

// upstreamRun identifies one run of an upstream.
type upstreamRun struct {
	id      string
	started int64
}

// lostMember is a router whose entry was lost in a restore, and until when it stays in use.
type lostMember struct {
	*provider.Member
	until time.Time
}

// registeredUpstream is an upstream and the revision that created its entry.
type registeredUpstream struct {
	*provider.Upstream
	created provider.Revision
}

// expiredUpstream is an upstream whose entry was removed, and until when it stays in use.
type expiredUpstream struct {
	registeredUpstream
	until time.Time
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
		c.targets = map[string]Declaration{}
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
	c.synced = c.synced || slices.ContainsFunc(changed, c.isNotMember)
	c.pruneExpired()
	evacuated := map[string]bool{}
	for _, hall := range c.evacuated {
		evacuated[hall] = true
	}
	next.Upstreams = map[string][]*provider.Upstream{}
	for _, upstream := range c.upstreamsByAddress() {
		if evacuated[upstream.Hall] {
			continue
		}
		next.Upstreams[upstream.Service] = append(next.Upstreams[upstream.Service], upstream.Upstream)
	}
	next.Targets = map[string]Declaration{}
	for _, target := range c.targets {
		next.Targets[target.Model] = target
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

// scheduleRecompile schedules Recompile for the end of the next grace period.
func (c *Compiler) scheduleRecompile() {
	if c.expiry != nil {
		c.expiry.Stop()
	}
	if remaining, ok := c.nextExpiry(); ok && c.Recompile != nil {
		c.expiry = time.AfterFunc(remaining, c.Recompile)
	}
}

func (c *Compiler) isNotMember(entry provider.Entry) bool { return c.members[entry.Key] == nil }

// pruneExpired drops the expired upstreams that registered again or whose grace period is
// over.
func (c *Compiler) pruneExpired() {
	for key, upstream := range c.expired {
		_, registered := c.upstreams[key]
		if !registered && c.now().Before(upstream.until) {
			continue
		}
		delete(c.expired, key)
		if c.OnKeptEnd != nil {
			c.OnKeptEnd(upstream.Upstream, registered)
		}
	}
	for key, member := range c.lostMembers {
		if c.members[key] != nil || !c.now().Before(member.until) {
			delete(c.lostMembers, key)
		}
	}
	for run, seen := range c.left {
		if c.now().Sub(seen) > leftRetention {
			delete(c.left, run)
		}
	}
}

// upstreamsByAddress returns the upstream at each address. Of several entries for one
// address the one created last wins: after a power failure the entry of the previous
// upstream stays for some heartbeats while its successor is already running.
func (c *Compiler) upstreamsByAddress() map[netip.AddrPort]registeredUpstream {
	byAddress := make(map[netip.AddrPort]registeredUpstream, len(c.upstreams))
	add := func(upstream registeredUpstream) {
		current, ok := byAddress[upstream.Address]
		if !ok || upstream.created > current.created {
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

// keepExpired keeps the upstream or router of a removed entry that has a grace period, and reports
// whether it has kept an upstream. One that was leaving does not register again.
func (c *Compiler) keepExpired(entry provider.Entry) bool {
	now := c.now()
	if member := c.members[entry.Key]; member != nil && entry.Grace.Reason == provider.GraceRestore {
		c.lostMembers[entry.Key] = lostMember{Member: member, until: now.Add(memberRestoreGrace)}
	}
	upstream, ok := c.upstreams[entry.Key]
	if !ok || upstream.Leaving || entry.Grace.For <= 0 {
		return false
	}
	copied := *upstream.Upstream
	copied.KeptSince = now
	upstream.Upstream = &copied
	c.expired[entry.Key] = expiredUpstream{registeredUpstream: upstream, until: now.Add(entry.Grace.For)}
	return true
}

// keepLeaving marks an upstream as leaving if an earlier record of the same run did.
func (c *Compiler) keepLeaving(upstream *provider.Upstream) {
	run := runOf(upstream)
	if _, left := c.left[run]; left || upstream.Leaving {
		upstream.Leaving = true
		c.left[run] = c.now()
	}
}

// forgetLeft forgets that an upstream was leaving whose entry is removed and does not tell when it
// started: an entry under the same key may be that of a later run.
func (c *Compiler) forgetLeft(key string) {
	if upstream, ok := c.upstreams[key]; ok && upstream.Started.IsZero() {
		delete(c.left, runOf(upstream.Upstream))
	}
}

func runOf(upstream *provider.Upstream) upstreamRun {
	return upstreamRun{id: upstream.ID, started: upstream.Started.UnixNano()}
}

// supersede reports an entry that is older than what is in force.
func (c *Compiler) supersede(entry provider.Entry) {
	if c.OnSuperseded != nil {
		c.OnSuperseded(entry)
	}
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
	switch {
	case ok && target.Model == current.Model && target.Version < current.Version:
		c.supersede(entry)
	case ok && target == current.Target:
		current.Revision = entry.Revision
		c.targets[entry.Key] = current
	default:
		c.targets[entry.Key] = c.declare(entry, target)
	}
}

func (c *Compiler) now() time.Time { return helpers.Now(c.Now) }

// nextExpiry returns the time until the next grace period of an upstream or router whose entry was
// removed is over, and false if there is none.
func (c *Compiler) nextExpiry() (time.Duration, bool) {
	var next time.Time
	earliest := func(until time.Time) {
		if next.IsZero() || until.Before(next) {
			next = until
		}
	}
	for _, upstream := range c.expired {
		earliest(upstream.until)
	}
	for _, member := range c.lostMembers {
		earliest(member.until)
	}
	return max(next.Sub(c.now()), 0), !next.IsZero()
}

// declare links a declaration to the earlier ones, whose deadlines still apply: an engine
// may be loading one of them.
func (c *Compiler) declare(entry provider.Entry, target provider.Target) Declaration {
	declared := Declaration{Target: target, Revision: entry.Revision, ReceivedAt: c.now(), Initial: !c.synced}
	previous, ok := c.targets[entry.Key]
	if !ok {
		return declared
	}
	declared.Previous = &previous
	last := &declared
	for range maxDeclarations - 1 {
		if last.Previous == nil {
			return declared
		}
		copied := *last.Previous
		last.Previous = &copied
		last = &copied
	}
	last.Previous = nil
	return declared
}

func (c *Compiler) report(change EntryChange) {
	if c.OnEntryChange != nil {
		c.OnEntryChange(change)
	}
}

// setConfiguration sets the configuration and what is derived from it.
func (v *View) setConfiguration(configuration *provider.Configuration) {
	v.Configuration = configuration
	v.routesByHost = map[string][]*provider.Route{}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		v.routesByHost[route.Host] = append(v.routesByHost[route.Host], route)
	}
	v.accountsByKey = map[string]*provider.Account{}
	for i := range configuration.Accounts {
		account := &configuration.Accounts[i]
		for _, key := range account.Keys {
			v.accountsByKey[key] = account
		}
	}
	v.rankings = serviceRankings(configuration)
	v.limits = limitsOfServices(configuration)
	v.services = map[string]*provider.Service{}
	for i := range configuration.Services {
		v.services[configuration.Services[i].Name] = &configuration.Services[i]
	}
}

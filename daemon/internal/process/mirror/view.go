package mirror

import (
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// View is what requests are decided by, compiled from one state of the table.
// It never changes; a new state is a new view.
type View struct {
	// Configuration is nil while none is known.
	Configuration *provider.Configuration
	// ConfigurationRevision is the revision of the configuration's entry.
	ConfigurationRevision provider.Revision
	// Upstreams holds the upstreams of each service, leaving ones included, but none of a
	// hall that is evacuated.
	Upstreams map[string][]*provider.Upstream
	// Targets holds the declared version of each model.
	Targets map[string]Declared
	// Members holds the known routers by name.
	Members map[string]*provider.Member

	hosts    map[string][]*provider.Route // by host name
	accounts map[string]*provider.Account // by key
	services map[string]*provider.Service // by name
	// priorities are those of each service's requests, most urgent first.
	priorities map[string][]int
	// objectives are the shortest of each service's routes.
	objectives map[string]time.Duration
}

// Declared is a declared version and what this daemon knows of when.
type Declared struct {
	provider.Target
	Revision provider.Revision
	// Learned is when this daemon first heard of it.
	Learned time.Time
	// Found says that it was there when this daemon first heard anything, so
	// that it may have been declared long before.
	Found bool
	// Before is the declaration that this one replaced, if that was heard of.
	// At most keptDeclarations are linked.
	Before *Declared
}

// keptDeclarations is how many declarations of a model are remembered, one
// after the other.
const keptDeclarations = 4

// Since returns when the declaration was made, as far as this daemon can tell:
// of one that was found it takes a part of the time that it has as passed.
func (d *Declared) Since(apply time.Duration) time.Time {
	const passed = 0.6
	if d.Found {
		return d.Learned.Add(-time.Duration(passed * float64(apply)))
	}
	return d.Learned
}

// Required returns the lowest version that must serve now: the newest whose
// declaration is older than grace. Apply is the time that a declaration has.
func (d *Declared) Required(now time.Time, grace, apply time.Duration) int {
	if declared := d.olderThan(grace, now, apply); declared != nil {
		return declared.Version
	}
	return 0
}

// olderThan returns the newest declaration that was made longer ago than some
// time, nil where there is none.
func (d *Declared) olderThan(age time.Duration, now time.Time, apply time.Duration) *Declared {
	for declared := d; declared != nil; declared = declared.Before {
		if now.Sub(declared.Since(apply)) > age {
			return declared
		}
	}
	return nil
}

// Route returns the route of the longest prefix that begins the path.
func (v *View) Route(host, path string) *provider.Route {
	var best *provider.Route
	for _, route := range v.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// Account returns the account that holds a key, or nil.
func (v *View) Account(key string) *provider.Account { return v.accounts[key] }

// HasAccounts reports whether requests need a key.
func (v *View) HasAccounts() bool { return len(v.Configuration.Accounts) > 0 }

// Service returns a declared service, or nil.
func (v *View) Service(name string) *provider.Service { return v.services[name] }

// Compiler turns changes of a table into views. The zero value has an empty
// view; Decode must be set.
type Compiler struct {
	Decode func(provider.Entry) (provider.Record, error)
	// OnBelief is called for each change of what is believed. It may be nil.
	OnBelief func(Belief)
	// OnSuspect takes what routers keep of a content. It may be nil.
	OnSuspect func(note []byte) error
	// Lapses reports whether an entry that goes now may have lapsed only because
	// its upstream could not reach the store. Nil means never. Such upstreams are
	// used for lapseKept more, and whoever keeps the compiler is to call Take
	// again then.
	Lapses func() bool
	// Now is the clock; nil means clock.Now.
	Now func() time.Time

	view atomic.Pointer[View]
	// upstreams, targets and members are decoded entries by key; only Take
	// touches them.
	upstreams map[string]listed
	targets   map[string]Declared
	members   map[string]*provider.Member
	// evacuated holds the halls that get nothing, by key.
	evacuated map[string]string
	// lapsed holds, by key, upstreams whose entry lapsed a short time ago.
	lapsed map[string]lapsed
	// taken is set once any entry was taken but for those of routers, which a router
	// reads before all else.
	taken bool
}

// lapseKept is how long an upstream is used on after its entry lapsed. Those that
// live are back about two seconds after the store is; whoever leaves serves as
// long after its entry is gone.
const lapseKept = 1500 * time.Millisecond

// listed is an upstream and the revision that created its entry.
type listed struct {
	*provider.Upstream
	created provider.Revision
}

// lapsed is an upstream whose entry lapsed, and until when it is used.
type lapsed struct {
	listed
	until time.Time
}

// Belief is one change of what a daemon believes: the entry, what it was
// decoded to, and the error where it was not taken.
type Belief struct {
	Entry  provider.Entry
	Record provider.Record
	Err    error
	// Dropped says that what the entry named before is not used any more.
	Dropped bool
}

// View returns the newest view; it is never nil.
func (c *Compiler) View() *View {
	if view := c.view.Load(); view != nil {
		return view
	}
	return &View{}
}

// Take compiles changed entries into a new view. A value that cannot be decoded is reported.
// It leaves the last good declaration in force, and no upstream.
func (c *Compiler) Take(changed []provider.Entry) {
	if c.upstreams == nil {
		c.upstreams = map[string]listed{}
		c.targets = map[string]Declared{}
		c.members = map[string]*provider.Member{}
		c.lapsed = map[string]lapsed{}
		c.evacuated = map[string]string{}
	}
	next := *c.View()
	for _, entry := range changed {
		c.takeEntry(&next, entry)
	}
	c.taken = c.taken || slices.ContainsFunc(changed, c.isNotMember)
	c.forgetLapsed()
	evacuated := map[string]bool{}
	for _, hall := range c.evacuated {
		evacuated[hall] = true
	}
	next.Upstreams = map[string][]*provider.Upstream{}
	for _, upstream := range c.occupants() {
		if evacuated[upstream.Hall] {
			continue
		}
		next.Upstreams[upstream.Service] = append(next.Upstreams[upstream.Service], upstream.Upstream)
	}
	next.Targets = map[string]Declared{}
	for _, target := range c.targets {
		next.Targets[target.Model] = target
	}
	next.Members = map[string]*provider.Member{}
	for _, member := range c.members {
		next.Members[member.Name] = member
	}
	c.view.Store(&next)
}

func (c *Compiler) isNotMember(entry provider.Entry) bool { return c.members[entry.Key] == nil }

// forgetLapsed drops the lapsed upstreams that are back, or whose time is over.
func (c *Compiler) forgetLapsed() {
	for key, kept := range c.lapsed {
		if _, back := c.upstreams[key]; back || !c.now().Before(kept.until) {
			delete(c.lapsed, key)
		}
	}
}

// occupants returns the upstream at each address: of several entries that name the
// same one, the one created last. The entry of an upstream that lost its power
// stays for some heartbeats, while another runs in its place by then.
func (c *Compiler) occupants() map[netip.AddrPort]listed {
	at := make(map[netip.AddrPort]listed, len(c.upstreams))
	take := func(upstream listed) {
		known, taken := at[upstream.Address]
		if !taken || upstream.created > known.created {
			at[upstream.Address] = upstream
		}
	}
	for _, upstream := range c.upstreams {
		take(upstream)
	}
	for _, kept := range c.lapsed {
		take(kept.listed)
	}
	return at
}

func (c *Compiler) takeEntry(next *View, entry provider.Entry) {
	if entry.Deleted {
		c.keepLapsed(entry.Key)
		delete(c.upstreams, entry.Key)
		delete(c.members, entry.Key)
		delete(c.evacuated, entry.Key)
		c.believe(Belief{Entry: entry})
		return
	}
	record, err := c.Decode(entry)
	dropped := err != nil && c.drop(entry.Key)
	c.believe(Belief{Entry: entry, Record: record, Err: err, Dropped: dropped})
	if err != nil {
		return
	}
	switch {
	case record.Configuration != nil:
		next.ConfigurationRevision = entry.Revision
		next.takeConfiguration(record.Configuration)
	case record.EvacuatedHall != "":
		c.evacuated[entry.Key] = record.EvacuatedHall
	case record.Upstream != nil:
		if record.Upstream.ColdFor > 0 {
			record.Upstream.ColdUntil = c.now().Add(record.Upstream.ColdFor)
		}
		c.upstreams[entry.Key] = listed{record.Upstream, helpers.OrDefault(entry.CreateRevision, entry.Revision)}
	case record.Target != nil:
		c.targets[entry.Key] = c.declare(entry, *record.Target)
	case record.Member != nil:
		c.members[entry.Key] = record.Member
	case record.Suspect != nil && c.OnSuspect != nil:
		if err := c.OnSuspect(record.Suspect); err != nil {
			c.believe(Belief{Entry: entry, Err: err})
		}
	}
}

// drop forgets the upstream or the router of an entry that cannot be read any more, and
// reports whether there was one. Whoever wrote it, it names none to send to: sent to on the
// word of the entry before, an upstream may long be another. Of what operators declare the
// last good one stays in force.
func (c *Compiler) drop(key string) bool {
	_, upstream := c.upstreams[key]
	_, member := c.members[key]
	delete(c.upstreams, key)
	delete(c.lapsed, key)
	delete(c.members, key)
	return upstream || member
}

// keepLapsed keeps an upstream whose entry goes, where that says little.
func (c *Compiler) keepLapsed(key string) {
	upstream, ok := c.upstreams[key]
	if ok && !upstream.Leaving && c.Lapses != nil && c.Lapses() {
		c.lapsed[key] = lapsed{listed: upstream, until: c.now().Add(lapseKept)}
	}
}

func (c *Compiler) now() time.Time { return helpers.Now(c.Now) }

// Lapsed reports whether upstreams are kept whose entries lapsed. It is to be
// called between calls of Take, and not beside them.
func (c *Compiler) Lapsed() bool { return len(c.lapsed) > 0 }

// declare links a declaration to those before it, because an engine may be on
// the way to one of them, and their time runs on.
func (c *Compiler) declare(entry provider.Entry, target provider.Target) Declared {
	declared := Declared{Target: target, Revision: entry.Revision, Learned: c.now(), Found: !c.taken}
	before, ok := c.targets[entry.Key]
	if !ok {
		return declared
	}
	declared.Before = &before
	last := &declared
	for range keptDeclarations - 1 {
		if last.Before == nil {
			return declared
		}
		copied := *last.Before
		last.Before = &copied
		last = &copied
	}
	last.Before = nil
	return declared
}

func (c *Compiler) believe(belief Belief) {
	if c.OnBelief != nil {
		c.OnBelief(belief)
	}
}

func (v *View) takeConfiguration(configuration *provider.Configuration) {
	v.Configuration = configuration
	v.hosts = map[string][]*provider.Route{}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		v.hosts[route.Host] = append(v.hosts[route.Host], route)
	}
	v.accounts = map[string]*provider.Account{}
	for i := range configuration.Accounts {
		account := &configuration.Accounts[i]
		for _, key := range account.Keys {
			v.accounts[key] = account
		}
	}
	v.priorities = urgencies(configuration)
	v.objectives = objectives(configuration)
	v.services = map[string]*provider.Service{}
	for i := range configuration.Services {
		v.services[configuration.Services[i].Name] = &configuration.Services[i]
	}
}

// Package members keeps an entry's view of all agents: what they serve, and
// whether they still live.
//
// An agent reports to a few entries of its hall. Entries pull from each other
// what changed since their last pull, so a change reaches a hall of n entries
// in about log(n) pulls, and a quiet fleet exchanges only cursors. Each record
// is ordered by the agent's (incarnation, sequence), so records can arrive by
// any way, twice, and out of order.
//
// Liveness is never copied as a time stamp, since clocks differ. An entry that
// no longer hears an agent marks its record suspect at the sequence it last
// saw; the mark travels as a change. An agent that lives learns of the mark
// from any entry it reports to and raises its sequence, which lifts the mark
// everywhere.
//
// Weighed and rejected: every agent reporting to every entry of its hall (286
// hosts times 57 entries a second is 57 KB/s at each entry, above the limit of
// 25), and heartbeats kept in the key-value service (2,000 writes a second
// against the 400 that it takes).
package members

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/wire"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

// DefaultSilence is how long an agent may be silent before it is suspect.
const DefaultSilence = 3 * time.Second

// DefaultForget is how long a suspect record is kept.
const DefaultForget = 10 * time.Minute

// Table holds one record per agent. The zero value is empty.
//
// Lock order: mu is the only lock; it is not held while callers run.
type Table struct {
	// Now is the clock; nil means clock.Now.
	Now func() time.Time
	// Silence and Forget vary the defaults; 0 takes them.
	Silence, Forget time.Duration

	view atomic.Pointer[View]

	mu sync.Mutex
	// instance names this table, so that a cursor of an earlier process is
	// not taken for one of this.
	instance string
	// cursor counts changes; every record's changedAt is unique.
	cursor  uint64
	records map[string]*record
	changed chan struct{}
}

// record is one agent as this entry knows it.
type record struct {
	// member is immutable; a change replaces it.
	member *wire.Member
	// changedAt is the cursor at the last change.
	changedAt uint64
	// heard is when the agent, or news of it, last reached this entry.
	heard time.Time
	// direct is set while the agent reports to this entry itself. Only then
	// may this entry call it suspect.
	direct bool
	// suspectSince is when the mark came, zero while there is none.
	suspectSince time.Time
}

// Agent is one agent in a view.
type Agent struct {
	*wire.Member
	// Heard is when the agent, or news of it, last reached this entry.
	Heard time.Time
	// SuspectSince is zero for an agent that is not suspect.
	SuspectSince time.Time
}

// View is the membership at one moment. It is read-only.
type View struct {
	// Agents holds every agent, sorted by name.
	Agents []Agent
	// ByName finds an agent in Agents.
	ByName map[string]*Agent
	// ByService lists the agents that say they serve a service, sorted by name.
	ByService map[string][]*Agent
	// EngineHalls lists the halls that have an engine host, sorted.
	EngineHalls []string
}

var emptyView = &View{}

func (t *Table) now() time.Time { return helpers.Now(t.Now) }

func (t *Table) setUp() {
	if t.records == nil {
		t.instance = fmt.Sprintf("%016x", rand.Uint64())
		t.records = map[string]*record{}
		t.changed = make(chan struct{})
	}
}

// newer reports whether a replaces b. At the same sequence a suspect mark
// replaces its absence.
func newer(a, b *wire.Member) bool {
	switch {
	case a.GetIncarnation() != b.GetIncarnation():
		return a.GetIncarnation() > b.GetIncarnation()
	case a.GetSequence() != b.GetSequence():
		return a.GetSequence() > b.GetSequence()
	default:
		return a.GetSuspect() && !b.GetSuspect()
	}
}

// Reply is what an agent learns from its report.
type Reply struct {
	// SuspectSequence is the sequence at which the agent is held suspect, or
	// 0; the agent lifts the mark by a higher one.
	SuspectSequence uint64
	// WantMember asks for the whole record.
	WantMember bool
}

// Report takes an agent's own heartbeat. A member of nil stands for the record
// that the agent sent before, with the given incarnation and sequence.
func (t *Table) Report(name string, incarnation, sequence uint64, member *wire.Member) Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setUp()
	if member != nil {
		t.merge(member)
	}
	held, ok := t.records[name]
	if !ok || held.member.GetIncarnation() < incarnation || held.member.GetSequence() < sequence && held.member.GetIncarnation() == incarnation {
		return Reply{WantMember: true}
	}
	if held.member.GetIncarnation() != incarnation {
		return Reply{} // an older process of the same host; its successor reports too
	}
	held.heard = t.now()
	held.direct = true
	if held.member.GetSuspect() {
		return Reply{SuspectSequence: held.member.GetSequence()}
	}
	return Reply{}
}

// Merge takes records from another entry.
func (t *Table) Merge(members []*wire.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setUp()
	for _, member := range members {
		t.merge(member)
	}
}

// merge takes one record if it is newer; the caller holds mu.
func (t *Table) merge(member *wire.Member) {
	held, ok := t.records[member.GetName()]
	if !ok {
		held = &record{}
		t.records[member.GetName()] = held
	} else if !newer(member, held.member) {
		return
	}
	t.replace(held, member)
}

// replace installs a new member record; the caller holds mu.
func (t *Table) replace(held *record, member *wire.Member) {
	t.cursor++
	held.member = member
	held.changedAt = t.cursor
	held.heard = t.now()
	held.direct = false
	held.suspectSince = time.Time{}
	if member.GetSuspect() {
		held.suspectSince = t.now()
	}
	t.publish()
}

// publish drops the view, so that the next reader builds one, and wakes
// waiters; the caller holds mu.
func (t *Table) publish() {
	t.view.Store(nil)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Sweep marks the agents that fell silent and forgets those long suspect. It
// returns the names of the newly suspect ones.
func (t *Table) Sweep() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setUp()
	now := t.now()
	var marked []string
	for name, held := range t.records {
		switch {
		case held.direct && !held.member.GetSuspect() && now.Sub(held.heard) > helpers.OrDefault(t.Silence, DefaultSilence):
			t.replace(held, suspect(held.member))
			marked = append(marked, name)
		case held.member.GetSuspect() && now.Sub(held.suspectSince) > helpers.OrDefault(t.Forget, DefaultForget):
			delete(t.records, name)
			t.publish()
		}
	}
	slices.Sort(marked)
	return marked
}

// suspect returns a copy of the record with the mark set.
func suspect(m *wire.Member) *wire.Member {
	return &wire.Member{
		Name: m.GetName(), Hall: m.GetHall(), Address: m.GetAddress(),
		Incarnation: m.GetIncarnation(), Sequence: m.GetSequence(),
		Leaving: m.GetLeaving(), Suspect: true, PlainServices: m.GetPlainServices(),
		ReadyService: m.GetReadyService(), ReadyManifest: m.GetReadyManifest(),
		FetchManifest: m.GetFetchManifest(), ChunksHeld: m.GetChunksHeld(), ChunksTotal: m.GetChunksTotal(),
		FailedManifest: m.GetFailedManifest(), Failure: m.GetFailure(),
	}
}

// Position is how far a reader of a table has come.
type Position struct {
	// Instance names the table that the cursor belongs to.
	Instance string
	Cursor   uint64
	// Buckets are the digests of the reader's own table. They stand in for a
	// cursor while the reader has none.
	Buckets []uint64
}

// Since returns the records that changed after a position, and the position to
// go on from. A reader without a cursor of this table gets the records of the
// buckets in which the two tables differ, which are all for one without buckets:
// at 2,000 agents a whole table is 200 KB, and an entry meets 400 others.
func (t *Table) Since(from Position) (Position, []*wire.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setUp()
	here := Position{Instance: t.instance, Cursor: t.cursor}
	known := from.Instance == t.instance
	var own []uint64
	if !known {
		own = t.buckets()
	}
	var members []*wire.Member
	for name, held := range t.records {
		bucket := bucketOf(name)
		same := !known && len(from.Buckets) == len(own) && from.Buckets[bucket] == own[bucket]
		if known && held.changedAt > from.Cursor || !known && !same {
			members = append(members, held.member)
		}
	}
	return here, members
}

// bucketCount is the number of buckets that a table is digested in.
const bucketCount = 64

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// Buckets returns a digest of the records of each bucket.
func (t *Table) Buckets() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buckets()
}

// buckets is Buckets for a caller that holds mu. The digest of a bucket is the
// exclusive or of its records' hashes, so that their order does not matter.
func (t *Table) buckets() []uint64 {
	digests := make([]uint64, bucketCount)
	for name, held := range t.records {
		m := held.member
		stamp := fmt.Sprint(name, m.GetIncarnation(), m.GetSequence(), m.GetSuspect())
		digests[bucketOf(name)] ^= xxhash.Sum64String(stamp)
	}
	return digests
}

// Changed returns a channel that closes at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setUp()
	return t.changed
}

// View returns the membership as of now. It is read-only.
func (t *Table) View() *View {
	if view := t.view.Load(); view != nil {
		return view
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) == 0 {
		return emptyView
	}
	view := t.build()
	t.view.Store(view)
	return view
}

// build makes a view; the caller holds mu.
func (t *Table) build() *View {
	view := &View{ByName: make(map[string]*Agent, len(t.records)), ByService: map[string][]*Agent{}}
	for _, held := range t.records {
		view.Agents = append(view.Agents, Agent{Member: held.member, Heard: held.heard, SuspectSince: held.suspectSince})
	}
	slices.SortFunc(view.Agents, func(a, b Agent) int { return strings.Compare(a.GetName(), b.GetName()) })
	for i := range view.Agents {
		agent := &view.Agents[i]
		view.ByName[agent.GetName()] = agent
		if len(agent.GetPlainServices()) == 0 && !slices.Contains(view.EngineHalls, agent.GetHall()) {
			view.EngineHalls = append(view.EngineHalls, agent.GetHall())
		}
		if service := agent.GetReadyService(); service != "" {
			view.ByService[service] = append(view.ByService[service], agent)
		}
		for _, service := range agent.GetPlainServices() {
			view.ByService[service] = append(view.ByService[service], agent)
		}
	}
	slices.Sort(view.EngineHalls)
	return view
}

// LastHeard returns when news of a hall last came, the zero time for never.
func (t *Table) LastHeard(hall string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var last time.Time
	for _, held := range t.records {
		if held.member.GetHall() == hall && held.heard.After(last) {
			last = held.heard
		}
	}
	return last
}

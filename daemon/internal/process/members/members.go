// Package members holds an entry's membership table: what each agent serves, and whether
// it is alive.
//
// An agent sends heartbeats to a few entries of its hall. Entries gossip: each pulls the
// changes since its last pull from others, so a change reaches a hall of n entries in about
// log(n) pulls. Records are ordered by the agent's (incarnation, sequence), so they may
// arrive by any path, repeatedly and out of order.
//
// Timestamps of liveness are not exchanged, since clocks differ. An entry that misses an
// agent's heartbeats marks its record suspect at the last received sequence, and the mark
// spreads as a change. A live agent receives the mark in the reply to any heartbeat and
// refutes it with a higher sequence.
//
// Rejected: heartbeats to all entries of a hall, which exceed the limit on control traffic
// of an entry, and heartbeats in the key-value service, which exceed its write rate.
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

// DefaultHeartbeatTimeout is the time without a heartbeat after which an agent is suspect.
const DefaultHeartbeatTimeout = 3 * time.Second

// DefaultSuspectRetention is how long the record of a suspect agent is kept.
const DefaultSuspectRetention = 10 * time.Minute

// Table holds one record per agent. The zero value is empty and ready to use.
//
// Lock order: mu is the only lock. Now and Stopped are called under it.
type Table struct {
	// Now is the clock; nil means clock.Now.
	Now func() time.Time
	// Stopped returns for how long this process has not run; nil means clock.Stopped.
	Stopped func() time.Duration
	// HeartbeatTimeout and SuspectRetention replace the defaults unless they are 0.
	HeartbeatTimeout, SuspectRetention time.Duration

	view atomic.Pointer[View]

	mu sync.Mutex
	// instance identifies this table, so that a cursor of an earlier process is not
	// applied to it.
	instance string
	// cursor counts the changes; each record's changedAt is unique.
	cursor  uint64
	records map[string]*record
	// changed is closed at the next change.
	changed chan struct{}
}

// record is this entry's view of one agent.
type record struct {
	// member is immutable; a change replaces it.
	member *wire.Member
	// changedAt is the cursor at the record's last change.
	changedAt uint64
	// receivedAt is when this entry last received a heartbeat or a changed record of the agent, and
	// stoppedAtReceipt for how long its process had not run by then.
	receivedAt       time.Time
	stoppedAtReceipt time.Duration
	// direct is set while the agent sends heartbeats to this entry. Only then may this entry
	// mark it suspect.
	direct bool
	// suspectSince is when this entry received or set the mark, zero if there is none.
	suspectSince time.Time
}

// Agent is one agent in a view.
type Agent struct {
	*wire.Member
	// ReceivedAt is when this entry last received a heartbeat or a changed record of the agent.
	ReceivedAt time.Time
	// SuspectSince is when this entry received or set the suspect mark, zero if there is
	// none.
	SuspectSince time.Time
}

// View is an immutable snapshot of the membership.
type View struct {
	// Agents holds all agents, sorted by name.
	Agents []Agent
	// ByName holds the agents by name; it points into Agents.
	ByName map[string]*Agent
	// ByService holds the agents that report a service as ready, sorted by name.
	ByService map[string][]*Agent
	// EngineHalls holds the halls that have an engine host, sorted.
	EngineHalls []string
}

var emptyView = &View{}

func (t *Table) now() time.Time { return helpers.Now(t.Now) }

// stopped returns for how long this process has not run.
func (t *Table) stopped() time.Duration { return helpers.Stopped(t.Stopped) }

// recordReceipt records that a heartbeat or a changed record of an agent was received now.
func (t *Table) recordReceipt(rec *record) {
	rec.receivedAt, rec.stoppedAtReceipt = t.now(), t.stopped()
}

// silence returns how long no heartbeat of an agent was received while this process was running.
func (t *Table) silence(rec *record) time.Duration {
	return t.now().Sub(rec.receivedAt) - (t.stopped() - rec.stoppedAtReceipt)
}

func (t *Table) init() {
	if t.records == nil {
		t.instance = fmt.Sprintf("%016x", rand.Uint64())
		t.records = map[string]*record{}
		t.changed = make(chan struct{})
	}
}

// newer reports whether record a replaces b. At the same sequence a suspect record replaces
// one that is not suspect.
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

// Reply is the reply to an agent's heartbeat.
type Reply struct {
	// SuspectSequence is the sequence at which the agent is marked suspect, or 0. The agent
	// refutes the mark with a higher sequence.
	SuspectSequence uint64
	// WantMember requests the agent's complete record.
	WantMember bool
}

// Report processes a heartbeat of an agent. A nil member means that the record has not
// changed since the agent sent it with the given incarnation and sequence.
func (t *Table) Report(name string, incarnation, sequence uint64, member *wire.Member) Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	if member != nil {
		t.merge(member)
	}
	rec, ok := t.records[name]
	if !ok || rec.member.GetIncarnation() < incarnation || rec.member.GetSequence() < sequence && rec.member.GetIncarnation() == incarnation {
		return Reply{WantMember: true}
	}
	if rec.member.GetIncarnation() != incarnation {
		return Reply{} // sent by an earlier process of the same host
	}
	t.recordReceipt(rec)
	rec.direct = true
	if rec.member.GetSuspect() {
		return Reply{SuspectSequence: rec.member.GetSequence()}
	}
	return Reply{}
}

// Merge merges records that another entry sent.
func (t *Table) Merge(members []*wire.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	for _, member := range members {
		t.merge(member)
	}
}

// merge stores a record if it is newer than the table's; the caller holds mu.
func (t *Table) merge(member *wire.Member) {
	rec, ok := t.records[member.GetName()]
	if !ok {
		rec = &record{}
		t.records[member.GetName()] = rec
	} else if !newer(member, rec.member) {
		return
	}
	t.replace(rec, member)
}

// replace stores a record unconditionally; the caller holds mu.
func (t *Table) replace(rec *record, member *wire.Member) {
	t.cursor++
	rec.member = member
	rec.changedAt = t.cursor
	t.recordReceipt(rec)
	rec.direct = false
	rec.suspectSince = time.Time{}
	if member.GetSuspect() {
		rec.suspectSince = t.now()
	}
	t.publish()
}

// publish invalidates the view, which the next call of View builds again, and wakes the
// waiters on Changed; the caller holds mu.
func (t *Table) publish() {
	t.view.Store(nil)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Sweep marks agents as suspect whose heartbeats were missed while this process was running, and removes the
// records of those that have been suspect for too long. It returns the names of the newly suspect agents.
func (t *Table) Sweep() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	now := t.now()
	var marked []string
	for name, rec := range t.records {
		switch {
		case rec.direct && !rec.member.GetSuspect() && t.silence(rec) > helpers.OrDefault(t.HeartbeatTimeout, DefaultHeartbeatTimeout):
			t.replace(rec, suspected(rec.member))
			marked = append(marked, name)
		case rec.member.GetSuspect() && now.Sub(rec.suspectSince) > helpers.OrDefault(t.SuspectRetention, DefaultSuspectRetention):
			delete(t.records, name)
			t.publish()
		}
	}
	slices.Sort(marked)
	return marked
}

// suspected returns a copy of a record with the suspect mark.
func suspected(m *wire.Member) *wire.Member {
	return &wire.Member{
		Name: m.GetName(), Hall: m.GetHall(), Address: m.GetAddress(),
		Incarnation: m.GetIncarnation(), Sequence: m.GetSequence(),
		Leaving: m.GetLeaving(), Suspect: true, PlainServices: m.GetPlainServices(),
		ReadyService: m.GetReadyService(), ReadyManifest: m.GetReadyManifest(),
		FetchManifest: m.GetFetchManifest(), ChunksHeld: m.GetChunksHeld(), ChunksTotal: m.GetChunksTotal(),
		FailedManifest: m.GetFailedManifest(), Failure: m.GetFailure(),
	}
}

// Position is the position of a reader in the changes of a table.
type Position struct {
	// Instance identifies the table that Cursor refers to.
	Instance string
	Cursor   uint64
	// Buckets holds the digests of the reader's own table. They replace the cursor until
	// the reader has one.
	Buckets []uint64
}

// ChangesAfter returns the records that changed after a position, and the position to read from
// next. A reader without a cursor of this table gets the records of the buckets in which
// both tables differ, or all records if it sends no buckets. Without the buckets an entry
// would transfer the complete table on its first contact with each of the others.
func (t *Table) ChangesAfter(from Position) (Position, []*wire.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	current := Position{Instance: t.instance, Cursor: t.cursor}
	sameInstance := from.Instance == t.instance
	var digests []uint64
	if !sameInstance {
		digests = t.buckets()
	}
	var members []*wire.Member
	for name, rec := range t.records {
		bucket := bucketOf(name)
		same := !sameInstance && len(from.Buckets) == len(digests) && from.Buckets[bucket] == digests[bucket]
		if sameInstance && rec.changedAt > from.Cursor || !sameInstance && !same {
			members = append(members, rec.member)
		}
	}
	return current, members
}

// bucketCount is the number of buckets into which names are hashed.
const bucketCount = 64

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }

// Buckets returns the digest of each bucket's records.
func (t *Table) Buckets() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buckets()
}

// buckets is Buckets for callers that hold mu. The digest of a bucket is the XOR of its
// records' hashes, so that it does not depend on their order.
func (t *Table) buckets() []uint64 {
	digests := make([]uint64, bucketCount)
	for name, rec := range t.records {
		m := rec.member
		version := fmt.Sprint(name, m.GetIncarnation(), m.GetSequence(), m.GetSuspect())
		digests[bucketOf(name)] ^= xxhash.Sum64String(version)
	}
	return digests
}

// Changed returns a channel that is closed at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	return t.changed
}

// View returns a snapshot of the membership, which callers must not modify.
func (t *Table) View() *View {
	if view := t.view.Load(); view != nil {
		return view
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) == 0 {
		return emptyView
	}
	view := t.buildView()
	t.view.Store(view)
	return view
}

// buildView builds a view of the records; the caller holds mu.
func (t *Table) buildView() *View {
	view := &View{ByName: make(map[string]*Agent, len(t.records)), ByService: map[string][]*Agent{}}
	for _, rec := range t.records {
		view.Agents = append(view.Agents, Agent{Member: rec.member, ReceivedAt: rec.receivedAt, SuspectSince: rec.suspectSince})
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

// LastReceivedAt returns when this entry last received a heartbeat or a changed record of any
// agent of a hall, the zero time if it never did.
func (t *Table) LastReceivedAt(hall string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var last time.Time
	for _, rec := range t.records {
		if rec.member.GetHall() == hall && rec.receivedAt.After(last) {
			last = rec.receivedAt
		}
	}
	return last
}

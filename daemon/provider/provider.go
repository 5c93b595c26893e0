// Package provider declares what the daemons need from the platform that they run on: a store
// with revisions, leases and watches, the records that operators and upstreams keep there, the
// names of headers, and the calls to engines and to the origin of weights.
//
// The types are concrete and the parts that vary are function fields, so that one adapter fills
// them in for a real platform and tests fill them in by hand. Interfaces were rejected, since
// each would have a single implementation. Adapters translate and make no decisions.
//
// A place is an execution slot of an upstream: an upstream runs as many requests concurrently as
// it has places.
package provider

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"time"
)

// Revision orders the changes of the store: first by era, then by the number that the store gives
// to a change. An era ends when the store is restored from a copy, after which it gives out numbers
// again. Both are in one integer, so that whatever compares, encodes or caches revisions keeps
// their order across a restore.
type Revision uint64

// eraShift is the number of bits of a revision's number. The eras that fit beside it without loss in
// a JSON number of other languages outlast any store.
const eraShift = 44

// NewRevision returns the revision of a change in an era.
func NewRevision(era, number uint64) Revision { return Revision(era<<eraShift | number) }

// Era returns the era of the change, 0 if the store states none.
func (r Revision) Era() uint64 { return uint64(r) >> eraShift }

// Number returns the number that the store gave to the change.
func (r Revision) Number() uint64 { return uint64(r) & (1<<eraShift - 1) }

// InEra returns the revision with the same number in another era.
func (r Revision) InEra(era uint64) Revision { return NewRevision(era, r.Number()) }

// Errors that are wrapped by the errors of the functions of a Store.
var (
	// ErrCompacted reports that the requested history has been compacted; the caller must list
	// again.
	ErrCompacted = errors.New("the history after this revision has been compacted")
	// ErrRestored reports that the store was restored from a copy and the revision belongs to
	// another era. It wraps ErrCompacted, since the caller must list again as well.
	ErrRestored = fmt.Errorf("the store was restored from a copy: %w", ErrCompacted)
	// ErrConflict reports that a condition of a transaction does not hold.
	ErrConflict = errors.New("a condition of the transaction does not hold")
	// ErrLeaseExpired reports that a lease has expired.
	ErrLeaseExpired = errors.New("the lease has expired")
	// ErrNotFound reports that a key, chunk or version does not exist.
	ErrNotFound = errors.New("not found")
)

// Entry is one key of the store as written, or as deleted, at Revision.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"`
	// CreateRevision is the revision at which the key was created, or 0 if the store does not report it.
	CreateRevision Revision `json:"created,omitempty"`
	// Deleted marks a deletion; Value is empty then.
	Deleted bool `json:"gone,omitempty"`
	// Grace is how long what a deleted entry declared stays in force from now on. It shrinks with time,
	// so it is not part of the encoded entry.
	Grace Grace `json:"-"`
	// Source is how this daemon received the entry, and Written when it was written, by what the source
	// tells.
	Source  EntrySource `json:"-"`
	Written Span        `json:"-"`
}

// Span bounds when something happened. A zero bound is not known.
type Span struct {
	After, Before time.Time
}

// Age bounds the time since something happened.
type Age struct {
	AtLeast time.Duration `json:"atLeast"`
	// AtMost is 0 if it is not known.
	AtMost time.Duration `json:"atMost,omitempty"`
}

// Age returns the age at a time of what happened in the span.
func (s Span) Age(now time.Time) Age {
	var age Age
	if !s.Before.IsZero() {
		age.AtLeast = max(now.Sub(s.Before), 0)
	}
	if !s.After.IsZero() {
		age.AtMost = max(now.Sub(s.After), 1)
	}
	return age
}

// EntrySource is how a daemon received an entry.
type EntrySource string

// Values of EntrySource.
const (
	SourceList    EntrySource = "list"    // a list of the store
	SourceWatch   EntrySource = "watch"   // a watch of the store
	SourceRecheck EntrySource = "recheck" // a list of the store beside watches or peers, which may be stale
	SourcePeer    EntrySource = "peer"    // the replica of another daemon
)

// Received returns entries with their source set, and when they were written.
func Received(entries []Entry, source EntrySource, written Span) []Entry {
	received := slices.Clone(entries)
	for i := range received {
		received[i].Source, received[i].Written = source, written
	}
	return received
}

// Grace is how long what a removed entry declared stays in force, because the entry may be written again,
// and why. The zero value is none.
type Grace struct {
	For    time.Duration `json:"for"`
	Reason GraceReason   `json:"reason"`
}

// GraceReason is why a removed entry may be written again.
type GraceReason string

// Values of GraceReason.
const (
	GraceOutage  GraceReason = "outage"  // its lease may have expired in an outage of the store
	GraceRestore GraceReason = "restore" // it may have been lost when the store was restored from a copy
)

// Listing is the result of a list or a watch. It is complete up to Revision.
type Listing struct {
	Entries  []Entry  `json:"entries"`
	Revision Revision `json:"at"`
	// Grace applies to the entries that a complete listing lacks.
	Grace Grace `json:"-"`
}

// LeaseID identifies a lease of the store.
type LeaseID uint64

// Put is one write of a transaction. Lease is optional.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Store holds the calls to the store that the daemons use.
type Store struct {
	// List reads all entries under a prefix, in as many pages as needed. Revision is that of
	// the first page: the pages are not a snapshot.
	List func(ctx context.Context, prefix string) (Listing, error)
	// ListStale is like List, but may return data that is seconds old at far less cost to the
	// store.
	ListStale func(ctx context.Context, prefix string) (Listing, error)
	// Watch waits up to wait for changes under a prefix after a revision. An empty listing means
	// that there were none.
	Watch func(ctx context.Context, prefix string, after Revision, wait time.Duration) (Listing, error)
	// GetStale reads one entry, which may be seconds old.
	GetStale func(ctx context.Context, key string) (Entry, error)
	// Write writes entries unconditionally.
	Write func(ctx context.Context, puts []Put) (Revision, error)
	// Grant creates a lease and Renew extends it.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew func(ctx context.Context, id LeaseID) error
}

// Prefixes are the key prefixes in the store that the daemons follow.
type Prefixes struct {
	// Root is the prefix of every key.
	Root string
	// Versions is the prefix of the declared versions.
	Versions string
	// Upstreams is the prefix of the records of upstreams.
	Upstreams string
	// Members is the prefix of the records of routers, which are written under leases. MembersOf
	// returns the prefix of the routers of a data hall, or of one shard of them. It is nil if the
	// store does not separate them.
	Members   string
	MembersOf func(hall, shard string) string
	// Configuration is the key of the configuration.
	Configuration string
}

// MembersOfHall returns the prefix of the records of the routers of a data hall, or of one shard of
// them unless shard is empty. If the store does not separate them, it is the prefix of all routers.
func (p Prefixes) MembersOfHall(hall, shard string) string {
	if p.MembersOf == nil {
		return p.Members
	}
	return p.MembersOf(hall, shard)
}

// Record is a decoded entry. At most one field is set, and none for an entry that the daemons do
// not use.
type Record struct {
	Configuration *Configuration
	Upstream      *Upstream
	Target        *Target
	Member        *Member
	// EvacuatedHall is a data hall whose upstreams must receive no requests while the entry exists.
	EvacuatedHall string
	// Suspect is a record of a request content that crashed upstreams, as encoded by the routers.
	Suspect []byte
}

// Provider is all that an adapter supplies.
type Provider struct {
	Store    Store
	Prefixes Prefixes
	Headers  Headers
	Engine   Engine
	Origin   Origin
	// Decode decodes the value of an entry. Its error names the key and the fault.
	Decode func(Entry) (Record, error)
	// PromptParts returns the parts of a request's prompt, in order, or nil if the request does not
	// state them. It may be nil.
	PromptParts func(http.Header) []PromptPart
	// EncodeMember returns the write that announces a router.
	EncodeMember func(Member) Put
	// EncodeSuspect returns the write of a record of a request content that crashed upstreams. It
	// may be nil.
	EncodeSuspect func(content string, report []byte) Put
}

// PromptPart is a part of a prompt, such as a document. Requests share parts, except the last one,
// which belongs to the request or its session alone.
type PromptPart struct {
	// ID identifies the text of the part. It is empty if the request states none that is valid.
	ID string
	// Tokens is the length of the part, 0 if it is not stated.
	Tokens int
}

// Member is the record under which a router announces itself.
type Member struct {
	Name string `json:"name"`
	Hall string `json:"hall"`
	// Shard is the part of the routers of its hall that it is listed with, so that a starting
	// router need not list them all.
	Shard string `json:"shard,omitempty"`
	// Peers is the address at which it serves other daemons.
	Peers netip.AddrPort `json:"peers"`
	// LinkMbps is the bandwidth of its link in megabits per second, or 0 if not known.
	LinkMbps float64 `json:"linkMbps,omitempty"`
}

// Target is the declared version of a model. Versions start at 1 and increase.
type Target struct {
	Model   string
	Version int
}

// Headers are the names of the headers of requests and responses.
type Headers struct {
	RequestID, Deadline, LastEvent, Signature, Account string
	ExpectedUpstream, ExpectedVersion, Priority        string
	// NotRun is set in the response of an upstream that guarantees that the request has not run
	// and never will.
	NotRun string
	// Tokens carries the number of prompt tokens and the maximum number of output tokens,
	// separated by a comma. LengthHint carries the caller's estimate of the output tokens.
	Tokens, LengthHint string
	// Limit is set in the responses of an overloaded upstream. Its value, a decimal number, is the
	// rate in requests per second that the upstream accepts from all routers together, until a
	// response comes without it.
	Limit string
	// Leaving is set, to 1, in all responses of an upstream that is leaving.
	Leaving string
}

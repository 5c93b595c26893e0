// Package provider is what the daemons need from the surroundings they run in:
// a store with revisions, leases and watches, the records that operators and
// upstreams keep there, the names of headers, and the calls of engines and of
// the origin of weights.
//
// The types are concrete and what varies is a function field, so that one
// adapter fills them in for real surroundings and tests fill them in by hand.
// An interface per part was rejected: each would have one implementation.
// Adapters translate and decide nothing; every decision is taken here, in the
// daemon module.
package provider

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// Revision is the store's number of a change; a higher one is newer.
type Revision uint64

// Errors that the functions of a Store wrap.
var (
	// ErrCompacted says that the history asked for is gone: list again.
	ErrCompacted = errors.New("the history after this revision is gone")
	// ErrConflict says that a condition of a transaction does not hold.
	ErrConflict = errors.New("a condition does not hold")
	// ErrLeaseOver says that the lease has ended.
	ErrLeaseOver = errors.New("the lease has ended")
	// ErrNotFound says that a key, chunk or version is not there.
	ErrNotFound = errors.New("not found")
)

// Entry is one item of the store, as written or as removed at Revision.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"`
	// Created is the revision that made the entry, 0 where the store does not tell.
	Created Revision `json:"created,omitempty"`
	// Gone marks a removal; Value is empty then.
	Gone bool `json:"gone,omitempty"`
}

// Listing is the answer of a list or a watch. At is the revision up to which
// it is complete.
type Listing struct {
	Entries []Entry  `json:"entries"`
	At      Revision `json:"at"`
}

// LeaseID names a lease of the store.
type LeaseID uint64

// Put is one write of a transaction.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Store is the part of the store's protocol that the daemons use.
type Store struct {
	// List reads every entry under a prefix, over as many pages as it takes.
	// At is the revision of the first page: pages are no snapshot.
	List func(ctx context.Context, prefix string) (Listing, error)
	// ListStale is List from an answer that may be seconds old, which costs the
	// store far less.
	ListStale func(ctx context.Context, prefix string) (Listing, error)
	// Watch waits up to wait for changes under a prefix after a revision. An
	// empty listing means that there was none.
	Watch func(ctx context.Context, prefix string, after Revision, wait time.Duration) (Listing, error)
	// GetStale reads one entry from an answer that may be seconds old.
	GetStale func(ctx context.Context, key string) (Entry, error)
	// Write writes entries without a condition.
	Write func(ctx context.Context, puts []Put) (Revision, error)
	// Grant makes a lease and Renew prolongs it.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew func(ctx context.Context, id LeaseID) error
}

// Prefixes are the parts of the store that the daemons follow.
type Prefixes struct {
	// All begins every key.
	All string
	// Versions holds the declared versions.
	Versions string
	// Upstreams holds the upstreams' own records.
	Upstreams string
	// Members holds the routers' own records, written under leases, and MembersOf returns
	// the part of it for the routers of a data hall, or of a shard of them. MembersOf may be
	// nil.
	Members   string
	MembersOf func(hall, shard string) string
	// Configuration is the key of the configuration.
	Configuration string
}

// OfHall returns the prefix of the records of the routers of a data hall, and of one shard of
// them where that is not empty. It is that of all routers where the store does not keep them
// apart.
func (p Prefixes) OfHall(hall, shard string) string {
	if p.MembersOf == nil {
		return p.Members
	}
	return p.MembersOf(hall, shard)
}

// Record is one decoded entry; at most one field is set. None is set for an
// entry that the daemons have no use for.
type Record struct {
	Configuration *Configuration
	Upstream      *Upstream
	Target        *Target
	Member        *Member
	// Evacuated is the data hall whose upstreams get nothing while the entry stands.
	Evacuated string
	// Suspect is what routers keep of a content under which upstreams ended, as they
	// encoded it.
	Suspect []byte
}

// Provider is everything an adapter fills in.
type Provider struct {
	Store    Store
	Prefixes Prefixes
	Headers  Headers
	Engine   Engine
	Origin   Origin
	// Decode reads an entry's value. An error names the key and what is wrong.
	Decode func(Entry) (Record, error)
	// EncodeMember makes the entry that announces a router.
	EncodeMember func(Member) Put
	// EncodeSuspect makes the entry of what routers keep of a content. It may be nil.
	EncodeSuspect func(content string, note []byte) Put
}

// Member is a router as it announces itself to the others.
type Member struct {
	Name string `json:"name"`
	Hall string `json:"hall"`
	// Shard is the part of the hall's routers that it is listed with, so that whoever starts
	// need not list them all.
	Shard string `json:"shard,omitempty"`
	// Peers is where other daemons reach it.
	Peers netip.AddrPort `json:"peers"`
	// LinkMbps is the rate of its link in megabits a second, 0 where it is not known.
	LinkMbps float64 `json:"linkMbps,omitempty"`
}

// Target is a declared version of a model. Versions start at 1 and rise.
type Target struct {
	Model   string
	Version int
}

// Headers are the names of the headers of requests and answers.
type Headers struct {
	RequestID, Deadline, LastEvent, Signature, Account string
	ExpectedUpstream, ExpectedVersion, Priority        string
	// NotRun stands in an upstream's answer that promises that the request has
	// not run.
	NotRun string
	// Tokens is "prompt,most out", LengthHint the caller's guess of tokens out.
	Tokens, LengthHint string
	// Limit stands in the answers of an upstream in need: the requests a second that it
	// takes from all routers together, a decimal number, for as long as it says so.
	Limit string
}

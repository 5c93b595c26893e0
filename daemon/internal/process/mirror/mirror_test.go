package mirror_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// TestHighestRevisionWins is a state machine: news reaches a table late, twice,
// out of order, by watches, lists and peers; the oracle is each key's highest
// revision heard.
func TestHighestRevisionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &mirror.Table{}
		oracle := map[string]provider.Entry{}
		history := []provider.Entry{}
		revision := provider.Revision(0)
		write := func(t *rapid.T) {
			revision++
			entry := provider.Entry{
				Key: rapid.SampledFrom([]string{"a/1", "a/2", "b/1"}).Draw(t, "key"), Revision: revision,
				Deleted: rapid.Bool().Draw(t, "gone"),
			}
			if !entry.Deleted {
				entry.Value = []byte(fmt.Sprint(revision))
			}
			history = append(history, entry)
		}
		hear := func(entry provider.Entry) {
			if known, ok := oracle[entry.Key]; !ok || entry.Revision > known.Revision {
				oracle[entry.Key] = entry
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": write,
			"news": func(t *rapid.T) {
				if len(history) == 0 {
					t.Skip()
				}
				some := rapid.SliceOfN(rapid.SampledFrom(history), 1, 5).Draw(t, "news")
				table.Apply(some)
				for _, entry := range some {
					hear(entry)
				}
			},
			"list": func(t *rapid.T) {
				at := provider.Revision(rapid.IntRange(0, int(revision)).Draw(t, "at"))
				listing := provider.Listing{Revision: at}
				newest := map[string]provider.Entry{}
				for _, entry := range history {
					if entry.Revision <= at {
						newest[entry.Key] = entry
					}
				}
				for _, entry := range newest {
					if !entry.Deleted {
						listing.Entries = append(listing.Entries, entry)
					}
				}
				table.Replace("", listing)
				for _, entry := range listing.Entries {
					hear(entry)
				}
				for key, known := range oracle {
					if entry, ok := newest[key]; (!ok || entry.Deleted) && !known.Deleted && known.Revision <= at {
						oracle[key] = provider.Entry{Key: key, Revision: at, Deleted: true}
					}
				}
			},
			"": func(t *rapid.T) {
				got := map[string]provider.Entry{}
				for _, entry := range table.Since(0).Entries {
					got[entry.Key] = entry
				}
				for key, want := range oracle {
					require.Equal(t, want.Deleted, got[key].Deleted, key)
					require.Equal(t, want.Value, got[key].Value, key)
				}
			},
		})
	})
}

// tableStore is a store for one follower, scripted by the test.
type tableStore struct {
	lists   atomic.Int64
	watches chan func() (provider.Listing, error)
}

func (s *tableStore) store(list func() provider.Listing) provider.Store {
	return provider.Store{
		List: func(context.Context, string) (provider.Listing, error) {
			s.lists.Add(1)
			return list(), nil
		},
		Watch: func(ctx context.Context, _ string, _ provider.Revision, _ time.Duration) (provider.Listing, error) {
			select {
			case answer := <-s.watches:
				return answer()
			case <-ctx.Done():
				return provider.Listing{}, ctx.Err()
			}
		},
	}
}

func TestFollowerListsAgainWhenHistoryIsGone(t *testing.T) {
	s := &tableStore{watches: make(chan func() (provider.Listing, error))}
	table := &mirror.Table{}
	follower := &mirror.Follower{Table: table, Prefix: "", Store: s.store(func() provider.Listing {
		if s.lists.Load() == 1 {
			return provider.Listing{Revision: 5, Entries: []provider.Entry{{Key: "a", Revision: 4}, {Key: "b", Revision: 5}}}
		}
		return provider.Listing{Revision: 9, Entries: []provider.Entry{{Key: "b", Revision: 5}}}
	})}
	follower.Start()
	defer follower.Stop()
	s.watches <- func() (provider.Listing, error) { return provider.Listing{}, provider.ErrCompacted }
	s.watches <- func() (provider.Listing, error) { return provider.Listing{Revision: 9}, nil }
	assert.Equal(t, int64(2), s.lists.Load())
	gone := map[string]bool{}
	for _, entry := range table.Since(0).Entries {
		gone[entry.Key] = entry.Deleted
	}
	assert.Equal(t, map[string]bool{"a": true, "b": false}, gone, "what was removed in the gap is gone")
	assert.True(t, follower.Known())
}

func TestFollowerTellsOfLossAndReturn(t *testing.T) {
	s := &tableStore{watches: make(chan func() (provider.Listing, error))}
	contacts := make(chan error, 8)
	follower := &mirror.Follower{
		Table: &mirror.Table{}, Store: s.store(func() provider.Listing { return provider.Listing{Revision: 1} }),
		OnContact: func(_ string, lost error) { contacts <- lost },
	}
	follower.Start()
	defer follower.Stop()
	down := errors.New("down")
	s.watches <- func() (provider.Listing, error) { return provider.Listing{}, down }
	require.ErrorIs(t, <-contacts, down)
	s.watches <- func() (provider.Listing, error) { return provider.Listing{}, down }
	s.watches <- func() (provider.Listing, error) { return provider.Listing{Revision: 1}, nil }
	require.NoError(t, <-contacts, "one line for a loss, one for the return")
}

// TestAWatchThatHangsIsGivenUp: a store that says nothing is lost like one that
// refuses, and what it says next is taken.
func TestAWatchThatHangsIsGivenUp(t *testing.T) {
	s := &tableStore{watches: make(chan func() (provider.Listing, error))}
	contacts := make(chan error, 8)
	table := &mirror.Table{}
	follower := &mirror.Follower{
		Table: table, Wait: func() time.Duration { return time.Millisecond }, Store: s.store(func() provider.Listing { return provider.Listing{Revision: 1} }),
		OnContact: func(_ string, lost error) { contacts <- lost },
	}
	follower.Start()
	defer follower.Stop()
	require.ErrorIs(t, <-contacts, context.DeadlineExceeded)
	s.watches <- func() (provider.Listing, error) {
		return provider.Listing{Revision: 2, Entries: []provider.Entry{{Key: "a", Revision: 2}}}, nil
	}
	require.NoError(t, <-contacts)
	assert.Len(t, table.Since(0).Entries, 1)
}

// TestTheReturnIsKnownBeforeTheNews: whether an entry that goes may have lapsed
// hangs on the store's having been away.
func TestTheReturnIsKnownBeforeTheNews(t *testing.T) {
	s := &tableStore{watches: make(chan func() (provider.Listing, error))}
	table := &mirror.Table{}
	follower := &mirror.Follower{Table: table, Store: s.store(func() provider.Listing { return provider.Listing{Revision: 1} })}
	known := make(chan bool, 8)
	table.OnChange = func([]provider.Entry) {
		_, ever := follower.Regained()
		known <- ever
	}
	follower.Start()
	defer follower.Stop()
	news := func(revision provider.Revision) func() (provider.Listing, error) {
		return func() (provider.Listing, error) {
			return provider.Listing{Revision: revision, Entries: []provider.Entry{{Key: "a", Revision: revision}}}, nil
		}
	}
	s.watches <- news(2)
	assert.False(t, <-known, "the store was never away")
	s.watches <- func() (provider.Listing, error) { return provider.Listing{}, errors.New("down") }
	s.watches <- news(3)
	assert.True(t, <-known)
}

func decode(entry provider.Entry) (provider.Record, error) {
	var record provider.Record
	err := json.Unmarshal(entry.Value, &record)
	return record, err
}

func entry(t *testing.T, key string, revision provider.Revision, record provider.Record) provider.Entry {
	t.Helper()
	data, err := json.Marshal(record)
	require.NoError(t, err)
	return provider.Entry{Key: key, Value: data, Revision: revision}
}

func TestFaultyEntryLeavesTheLastGoodOne(t *testing.T) {
	var beliefs []mirror.Belief
	compiler := &mirror.Compiler{Decode: decode, OnBelief: func(b mirror.Belief) { beliefs = append(beliefs, b) }}
	good := entry(t, "c", 1, provider.Record{Configuration: &provider.Configuration{
		Version: 7, Routes: []provider.Route{{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}},
		Accounts: []provider.Account{{Name: "x", Keys: []string{"k"}}},
	}})
	compiler.Take([]provider.Entry{good})
	compiler.Take([]provider.Entry{{Key: "c", Value: []byte("{"), Revision: 2}})
	view := compiler.View()
	assert.Equal(t, uint64(7), view.Configuration.Version)
	assert.Equal(t, "long", view.Route("h", "/a/b/c").Name, "the longest prefix")
	assert.Equal(t, "short", view.Route("h", "/a/x").Name)
	assert.Nil(t, view.Route("other", "/a/x"))
	assert.Equal(t, "x", view.Account("k").Name)
	require.Len(t, beliefs, 2)
	require.Error(t, beliefs[1].Err)
}

// TestAnEntryThatCannotBeReadNamesNoUpstream: an entry was spoiled by another writer, and the
// upstream that stood there before was used on (1 where 0 is right). The others hold, and
// it is back with its next good entry.
func TestAnEntryThatCannotBeReadNamesNoUpstream(t *testing.T) {
	var last mirror.Belief
	compiler := &mirror.Compiler{
		Decode: decode, Lapses: func() bool { return true }, OnBelief: func(b mirror.Belief) { last = b },
	}
	used := func() int { return len(compiler.View().Upstreams["s"]) }
	list := func(key, address string, revision provider.Revision) {
		record := provider.Record{Upstream: &provider.Upstream{ID: key, Service: "s", Address: netip.MustParseAddrPort(address)}}
		compiler.Take([]provider.Entry{entry(t, key, revision, record)})
	}
	list("a", "10.0.0.1:80", 1)
	list("b", "10.0.0.2:80", 2)
	require.Equal(t, 2, used())

	compiler.Take([]provider.Entry{{Key: "a", Value: []byte{0xff, 0}, Revision: 3}})
	assert.Equal(t, 1, used())
	assert.True(t, last.Dropped)
	require.Error(t, last.Err)
	assert.False(t, compiler.Lapsed())

	list("a", "10.0.0.1:80", 4)
	assert.Equal(t, 2, used())

	compiler.Take([]provider.Entry{{Key: "c", Value: []byte("{"), Revision: 5}})
	assert.False(t, last.Dropped, "nothing stood there")
	assert.Equal(t, 2, used())
}

func TestOlderDeclarationsKeepTheirTime(t *testing.T) {
	compiler := &mirror.Compiler{Decode: decode}
	compiler.Take([]provider.Entry{entry(t, "c", 1, provider.Record{})}) // something was known before
	for version := 2; version <= 9; version++ {
		target := &provider.Target{Model: "m", Version: version}
		compiler.Take([]provider.Entry{entry(t, "v/m", provider.Revision(version), provider.Record{Target: target})})
	}
	declared := compiler.View().Targets["m"]
	linked := 0
	for d := &declared; d != nil; d = d.Before {
		assert.Equal(t, 9-linked, d.Version)
		linked++
	}
	assert.Equal(t, 4, linked, "a bounded history")

	const grace, apply = 6 * time.Second, 8 * time.Second
	now := declared.Learned
	declared.Before.Learned = now.Add(-7 * time.Second)
	assert.Equal(t, 8, declared.Required(now, grace, apply), "the older one's time is over, the newer one's is not")
	assert.Equal(t, 9, declared.Required(now.Add(grace+time.Second), grace, apply))
	declared.Before = nil
	assert.Zero(t, declared.Required(now, grace, apply))
	declared.Found = true
	assert.Equal(t, 9, declared.Required(now.Add(2*time.Second), grace, apply), "one that was found may be old")
}

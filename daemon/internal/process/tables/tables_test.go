package tables

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
)

func accountItem(t interface {
	require.TestingT
	Helper()
}, name string, revision uint64,
) platform.Item {
	t.Helper()
	resource := &api.Resource{Kind: api.KindAccount, Name: name, Account: &api.AccountSpec{Concurrency: int(revision)}}
	value, err := EncodeResource(resource, 0)
	require.NoError(t, err)
	return platform.Item{Key: ResourceKey(api.KindAccount, name), Value: value, Revision: revision}
}

// history is the test's oracle: all writes of the key-value service in order.
type history struct {
	changes []platform.Change
}

// at returns the revision of each present key as of a revision.
func (h *history) at(revision uint64) map[string]uint64 {
	state := map[string]uint64{}
	for _, change := range h.changes {
		if change.Revision > revision {
			break
		}
		if change.Deleted {
			delete(state, change.Key)
		} else {
			state[change.Key] = change.Revision
		}
	}
	return state
}

func (h *history) items(revision uint64) []platform.Item {
	state := h.at(revision)
	var items []platform.Item
	for _, change := range h.changes {
		if state[change.Key] == change.Revision {
			items = append(items, change.Item)
		}
	}
	return items
}

// Guards against a table that reverts to older state when watches, listings, snapshots and the
// entry's own writes arrive late, repeatedly or out of order.
func TestTableNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := &history{}
		table := &Table{}
		seenRevisions := map[string]uint64{}
		now := func() uint64 { return uint64(len(truth.changes)) }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				item := accountItem(t, name, now()+1)
				_, present := truth.at(now())[item.Key]
				deleted := present && rapid.Bool().Draw(t, "delete")
				truth.changes = append(truth.changes, platform.Change{Item: item, Deleted: deleted})
			},
			"watch": func(t *rapid.T) {
				from := table.View().Revision
				upTo := rapid.Uint64Range(0, now()).Draw(t, "upTo")
				if upTo >= from {
					table.Apply(truth.changes[from:upTo], upTo)
				}
			},
			"own write answered late": func(t *rapid.T) {
				if now() > 0 {
					table.ApplyWrite(truth.changes[rapid.IntRange(0, len(truth.changes)-1).Draw(t, "which")])
				}
			},
			"listing or snapshot, maybe old": func(t *rapid.T) {
				revision := rapid.Uint64Range(0, now()).Draw(t, "revision")
				replaced := table.Replace(truth.items(revision), revision)
				_ = replaced
			},
			"": func(t *rapid.T) {
				view := table.View()
				for key, revision := range truth.at(view.Revision) {
					held := view.Accounts[key[len(key)-1:]]
					if held == nil {
						// Only a deletion above the cursor may have removed it.
						require.Contains(t, laterChanges(truth, key, revision), true)
						continue
					}
					require.GreaterOrEqual(t, held.Revision, revision, "the item is older than the cursor")
				}
				for name, held := range view.Accounts {
					key := ResourceKey(api.KindAccount, name)
					require.GreaterOrEqual(t, held.Revision, seenRevisions[key], "the item reverted to an older revision")
					require.Equal(t, int(held.Revision), held.Account.Concurrency, "the value belongs to another revision")
					if held.Revision <= view.Revision {
						require.Equal(t, truth.at(view.Revision)[key], held.Revision, "a deleted or replaced value remains")
					}
					seenRevisions[key] = held.Revision
				}
			},
		})
		table.Apply(truth.changes[table.View().Revision:], now())
		require.Len(t, table.View().Accounts, len(truth.at(now())), "the table is complete after the last watch")
	})
}

// laterChanges returns for each later change of a key whether it is a deletion.
func laterChanges(truth *history, key string, after uint64) []bool {
	var deletions []bool
	for _, change := range truth.changes {
		if change.Key == key && change.Revision > after {
			deletions = append(deletions, change.Deleted)
		}
	}
	return deletions
}

func TestEventsResumeFromRevision(t *testing.T) {
	table := &Table{}
	require.True(t, table.Replace([]platform.Item{accountItem(t, "a", 3)}, 5))
	_, _, kept := table.EventsAfter(4)
	assert.False(t, kept, "a listing does not contain earlier events")
	events, upTo, kept := table.EventsAfter(5)
	assert.True(t, kept)
	assert.Empty(t, events)
	assert.Equal(t, uint64(5), upTo)

	table.ApplyWrite(platform.Change{Item: accountItem(t, "own", 8)})
	events, upTo, _ = table.EventsAfter(5)
	assert.Empty(t, events, "changes below the entry's own write may be missing")
	assert.Equal(t, uint64(5), upTo)
	changed := table.Changed()
	table.Apply([]platform.Change{
		{Item: accountItem(t, "b", 6)},
		{Item: platform.Item{Key: ResourceKey(api.KindAccount, "a"), Revision: 7}, Deleted: true},
		{Item: accountItem(t, "own", 8)},
	}, 8)
	select {
	case <-changed:
	default:
		t.Fatal("watchers were not woken")
	}
	events, upTo, _ = table.EventsAfter(5)
	var descriptions []string
	for _, event := range events {
		descriptions = append(descriptions, fmt.Sprint(event.Revision, event.Type, event.Resource.Name))
	}
	assert.Equal(t, []string{"6putb", "7deletea", "8putown"}, descriptions)
	assert.Equal(t, uint64(8), upTo)
}

func TestViewSkipsUndecodableItems(t *testing.T) {
	table := &Table{}
	table.Replace([]platform.Item{
		accountItem(t, "a", 1),
		{Key: ResourceKey(api.KindAccount, "b"), Value: []byte("{"), Revision: 2},
		{Key: Prefix + "resources/podlets/x", Value: []byte(`{}`), Revision: 3},
	}, 3)
	assert.Len(t, table.View().Accounts, 1)
}

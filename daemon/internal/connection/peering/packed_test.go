package peering

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// largeConfiguration is 1,650 routes that differ by their names, as JSON.
func largeConfiguration(t *testing.T) []byte {
	t.Helper()
	type route struct {
		Name, Host, Prefix, Service string
		TimeoutMs, Priority         int
	}
	var routes []route
	for i := range 1650 {
		routes = append(routes, route{
			Name: fmt.Sprintf("route-%d", i*7919%100000), Host: fmt.Sprintf("h%d.example", i%40),
			Prefix: fmt.Sprintf("/p%d/", i*104729%1000000), Service: "assistant", TimeoutMs: 6000 + i%7, Priority: i % 3,
		})
	}
	data, err := json.Marshal(routes)
	require.NoError(t, err)
	return data
}

// TestALargeConfigurationIsPacked replays a hall of 32 routers that follow one: what
// that one sends them of a large configuration is a sixth of it at most.
func TestALargeConfigurationIsPacked(t *testing.T) {
	const followers = 32
	table := &replica.Table{}
	value := largeConfiguration(t)
	table.Apply([]provider.Entry{{Key: "c", Value: value, Revision: 7}})
	source := &Source{Table: table, Standing: func() replica.Status { return replica.Status{Revision: 7} }}
	sent := 0
	for range followers {
		answer := httptest.NewRecorder()
		source.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/copy?after=0", http.NoBody))
		sent += answer.Body.Len()
		var message packedMessage
		require.NoError(t, json.Unmarshal(answer.Body.Bytes(), &message))
		entries, err := unpack(message.Entries)
		require.NoError(t, err)
		assert.Equal(t, []provider.Entry{{Key: "c", Value: value, Revision: 7}}, entries)
	}
	assert.Less(t, sent, followers*len(value)/6)
}

// TestPackedEntriesAreTheSame: whatever entries hold, they arrive as they were sent,
// also when the state of a key changes between two answers.
func TestPackedEntriesAreTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p packer
		for revision := range rapid.IntRange(1, 5).Draw(t, "states") {
			pattern := rapid.SliceOfN(rapid.Byte(), 1, 64).Draw(t, "pattern")
			var value []byte
			for range rapid.IntRange(1, 200).Draw(t, "times") {
				value = append(value, pattern...)
			}
			sent := []provider.Entry{{Key: "a", Value: value, Revision: provider.Revision(revision + 1)}, {Key: "b", Deleted: true}}
			data, err := json.Marshal(p.pack(sent))
			require.NoError(t, err)
			var packed []packedEntry
			require.NoError(t, json.Unmarshal(data, &packed))
			received, err := unpack(packed)
			require.NoError(t, err)
			assert.Equal(t, sent, received)
		}
	})
}

// TestSpoiltPackedEntriesAreNotTaken: an answer that cannot be unpacked is an error.
func TestSpoiltPackedEntriesAreNotTaken(t *testing.T) {
	_, err := unpack([]packedEntry{{Entry: provider.Entry{Key: "c"}, Packed: []byte("no deflated bytes")}})
	assert.ErrorContains(t, err, `unpack "c"`)
}

// TestCopyOfAFleetIsPackedOnce replays a hall of 117 routers that start together and follow
// one: the records of 546 routers and 461 upstreams are packed once, to a third at most, and
// callers that do not ask for that get them as before.
func TestCopyOfAFleetIsPackedOnce(t *testing.T) {
	var made []provider.Entry
	for i := range 1007 {
		value := fmt.Sprintf(`{"service":"lovo38b","address":"10.%d.64.%d:8761","zone":"natal-a","capacity":8,"state":"ready","sequence":%d}`, i%5, i%250, i*7919)
		made = append(made, provider.Entry{Key: fmt.Sprintf("u/i-%08x", i*2654435761), Value: []byte(value), Revision: provider.Revision(i + 1)})
	}
	table := &replica.Table{}
	table.Apply(made)
	source := &Source{Table: table, Standing: func() replica.Status { return replica.Status{Revision: 1007} }}
	get := func(target string) (packedMessage, int) {
		answer := httptest.NewRecorder()
		source.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, target, http.NoBody))
		var message packedMessage
		require.NoError(t, json.Unmarshal(answer.Body.Bytes(), &message))
		return message, answer.Body.Len()
	}
	plain, plainSize := get("/copy?after=0")
	assert.Len(t, plain.Entries, len(made))
	for range 117 {
		message, size := get("/copy?after=0&form=packed")
		assert.Less(t, size, plainSize/3)
		entries, err := message.unpacked()
		require.NoError(t, err)
		assert.ElementsMatch(t, made, entries)
	}
	assert.Len(t, source.listings.kept, 1, "one listing for all of them")
	table.Apply([]provider.Entry{{Key: "u/new", Revision: 2000}})
	message, _ := get("/copy?after=1007&form=packed")
	entries, err := message.unpacked()
	require.NoError(t, err)
	assert.Len(t, entries, 1, "a changed table is listed anew")
}

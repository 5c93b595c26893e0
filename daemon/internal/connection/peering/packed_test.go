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

// TestLargeConfigurationIsPacked guards against a large configuration that is sent
// uncompressed to all followers of a hall.
func TestLargeConfigurationIsPacked(t *testing.T) {
	const followers = 32
	table := &replica.Table{}
	value := largeConfiguration(t)
	table.Apply([]provider.Entry{{Key: "c", Value: value, Revision: 7}})
	source := &Source{Table: table, Status: func() replica.Status { return replica.Status{Revision: 7} }}
	sent := 0
	for range followers {
		rec := httptest.NewRecorder()
		source.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/copy?after=0", http.NoBody))
		sent += rec.Body.Len()
		var resp wireResponse
		require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &resp))
		unpacked, err := unpack(resp.Entries)
		require.NoError(t, err)
		assert.Equal(t, []provider.Entry{{Key: "c", Value: value, Revision: 7}}, unpacked)
	}
	assert.Less(t, sent, followers*len(value)/6)
}

// TestUnpackReversesPack checks random values, also if the value of a key changes between
// two responses of the same packer.
func TestUnpackReversesPack(t *testing.T) {
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

func TestCorruptPackedEntryIsAnError(t *testing.T) {
	_, err := unpack([]packedEntry{{Entry: provider.Entry{Key: "c"}, Packed: []byte("no deflated bytes")}})
	assert.ErrorContains(t, err, `unpack "c"`)
}

// TestReplicaIsPackedOnceForAllFollowers guards against a router that packs its replica for
// each of many followers that start together. Callers that do not request the packed form
// receive plain entries.
func TestReplicaIsPackedOnceForAllFollowers(t *testing.T) {
	var entries []provider.Entry
	for i := range 1007 {
		value := fmt.Sprintf(`{"service":"lovo38b","address":"10.%d.64.%d:8761","zone":"natal-a","capacity":8,"state":"ready","sequence":%d}`, i%5, i%250, i*7919)
		entries = append(entries, provider.Entry{Key: fmt.Sprintf("u/i-%08x", i*2654435761), Value: []byte(value), Revision: provider.Revision(i + 1)})
	}
	table := &replica.Table{}
	table.Apply(entries)
	source := &Source{Table: table, Status: func() replica.Status { return replica.Status{Revision: 1007} }}
	get := func(target string) (wireResponse, int) {
		rec := httptest.NewRecorder()
		source.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, target, http.NoBody))
		var resp wireResponse
		require.NoError(t, json.Unmarshal(rec.Body.Bytes(), &resp))
		return resp, rec.Body.Len()
	}
	plain, plainSize := get("/copy?after=0")
	assert.Len(t, plain.Entries, len(entries))
	for range 117 {
		resp, size := get("/copy?after=0&form=packed")
		assert.Less(t, size, plainSize/3)
		unpacked, err := resp.unpacked()
		require.NoError(t, err)
		assert.ElementsMatch(t, entries, unpacked)
	}
	assert.Len(t, source.listings.cache, 1, "all followers share one listing")
	table.Apply([]provider.Entry{{Key: "u/new", Revision: 2000}})
	resp, _ := get("/copy?after=1007&form=packed")
	unpacked, err := resp.unpacked()
	require.NoError(t, err)
	assert.Len(t, unpacked, 1, "a changed table is listed again")
}

// TestUnpackedEntriesShareOneBound guards against a small response that takes more memory than a host has, once it
// is unpacked.
func TestUnpackedEntriesShareOneBound(t *testing.T) {
	value := deflate(make([]byte, maxUnpacked/4))
	entries := make([]packedEntry, 5)
	for i := range entries {
		entries[i] = packedEntry{Entry: provider.Entry{Key: "c"}, Packed: value}
	}
	unpacked, err := unpack(entries[:4])
	require.NoError(t, err)
	assert.Len(t, unpacked, 4)
	_, err = unpack(entries)
	require.ErrorContains(t, err, "more than")
	_, err = unpackAll(deflate(make([]byte, maxUnpacked+1)))
	assert.ErrorContains(t, err, "more than")
}

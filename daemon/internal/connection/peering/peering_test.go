package peering

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// daemon serves its replica.
type daemon struct {
	table   *replica.Table
	mu      sync.Mutex
	status  replica.Status
	address netip.AddrPort
	client  *http.Client
}

func startDaemon(t *testing.T, status replica.Status) *daemon {
	t.Helper()
	d := &daemon{table: &replica.Table{}, status: status}
	source := &Source{Table: d.table, Status: d.currentStatus}
	server := httptest.NewServer(source)
	t.Cleanup(server.Close)
	d.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	d.client = server.Client()
	return d
}

func (d *daemon) currentStatus() replica.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.status
}

func (d *daemon) setStatus(status replica.Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.status = status
}

// choose chooses the daemon as long as it is usable.
func (d *daemon) choose(usable func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	return d.address, usable(d.address)
}

func entries(revisions ...provider.Revision) []provider.Entry {
	var list []provider.Entry
	for _, revision := range revisions {
		list = append(list, provider.Entry{Key: string(rune('a' + revision)), Value: []byte("v"), Revision: revision})
	}
	return list
}

// TestLongPollWaitsForChangeUnderPrefix also checks the status in the response, and that a
// response without entries is sent when the wait is over.
func TestLongPollWaitsForChangeUnderPrefix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, at := &replica.Table{}, provider.Revision(4)
		source := &Source{Table: table, Status: func() replica.Status {
			return replica.Status{Revision: at, SinceAnswer: 30 * time.Millisecond, SinceData: 20 * time.Millisecond}
		}}
		table.Apply(entries(3, 4))
		var resp response
		responded := false
		req := request{after: 4, prefix: "f", wait: LongPollWait}
		poll := func() {
			resp, responded = source.await(t.Context(), req)
		}
		go poll()
		synctest.Wait()
		table.Apply([]provider.Entry{{Key: "other", Revision: 6}})
		synctest.Wait()
		assert.False(t, responded)
		at = 6
		table.Apply(entries(5))
		synctest.Wait()
		assert.True(t, responded)
		want := response{Listing: provider.Listing{Entries: entries(5), Revision: 6}, SinceAnswer: 30 * time.Millisecond, SinceData: 20 * time.Millisecond}
		assert.Equal(t, want, resp)

		started := time.Now()
		req.after, responded = 6, false
		poll()
		assert.True(t, responded)
		assert.Empty(t, resp.Entries)
		assert.Equal(t, LongPollWait, time.Since(started))
	})
}

// TestLongPollEndsWhenReplicaBecomesStale guards against a follower that waits at a daemon
// which no longer receives data from the store.
func TestLongPollEndsWhenReplicaBecomesStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lastData := time.Now()
		source := &Source{Table: &replica.Table{}, Status: func() replica.Status {
			return replica.Status{Revision: 4, SinceData: time.Since(lastData)}
		}}
		resp, _ := source.await(t.Context(), request{after: 4, wait: maxWait})
		assert.True(t, resp.status().Stale())
		assert.Equal(t, replica.ReaderMaxStaleness, time.Since(lastData))

		source.Status = func() replica.Status { return replica.Status{Revision: 4, Disconnected: true} }
		started := time.Now()
		resp, _ = source.await(t.Context(), request{after: 4, wait: maxWait})
		assert.True(t, resp.Disconnected)
		assert.Zero(t, time.Since(started))
	})
}

// TestStaleDaemonSendsNoEntriesToFollowers guards against a hall whose stale routers all send
// their replicas to each other. The followers would drop them.
func TestStaleDaemonSendsNoEntriesToFollowers(t *testing.T) {
	table := &replica.Table{}
	table.Apply(entries(3, 4))
	source := &Source{Table: table, Status: func() replica.Status { return replica.Status{Revision: 4, Disconnected: true} }}
	resp, _ := source.await(t.Context(), request{wait: maxWait})
	assert.True(t, resp.Disconnected)
	assert.Empty(t, resp.Entries)
	resp, _ = source.await(t.Context(), request{})
	assert.Len(t, resp.Entries, 2, "a call without a wait receives the entries")
}

// TestNewGenerationIsFetchedCompletely guards against a missed entry. The store compacts its
// history, and with it a change that no watch delivered. The neighbour lists the store again
// and has the entry, whose revision is below the one that its followers already hold.
func TestNewGenerationIsFetchedCompletely(t *testing.T) {
	d := startDaemon(t, replica.Status{Revision: 6, Generation: 1})
	d.table.Apply(entries(3, 6))
	neighbours := &Neighbours{Client: d.client, Choose: d.choose}
	update, err := neighbours.FetchUpdate(t.Context(), "", 5)
	require.NoError(t, err)
	assert.Equal(t, provider.Revision(5), update.After, "the first call to a neighbour fetches what is new")
	assert.Equal(t, entries(6), update.Entries)
	update, err = neighbours.FetchUpdate(t.Context(), "", 5)
	require.NoError(t, err)
	assert.Equal(t, provider.Revision(0), update.After, "the second call fetches all entries")
	assert.Len(t, update.Entries, 2)
	update, err = neighbours.FetchUpdate(t.Context(), "", 5)
	require.NoError(t, err)
	assert.Equal(t, provider.Revision(5), update.After)
	assert.Equal(t, entries(6), update.Entries)

	d.table.Apply(entries(4))
	d.setStatus(replica.Status{Revision: 6, Generation: 2})
	update, err = neighbours.FetchUpdate(t.Context(), "", 5)
	require.NoError(t, err)
	assert.Equal(t, provider.Revision(0), update.After)
	assert.Len(t, update.Entries, 3)
	update, err = neighbours.FetchUpdate(t.Context(), "", 5)
	require.NoError(t, err)
	assert.Equal(t, provider.Revision(5), update.After, "a generation is fetched completely only once")
}

func TestUpdateHasOnlyEntriesUnderPrefix(t *testing.T) {
	d := startDaemon(t, replica.Status{Revision: 9})
	d.table.Apply([]provider.Entry{{Key: "c", Value: make([]byte, 1000), Revision: 8}, {Key: "u/1", Revision: 9}})
	update, err := (&Neighbours{Client: d.client, Choose: d.choose}).FetchUpdate(t.Context(), "u/", 0)
	require.NoError(t, err)
	assert.Equal(t, []provider.Entry{{Key: "u/1", Revision: 9}}, update.Entries)
}

// TestStartingDaemonRespondsOnceReplicaIsReady guards against an empty response of a daemon
// that is starting.
func TestStartingDaemonRespondsOnceReplicaIsReady(t *testing.T) {
	d := startDaemon(t, replica.Status{})
	responses := make(chan response, 1)
	source := &Source{Table: d.table, Status: d.currentStatus}
	go func() {
		resp, _ := source.await(t.Context(), request{wait: maxWait})
		responses <- resp
	}()
	d.table.Apply(entries(1, 2))
	d.setStatus(replica.Status{Revision: 2})
	resp := <-responses
	assert.Equal(t, provider.Revision(2), resp.Revision)
	assert.Len(t, resp.Entries, 2)
}

// TestUnusableNeighbourIsInBackoff covers neighbours whose replica is stale or empty, and
// those that refuse connections.
func TestUnusableNeighbourIsInBackoff(t *testing.T) {
	tests := []struct {
		name        string
		status      replica.Status
		unreachable bool
		backoff     time.Duration
	}{
		{"has a stale replica", replica.Status{Revision: 4, SinceAnswer: time.Minute, SinceData: replica.ReaderMaxStaleness + time.Second}, false, defaultBackoff},
		{"is disconnected from the store", replica.Status{Revision: 4, Disconnected: true}, false, defaultBackoff},
		{"has an empty replica", replica.Status{}, false, startingBackoff},
		{"refuses connections", replica.Status{Revision: 4}, true, startingBackoff},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := startDaemon(t, test.status)
			d.table.Apply(entries(3, 4))
			if test.unreachable {
				d.address = netip.MustParseAddrPort("127.0.0.1:1")
			}
			now := time.Unix(1000, 0)
			var inBackoff []netip.AddrPort
			neighbours := &Neighbours{
				Client: d.client, Choose: d.choose, Now: func() time.Time { return now },
				OnBackoff: func(neighbour netip.AddrPort, _ error) { inBackoff = append(inBackoff, neighbour) },
			}
			_, err := neighbours.FetchUpdate(t.Context(), "", 3)
			require.Error(t, err)
			require.NotErrorIs(t, err, replica.ErrNoPeer)
			assert.Equal(t, []netip.AddrPort{d.address}, inBackoff)
			_, err = neighbours.FetchUpdate(t.Context(), "", 3)
			require.ErrorIs(t, err, replica.ErrNoPeer, "the neighbour is in backoff")
			now = now.Add(test.backoff - time.Millisecond)
			_, err = neighbours.FetchUpdate(t.Context(), "", 3)
			require.ErrorIs(t, err, replica.ErrNoPeer, "the neighbour is still in backoff")
			now = now.Add(time.Millisecond)
			_, err = neighbours.FetchUpdate(t.Context(), "", 3)
			require.NotErrorIs(t, err, replica.ErrNoPeer, "the backoff is over")
		})
	}
}

// TestNeighbourIsUsableDuringLongResponseOfStore guards against followers that read the store
// while a neighbour receives a large response from it. Their calls would delay the response.
func TestNeighbourIsUsableDuringLongResponseOfStore(t *testing.T) {
	d := startDaemon(t, replica.Status{Revision: 4, SinceAnswer: 5 * time.Second, SinceData: 10 * time.Millisecond})
	d.table.Apply(entries(3, 4))
	update, err := (&Neighbours{Client: d.client, Choose: d.choose}).FetchUpdate(t.Context(), "", 3)
	require.NoError(t, err)
	assert.Equal(t, 5*time.Second, update.SinceAnswer, "the update includes the age of its data")
}

func TestCanceledCallCausesNoBackoff(t *testing.T) {
	d := startDaemon(t, replica.Status{Revision: 4})
	neighbours := &Neighbours{Client: d.client, Choose: d.choose}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := neighbours.FetchUpdate(ctx, "", 4)
	require.Error(t, err)
	assert.True(t, neighbours.usable(d.address))
}

// TestPullerResumesFromCompleteRevision guards against a missed entry: a replica with the
// newest entry may lack an older one, so the next call starts from the revision up to which
// the replica was complete.
func TestPullerResumesFromCompleteRevision(t *testing.T) {
	d := startDaemon(t, replica.Status{Revision: 3})
	d.table.Apply(entries(3, 7))
	follower := &replica.Follower{Table: &replica.Table{}}
	puller := &Puller{Client: d.client, Follower: follower}
	require.NoError(t, puller.pull(t.Context(), d.address))
	assert.Equal(t, provider.Revision(7), follower.Table.LatestRevision())
	d.setStatus(replica.Status{Revision: 7})
	d.table.Apply(entries(5))
	require.NoError(t, puller.pull(t.Context(), d.address))
	assert.Len(t, follower.Table.EntriesAfter(0).Entries, 3)
	assert.Equal(t, provider.Revision(7), follower.Revision())
}

// TestEngineCallReturnsConfigOfService also covers a daemon without a configuration and a
// service that does not exist.
func TestEngineCallReturnsConfigOfService(t *testing.T) {
	view := &replica.View{}
	server := httptest.NewServer(EngineHandler(func() *replica.View { return view }))
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	neighbours := &Neighbours{
		Client: server.Client(), Choose: func(func(netip.AddrPort) bool) (netip.AddrPort, bool) { return address, true },
	}
	_, err := neighbours.FetchEngine(t.Context(), "s")
	require.Error(t, err)
	engine, origin := provider.EngineSpec{Model: "m", Chunks: 3}, netip.MustParseAddrPort("10.0.0.1:80")
	view = &replica.View{ConfigurationRevision: 9, Configuration: &provider.Configuration{
		Services: []provider.Service{{Name: "s", Engine: &engine}, {Name: "o", Origin: origin}},
	}}
	resp, err := neighbours.FetchEngine(t.Context(), "s")
	require.NoError(t, err)
	assert.Equal(t, VersionedEngineConfig{EngineConfig: replica.EngineConfig{Engine: engine, Origin: origin}, Revision: 9}, resp)
	_, err = neighbours.FetchEngine(t.Context(), "other")
	require.Error(t, err)
	assert.False(t, errors.Is(err, replica.ErrNoPeer))
}

// TestPullerFetchesHallBeforeReplica checks that a router without a replica fetches only the
// records of its hall from a peer first, and that they do not count as a complete replica.
func TestPullerFetchesHallBeforeReplica(t *testing.T) {
	d := startDaemon(t, replica.Status{Revision: 9})
	d.table.Apply([]provider.Entry{{Key: "c", Value: make([]byte, 1000), Revision: 8}, {Key: "m/hall/1", Value: []byte("v"), Revision: 9}})
	follower := &replica.Follower{Table: &replica.Table{}}
	puller := &Puller{Client: d.client, Follower: follower, FirstPrefix: "m/hall/"}
	require.NoError(t, puller.pullNext(t.Context(), d.address))
	assert.Len(t, follower.Table.EntriesAfter(0).Entries, 1)
	assert.Zero(t, follower.Revision(), "the replica is not complete")
	require.NoError(t, puller.pullNext(t.Context(), d.address))
	assert.Len(t, follower.Table.EntriesAfter(0).Entries, 2)
	assert.Equal(t, provider.Revision(9), follower.Revision())
}

// roundTripper answers the calls of a client without a network.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// TestFrozenNeighboursDelayChangesLessThanDrainTime guards against a router that follows one neighbour after the
// other, each of which stands still, for longer than an upstream serves after its record is removed.
func TestFrozenNeighboursDelayChangesLessThanDrainTime(t *testing.T) {
	const drainTime = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		addresses := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:3")}
		table := &replica.Table{}
		table.Apply(entries(1, 2, 3))
		source := &Source{Table: table, Status: func() replica.Status { return replica.Status{Revision: table.LatestRevision()} }}
		var frozen sync.Map
		client := &http.Client{Transport: roundTripper(func(req *http.Request) (*http.Response, error) {
			if _, ok := frozen.Load(req.URL.Host); ok {
				<-req.Context().Done()
				return nil, req.Context().Err()
			}
			rec := httptest.NewRecorder()
			source.ServeHTTP(rec, req)
			return rec.Result(), nil
		})}
		neighbours := &Neighbours{Client: client, Choose: func(usable func(netip.AddrPort) bool) (netip.AddrPort, bool) {
			for _, address := range addresses {
				if usable(address) {
					return address, true
				}
			}
			return netip.AddrPort{}, false
		}}
		follower := &replica.Follower{Table: &replica.Table{}, QueryPeer: neighbours.FetchUpdate, PeerAttempts: len(addresses)}
		follower.Start()
		defer follower.Stop()
		helpers.Pause(drainTime, nil)
		require.EqualValues(t, 3, follower.Table.LatestRevision())

		frozen.Store(addresses[0].String(), true)
		frozen.Store(addresses[1].String(), true)
		helpers.Pause(LongPollWait, nil) // the call that is waiting ends
		table.Apply(entries(4))
		helpers.Pause(drainTime, nil)
		assert.EqualValues(t, 4, follower.Table.LatestRevision())
	})
}

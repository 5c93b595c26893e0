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

	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// daemon is one that hands out its copy.
type daemon struct {
	table    *replica.Table
	mu       sync.Mutex
	standing replica.Status
	address  netip.AddrPort
	client   *http.Client
}

func startDaemon(t *testing.T, standing replica.Status) *daemon {
	t.Helper()
	d := &daemon{table: &replica.Table{}, standing: standing}
	source := &Source{Table: d.table, Standing: d.stands}
	server := httptest.NewServer(source)
	t.Cleanup(server.Close)
	d.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	d.client = server.Client()
	return d
}

func (d *daemon) stands() replica.Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.standing
}

func (d *daemon) stand(standing replica.Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.standing = standing
}

// only chooses one daemon as long as it is usable.
func (d *daemon) only(usable func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	return d.address, usable(d.address)
}

func entries(revisions ...provider.Revision) []provider.Entry {
	var made []provider.Entry
	for _, revision := range revisions {
		made = append(made, provider.Entry{Key: string(rune('a' + revision)), Value: []byte("v"), Revision: revision})
	}
	return made
}

// TestNewsAreHeldUntilThereAreSome: a question waits for a change of the keys that it
// is for, and its answer says up to where the copy is complete and when the store was
// heard. Without a change the answer comes when the time is over.
func TestNewsAreHeldUntilThereAreSome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, at := &replica.Table{}, provider.Revision(4)
		source := &Source{Table: table, Standing: func() replica.Status {
			return replica.Status{Revision: at, SinceAnswer: 30 * time.Millisecond, SinceData: 20 * time.Millisecond}
		}}
		table.Apply(entries(3, 4))
		var answer message
		answered := false
		asked := question{after: 4, prefix: "f", wait: NewsWait}
		ask := func() {
			answer, answered = source.await(t.Context(), asked)
		}
		go ask()
		synctest.Wait()
		table.Apply([]provider.Entry{{Key: "other", Revision: 6}})
		synctest.Wait()
		assert.False(t, answered)
		at = 6
		table.Apply(entries(5))
		synctest.Wait()
		assert.True(t, answered)
		want := message{Listing: provider.Listing{Entries: entries(5), Revision: 6}, Answered: 30 * time.Millisecond, Heard: 20 * time.Millisecond}
		assert.Equal(t, want, answer)

		started := time.Now()
		asked.after, answered = 6, false
		ask()
		assert.True(t, answered)
		assert.Empty(t, answer.Entries)
		assert.Equal(t, NewsWait, time.Since(started))
	})
}

// TestLossIsToldAtOnce: who follows a daemon that stops hearing the store is to leave
// it before a change is due, so an answer is not held beyond that.
func TestLossIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		heard := time.Now()
		source := &Source{Table: &replica.Table{}, Standing: func() replica.Status {
			return replica.Status{Revision: 4, SinceData: time.Since(heard)}
		}}
		answer, _ := source.await(t.Context(), question{after: 4, wait: maxWait})
		assert.True(t, answer.standing().Stale())
		assert.Equal(t, replica.ReaderMaxStaleness, time.Since(heard))

		source.Standing = func() replica.Status { return replica.Status{Revision: 4, Disconnected: true} }
		asked := time.Now()
		answer, _ = source.await(t.Context(), question{after: 4, wait: maxWait})
		assert.True(t, answer.Lost)
		assert.Zero(t, time.Since(asked))
	})
}

// TestWhoIsBehindSendsNoCopy: who follows would drop it, and in a hall whose routers are
// all behind each would send its copy to each, hundreds of kilobytes at a time.
func TestWhoIsBehindSendsNoCopy(t *testing.T) {
	table := &replica.Table{}
	table.Apply(entries(3, 4))
	source := &Source{Table: table, Standing: func() replica.Status { return replica.Status{Revision: 4, Disconnected: true} }}
	answer, _ := source.await(t.Context(), question{wait: maxWait})
	assert.True(t, answer.Lost)
	assert.Empty(t, answer.Entries)
	answer, _ = source.await(t.Context(), question{})
	assert.Len(t, answer.Entries, 2, "but who asks for what there is gets it")
}

// TestEntriesOfAGapAreTaken: the store drops its history and with it a change that no
// watch told of. The neighbour reads its copy anew and has the entry; its revision is
// below the one up to which those who follow it take their copy for complete.
func TestEntriesOfAGapAreTaken(t *testing.T) {
	d := startDaemon(t, replica.Status{Revision: 6, Generation: 1})
	d.table.Apply(entries(3, 6))
	neighbours := &Neighbours{Client: d.client, Choose: d.only}
	news, err := neighbours.News(t.Context(), "", 5)
	require.NoError(t, err)
	assert.Equal(t, provider.Revision(0), news.After, "of one that was not followed before, all is taken")
	news, err = neighbours.News(t.Context(), "", 5)
	require.NoError(t, err)
	assert.Equal(t, provider.Revision(5), news.After)
	assert.Equal(t, entries(6), news.Entries)

	d.table.Apply(entries(4))
	d.stand(replica.Status{Revision: 6, Generation: 2})
	news, err = neighbours.News(t.Context(), "", 5)
	require.NoError(t, err)
	assert.Equal(t, provider.Revision(0), news.After)
	assert.Len(t, news.Entries, 3)
	news, err = neighbours.News(t.Context(), "", 5)
	require.NoError(t, err)
	assert.Equal(t, provider.Revision(5), news.After, "once")
}

// TestNewsOfAPrefix: a daemon that needs only some keys is sent only those.
func TestNewsOfAPrefix(t *testing.T) {
	d := startDaemon(t, replica.Status{Revision: 9})
	d.table.Apply([]provider.Entry{{Key: "c", Value: make([]byte, 1000), Revision: 8}, {Key: "u/1", Revision: 9}})
	news, err := (&Neighbours{Client: d.client, Choose: d.only}).News(t.Context(), "u/", 0)
	require.NoError(t, err)
	assert.Equal(t, []provider.Entry{{Key: "u/1", Revision: 9}}, news.Entries)
}

// TestTheWholeCopyIsWaitedFor: one that is just starting answers when it has it.
func TestTheWholeCopyIsWaitedFor(t *testing.T) {
	d := startDaemon(t, replica.Status{})
	answers := make(chan message, 1)
	source := &Source{Table: d.table, Standing: d.stands}
	go func() {
		answer, _ := source.await(t.Context(), question{wait: maxWait})
		answers <- answer
	}()
	d.table.Apply(entries(1, 2))
	d.stand(replica.Status{Revision: 2})
	answer := <-answers
	assert.Equal(t, provider.Revision(2), answer.Revision)
	assert.Len(t, answer.Entries, 2)
}

// TestWhoDoesNotHearTheStoreIsLeft: a neighbour that answers but does not hear the
// store, knows nothing, or is gone, is not asked for a while.
func TestWhoDoesNotHearTheStoreIsLeft(t *testing.T) {
	tests := []struct {
		name     string
		standing replica.Status
		gone     bool
		muted    time.Duration
	}{
		{"does not hear the store", replica.Status{Revision: 4, SinceAnswer: time.Minute, SinceData: replica.ReaderMaxStaleness + time.Second}, false, muteFor},
		{"is turned away by the store", replica.Status{Revision: 4, Disconnected: true}, false, muteFor},
		{"knows nothing yet", replica.Status{}, false, muteStarting},
		{"is not up", replica.Status{Revision: 4}, true, muteStarting},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := startDaemon(t, test.standing)
			d.table.Apply(entries(3, 4))
			if test.gone {
				d.address = netip.MustParseAddrPort("127.0.0.1:1")
			}
			now := time.Unix(1000, 0)
			var left []netip.AddrPort
			neighbours := &Neighbours{
				Client: d.client, Choose: d.only, Now: func() time.Time { return now },
				OnMute: func(neighbour netip.AddrPort, _ error) { left = append(left, neighbour) },
			}
			_, err := neighbours.News(t.Context(), "", 3)
			require.Error(t, err)
			require.NotErrorIs(t, err, replica.ErrNoPeer)
			assert.Equal(t, []netip.AddrPort{d.address}, left)
			_, err = neighbours.News(t.Context(), "", 3)
			require.ErrorIs(t, err, replica.ErrNoPeer, "it is not asked")
			now = now.Add(test.muted - time.Millisecond)
			_, err = neighbours.News(t.Context(), "", 3)
			require.ErrorIs(t, err, replica.ErrNoPeer, "still not")
			now = now.Add(time.Millisecond)
			_, err = neighbours.News(t.Context(), "", 3)
			require.NotErrorIs(t, err, replica.ErrNoPeer, "it is asked again")
		})
	}
}

// TestALongAnswerIsNoSilence: while an answer of the store is long under way to a
// neighbour, those who ask it do not go to the store, which would make it longer.
func TestALongAnswerIsNoSilence(t *testing.T) {
	d := startDaemon(t, replica.Status{Revision: 4, SinceAnswer: 5 * time.Second, SinceData: 10 * time.Millisecond})
	d.table.Apply(entries(3, 4))
	news, err := (&Neighbours{Client: d.client, Choose: d.only}).News(t.Context(), "", 3)
	require.NoError(t, err)
	assert.Equal(t, 5*time.Second, news.SinceAnswer, "but what is known may be old")
}

// TestWhoGivesUpBlamesNobody: a daemon that stops leaves its neighbour unmuted.
func TestWhoGivesUpBlamesNobody(t *testing.T) {
	d := startDaemon(t, replica.Status{Revision: 4})
	neighbours := &Neighbours{Client: d.client, Choose: d.only}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := neighbours.News(ctx, "", 4)
	require.Error(t, err)
	assert.True(t, neighbours.usable(d.address))
}

// TestAPeersCopyIsTakenAsFarAsItIsComplete: a copy with the newest entry may lack an
// older one, so what is asked for next goes by what the copy was complete up to.
func TestAPeersCopyIsTakenAsFarAsItIsComplete(t *testing.T) {
	d := startDaemon(t, replica.Status{Revision: 3})
	d.table.Apply(entries(3, 7))
	follower := &replica.Follower{Table: &replica.Table{}}
	puller := &Puller{Client: d.client, Follower: follower}
	require.NoError(t, puller.pull(t.Context(), d.address))
	assert.Equal(t, provider.Revision(7), follower.Table.LatestRevision())
	d.stand(replica.Status{Revision: 7})
	d.table.Apply(entries(5))
	require.NoError(t, puller.pull(t.Context(), d.address))
	assert.Len(t, follower.Table.EntriesAfter(0).Entries, 3)
	assert.Equal(t, provider.Revision(7), follower.Revision())
}

// TestEngineNeeds: a loader is told what it needs, and when nothing is known yet.
func TestEngineNeeds(t *testing.T) {
	view := &replica.View{}
	server := httptest.NewServer(EngineHandler(func() *replica.View { return view }))
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	neighbours := &Neighbours{
		Client: server.Client(), Choose: func(func(netip.AddrPort) bool) (netip.AddrPort, bool) { return address, true },
	}
	_, err := neighbours.Engine(t.Context(), "s")
	require.Error(t, err)
	engine, origin := provider.EngineSpec{Model: "m", Chunks: 3}, netip.MustParseAddrPort("10.0.0.1:80")
	view = &replica.View{ConfigurationRevision: 9, Configuration: &provider.Configuration{
		Services: []provider.Service{{Name: "s", Engine: &engine}, {Name: "o", Origin: origin}},
	}}
	news, err := neighbours.Engine(t.Context(), "s")
	require.NoError(t, err)
	assert.Equal(t, EngineNews{EngineConfig: replica.EngineConfig{Engine: engine, Origin: origin}, Revision: 9}, news)
	_, err = neighbours.Engine(t.Context(), "other")
	require.Error(t, err)
	assert.False(t, errors.Is(err, replica.ErrNoPeer))
}

// TestHallIsAskedForBeforeTheWholeCopy: a router that the store turns away and that knows nothing
// asks a seed for the records of its hall only, which are no copy of the store, and for all next.
func TestHallIsAskedForBeforeTheWholeCopy(t *testing.T) {
	d := startDaemon(t, replica.Status{Revision: 9})
	d.table.Apply([]provider.Entry{{Key: "c", Value: make([]byte, 1000), Revision: 8}, {Key: "m/hall/1", Value: []byte("v"), Revision: 9}})
	follower := &replica.Follower{Table: &replica.Table{}}
	puller := &Puller{Client: d.client, Follower: follower, First: "m/hall/"}
	require.NoError(t, puller.ask(t.Context(), d.address))
	assert.Len(t, follower.Table.EntriesAfter(0).Entries, 1)
	assert.Zero(t, follower.Revision(), "nothing is complete by it")
	require.NoError(t, puller.ask(t.Context(), d.address))
	assert.Len(t, follower.Table.EntriesAfter(0).Entries, 2)
	assert.Equal(t, provider.Revision(9), follower.Revision())
}

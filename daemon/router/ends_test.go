package router_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/evidence"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// mortal is an upstream whose process ends as it begins a deadly request: its port refuses
// connections, all that ran there breaks, and a new one starts at the address after a while.
type mortal struct {
	*upstream
	mu          sync.Mutex
	listener    net.Listener
	connections map[net.Conn]bool
	ends        atomic.Int64
}

// deadly is the body of the request that ends upstreams.
const deadly = "deadly"

func startMortal(t *testing.T, id string) *mortal {
	t.Helper()
	m := &mortal{upstream: &upstream{id: id}}
	answer := upstreamFunc(m.run)
	m.answer.Store(&answer)
	m.listen(t, "127.0.0.1:0")
	m.address = m.listener.Addr().(*net.TCPAddr).AddrPort()
	t.Cleanup(m.end)
	return m
}

// listen starts the process.
func (m *mortal) listen(t *testing.T, address string) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	require.NoError(t, err)
	m.mu.Lock()
	m.listener, m.connections = listener, map[net.Conn]bool{}
	m.mu.Unlock()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			if m.listener == listener {
				m.connections[connection] = true
			}
			m.mu.Unlock()
			go m.serve(connection)
		}
	}()
}

// end ends the process.
func (m *mortal) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listener == nil {
		return
	}
	_ = m.listener.Close()
	for connection := range m.connections {
		_ = connection.Close()
	}
	m.listener = nil
}

// run answers a request, or ends the process just after the answer began.
func (m *mortal) run(request *http.Request, connection net.Conn) {
	text, _ := io.ReadAll(request.Body)
	if string(text) != deadly {
		good(request, connection)
		return
	}
	if strings.HasPrefix(request.URL.Path, "/stream/") {
		sendEvents(request, connection, 1)
	}
	m.ends.Add(1)
	m.end()
}

// restart starts the process again if it ended.
func (m *mortal) restart(t *testing.T) {
	t.Helper()
	m.mu.Lock()
	ended := m.listener == nil
	m.mu.Unlock()
	if ended {
		m.listen(t, m.address.String())
	}
}

// endsKnown is how many ends of upstreams a router tells of.
func endsKnown(set settingsRouter) int64 {
	response, err := http.Get("http://" + set.Listen.Peers.String() + "/suspects")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return int64(strings.Count(string(data), `"upstream":`))
}

// A request of one account ended each engine that began it, 0.1 s after that. Its caller
// came back about twice a second at any router, and each visit ended two engines: one play
// had 44 ends under one request and 33 under another, and every other request of those
// seconds was served in time at 0.21 to 0.43. Each visit looked like the first one:
//
//	"tries":[{"upstream":"i-60efe8efc1","fate":"answered","cause":"stream from i-60efe8efc1: unexpected EOF"},
//	{"upstream":"i-58ac2fbd7c","fate":"answered","cause":"stream from i-58ac2fbd7c: unexpected EOF"}]

// TestARequestThatEndsUpstreamsIsHeldBack: whichever router its caller comes to, no more
// than three upstreams end under it once each visit has had a moment to be told of, and
// its caller then gets a final answer at once; others are served meanwhile.
func TestARequestThatEndsUpstreamsIsHeldBack(t *testing.T) {
	tests := map[string]struct {
		storeDown bool
		target    string
	}{
		"with the store":         {false, "/safe/x"},
		"without the store":      {true, "/safe/x"},
		"a stream that goes on":  {false, "/stream/x"},
		"a stream, no store":     {true, "/stream/x"},
		"what may run only once": {false, "/unsafe/x"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := startDeadlyFleet(t)
			if test.storeDown {
				for _, set := range f.routers {
					f.surroundings.down.Store(set.Name, true)
				}
			}
			const visits = 9
			for visit := range visits {
				f.visit(t, f.routers[visit%len(f.routers)], test.target)
			}
			assert.LessOrEqual(t, f.ends(), int64(3))
		})
	}
}

// deadlyFleet is three routers in two halls and six upstreams that end under one request.
type deadlyFleet struct {
	surroundings *surroundings
	upstreams    []*mortal
	routers      []settingsRouter
	visits       int
}

func startDeadlyFleet(t *testing.T) *deadlyFleet {
	t.Helper()
	f := &deadlyFleet{surroundings: &surroundings{}}
	f.surroundings.configure(basic(1))
	for _, id := range []string{"u1", "u2", "u3", "u4", "u5", "u6"} {
		m := startMortal(t, id)
		f.surroundings.list(m.record())
		f.upstreams = append(f.upstreams, m)
	}
	first := startRouterIn(t, f.surroundings, "hall", "r1")
	f.routers = []settingsRouter{
		first, startRouterIn(t, f.surroundings, "hall", "r2", first.Listen.Peers), startRouterIn(t, f.surroundings, "other", "r3", first.Listen.Peers),
	}
	for _, set := range f.routers {
		await(t, "all know each other", func() bool { return ready(set) && strings.Count(copyOf(set), `"key":"m/`) == len(f.routers) })
	}
	return f
}

func (f *deadlyFleet) ends() int64 {
	total := int64(0)
	for _, m := range f.upstreams {
		total += m.ends.Load()
	}
	return total
}

// visit has the caller of the deadly request come to a router, waits until all routers were
// told, and looks that another request is served.
func (f *deadlyFleet) visit(t *testing.T, set settingsRouter, target string) {
	t.Helper()
	f.visits++
	before := f.ends()
	got := call(t, set, fmt.Sprint("deadly-", f.visits), "POST", target, deadly)
	assert.False(t, got.err == nil && got.status == http.StatusOK, "%+v", got)
	if before >= 3 {
		assert.Equal(t, http.StatusServiceUnavailable, got.status, "not run")
		assert.Empty(t, got.header.Get("Retry-After"), "coming back is in vain")
	}
	for _, other := range f.routers {
		assert.Eventually(t, func() bool { return endsKnown(other) == f.ends() }, time.Second, 2*time.Millisecond, "%s knows of each end", other.Name)
	}
	for _, m := range f.upstreams {
		m.restart(t)
	}
	innocent := call(t, set, fmt.Sprint("innocent-", f.visits), "POST", "/safe/x", "innocent")
	assert.Equal(t, http.StatusOK, innocent.status)
}

// TestWhoStartsLaterHoldsItBackToo: a router that starts once all others are gone, and one
// that starts while the store turns it away.
func TestWhoStartsLaterHoldsItBackToo(t *testing.T) {
	f := startDeadlyFleet(t)
	for _, set := range f.routers {
		f.visit(t, set, "/safe/x")
	}
	require.Equal(t, int64(3), f.ends())
	await(t, "the store has it", func() bool { return f.kept() != nil })

	another := &surroundings{}
	another.configure(basic(1))
	another.put("q/x", f.kept())
	alone := startRouterIn(t, another, "third", "r4")
	f.surroundings.down.Store("r5", true)
	told := startRouterIn(t, f.surroundings, "third", "r5", f.routers[2].Listen.Peers)
	for _, set := range []settingsRouter{alone, told} {
		await(t, "it is ready and knows", func() bool { return ready(set) && endsKnown(set) == 3 })
		got := call(t, set, "deadly", "POST", "/safe/x", deadly)
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		assert.Empty(t, got.header.Get("Retry-After"))
	}
	assert.Equal(t, int64(3), f.ends())
}

// kept is what the store holds of a content, nil where it holds nothing.
func (f *deadlyFleet) kept() []byte {
	items, _ := f.surroundings.store.List("q/")
	if len(items) == 0 {
		return nil
	}
	return items[0].Value
}

// TestOperatorsLiftIt: at one router, for all, and for those that start later.
func TestOperatorsLiftIt(t *testing.T) {
	f := startDeadlyFleet(t)
	for _, set := range f.routers {
		f.visit(t, set, "/safe/x")
	}
	response, err := http.Get("http://" + f.routers[0].Listen.Peers.String() + "/suspects")
	require.NoError(t, err)
	var known evidence.Message[quarantine.Report]
	require.NoError(t, json.NewDecoder(response.Body).Decode(&known))
	require.NoError(t, response.Body.Close())
	require.Len(t, known.Notes, 1)
	lift := func(name string) int {
		request, err := http.NewRequest(http.MethodDelete, "http://"+f.routers[1].Listen.Peers.String()+"/suspects/"+name, nil)
		require.NoError(t, err)
		answer, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		return answer.StatusCode
	}
	name := known.Notes[0].Content.String()
	assert.Equal(t, http.StatusBadRequest, lift("odd"))
	assert.Equal(t, http.StatusNoContent, lift(name))
	assert.Equal(t, http.StatusNotFound, lift(name), "it is lifted already")
	for _, set := range f.routers {
		await(t, "it is lifted everywhere", func() bool { return endsKnown(set) == 0 })
	}
	await(t, "the store has that", func() bool {
		record, err := decodeRecord(provider.Entry{Value: f.kept()})
		return err == nil && strings.Contains(string(record.Suspect), `"cleared":true`)
	})
}

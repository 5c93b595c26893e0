package router_test

import (
	"bufio"
	"context"
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
	body := bufio.NewReader(request.Body)
	text, _ := body.ReadString('\n')
	if text != deadly {
		good(request, connection)
		return
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

// soon reports whether a condition comes to hold.
func soon(condition func() bool) bool {
	for until := time.Now().Add(time.Second); time.Now().Before(until); pause() {
		if condition() {
			return true
		}
	}
	return false
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
	for name, storeDown := range map[string]bool{"with the store": false, "without the store": true} {
		t.Run(name, func(t *testing.T) {
			s := &surroundings{}
			s.configure(basic(1))
			var upstreams []*mortal
			for _, id := range []string{"u1", "u2", "u3", "u4", "u5", "u6"} {
				m := startMortal(t, id)
				s.list(m.record())
				upstreams = append(upstreams, m)
			}
			first := startRouterIn(t, s, "hall", "r1")
			routers := []settingsRouter{first, startRouterIn(t, s, "hall", "r2", first.Listen.Peers), startRouterIn(t, s, "other", "r3", first.Listen.Peers)}
			for _, set := range routers {
				await(t, "all know each other", func() bool { return ready(set) && strings.Count(copyOf(set), `"key":"m/`) == len(routers) })
			}
			if storeDown {
				for _, set := range routers {
					s.down.Store(set.Name, true)
				}
			}
			ends := func() int64 {
				total := int64(0)
				for _, m := range upstreams {
					total += m.ends.Load()
				}
				return total
			}
			const visits = 9
			for visit := range visits {
				set := routers[visit%len(routers)]
				before := ends()
				got := call(t, set, "deadly-"+string(rune('a'+visit)), "POST", "/safe/x", deadly)
				assert.NotEqual(t, http.StatusOK, got.status)
				if before >= 3 {
					assert.Equal(t, http.StatusServiceUnavailable, got.status, "not run")
					assert.Empty(t, got.header.Get("Retry-After"), "coming back is in vain")
				}
				for _, other := range routers {
					assert.True(t, soon(func() bool { return endsKnown(other) == ends() }), "%s knows of each end", other.Name)
				}
				for _, m := range upstreams {
					m.restart(t)
				}
				innocent := call(t, set, "innocent-"+string(rune('a'+visit)), "POST", "/safe/x", "innocent")
				assert.Equal(t, http.StatusOK, innocent.status)
			}
			assert.LessOrEqual(t, ends(), int64(3))
		})
	}
}

package router_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/router"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
	"github.com/wheelcleat/wheelcleat/standin/kv"
	"github.com/wheelcleat/wheelcleat/standin/serve"
)

// errStoreDown is returned by a store that is unreachable for a caller.
var errStoreDown = errors.New("the store is unreachable for this caller")

// testStore is the store of the routers under test. It can be made unreachable for single routers.
type testStore struct {
	kv kv.Store
	// unreachable holds the names of the routers that cannot reach the store.
	unreachable sync.Map
	// failures is the number of further calls that fail.
	failures atomic.Int64
	// readers holds the names of the routers that received the configuration from the store.
	readers sync.Map
}

var testHeaders = provider.Headers{
	RequestID: "Request-Id", Deadline: "Deadline", LastEvent: "Last-Event-Id", Signature: "Signature", Account: "Account",
	ExpectedUpstream: "Expect-Upstream", ExpectedVersion: "Expect-Version", Priority: "Priority", NotRun: "Not-Run",
	Tokens: "Tokens", LengthHint: "Length", Limit: "Limit", Leaving: "Leaving",
}

// provider returns the provider of the named router.
func (s *testStore) provider(name string) provider.Provider {
	return provider.Provider{
		Store:    s.client(name),
		Prefixes: provider.Prefixes{Root: "", Members: "m/", MembersOf: membersOf, Configuration: "c", Upstreams: "u/", Versions: "v/"},
		Headers:  testHeaders,
		Decode:   decodeRecord,
		PromptParts: func(header http.Header) []provider.PromptPart {
			var parts []provider.PromptPart
			for id := range strings.FieldsSeq(header.Get("Parts")) {
				parts = append(parts, provider.PromptPart{ID: id})
			}
			return parts
		},
		EncodeMember: func(member provider.Member) provider.Put {
			return provider.Put{Key: membersOf(member.Hall, member.Shard) + member.Name, Value: encodeRecord(provider.Record{Member: &member})}
		},
		EncodeSuspect: func(content string, report []byte) provider.Put {
			return provider.Put{Key: "q/" + content, Value: encodeRecord(provider.Record{Suspect: report})}
		},
	}
}

func membersOf(hall, shard string) string {
	if shard == "" {
		return "m/" + hall + "/"
	}
	return "m/" + hall + "/" + shard + "/"
}

func decodeRecord(entry provider.Entry) (provider.Record, error) {
	var record provider.Record
	err := json.Unmarshal(entry.Value, &record)
	return record, err
}

func encodeRecord(record provider.Record) []byte {
	data, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	return data
}

func (s *testStore) client(name string) provider.Store {
	check := func() error {
		if _, unreachable := s.unreachable.Load(name); unreachable {
			return errStoreDown
		}
		if s.failures.Load() > 0 && s.failures.Add(-1) >= 0 {
			return errStoreDown
		}
		return nil
	}
	list := func(_ context.Context, prefix string) (provider.Listing, error) {
		items, revision := s.kv.List(prefix)
		listing := provider.Listing{Revision: provider.Revision(revision)}
		for _, item := range items {
			listing.Entries = append(listing.Entries, provider.Entry{Key: item.Key, Value: item.Value, Revision: provider.Revision(item.Revision)})
		}
		s.recordReader(name, listing)
		return listing, check()
	}
	return provider.Store{
		List: list, ListStale: list,
		Watch: func(ctx context.Context, prefix string, after provider.Revision, wait time.Duration) (provider.Listing, error) {
			if err := check(); err != nil {
				return provider.Listing{}, err
			}
			listing, err := s.watch(ctx, prefix, after, wait)
			s.recordReader(name, listing)
			return listing, errors.Join(err, check())
		},
		Write: func(_ context.Context, puts []provider.Put) (provider.Revision, error) {
			if err := check(); err != nil {
				return 0, err
			}
			for _, put := range puts {
				s.put(put.Key, put.Value)
			}
			return 1, nil
		},
		Grant: func(context.Context, time.Duration) (provider.LeaseID, error) { return 1, check() },
		Renew: func(context.Context, provider.LeaseID) error { return check() },
	}
}

func (s *testStore) recordReader(name string, listing provider.Listing) {
	for _, entry := range listing.Entries {
		if entry.Key == "c" {
			s.readers.Store(name, true)
		}
	}
}

func (s *testStore) watch(ctx context.Context, prefix string, after provider.Revision, wait time.Duration) (provider.Listing, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		events, revision, changed, kept := s.kv.EventsAfter(prefix, uint64(after))
		if !kept {
			return provider.Listing{}, provider.ErrCompacted
		}
		if len(events) > 0 {
			listing := provider.Listing{Revision: provider.Revision(revision)}
			for _, event := range events {
				listing.Entries = append(listing.Entries, provider.Entry{
					Key: event.Key, Value: event.Value, Revision: provider.Revision(event.Revision), Deleted: event.Deleted,
				})
			}
			return listing, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return provider.Listing{Revision: provider.Revision(revision)}, nil
		case <-ctx.Done():
			return provider.Listing{}, ctx.Err()
		}
	}
}

func (s *testStore) put(key string, value []byte) {
	item, _ := s.kv.Get(key)
	s.kv.Put(key, value, item.Revision, 0)
}

func (s *testStore) remove(key string) {
	item, _ := s.kv.Get(key)
	s.kv.Delete(key, item.Revision)
}

func (s *testStore) configure(configuration provider.Configuration) {
	s.put("c", encodeRecord(provider.Record{Configuration: &configuration}))
}

func (s *testStore) register(upstream provider.Upstream) {
	s.put("u/"+upstream.ID, encodeRecord(provider.Record{Upstream: &upstream}))
}

// baseConfiguration has a route of each mode, one service and one account.
func baseConfiguration(version uint64) provider.Configuration {
	shares := []provider.Share{{Service: "s", Weight: 1}}
	route := func(name string, mode provider.Mode, attempts int) provider.Route {
		return provider.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Mode: mode, Timeout: 4 * time.Second,
			Shares: shares, MaxAttempts: attempts, Resumable: mode == provider.ModeStream,
		}
	}
	return provider.Configuration{
		Version: version,
		Routes: []provider.Route{
			route("unsafe", provider.ModeUnsafe, 1), route("unsafe2", provider.ModeUnsafe, 2),
			route("safe", provider.ModeSafe, 2), route("stream", provider.ModeStream, 2),
		},
		Services: []provider.Service{{Name: "s"}},
		Accounts: []provider.Account{{Name: "library", Keys: []string{"key-1"}}},
	}
}

// upstreamFunc answers one request, or misbehaves, on a raw connection.
type upstreamFunc func(req *http.Request, conn net.Conn)

// upstream is a server that requests are routed to.
type upstream struct {
	id      string
	address netip.AddrPort
	answer  atomic.Pointer[upstreamFunc]
	// received is the number of received requests, which requests holds.
	received atomic.Int64
	mu       sync.Mutex
	requests []*http.Request
}

func startUpstream(t testing.TB, id string, answer upstreamFunc) *upstream {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	u := &upstream{id: id, address: listener.Addr().(*net.TCPAddr).AddrPort()}
	u.answer.Store(&answer)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *upstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		u.mu.Lock()
		u.requests = append(u.requests, req)
		u.mu.Unlock()
		u.received.Add(1)
		(*u.answer.Load())(req, conn)
	}
}

func (u *upstream) lastRequest() *http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.requests) == 0 {
		return nil
	}
	return u.requests[len(u.requests)-1]
}

func (u *upstream) record() provider.Upstream {
	return provider.Upstream{ID: u.id, Service: "s", Address: u.address, Hall: "hall", Places: 4}
}

// registerBeforeAnswering makes the upstream, on receiving a request, register another upstream
// and answer only once the router lists it.
func (u *upstream) registerBeforeAnswering(s *testStore, cfg settings.Router, other *upstream, answer upstreamFunc) {
	wrapped := upstreamFunc(func(req *http.Request, conn net.Conn) {
		s.register(other.record())
		awaitListed(s, cfg, "u/"+other.id)
		answer(req, conn)
	})
	u.answer.Store(&wrapped)
}

// writeAnswer writes an answer with a Content-Length, followed by surplus bytes.
func writeAnswer(req *http.Request, conn net.Conn, status int, body, surplus string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nSignature: sig\r\nContent-Length: %d\r\n\r\n%s%s",
		status, req.Header.Get("Request-Id"), len(body), body, surplus)
}

// answerOK answers with the request's ID in the body.
func answerOK(req *http.Request, conn net.Conn) {
	writeAnswer(req, conn, http.StatusOK, "answer to "+req.Header.Get("Request-Id"), "")
}

// answerNotRun refuses the request and declares that it has not run.
func answerNotRun(req *http.Request, conn net.Conn) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Request-Id"))
}

// closeConnection closes the connection without an answer.
func closeConnection(_ *http.Request, conn net.Conn) { _ = conn.Close() }

// startRouter starts a router in the data hall "hall". It does not wait for readiness.
func startRouter(t testing.TB, s *testStore, name string, seeds ...netip.AddrPort) settings.Router {
	t.Helper()
	return startRouterIn(t, s, "hall", name, seeds...)
}

func startRouterIn(t testing.TB, s *testStore, hall, name string, seeds ...netip.AddrPort) settings.Router {
	t.Helper()
	p, cfg := newRouter(t, s, settings.Router{Name: name, Hall: hall, Seeds: seeds})
	require.NoError(t, p.Start())
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = p.Stop(ctx)
	})
	return cfg
}

func newRouter(t testing.TB, s *testStore, cfg settings.Router) (*router.Process, settings.Router) {
	t.Helper()
	return newRouterWithDial(t, s, cfg, nil)
}

func newRouterWithDial(t testing.TB, s *testStore, cfg settings.Router, dial dial.Func) (*router.Process, settings.Router) {
	t.Helper()
	ports := freePorts(t, 4)
	cfg.Role, cfg.Store, cfg.Drain = settings.RoleRouter, netip.MustParseAddrPort("127.0.0.1:1"), api.Duration(5*time.Second)
	cfg.Listen = settings.RouterListen{Callers: ports[0], Ready: ports[1], Peers: ports[2], Metrics: ports[3]}
	p, err := router.New(cfg, router.Options{
		Provider: func(netip.AddrPort, *http.Client, *http.Client) provider.Provider { return s.provider(cfg.Name) },
		LameDuck: time.Millisecond, LogOutput: io.Discard, Dial: dial,
	})
	require.NoError(t, err)
	return p, cfg
}

// startServing starts a router with the base configuration and one upstream, and waits until it
// is ready.
func startServing(t testing.TB, id string, answer upstreamFunc) (*testStore, *upstream, settings.Router) {
	t.Helper()
	s := &testStore{}
	s.configure(baseConfiguration(1))
	u := startUpstream(t, id, answer)
	s.register(u.record())
	cfg := startRouter(t, s, "r1")
	await(t, "ready", func() bool { return ready(cfg) })
	return s, u, cfg
}

func freePorts(t testing.TB, count int) []netip.AddrPort {
	t.Helper()
	var ports []netip.AddrPort
	for range count {
		port, err := serve.FreeAddress()
		require.NoError(t, err)
		ports = append(ports, port)
	}
	return ports
}

func await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 10*time.Second, 5*time.Millisecond, what)
}

func ready(cfg settings.Router) bool {
	resp, err := http.Get("http://" + cfg.Listen.Ready.String() + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// reply is the answer that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	// err is set if the answer was cut off.
	err error
}

// call sends one request to a router.
func call(t testing.TB, cfg settings.Router, id, method, target, body string, headers ...string) reply {
	t.Helper()
	return callAndObserve(t, cfg, id, method, target, body, func() {}, headers...)
}

// callAndObserve is call, and calls onHead once the response begins.
func callAndObserve(t testing.TB, cfg settings.Router, id, method, target, body string, onHead func(), headers ...string) reply {
	t.Helper()
	conn, err := net.Dial("tcp", cfg.Listen.Callers.String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	extra := ""
	for i := 0; i+1 < len(headers); i += 2 {
		extra += headers[i] + ": " + headers[i+1] + "\r\n"
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nAuthorization: Bearer key-1\r\nDeadline: 5000\r\n%sContent-Length: %d\r\n\r\n%s",
		method, target, id, extra, len(body), body)
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	if _, err := reader.Peek(1); err == nil {
		onHead()
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return reply{err: err}
	}
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// replicaOf returns a router's replica of the store as its peers receive it.
func replicaOf(cfg settings.Router) string {
	resp, err := http.Get("http://" + cfg.Listen.Peers.String() + "/copy?after=0")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return string(data)
}

// yieldBriefly lets other goroutines run.
func yieldBriefly() { <-time.After(2 * time.Millisecond) }

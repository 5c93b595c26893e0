package router_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// TestStopCompletesWhileEnginesChange guards against a stop that hangs: an update of the store
// during the stop must not start load feeds that nothing stops.
func TestStopCompletesWhileEnginesChange(t *testing.T) {
	s := &testStore{}
	configuration := baseConfiguration(1)
	configuration.Services = []provider.Service{{Name: "s", Engine: &provider.EngineSpec{Model: "m", Places: 4}}}
	s.configure(configuration)
	engine := func(i int) provider.Upstream {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 78 + byte(i/250), byte(1 + i%250)}), 1)
		return provider.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: address, Hall: "hall", Places: 4}
	}
	const engines = 400
	for i := range engines {
		s.register(engine(i))
	}
	p, cfg := newRouter(t, s, settings.Router{Name: "r1", Hall: "hall", LoaderPort: 1})
	require.NoError(t, p.Start())
	await(t, "ready", func() bool { return ready(cfg) })

	stopped := make(chan struct{})
	changesEnded := make(chan struct{})
	go func() {
		defer close(changesEnded)
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			default:
			}
			changed := engine(i % engines)
			changed.Leaving = i/engines%2 == 0
			s.register(changed)
		}
	}()
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = p.Stop(ctx)
	}()
	await(t, "the stop ends", func() bool {
		select {
		case <-stopped:
			return true
		default:
			return false
		}
	})
	<-changesEnded
}

// TestStopAnswersHangingRequests guards against cutting a caller whose upstream hangs: the caller
// gets a response that says the request may have run, and the stop succeeds.
func TestStopAnswersHangingRequests(t *testing.T) {
	reached := make(chan struct{})
	hang := func(req *http.Request, _ net.Conn) {
		close(reached)
		<-req.Context().Done()
	}
	for name, target := range map[string]string{"may run once": "/unsafe/x", "may run again": "/safe/x", "a stream": "/stream/x"} {
		t.Run(name, func(t *testing.T) {
			reached = make(chan struct{})
			s := &testStore{}
			s.configure(baseConfiguration(1))
			u := startUpstream(t, "u1", hang)
			s.register(u.record())
			p, cfg := newRouter(t, s, settings.Router{Name: "r1", Hall: "hall"})
			require.NoError(t, p.Start())
			await(t, "ready", func() bool { return ready(cfg) })
			got := make(chan reply, 1)
			go func() { got <- call(t, cfg, "id-1", "POST", target, "body") }()
			<-reached

			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			require.NoError(t, p.Stop(ctx), "no request was cut")
			answer := <-got
			require.NoError(t, answer.err)
			assert.Equal(t, http.StatusGatewayTimeout, answer.status)
			assert.Empty(t, answer.header.Get("Retry-After"), "it may have run")
		})
	}
}

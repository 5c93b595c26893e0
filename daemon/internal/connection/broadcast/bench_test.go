package broadcast_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/broadcast"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/quarantine"
)

// BenchmarkBroadcast measures the time until all of 400 routers have received a report, over
// idle connections.
func BenchmarkBroadcast(b *testing.B) {
	const routers = 400
	var received atomic.Int64
	all := make(chan struct{}, 1)
	receiver := &broadcast.Receiver[quarantine.Report]{
		All: func() []quarantine.Report { return nil }, Related: func([]quarantine.Report) []quarantine.Report { return nil },
		Merge: func([]quarantine.Report) {
			if received.Add(1)%routers == 0 {
				all <- struct{}{}
			}
		},
	}
	var peers []netip.AddrPort
	for range routers {
		server := httptest.NewServer(http.HandlerFunc(receiver.ServeReports))
		b.Cleanup(server.Close)
		peers = append(peers, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	}
	sender := &broadcast.Sender[quarantine.Report]{
		Path:   broadcast.SuspectsPath,
		Client: &http.Client{Transport: dial.NewHostTransport(dial.Direct, time.Minute)},
		Peers:  func() []netip.AddrPort { return peers }, OnReports: func([]quarantine.Report, netip.AddrPort) {},
	}
	sender.Start()
	b.Cleanup(sender.Stop)
	for b.Loop() {
		require.True(b, sender.Send(reportOf("a")))
		<-all
	}
}

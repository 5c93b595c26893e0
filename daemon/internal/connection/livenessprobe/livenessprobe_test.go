package livenessprobe_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/dial"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/livenessprobe"
)

// TestOnlyWhoEndedHasEnded: a process that listens, one that ended, one that says nothing.
func TestOnlyWhoEndedHasEnded(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	w := &livenessprobe.Probe{Dial: dial.Direct}
	assert.False(t, w.Ended(context.Background(), address))
	require.NoError(t, listener.Close())
	assert.True(t, w.Ended(context.Background(), address), "that it listened before stands for nothing")

	silent := &livenessprobe.Probe{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.False(t, silent.Ended(ctx, address))
}

// TestThoseThatAskTogetherShareALook: sixteen connections that break at once cost one
// connection, and a later break is looked at anew.
func TestThoseThatAskTogetherShareALook(t *testing.T) {
	now := time.Unix(1000, 0)
	var dialed atomic.Int32
	begin := make(chan struct{})
	w := &livenessprobe.Probe{
		Now: func() time.Time { return now },
		Dial: func(context.Context, string, string) (net.Conn, error) {
			dialed.Add(1)
			<-begin
			return nil, syscall.ECONNREFUSED
		},
	}
	address := netip.MustParseAddrPort("10.0.0.1:80")
	const together = 16
	found := make(chan bool, together)
	for range together {
		go func() { found <- w.Ended(context.Background(), address) }()
	}
	close(begin)
	for range together {
		assert.True(t, <-found)
	}
	assert.EqualValues(t, 1, dialed.Load())
	now = now.Add(time.Second)
	assert.True(t, w.Ended(context.Background(), address))
	assert.EqualValues(t, 2, dialed.Load())
}

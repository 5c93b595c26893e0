package router_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkStream measures one streamed request through a router: 20 events from an upstream on
// this host, over a new connection of the caller.
//
//	go test ./daemon/router -run NONE -bench Stream -cpuprofile cpu.out
func BenchmarkStream(b *testing.B) {
	const count = 20
	_, _, cfg := startServing(b, "u1", events(count, true, ""))
	want := wantEvents(count)
	for b.Loop() {
		got := call(b, cfg, "id-1", "POST", "/stream/x", "body")
		require.NoError(b, got.err)
		require.Equal(b, want, got.body)
	}
}

package router_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkStream is a request's way through a router: a stream of 20 events from an upstream
// on this host, on a new connection of the caller. Its profile says where a router's
// processor time goes:
//
//	go test ./daemon/router -run NONE -bench Stream -cpuprofile cpu.out
func BenchmarkStream(b *testing.B) {
	const count = 20
	_, _, set := startServing(b, "u1", events(count, true, ""))
	want := wantEvents(count)
	for b.Loop() {
		got := call(b, set, "id-1", "POST", "/stream/x", "body")
		require.NoError(b, got.err)
		require.Equal(b, want, got.body)
	}
}

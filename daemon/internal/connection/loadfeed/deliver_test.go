package loadfeed

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestInvalidOptionalFieldsCountAsMissing guards against a feed that is lost because a loader of
// another build sends a pace or a next version that this one cannot decode.
func TestInvalidOptionalFieldsCountAsMissing(t *testing.T) {
	var received State
	reader := &Reader{OnState: func(_ netip.AddrPort, state State) { received = state }}
	for _, field := range []string{`"pace":"fast"`, `"pace":1e999`, `"pace":{"a":1}`, `"next":7`, `"next":{"version":"x"}`} {
		received = State{}
		require.NoError(t, reader.deliver(netip.AddrPort{}, []byte(`{`+field+`,"running":3,"waiting":1}`)), field)
		assert.Equal(t, 3, received.Running, field)
		assert.Equal(t, 1, received.Waiting, field)
		assert.Zero(t, received.Pace, field)
		assert.Nil(t, received.Next, field)
	}
	require.NoError(t, reader.deliver(netip.AddrPort{}, []byte(`{"running":3,"pace":2.5,"next":{"version":4,"in":250},"later":1}`)))
	assert.Equal(t, State{Running: 3, Pace: 2.5, Next: &NextVersion{Version: 4, In: 250}}, received)
	require.NoError(t, reader.deliver(netip.AddrPort{}, []byte(`{"next":null}`)))
	assert.Equal(t, State{}, received)
	for _, line := range []string{`{"running":"x"}`, `{"pace":`, `[]`, `{"pace":"fast","running":"x"}`, `{"next":7,"models":1}`} {
		require.Error(t, reader.deliver(netip.AddrPort{}, []byte(line)), line)
	}
}

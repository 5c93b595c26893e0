package serve

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFreeAddressesStayFree: no address comes twice, none is one that somebody
// listens on, and none can be taken by an outgoing connection.
func TestFreeAddressesStayFree(t *testing.T) {
	first, err := Free()
	require.NoError(t, err)
	next := netip.AddrPortFrom(first.Addr(), first.Port()+1)
	taken, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(next))
	if err == nil { // else somebody else listens there, which does as well
		defer func() { _ = taken.Close() }()
	}
	seen := map[netip.AddrPort]bool{first: true, next: true}
	for range 100 {
		address, err := Free()
		require.NoError(t, err)
		assert.False(t, seen[address], "%s comes twice or is taken", address)
		assert.Less(t, address.Port(), uint16(32768), "below the ports of outgoing connections")
		seen[address] = true
	}
}

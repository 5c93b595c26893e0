package serve

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFreeAddressReturnsUnusedAddresses checks that addresses don't repeat, have no listener and
// lie below the ephemeral port range.
func TestFreeAddressReturnsUnusedAddresses(t *testing.T) {
	first, err := FreeAddress()
	require.NoError(t, err)
	next := netip.AddrPortFrom(first.Addr(), first.Port()+1)
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(next))
	if err == nil { // otherwise another process listens there already
		defer func() { _ = listener.Close() }()
	}
	seen := map[netip.AddrPort]bool{first: true, next: true}
	for range 100 {
		address, err := FreeAddress()
		require.NoError(t, err)
		assert.False(t, seen[address], "%s is repeated or in use", address)
		assert.Less(t, address.Port(), uint16(32768), "below the ephemeral port range")
		seen[address] = true
	}
}

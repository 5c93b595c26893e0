package serve

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

const (
	// firstPort to lastPort lie below the ephemeral port range, so that no outgoing
	// connection occupies a port between FreeAddress and its use.
	firstPort, lastPort = 12000, 31999
	// portsPerProcess offsets the first port that a process tries by its process id,
	// so that concurrent processes try different ports.
	portsPerProcess = 200
)

// triedPorts counts the ports that this process has tried.
var triedPorts atomic.Uint32

var errNoPort = errors.New("all ports are in use")

// FreeAddress returns a loopback address without a listener, a different one at each
// call. It is for processes whose address has to be configured before they start;
// others should listen on port 0, which can't race with another process.
func FreeAddress() (netip.AddrPort, error) {
	const ports = lastPort - firstPort + 1
	start := os.Getpid() * portsPerProcess
	for range ports {
		port := firstPort + (start+int(triedPorts.Add(1)))%ports
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port)) //nolint:gosec // at most lastPort
		listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return netip.AddrPort{}, fmt.Errorf("ports %d to %d: %w", firstPort, lastPort, errNoPort)
}

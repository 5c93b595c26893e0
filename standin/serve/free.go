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
	// firstPort to lastPort lie below the ports that systems give to outgoing
	// connections, so that no connection takes one between Free and its use.
	firstPort, lastPort = 12000, 31999
	// portsOfProcess is the part of them that one process tries first, so that
	// processes that run beside each other do not meet.
	portsOfProcess = 200
)

// freePorts counts the ports that this process has looked at.
var freePorts atomic.Uint32

// errNoPort says that every port was taken.
var errNoPort = errors.New("every port is taken")

// Free returns a loopback address that nobody listens on, another one at each
// call. It is for programs that must be told their address before they start;
// whoever can, listens on port 0 instead.
func Free() (netip.AddrPort, error) {
	const ports = lastPort - firstPort + 1
	start := os.Getpid() * portsOfProcess
	for range ports {
		port := firstPort + (start+int(freePorts.Add(1)))%ports
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port)) //nolint:gosec // at most lastPort
		listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return netip.AddrPort{}, fmt.Errorf("ports %d to %d: %w", firstPort, lastPort, errNoPort)
}

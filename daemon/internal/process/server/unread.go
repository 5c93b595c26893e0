package server

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnreadData reports whether the socket of a connection has received data that the
// process has not read.
func hasUnreadData(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		unread, _, _ = unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && unread > 0
}

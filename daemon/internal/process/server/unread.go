package server

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnread reports whether something has come over a connection that nobody has read.
func hasUnread(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		unread, _, _ = unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && unread > 0
}

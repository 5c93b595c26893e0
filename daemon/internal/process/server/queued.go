package server

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// acceptQueued accepts the connections that the kernel has established and that Accept has not returned. To close the
// listener would reset them, with the requests that they carry.
func acceptQueued(listener *net.TCPListener) []net.Conn {
	raw, err := listener.SyscallConn()
	if err != nil {
		return nil
	}
	var queued []net.Conn
	_ = raw.Control(func(fd uintptr) {
		for {
			accepted, _, err := unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			if conn := connOf(accepted); conn != nil {
				queued = append(queued, conn)
			}
		}
	})
	return queued
}

// connOf returns the connection of a socket, nil if there is none. It takes the socket over.
func connOf(socket int) net.Conn {
	file := os.NewFile(uintptr(socket), "accepted")
	defer func() { _ = file.Close() }()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return conn
}

// queuedListener returns connections that were accepted before, and then net.ErrClosed.
type queuedListener struct {
	net.Listener
	queued []net.Conn
}

// Accept returns the next connection.
func (l *queuedListener) Accept() (net.Conn, error) {
	if len(l.queued) == 0 {
		return nil, net.ErrClosed
	}
	conn := l.queued[0]
	l.queued = l.queued[1:]
	return conn, nil
}

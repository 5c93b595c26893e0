package dial

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is TCP_CLOSE of the kernel, the state of a socket without a connection.
const tcpClose = 7

// socketState is the state of a connection in the kernel.
type socketState struct {
	// err is set if the connection broke.
	err error
	// unacknowledged is set if the peer has not acknowledged all that was sent.
	unacknowledged bool
}

// socket returns the state in the kernel, or the zero value for a connection without a socket.
func (c *responseConn) socket() socketState {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return socketState{}
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return socketState{}
	}
	var info *unix.TCPInfo
	var optErr error
	err = raw.Control(func(fd uintptr) { info, optErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	switch {
	case err != nil:
		return socketState{err: err} // this process has closed the connection
	case optErr != nil:
		return socketState{} // no TCP socket
	case info.State == tcpClose:
		return socketState{err: syscall.ECONNRESET}
	default:
		return socketState{unacknowledged: info.Unacked > 0 || info.Notsent_bytes > 0}
	}
}

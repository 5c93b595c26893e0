package dial

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// hostTimeout bounds the time to connect to another host. It is below the
	// second after which the kernel sends a lost SYN again.
	hostTimeout = 600 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// probeInterval is the interval of keep-alive probes; the kernel accepts
	// whole seconds only.
	probeInterval = time.Second
	probeCount    = 2
)

// Host opens a connection to another host that fails within seconds when the host
// becomes unreachable. Without keep-alive probes and a user timeout, a connection
// to a host that was cut off or lost power hangs.
func Host(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{
		Timeout:         hostTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control:         setUserTimeout,
	}
	return dialer.DialContext(ctx, network, address)
}

// WithTimeout returns a Func that opens connections by f and bounds the time to connect.
func WithTimeout(timeout time.Duration, f Func) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return f(ctx, network, address)
	}
}

// CloseIdleAfterTimeout closes the idle connections of a client after a call that timed out. What silenced the
// connection of that call may have silenced the idle ones too, which nothing shows before the next call over one
// of them times out as well.
func CloseIdleAfterTimeout(client *http.Client, err error) {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) {
		client.CloseIdleConnections()
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

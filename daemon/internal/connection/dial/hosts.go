package dial

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// hostTimeout bounds a connection to another host: an opening packet that
	// is lost comes again only after a second.
	hostTimeout = 600 * time.Millisecond
	// deadAfter is how long sent bytes may stay unacknowledged.
	deadAfter = 1500 * time.Millisecond
	// probeEvery is the interval of keep-alive probes, the shortest there is.
	probeEvery = time.Second
	probeCount = 2
)

// Watchful makes connections that notice a host that fell silent: one that was
// cut off or lost its power says nothing, and a connection to it would hang.
func Watchful(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{
		Timeout:         hostTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probeCount},
		Control:         limitSilence,
	}
	return dialer.DialContext(ctx, network, address)
}

// Within returns a Func that gives a connection up after some time.
func Within(timeout time.Duration, f Func) Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return f(ctx, network, address)
	}
}

func limitSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadAfter.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Options of a transport to hosts.
const (
	hostIdlePerHost = 64
	hostBuffer      = 4 << 10
)

// NewHostTransport returns a transport for calls to hosts that may fall silent.
// Idle connections are closed after idle; 0 closes each after its call.
func NewHostTransport(f Func, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: f, DisableKeepAlives: idle == 0, IdleConnTimeout: idle, MaxIdleConnsPerHost: hostIdlePerHost,
		DisableCompression: true, ReadBufferSize: hostBuffer, WriteBufferSize: hostBuffer,
	}
}

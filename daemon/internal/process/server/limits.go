package server

import (
	"math"

	"golang.org/x/sys/unix"
)

// Limits are the resources of a process that its listeners share. The zero value has no limit of memory, and the
// descriptors that the operating system allows.
type Limits struct {
	// Descriptors is the number of descriptors that the process may open; 0 means that of the operating system.
	Descriptors int
	// MemoryMB is the memory limit of the process in MiB; 0 means unknown.
	MemoryMB float64
	// OnClose is the option OnClose of each listener.
	OnClose func(name, reason string)

	// heads is the budget of all listeners, nil before the first.
	heads *HeadBudget
}

const (
	mebibyte = 1 << 20
	// headDivisor gives the part of the memory that is the budget for heads.
	headDivisor = 8
	// connDivisor gives the part of the memory that connections may take, and connBytes is what one takes besides
	// its head and body: its buffers, the stack of its goroutine and the first bytes of a head.
	connDivisor, connBytes = 4, 24 << 10
	// minConns is how many connections a process has whatever its memory is.
	minConns = 128
)

// Listen starts a listener of the process, as the function Listen does, with a share of the connections and the common
// budget for heads, which is an eighth of the memory.
func (l *Limits) Listen(share float64, options Options) (*Server, error) {
	if l.heads == nil {
		l.heads = &HeadBudget{MaxBytes: int64(l.MemoryMB * mebibyte / headDivisor)}
	}
	options.MaxConns = int(float64(l.connections()) * share)
	options.HeadBudget, options.OnClose = l.heads, l.OnClose
	return Listen(options)
}

// Shares of the descriptors that a listener's connections may take. Those of a process together leave some for
// connections to upstreams and to the store.
const (
	// MainShare is for the listener that most clients use.
	MainShare = 3.0 / 4
	// PeerShare is for a listener that only other daemons use.
	PeerShare = 1.0 / 16
	// ControlShare is for a listener that health checks and operators use.
	ControlShare = 1.0 / 32
	// EntryCallersShare is for the callers of an entry.
	EntryCallersShare = 1.0 / 2
	// EntryPeersShare is for the peers of an entry, to which the agents of all hosts connect.
	EntryPeersShare = 1.0 / 4
)

// connections returns how many connections the descriptors and the memory allow, or 0 if there is no limit.
func (l *Limits) connections() int {
	descriptors := l.descriptors()
	if l.MemoryMB <= 0 {
		return descriptors
	}
	byMemory := max(int(l.MemoryMB*mebibyte/connDivisor/connBytes), minConns)
	if descriptors == 0 {
		return byMemory
	}
	return min(descriptors, byMemory)
}

// descriptors returns the number of descriptors, or 0 if there is no limit.
func (l *Limits) descriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return l.Descriptors
	}
	if l.Descriptors > 0 {
		return min(l.Descriptors, int(limit.Cur))
	}
	return int(limit.Cur)
}

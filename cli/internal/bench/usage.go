package bench

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/wheelcleat/wheelcleat/cli/internal/fleet"
)

// usage is a reading of this process's CPU time.
type usage struct {
	started time.Time
	cpu     time.Duration
}

// cpuTime returns the process's CPU time so far.
func cpuTime() time.Duration {
	var used syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &used) != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

func startUsage() usage { return usage{time.Now(), cpuTime()} }

// end returns the share of the machine's CPU time used since the start, and the process's maximum
// resident size in MiB.
func (u usage) end() (cpuShare, rssMB float64) {
	elapsed := time.Since(u.started) * time.Duration(runtime.NumCPU())
	var used syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used)
	return float64(cpuTime()-u.cpu) / float64(elapsed), float64(used.Maxrss) / 1024
}

// controlBytes returns the total bytes of control messages of entries and of agents.
func controlBytes(f *fleet.Fleet) (entries, agents int64) {
	for _, e := range f.Entries() {
		entries += e.Process.ControlBytes()
	}
	for _, host := range f.Hosts() {
		agents += host.Agent.ControlBytes()
	}
	return entries, agents
}

// wait waits for a duration, or returns the context's error if the context ends first.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

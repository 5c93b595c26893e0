package soak

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// scriptProcess returns a process that runs a shell script in place of the daemon.
func scriptProcess(t *testing.T, text string) *process {
	t.Helper()
	folder := t.TempDir()
	path := filepath.Join(folder, "daemon")
	require.NoError(t, os.WriteFile(path, []byte("#!/bin/sh\n"+text+"\n"), 0o700))
	return &process{name: "p", binary: path, folder: folder, settings: struct{}{}}
}

// TestSignalBeforeStartupIsNoFailure guards against a violation for a process that SIGTERM
// terminates during its startup, before it has written anything.
func TestSignalBeforeStartupIsNoFailure(t *testing.T) {
	const timeout, loop = time.Minute, "; echo begun; while :; do sleep 0.01; done"
	for _, c := range []struct {
		text          string
		writes, fails bool
	}{
		{"exec sleep 60", false, false},
		{"echo begun; exec sleep 60", true, true},
		{"trap 'exit 1' TERM" + loop, true, true},
		{"trap 'exit 0' TERM" + loop, true, false},
	} {
		p := scriptProcess(t, c.text)
		for range 2 { // the output of an earlier start must not count
			require.NoError(t, p.start())
			if c.writes {
				require.Eventually(t, func() bool { return p.wrote() }, time.Minute, time.Millisecond)
			}
			p.stop(timeout)
			assert.Equal(t, c.fails, p.failureErr() != nil, "%s: %v", c.text, p.failureErr())
		}
	}
}

// wrote reports whether the process has written to its log since its last start.
func (p *process) wrote() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	info, err := os.Stat(p.logPath())
	return err == nil && info.Size() > p.logSize
}

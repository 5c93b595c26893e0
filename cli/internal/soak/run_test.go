package soak

import (
	"net/http"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestUnrecoveredServiceIsReported(t *testing.T) {
	oracle := &Oracle{Start: time.Now()}
	r := &run{tally: &Tally{}, oracle: oracle, fleet: &fleet{routers: []*router{{process: &process{name: "router"}}}}}
	r.tally.start(time.Now())
	r.tally.recordOutcome(outcomeOf(safePath+"x", http.StatusOK, ""))
	assert.False(t, r.unrecovered(oracle.Violatef))
	r.tally.recordOutcome(outcomeOf(safePath+"x", http.StatusBadGateway, ""))
	assert.True(t, r.unrecovered(nil), "a check without violatef records no violation")
	assert.Empty(t, oracle.Violations())
	assert.True(t, r.unrecovered(oracle.Violatef))
	require.Len(t, oracle.Violations(), 1)
	assert.Equal(t, CheckRecovery, oracle.Violations()[0].Check)
}

// startRejected starts a process that rejects its argument and exits.
func startRejected(t *testing.T) *process {
	t.Helper()
	tool, err := exec.LookPath("go")
	require.NoError(t, err)
	p := &process{name: "unknown", binary: tool, folder: t.TempDir()}
	require.NoError(t, p.start())
	return p
}

func TestUnexpectedExitIsReported(t *testing.T) {
	p := startRejected(t)
	<-p.exited
	require.ErrorIs(t, p.failureErr(), errUnexpectedExit)
	require.NoError(t, p.start(), "the process can be restarted")
	<-p.exited
	assert.Equal(t, 2, p.condition().starts)
}

func TestRunRejectsInvalidSizes(t *testing.T) {
	for _, size := range []Size{{}, {Halls: 1, Routers: 1, Loaders: 1}, {Halls: 7, Routers: 30, Loaders: 5, Plain: 1}} {
		_, err := Run(t.Context(), Options{Folder: t.TempDir(), Size: size})
		require.ErrorIs(t, err, errSize)
	}
}

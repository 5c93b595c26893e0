package soak

import (
	"net/http"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestServiceThatIsNotBackIsTold: what a router does not serve at the end is told once.
func TestServiceThatIsNotBackIsTold(t *testing.T) {
	oracle := &Oracle{Began: time.Now()}
	r := &run{tally: &Tally{}, oracle: oracle, fleet: &fleet{routers: []*router{{process: &process{name: "router"}}}}}
	r.tally.begin(time.Now())
	r.tally.note(outcomeOf(safePath+"x", http.StatusOK, ""))
	assert.False(t, r.missing(oracle.Violatef))
	r.tally.note(outcomeOf(safePath+"x", http.StatusBadGateway, ""))
	assert.True(t, r.missing(nil), "to look is not to tell")
	assert.Empty(t, oracle.Violations())
	assert.True(t, r.missing(oracle.Violatef))
	require.Len(t, oracle.Violations(), 1)
	assert.Equal(t, CheckRecovery, oracle.Violations()[0].Check)
}

// startBriefly starts a process that does not know its only argument and ends.
func startBriefly(t *testing.T) *process {
	t.Helper()
	tool, err := exec.LookPath("go")
	require.NoError(t, err)
	p := &process{name: "unknown", binary: tool, folder: t.TempDir()}
	require.NoError(t, p.start())
	return p
}

func TestAProcessThatEndsByItselfIsTold(t *testing.T) {
	p := startBriefly(t)
	<-p.ended
	require.ErrorIs(t, p.failed(), errEnded)
	require.NoError(t, p.start(), "it can be started again")
	<-p.ended
	assert.Equal(t, 2, p.condition().starts)
}

func TestSizesAreChecked(t *testing.T) {
	for _, size := range []Size{{}, {Halls: 1, Routers: 1, Loaders: 1}, {Halls: 7, Routers: 30, Loaders: 5, Plain: 1}} {
		_, err := Run(t.Context(), Options{Folder: t.TempDir(), Size: size})
		require.ErrorIs(t, err, errSize)
	}
}

package bench

import (
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// smallRun returns a run that takes about a second.
func smallRun(fault string) *Distribute {
	return &Distribute{
		Hosts: 9, Halls: 3, ModelBytes: 2 << 20, ChunkBytes: 32 << 10, Unit: 2 * time.Second,
		Seed: 3, Fault: fault, Timeout: time.Minute, LogOutput: io.Discard,
	}
}

// TestDistributionUnderFaults guards against engines that load undeclared data, surviving hosts
// that never serve the version, and excess load on the origin, for every fault.
func TestDistributionUnderFaults(t *testing.T) {
	for _, name := range DistributeFaults() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result, err := smallRun(name).Run(t.Context())
			require.NoError(t, err)
			assert.Zero(t, result.UndeclaredStates)
			assert.Equal(t, result.HostsExpected, result.HostsCompleted)
			if name != "none" {
				assert.Positive(t, result.FaultsInjected)
			}
			// Each of the two versions of a superseded rollout counts.
			allowed := map[string]float64{"superseded": 3, "hall-cut": 2.5}[name]
			if allowed == 0 {
				allowed = 1.6
			}
			assert.LessOrEqual(t, result.OriginCopies, allowed)
		})
	}
}

// TestPoliciesMeetOriginCopyLimits guards against a policy that sends more copies over the origin's
// link than it is meant to.
func TestPoliciesMeetOriginCopyLimits(t *testing.T) {
	for policy, copies := range map[string][2]float64{"swarm": {1, 1.5}, "tree": {3, 3.5}, "naive-swarm": {1, 9}, "origin-only": {9, 9}} {
		t.Run(policy, func(t *testing.T) {
			t.Parallel()
			run := smallRun("")
			run.Policy = policy
			result, err := run.Run(t.Context())
			require.NoError(t, err)
			assert.GreaterOrEqual(t, result.OriginCopies, copies[0])
			assert.LessOrEqual(t, result.OriginCopies, copies[1])
			assert.GreaterOrEqual(t, result.RatioToBound, 1.0, "no run is faster than the bound")
		})
	}
}

// TestBoundIsSetByScarcestLinks checks the minimum time with full-duplex and half-duplex links.
func TestBoundIsSetByScarcestLinks(t *testing.T) {
	tests := []struct {
		hosts int
		half  bool
		want  time.Duration
	}{
		{1, false, 5 * time.Second},           // the downlink of a host
		{64, false, 5 * time.Second},          // the downlink; all uplinks together need 64/132 of a unit
		{1, true, 5 * time.Second},            // a single host receives only
		{1000, true, 9995 * time.Millisecond}, // nearly every byte occupies two links
	}
	for _, test := range tests {
		run := &Distribute{Hosts: test.hosts, Unit: 10 * time.Second, HalfDuplex: test.half}
		assert.Equal(t, test.want, run.bound(), "%+v", test)
	}
}

func TestTimeToRequiresShareOfHosts(t *testing.T) {
	series := []Point{{0, 0}, {1, 3}, {2, 9}, {4, 10}}
	assert.InDelta(t, 2, timeTo(series, 10, 50), 0)
	assert.InDelta(t, 2, timeTo(series, 10, 90), 0)
	assert.InDelta(t, 4, timeTo(series, 10, 100), 0)
	assert.Zero(t, timeTo(series, 11, 100))
}

func TestUnknownFaultIsRejected(t *testing.T) {
	_, err := smallRun("unknown").Run(t.Context())
	require.ErrorContains(t, err, "use one of none, host-dies")
}

func TestPlotReadyHostsWritesFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "p.png")
	results := []*DistributeResult{{Policy: "swarm", Hosts: 2, Bound: 1, Series: []Point{{0, 0}, {1, 2}}}, {Policy: "tree", Hosts: 2, Series: []Point{{0, 0}, {2, 2}}}}
	require.NoError(t, PlotReadyHosts(path, results))
	info, err := os.Stat(path)
	require.NoError(t, err)
	assert.Positive(t, info.Size())
}

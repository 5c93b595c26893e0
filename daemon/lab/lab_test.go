package lab_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/lab"
)

// play plays a pattern with a policy on a third of the default fleet, the mean of some
// seeds.
func play(t *testing.T, pattern, policy string) lab.Result {
	t.Helper()
	const seeds = 2
	var plays []*lab.Result
	for seed := range uint64(seeds) {
		setup := lab.Default()
		setup.Engines, setup.Routers, setup.Rate = setup.Engines/3, setup.Routers/3, setup.Rate/3
		setup.Length = 20 * time.Second
		var err error
		setup.Pattern, err = lab.ParsePattern(pattern)
		require.NoError(t, err)
		setup.Seed = seed + 1
		way, err := lab.FindPolicy(policy)
		require.NoError(t, err)
		result, err := lab.Play(setup, way)
		require.NoError(t, err)
		plays = append(plays, result)
	}
	mean := lab.Mean(plays)
	t.Logf("%s, %s: worth %.3f (best %.3f), in time %.3f, late %.3f, refused %.3f, again %.3f",
		pattern, policy, mean.Worth, mean.Best, mean.InTime, mean.Late, mean.Refused, mean.RefusedAgain)
	return mean
}

// TestWhoCameBackIsTold: in overloads callers who come for the first time get the places,
// where they got them in turn with those who are late already.
func TestWhoCameBackIsTold(t *testing.T) {
	for pattern, gain := range map[string]float64{"steady:1.25": 0.1, "burst": 0.05, "all-back": 0.05} {
		now, before := play(t, pattern, "now"), play(t, pattern, "back-same-time")
		assert.Greater(t, now.Worth, before.Worth+gain, pattern)
		assert.Greater(t, now.KnownBack, 0.95, pattern)
		assert.Less(t, now.TakenForBack, 0.01, pattern)
	}
}

// TestMoreEnginesAreAskedAndOneMoreLetIn: at what the engines bear, and beyond it, fewer
// callers are refused while places are free.
func TestMoreEnginesAreAskedAndOneMoreLetIn(t *testing.T) {
	for pattern, gain := range map[string]float64{"steady:0.9": 0.005, "steady:1": 0.005, "version": 0.005} {
		now, before := play(t, pattern, "now"), play(t, pattern, "look-5")
		assert.Greater(t, now.Worth, before.Worth+gain, pattern)
		assert.Less(t, now.RefusedAgain, before.RefusedAgain, pattern)
	}
}

// TestPlaysRepeat: the same seed plays the same, whatever was played before.
func TestPlaysRepeat(t *testing.T) {
	for _, policy := range []string{"now", "back-sketch", "back-same-time"} {
		assert.Equal(t, play(t, "burst:0.9", policy), play(t, "burst:0.9", policy))
	}
}

// TestASketchOfRefusalsTells as well as an oracle, where it loses nothing.
func TestASketchOfRefusalsTells(t *testing.T) {
	told, known := play(t, "steady:1.25", "back-sketch"), play(t, "steady:1.25", "back-known")
	assert.InDelta(t, known.Worth, told.Worth, 0.01)
	assert.Less(t, told.TakenForBack, 0.001)
}

// TestNobodyBeatsTheBest, and with half of the load there is nothing to win.
func TestNobodyBeatsTheBest(t *testing.T) {
	for _, pattern := range lab.PatternNames() {
		r := play(t, pattern, "now")
		assert.LessOrEqual(t, r.Worth, r.Best, pattern)
		assert.LessOrEqual(t, r.BestInTurn, r.Best+1e-9, pattern)
		assert.InDelta(t, 1, r.InTime+r.Late+r.Refused+r.Cut, 0.01, pattern)
	}
	calm := play(t, "steady:0.5", "now")
	assert.Greater(t, calm.Worth, 0.99)
}

// TestSetupsAreChecked, patterns and policies too.
func TestSetupsAreChecked(t *testing.T) {
	changes := map[string]func(*lab.Setup){
		"no engines":  func(s *lab.Setup) { s.Engines = 0 },
		"no places":   func(s *lab.Setup) { s.Engine.Places = 0 },
		"no callers":  func(s *lab.Setup) { s.Rate = 0 },
		"no time":     func(s *lab.Setup) { s.Length = time.Second },
		"no patience": func(s *lab.Setup) { s.Patience = 1 },
	}
	for name, change := range changes {
		setup := lab.Default()
		change(&setup)
		_, err := lab.Play(setup, lab.Policy{})
		require.ErrorIs(t, err, lab.ErrSetup, name)
	}
	for _, text := range []string{"", "flat", "steady:", "steady:0", "steady:x", "steady:1000", "steady:NaN"} {
		_, err := lab.ParsePattern(text)
		require.Error(t, err, text)
	}
	_, err := lab.FindPolicy("best")
	require.Error(t, err)
}

package fleet

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/api"
	"github.com/wheelcleat/wheelcleat/api/client"
	"github.com/wheelcleat/wheelcleat/standin/engine"
)

// entriesOf returns the entries of one hall.
func (r *rig) entriesOf(hall string) []*Entry {
	var own []*Entry
	for _, e := range r.Entries() {
		if e.Hall == hall {
			own = append(own, e)
		}
	}
	return own
}

func (r *rig) operatorAt(e *Entry) *client.Client {
	return &client.Client{Entries: []string{"http://" + e.Process.Addresses().Operators.String()}}
}

// TestHallCutOff cuts a hall off from the other one, or from the platform, or
// from both. It serves what it has, claims nothing, and takes what the others
// decided when it is back.
func TestHallCutOff(t *testing.T) {
	tests := []struct {
		name     string
		cut      func(r *rig)
		platform bool // whether the platform is out of reach
	}{
		{"from the other hall", func(r *rig) { r.CutHall("hall-2", false) }, false},
		{"from the platform", func(r *rig) { r.Cut("hall-2", Platform) }, true},
		{"from both", func(r *rig) { r.CutHall("hall-2", true) }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := startRig(t, quick(2, 2, 4))
			r.serve(nil)
			hosts := r.Hosts()
			test.cut(r)
			inside := r.entriesOf("hall-2")
			stopInside, stopOutside := r.load(4, inside...), r.load(4, r.entriesOf("hall-1")...)

			_, err := r.operatorAt(r.entriesOf("hall-1")[0]).Put(r.ctx, r.service("v2", nil), client.PutOptions{})
			require.NoError(t, err, "the rest of the fleet goes on")
			require.NoError(t, Await(r.ctx, "the new version outside", func() bool { return r.Ready(r.versions[1]) >= 2 }))
			if test.platform {
				_, err = r.operatorAt(inside[0]).Put(r.ctx, r.account(), client.PutOptions{IfRevision: 1})
				assert.Equal(t, api.CodeUnavailable, problemCode(err), "a hall without the platform accepts nothing: %v", err)
				for _, host := range r.EngineHosts() {
					if host.Hall == "hall-2" {
						assert.Equal(t, r.versions[0].String(), host.Engine.State().Manifest, "it serves what it has")
					}
				}
			}
			served := len(runs(hosts)) + 100
			require.NoError(t, Await(r.ctx, "requests", func() bool { return len(runs(hosts)) > served }))
			r.checkAllDone(stopInside(), hosts)
			r.checkAllDone(stopOutside(), hosts)

			r.HealHall("hall-2")
			r.awaitDone()
			assert.Equal(t, 4, r.Ready(r.versions[1]), "back, it has what was decided")
			r.neverBack()
		})
	}
}

// neverBack checks that no engine was given an older order after a newer one.
func (r *rig) neverBack() {
	r.Helper()
	for _, host := range r.EngineHosts() {
		last := uint64(0)
		for _, state := range host.Engine.History() {
			assert.GreaterOrEqual(r, state.Token, last, "fencing tokens of %s", host.Name)
			last = state.Token
		}
	}
}

// TestCutHallLosesAHost ends a host of a hall that is cut off from everything.
func TestCutHallLosesAHost(t *testing.T) {
	config := quick(2, 2, 6)
	config.SetUpEngine = func(e *engine.Server) { e.PerToken = 0 }
	r := startRig(t, config)
	r.serve(func(s *api.ServiceSpec) { s.Replicas = 3 })
	r.CutHall("hall-2", true)
	hosts := r.Hosts()
	for _, host := range r.EngineHosts() {
		if host.Hall == "hall-2" {
			r.KillHost(host)
			break
		}
	}
	stop := r.load(2, r.entriesOf("hall-2")...)
	require.NoError(t, Await(r.ctx, "requests", func() bool { return len(runs(hosts)) > 100 }))
	results := stop()
	r.checkTruth(results, hosts)
	failed := 0
	for _, got := range results {
		if got.err != nil || got.answer.Status != http.StatusOK {
			failed++
		}
	}
	assert.Less(t, failed, 10, "at most what met the host's end, of %d", len(results))
}

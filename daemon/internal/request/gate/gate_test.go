package gate

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/outcome"
)

func TestRefusals(t *testing.T) {
	stamp := Stamp{"s", "v1"}
	tests := []struct {
		name   string
		set    func(*Gate)
		stamp  Stamp
		reason outcome.Reason
	}{
		{"serves nothing yet", func(*Gate) {}, stamp, outcome.ReasonWrongVersion},
		{"served", func(g *Gate) { g.Open(Serving{[]string{"s"}, "v1"}) }, stamp, ""},
		{"another version", func(g *Gate) { g.Open(Serving{[]string{"s"}, "v2"}) }, stamp, outcome.ReasonWrongVersion},
		{"another service", func(g *Gate) { g.Open(Serving{[]string{"t"}, "v1"}) }, stamp, outcome.ReasonWrongVersion},
		{"no stamp", func(g *Gate) { g.Open(Serving{[]string{"s"}, "v1"}) }, Stamp{}, outcome.ReasonWrongVersion},
		{"leaving", func(g *Gate) { g.Open(Serving{[]string{"s"}, "v1"}); g.Leave() }, stamp, outcome.ReasonStopping},
		{"changing", func(g *Gate) { g.Open(Serving{[]string{"s"}, "v1"}); _ = g.Close(context.Background()) }, stamp, outcome.ReasonWrongVersion},
		{"full", func(g *Gate) { g.Open(Serving{[]string{"s"}, "v1"}); g.SetLimit(1); _, _, _ = g.Enter(stamp) }, stamp, outcome.ReasonBusy},
		{"leaving stays", func(g *Gate) { g.Leave(); g.Open(Serving{[]string{"s"}, "v1"}) }, stamp, outcome.ReasonStopping},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := &Gate{}
			test.set(g)
			_, leave, refusal := g.Enter(test.stamp)
			if test.reason == "" {
				require.Nil(t, refusal)
				leave()
				leave()
				assert.Zero(t, g.InFlight(), "leaving twice counts once")
				return
			}
			require.NotNil(t, refusal)
			assert.Equal(t, test.reason, refusal.Reason)
			assert.Equal(t, http.StatusServiceUnavailable, refusal.Status)
		})
	}
}

func TestCloseWaitsAndGivesUp(t *testing.T) {
	g := &Gate{}
	g.Open(Serving{[]string{"s"}, "v1"})
	_, leave, _ := g.Enter(Stamp{"s", "v1"})
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	require.Error(t, g.Close(gone))
	_, second, refusal := g.Enter(Stamp{"s", "v1"})
	require.Nil(t, refusal, "after giving up the gate is open as before")
	closed := make(chan error)
	go func() { closed <- g.Close(t.Context()) }()
	leave()
	second()
	require.NoError(t, <-closed)
}

// TestNoMixedVersions enters, leaves and changes versions in any order. No
// request may be inside while another version than its own is served.
func TestNoMixedVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &Gate{}
		type inside struct {
			stamp Stamp
			leave func()
		}
		var requests []inside
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				stamp := Stamp{"s", rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")}
				if _, leave, refusal := g.Enter(stamp); refusal == nil {
					requests = append(requests, inside{stamp, leave})
				}
			},
			"leave": func(t *rapid.T) {
				if len(requests) > 0 {
					at := rapid.IntRange(0, len(requests)-1).Draw(t, "which")
					requests[at].leave()
					requests = append(requests[:at:at], requests[at+1:]...)
				}
			},
			"change version": func(t *rapid.T) {
				if g.Close(ended) == nil {
					require.Empty(t, requests, "closed with requests inside")
					g.Open(Serving{[]string{"s"}, rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "to")})
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(requests), g.InFlight())
				for _, r := range requests {
					require.Equal(t, g.Serving().Manifest, r.stamp.Manifest)
				}
			},
		})
	})
}

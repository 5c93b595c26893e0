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

func TestAdmitRefusesWithReason(t *testing.T) {
	target := Target{"s", "v1"}
	tests := []struct {
		name   string
		set    func(*Gate)
		target Target
		reason outcome.Reason
	}{
		{"not opened", func(*Gate) {}, target, outcome.ReasonWrongVersion},
		{"served", func(g *Gate) { g.Open(Serving{[]string{"s"}, "v1"}) }, target, ""},
		{"another version", func(g *Gate) { g.Open(Serving{[]string{"s"}, "v2"}) }, target, outcome.ReasonWrongVersion},
		{"another service", func(g *Gate) { g.Open(Serving{[]string{"t"}, "v1"}) }, target, outcome.ReasonWrongVersion},
		{"empty target", func(g *Gate) { g.Open(Serving{[]string{"s"}, "v1"}) }, Target{}, outcome.ReasonWrongVersion},
		{"leaving", func(g *Gate) { g.Open(Serving{[]string{"s"}, "v1"}); g.Leave() }, target, outcome.ReasonStopping},
		{"closed for version change", func(g *Gate) { g.Open(Serving{[]string{"s"}, "v1"}); _ = g.Close(context.Background()) }, target, outcome.ReasonWrongVersion},
		{"at in-flight limit", func(g *Gate) { g.Open(Serving{[]string{"s"}, "v1"}); g.SetLimit(1); _, _, _ = g.Admit(target) }, target, outcome.ReasonBusy},
		{"open after leave", func(g *Gate) { g.Leave(); g.Open(Serving{[]string{"s"}, "v1"}) }, target, outcome.ReasonStopping},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := &Gate{}
			test.set(g)
			_, release, refusal := g.Admit(test.target)
			if test.reason == "" {
				require.Nil(t, refusal)
				release()
				release()
				assert.Zero(t, g.InFlight(), "a second call has no effect")
				return
			}
			require.NotNil(t, refusal)
			assert.Equal(t, test.reason, refusal.Reason)
			assert.Equal(t, http.StatusServiceUnavailable, refusal.Status)
		})
	}
}

func TestCloseDrainsOrReopensOnTimeout(t *testing.T) {
	g := &Gate{}
	g.Open(Serving{[]string{"s"}, "v1"})
	_, release, _ := g.Admit(Target{"s", "v1"})
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	require.Error(t, g.Close(canceled))
	_, releaseSecond, refusal := g.Admit(Target{"s", "v1"})
	require.Nil(t, refusal, "the gate reopens for the same version")
	closed := make(chan error)
	go func() { closed <- g.Close(t.Context()) }()
	release()
	releaseSecond()
	require.NoError(t, <-closed)
}

// TestRequestNeverRunsUnderAnotherVersion checks random sequences of admissions,
// completions and version changes.
func TestRequestNeverRunsUnderAnotherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &Gate{}
		type admitted struct {
			target  Target
			release func()
		}
		var requests []admitted
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				target := Target{"s", rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")}
				if _, release, refusal := g.Admit(target); refusal == nil {
					requests = append(requests, admitted{target, release})
				}
			},
			"leave": func(t *rapid.T) {
				if len(requests) > 0 {
					at := rapid.IntRange(0, len(requests)-1).Draw(t, "which")
					requests[at].release()
					requests = append(requests[:at:at], requests[at+1:]...)
				}
			},
			"change version": func(t *rapid.T) {
				if g.Close(canceled) == nil {
					require.Empty(t, requests, "closed with requests in flight")
					g.Open(Serving{[]string{"s"}, rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "to")})
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(requests), g.InFlight())
				for _, r := range requests {
					require.Equal(t, g.Serving().Manifest, r.target.Manifest)
				}
			},
		})
	})
}

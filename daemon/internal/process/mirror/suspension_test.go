package mirror_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// host is a host that can be suspended: its steady clock stands still then.
type host struct{ steady, boot time.Duration }

func (h *host) now() func() time.Time {
	c := &clock.Clock{Steady: func() time.Duration { return h.steady }, Boot: func() time.Duration { return h.boot }}
	c.Now()
	return c.Now
}

func (h *host) suspend(d time.Duration) {
	h.boot += d
	h.steady += time.Second // it runs on for a moment before anybody asks
	h.boot += time.Second
}

// TestASuspendedHostsCopyIsOld: a router that was suspended for five seconds took its copy
// for as fresh as before, by a clock that stood still meanwhile.
func TestASuspendedHostsCopyIsOld(t *testing.T) {
	h := &host{steady: time.Second}
	answered := make(chan struct{})
	follower := &mirror.Follower{
		Table: &mirror.Table{}, Now: h.now(),
		Store: provider.Store{
			List: func(context.Context, string) (provider.Listing, error) {
				return provider.Listing{Revision: 1}, nil
			},
			Watch: func(ctx context.Context, _ string, _ provider.Revision, _ time.Duration) (provider.Listing, error) {
				close(answered)
				<-ctx.Done()
				return provider.Listing{}, ctx.Err()
			},
		},
	}
	follower.Start()
	<-answered
	require.LessOrEqual(t, follower.Age(), time.Duration(0))
	assert.False(t, follower.Standing().Behind())
	h.suspend(5 * time.Second)
	assert.InDelta(t, 6*time.Second, follower.Age(), float64(time.Millisecond))
	assert.True(t, follower.Standing().Behind(), "others are not to go by its copy")
	follower.Stop()
}

// TestASuspendedHostsVersionsAreDue: a version was declared a second before its host was
// suspended for five, and has eight seconds. Engines with the one before it were used for
// five seconds too long.
func TestASuspendedHostsVersionsAreDue(t *testing.T) {
	h := &host{steady: time.Second}
	now := h.now()
	compiler := &mirror.Compiler{Decode: decode, Now: now}
	declare := func(version int, revision provider.Revision) {
		record := provider.Record{Target: &provider.Target{Model: "m", Version: version}}
		compiler.Take([]provider.Entry{entry(t, "v", revision, record)})
	}
	declare(1, 1)
	h.steady, h.boot = h.steady+time.Minute, h.boot+time.Minute
	declare(2, 2)
	const apply, grace = 8 * time.Second, 7 * time.Second
	declared := compiler.View().Targets["m"]
	h.suspend(5 * time.Second)
	assert.Equal(t, 1, declared.Required(now(), grace, apply), "six seconds have passed")
	h.suspend(500 * time.Millisecond)
	assert.Equal(t, 2, declared.Required(now(), grace, apply), "seven and a half have")
}

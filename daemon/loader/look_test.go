package loader

import (
	"context"
	"io"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/clock"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/peering"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// sharedLink sends to all who read at the same time, each its part of the rate.
type sharedLink struct {
	// alone is how long one read takes while nobody else reads.
	alone   time.Duration
	readers atomic.Int64
}

func (l *sharedLink) read(ctx context.Context) error {
	const step = 10 * time.Millisecond
	l.readers.Add(1)
	defer l.readers.Add(-1)
	for sent := time.Duration(0); sent < l.alone; sent += step / time.Duration(l.readers.Load()) {
		if !helpers.Pause(step, ctx.Done()) {
			return ctx.Err()
		}
		provider.Progress(ctx)(1)
	}
	return nil
}

// startLooking starts a loader without routers that reads the configuration by some call.
func startLooking(read func(context.Context) error) *Process {
	configuration := &provider.Configuration{Services: []provider.Service{
		{Name: "s", Engine: &provider.EngineSpec{Model: "m"}, Origin: netip.MustParseAddrPort("10.0.0.1:80")},
	}}
	p := &Process{began: clock.Now(), log: log.NewEntry(&log.Logger{Handler: discard.New()}), provider: provider.Provider{
		Store: provider.Store{GetStale: func(ctx context.Context, _ string) (provider.Entry, error) {
			return provider.Entry{}, read(ctx)
		}},
		Decode: func(provider.Entry) (provider.Record, error) {
			return provider.Record{Configuration: configuration}, nil
		},
	}}
	p.current.Store(&settings.Loader{Service: "s"})
	p.neighbours = &peering.Neighbours{Choose: p.neighbour}
	p.compiler = &replica.Compiler{}
	p.tomb.Go(p.lookForNeeds)
	return p
}

// Symptom: while the store turns the routers of a hall away, the link to its region is
// full, and what the others need is late.
//
// Sequence: routers that have not heard the store for 5 s do not answer loaders; each
// loader reads the whole configuration from the store instead, each 1.2 to 2.4 s.
//
// Cause: a look that failed was made up for at the store even where what it would say
// had been known for long.
//
// What settled it: all loaders of three halls log that they left each router, "it has not
// heard the store for too long", within half a second; 76 of them read 300 KB each.
func TestKnownNeedsAreNotReadAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reads atomic.Int64
		p := startLooking(func(context.Context) error {
			reads.Add(1)
			return nil
		})
		helpers.Pause(storeAfter+lookLate, nil)
		assert.NotNil(t, p.needs.Load())
		assert.Equal(t, int64(1), reads.Load())
		helpers.Pause(15*time.Second, nil)
		assert.Equal(t, int64(1), reads.Load(), "what is known suffices for a while")
		helpers.Pause(15*time.Second, nil)
		assert.Equal(t, int64(2), reads.Load(), "but not for ever")
		p.tomb.Kill(io.EOF)
		<-p.tomb.Dead()
	})
}

// TestAllLoadersReadOverOneLink: loaders that start together have the configuration
// in little more than the link takes for all of them. Giving up sooner than that
// they would fill the link with halves of it.
func TestAllLoadersReadOverOneLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			loaders = 30
			alone   = 100 * time.Millisecond
		)
		link := &sharedLink{alone: alone}
		var started []*Process
		for range loaders {
			started = append(started, startLooking(link.read))
		}
		// Routers come first, and the pause before the next look may be as long as lookLate.
		helpers.Pause(storeAfter+lookLate, nil)
		helpers.Pause(loaders*alone*3/2, nil)
		for _, p := range started {
			assert.NotNil(t, p.needs.Load())
			p.tomb.Kill(io.EOF)
			<-p.tomb.Dead()
		}
	})
}

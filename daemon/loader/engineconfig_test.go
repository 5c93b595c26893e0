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
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/places"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/replica"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
	"github.com/wheelcleat/wheelcleat/daemon/settings"
)

// sharedLink is a link whose rate is shared equally by all concurrent reads.
type sharedLink struct {
	// alone is how long a single read takes.
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

// startPolling starts the polling of a loader without routers; read stands for a read of the
// configuration from the store.
func startPolling(read func(context.Context) error) *Process {
	configuration := &provider.Configuration{Services: []provider.Service{
		{Name: "s", Engine: &provider.EngineSpec{Model: "m"}, Origin: netip.MustParseAddrPort("10.0.0.1:80")},
	}}
	p := &Process{createdAt: clock.Now(), ledger: &places.Ledger{}, log: log.NewEntry(&log.Logger{Handler: discard.New()}), provider: provider.Provider{
		Store: provider.Store{GetStale: func(ctx context.Context, _ string) (provider.Entry, error) {
			return provider.Entry{}, read(ctx)
		}},
		Decode: func(provider.Entry) (provider.Record, error) {
			return provider.Record{Configuration: configuration}, nil
		},
	}}
	p.current.Store(&settings.Loader{Service: "s"})
	p.routerClient = &peering.Neighbours{Choose: p.chooseRouter}
	p.compiler = &replica.Compiler{}
	p.tomb.Go(p.pollEngineConfig)
	return p
}

// TestKnownEngineConfigIsNotReadAgain guards against all loaders of a hall reading the complete
// configuration from the store, over a link that is full then, whenever their routers are
// disconnected from the store for a while.
func TestKnownEngineConfigIsNotReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reads atomic.Int64
		p := startPolling(func(context.Context) error {
			reads.Add(1)
			return nil
		})
		helpers.Pause(startupPeriod+maxBackoff, nil)
		assert.NotNil(t, p.engineConfig.Load())
		assert.Equal(t, int64(1), reads.Load())
		helpers.Pause(15*time.Second, nil)
		assert.Equal(t, int64(1), reads.Load(), "the known configuration is used until its TTL")
		helpers.Pause(15*time.Second, nil)
		assert.Equal(t, int64(2), reads.Load(), "it is read again after its TTL")
		p.tomb.Kill(io.EOF)
		<-p.tomb.Dead()
	})
}

// TestLoadersReadConfigurationOverSharedLink guards against timeouts that are too short for
// loaders that start together: they would fill the link with partial reads and never complete.
func TestLoadersReadConfigurationOverSharedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			loaders = 30
			alone   = 100 * time.Millisecond
		)
		link := &sharedLink{alone: alone}
		var started []*Process
		for range loaders {
			started = append(started, startPolling(link.read))
		}
		// Routers are queried first, and the delay before the next poll may be maxBackoff.
		helpers.Pause(startupPeriod+maxBackoff, nil)
		helpers.Pause(loaders*alone*3/2, nil)
		for _, p := range started {
			assert.NotNil(t, p.engineConfig.Load())
			p.tomb.Kill(io.EOF)
			<-p.tomb.Dead()
		}
	})
}

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

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/peering"
	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
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
		configuration := &provider.Configuration{Services: []provider.Service{
			{Name: "s", Engine: &provider.EngineSpec{Model: "m"}, Origin: netip.MustParseAddrPort("10.0.0.1:80")},
		}}
		var started []*Process
		for range loaders {
			p := &Process{log: log.NewEntry(&log.Logger{Handler: discard.New()}), provider: provider.Provider{
				Store: provider.Store{GetStale: func(ctx context.Context, _ string) (provider.Entry, error) {
					return provider.Entry{}, link.read(ctx)
				}},
				Decode: func(provider.Entry) (provider.Record, error) {
					return provider.Record{Configuration: configuration}, nil
				},
			}}
			p.current.Store(&settings.Loader{Service: "s"})
			p.neighbours = &peering.Neighbours{Choose: p.neighbour}
			p.compiler = &mirror.Compiler{}
			p.tomb.Go(p.lookForNeeds)
			started = append(started, p)
		}
		// Routers come first, and the pause before the next look may be as long as lookLate.
		helpers.Pause(routersFirst+lookLate, nil)
		helpers.Pause(loaders*alone*3/2, nil)
		for _, p := range started {
			assert.NotNil(t, p.needs.Load())
			p.tomb.Kill(io.EOF)
			<-p.tomb.Dead()
		}
	})
}

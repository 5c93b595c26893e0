package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// announceTTL is how long the record of a router that died stays.
	announceTTL = 40 * time.Second
	// renewEvery is the interval of renewals.
	renewEvery = 12 * time.Second
	// announceRetry is the pause after a failed call, drawn at random below it.
	announceRetry = time.Second
	// announceTimeout bounds a call.
	announceTimeout = 2 * time.Second
)

// announcer keeps this router's record in the store, under a lease, so that
// other daemons find it. Where the store is silent nothing depends on it.
type announcer struct {
	store     provider.Store
	put       provider.Put
	onContact func(prefix string, lost error)

	lease provider.LeaseID
	tomb  tomb.Tomb
}

func (a *announcer) start() { a.tomb.Go(a.run) }

func (a *announcer) stop() {
	a.tomb.Kill(nil)
	_ = a.tomb.Wait()
}

func (a *announcer) run() error {
	for a.tomb.Alive() {
		pause := renewEvery
		if err := a.step(); err != nil {
			pause = rand.N(announceRetry)
		}
		helpers.Pause(pause, a.tomb.Dying())
	}
	return nil
}

// step renews the lease, or makes one and writes the record under it.
func (a *announcer) step() error {
	ctx, cancel := context.WithTimeout(a.tomb.Context(nil), announceTimeout) //nolint:staticcheck // nil asks the tomb for its own context
	defer cancel()
	if a.lease != 0 {
		err := a.store.Renew(ctx, a.lease)
		if errors.Is(err, provider.ErrLeaseOver) {
			a.lease = 0
		}
		return err
	}
	lease, err := a.store.Grant(ctx, announceTTL)
	if err != nil {
		return err
	}
	put := a.put
	put.Lease = lease
	if _, err := a.store.Write(ctx, []provider.Put{put}); err != nil {
		return err
	}
	a.lease = lease
	return nil
}

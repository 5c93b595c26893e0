package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

const (
	// announceTTL is how long the record of a crashed router remains in the store.
	announceTTL = 40 * time.Second
	// renewInterval is the time between renewals of the lease.
	renewInterval = 12 * time.Second
	// maxAnnounceRetryDelay bounds the pause after a failed call, which is drawn at random so
	// that routers do not retry in step.
	maxAnnounceRetryDelay = time.Second
	// announceTimeout bounds the calls of one renewal.
	announceTimeout = 2 * time.Second
)

// announcer keeps the record of this router in the store, under a lease, so that other daemons
// find it. While the store is unreachable the router serves without it.
type announcer struct {
	store provider.Store
	put   provider.Put
	// onConnectionChange is called with the key of the record and the error when calls begin to fail,
	// and without an error when one succeeds again.
	onConnectionChange func(key string, cause error)

	lease   provider.LeaseID
	failing bool
	// lost receives a value when the record may be lost.
	lost chan struct{}
	tomb tomb.Tomb
}

// announceAgain has the record written again under a new lease.
func (a *announcer) announceAgain() {
	select {
	case a.lost <- struct{}{}:
	default: // it is due already
	}
}

func (a *announcer) start() { a.tomb.Go(a.run) }

func (a *announcer) stop() {
	a.tomb.Kill(nil)
	_ = a.tomb.Wait()
}

func (a *announcer) run() error {
	for a.tomb.Alive() {
		pause := renewInterval
		err := a.renew()
		if err != nil {
			pause = rand.N(maxAnnounceRetryDelay)
		}
		a.reportChange(err)
		a.pause(pause)
	}
	return nil
}

// reportChange reports the first of consecutive failures, and the first success after them.
func (a *announcer) reportChange(err error) {
	failing := err != nil
	if failing != a.failing && a.tomb.Alive() {
		a.failing = failing
		a.onConnectionChange(a.put.Key, err)
	}
}

// pause waits until the next renewal is due. If the record may be lost, it gives up the lease and
// waits for a part of rewriteSpread.
func (a *announcer) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-a.tomb.Dying():
	case <-a.lost:
		a.lease = 0
		helpers.Pause(rand.N(rewriteSpread), a.tomb.Dying())
	}
}

// renew renews the lease, or grants a new one and writes the record under it.
func (a *announcer) renew() error {
	ctx, cancel := context.WithTimeout(a.tomb.Context(nil), announceTimeout) //nolint:staticcheck // nil asks the tomb for its own context
	defer cancel()
	if a.lease != 0 {
		err := a.store.Renew(ctx, a.lease)
		if errors.Is(err, provider.ErrLeaseExpired) {
			a.lease = 0
		}
		return wrap("renew the lease of the router's record", err)
	}
	lease, err := a.store.Grant(ctx, announceTTL)
	if err != nil {
		return wrap("grant a lease for the router's record", err)
	}
	put := a.put
	put.Lease = lease
	if _, err := a.store.Write(ctx, []provider.Put{put}); err != nil {
		return wrap("write the router's record", err)
	}
	a.lease = lease
	return nil
}

// wrap adds the step to an error, if there is one.
func wrap(step string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%s: %w", step, err)
}

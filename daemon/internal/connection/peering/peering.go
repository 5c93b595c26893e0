// Package peering hands a daemon's copy of the store to other daemons, and gets
// theirs while the store does not answer this one.
//
// A platform's store may turn single hosts away while it serves the others. A
// router that is cut off so must still learn of new configurations and removed
// keys, so it asks its peers. The whole protocol is one call: everything above
// a revision. A peer's copy goes through the same table as the store's news,
// where the highest revision wins, so that a peer that is behind does no harm.
package peering

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/mirror"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Path is the call's path.
const Path = "/copy"

const (
	// pullEvery is the interval between calls while the store is silent.
	pullEvery = 300 * time.Millisecond
	// pullTimeout bounds one call.
	pullTimeout = 700 * time.Millisecond
	// maxCopy bounds an answer, in bytes.
	maxCopy = 32 << 20
)

// Handler answers peers from a table.
func Handler(table *mirror.Table) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after: a revision is missing", http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(table.Since(provider.Revision(after)))
	}
}

// Puller asks peers while the store does not answer.
type Puller struct {
	Client *http.Client
	Table  *mirror.Table
	// Peers returns the peers that are known now.
	Peers func() []netip.AddrPort
	// Needed reports whether the store has been silent for too long.
	Needed func() bool
	// OnPull is called after each call. It may be nil.
	OnPull func(peer netip.AddrPort, fresh int, err error)

	tomb tomb.Tomb
}

// Start begins to watch for silence; Stop ends it.
func (p *Puller) Start() { p.tomb.Go(p.run) }

// Stop ends the puller and waits for it.
func (p *Puller) Stop() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
}

func (p *Puller) run() error {
	for helpers.Pause(pullEvery, p.tomb.Dying()) {
		if !p.Needed() {
			continue
		}
		peers := p.Peers()
		if len(peers) == 0 {
			continue
		}
		peer := peers[rand.IntN(len(peers))]
		fresh, err := p.pull(peer)
		if p.OnPull != nil {
			p.OnPull(peer, fresh, err)
		}
	}
	return nil
}

func (p *Puller) pull(peer netip.AddrPort) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?after=%d", peer, Path, p.Table.Newest())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, fmt.Errorf("ask peer %s for its copy: %w", peer, err)
	}
	response, err := p.Client.Do(request)
	if err != nil {
		return 0, fmt.Errorf("ask peer %s for its copy: %w", peer, err)
	}
	defer func() { _ = response.Body.Close() }()
	var listing provider.Listing
	if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxCopy)).Decode(&listing); err != nil {
		return 0, fmt.Errorf("read the copy of peer %s: %w", peer, err)
	}
	return p.Table.Apply(listing.Entries), nil
}

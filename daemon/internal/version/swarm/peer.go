package swarm

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/call"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/lines"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// maxPeerAnswer bounds an answer of a peer, in bytes.
const maxPeerAnswer = 8 << 20

// errBusy says that a peer has enough to send already.
var errBusy = errors.New("the host sends enough chunks already")

// IsBusy reports whether a peer turned a question away because it sends enough
// chunks already.
func IsBusy(err error) bool { return errors.Is(err, errBusy) }

// Peer is the calls to another loader.
type Peer struct {
	Address netip.AddrPort
	Client  *http.Client
	// Urgent asks for chunks before all others.
	Urgent bool
}

// Follow calls onHave with which chunks the peer has, at each change, until the
// peer is silent, leaves, or turns out not to know the version, which is
// lines.ErrNotServed.
func (p Peer) Follow(ctx context.Context, version int, far bool, onHave func(Have)) error {
	url := fmt.Sprintf("http://%s%s?version=%d", p.Address, havePath, version)
	if far {
		url += "&far"
	}
	return lines.Read(ctx, p.Client, url, func(line []byte) error {
		onHave(Have(line))
		return nil
	})
}

// Manifest asks for a version's manifest.
func (p Peer) Manifest(ctx context.Context, version int) (provider.Manifest, error) {
	var manifest provider.Manifest
	data, err := p.get(ctx, fmt.Sprintf("%s?version=%d", manifestPath, version))
	if err != nil {
		return manifest, err
	}
	return manifest, p.decode(data, &manifest)
}

// Chunk asks for a chunk; its bytes are not checked here.
func (p Peer) Chunk(ctx context.Context, version, index int) ([]byte, error) {
	path := fmt.Sprintf("%s?version=%d&index=%d", chunkPath, version, index)
	if p.Urgent {
		path += "&" + urgentQuery
	}
	return p.get(ctx, path)
}

func (p Peer) get(ctx context.Context, path string) ([]byte, error) {
	data, err := call.Get(ctx, p.Client, fmt.Sprintf("http://%s%s", p.Address, path), maxPeerAnswer)
	var refused *call.StatusError
	if errors.As(err, &refused) {
		switch refused.Status {
		case http.StatusNotFound:
			err = provider.ErrNotFound
		case http.StatusServiceUnavailable:
			err = errBusy
		}
	}
	if err != nil {
		return nil, fmt.Errorf("ask peer %s: %w", p.Address, err)
	}
	return data, nil
}

func (p Peer) decode(data []byte, target any) error {
	if err := json.Unmarshal(data, target); err != nil {
		return fmt.Errorf("decode the answer of peer %s: %w", p.Address, err)
	}
	return nil
}

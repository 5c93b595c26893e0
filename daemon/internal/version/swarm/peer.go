package swarm

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/call"
	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/linestream"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// maxPeerResponse bounds a peer's response, in bytes.
const maxPeerResponse = 8 << 20

// errBusy means that a peer's upload queue is full.
var errBusy = errors.New("upload queue of the peer is full")

// IsBusy reports whether a peer rejected a request because its upload queue is full.
func IsBusy(err error) bool { return errors.Is(err, errBusy) }

// PeerClient makes the calls to another loader.
type PeerClient struct {
	Address netip.AddrPort
	Client  *http.Client
	// Urgent requests chunks ahead of non-urgent uploads.
	Urgent bool
}

// Follow calls onHave with the peer's chunks, at first and at each change, until the peer is
// unresponsive, leaves, or does not have the version's manifest, which is linestream.ErrNotServed.
// If otherHall is set, the peer reports changes at the longer interval for other halls.
func (p PeerClient) Follow(ctx context.Context, version int, otherHall bool, onHave func(Bitmap)) error {
	url := fmt.Sprintf("http://%s%s?version=%d", p.Address, havePath, version)
	if otherHall {
		url += "&far"
	}
	return linestream.Read(ctx, p.Client, url, func(line []byte) error {
		onHave(Bitmap(line))
		return nil
	})
}

// Manifest requests the manifest of a version.
func (p PeerClient) Manifest(ctx context.Context, version int) (provider.Manifest, error) {
	var manifest provider.Manifest
	data, err := p.get(ctx, fmt.Sprintf("%s?version=%d", manifestPath, version))
	if err != nil {
		return manifest, err
	}
	return manifest, p.decode(data, &manifest)
}

// Chunk requests a chunk and returns it unverified.
func (p PeerClient) Chunk(ctx context.Context, version, index int) ([]byte, error) {
	path := fmt.Sprintf("%s?version=%d&index=%d", chunkPath, version, index)
	if p.Urgent {
		path += "&" + urgentQuery
	}
	return p.get(ctx, path)
}

func (p PeerClient) get(ctx context.Context, path string) ([]byte, error) {
	data, err := call.Get(ctx, p.Client, fmt.Sprintf("http://%s%s", p.Address, path), maxPeerResponse)
	var statusErr *call.StatusError
	if errors.As(err, &statusErr) {
		switch statusErr.Status {
		case http.StatusNotFound:
			err = provider.ErrNotFound
		case http.StatusServiceUnavailable:
			err = errBusy
		}
	}
	if err != nil {
		return nil, fmt.Errorf("request to peer %s: %w", p.Address, err)
	}
	return data, nil
}

func (p PeerClient) decode(data []byte, target any) error {
	if err := json.Unmarshal(data, target); err != nil {
		return fmt.Errorf("decode response of peer %s: %w", p.Address, err)
	}
	return nil
}

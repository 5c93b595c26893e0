// Package source holds the adapters to where weights come from: the weight
// store, the origin, and the agents of other hosts.
//
// As with the platform's adapters, calls are function fields, since the store's
// and origin's real formats are told later.
package source

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/wheelcleat/wheelcleat/api/manifest"
)

// ErrBusy means that the peer has no free upload slot.
var ErrBusy = errors.New("no free upload slot")

// ErrAbsent means that the source does not have what was asked for.
var ErrAbsent = errors.New("not there")

// ErrStalled means that the transfer made no progress for too long.
var ErrStalled = errors.New("transfer stalled")

// Source is the weight store or the origin.
type Source struct {
	// Name is "store" or "origin", for logs.
	Name string
	Peer netip.AddrPort
	// FetchManifest returns a version's manifest bytes, not yet verified.
	FetchManifest func(ctx context.Context, version manifest.Digest) ([]byte, error)
	// FetchRange returns bytes of a version's whole file, not yet verified.
	FetchRange func(ctx context.Context, version manifest.Digest, offset, length int64) ([]byte, error)
}

// Link paces what a host receives and judges whether a transfer still moves.
type Link struct {
	Client *http.Client
	// Download bounds received bytes; nil means no bound.
	Download *rate.Limiter
	// StallAfter is the time without a byte after which a transfer is given
	// up, at least; 0 means 2s. A peer whose transfers usually pause longer is
	// given more.
	StallAfter time.Duration

	gaps gaps
}

const readBytes = 64 << 10

// NewSource returns the store or origin at an address.
func NewSource(name string, address netip.AddrPort, link *Link) *Source {
	base := "http://" + address.String()
	return &Source{
		Name: name, Peer: address,
		FetchManifest: func(ctx context.Context, version manifest.Digest) ([]byte, error) {
			data, err := link.get(ctx, get{url: base + "/manifests/" + version.String(), limit: manifest.MaxBytes})
			if err != nil {
				return nil, fmt.Errorf("fetch manifest %s from %s %s: %w", version.Short(), name, address, err)
			}
			return data, nil
		},
		FetchRange: func(ctx context.Context, version manifest.Digest, offset, length int64) ([]byte, error) {
			byteRange := fmt.Sprintf("bytes=%d-%d", offset, offset+length-1)
			data, err := link.get(ctx, get{url: base + "/weights/" + version.String(), byteRange: byteRange, limit: length, exact: true})
			if err != nil {
				return nil, fmt.Errorf("fetch bytes %d+%d of %s from %s %s: %w", offset, length, version.Short(), name, address, err)
			}
			return data, nil
		},
	}
}

// ChunkRequest asks another agent for one chunk.
type ChunkRequest struct {
	Peer   netip.AddrPort
	Digest manifest.Digest
	Length int64
	// Wait is how long the peer may wait for the chunk to reach it itself.
	Wait time.Duration
}

// FetchChunk returns a chunk from another agent, not yet verified.
func (l *Link) FetchChunk(ctx context.Context, request ChunkRequest) ([]byte, error) {
	url := "http://" + request.Peer.String() + "/chunks/" + request.Digest.String()
	if request.Wait > 0 {
		url += "?wait=" + request.Wait.String()
	}
	data, err := l.get(ctx, get{url: url, limit: request.Length, exact: true, headWait: request.Wait})
	if err != nil {
		return nil, fmt.Errorf("fetch chunk %s from peer %s: %w", request.Digest.Short(), request.Peer, err)
	}
	return data, nil
}

// FetchPeerManifest returns a version's manifest from another agent, not yet
// verified.
func (l *Link) FetchPeerManifest(ctx context.Context, peer netip.AddrPort, version manifest.Digest) ([]byte, error) {
	data, err := l.get(ctx, get{url: "http://" + peer.String() + "/manifests/" + version.String(), limit: manifest.MaxBytes})
	if err != nil {
		return nil, fmt.Errorf("fetch manifest %s from peer %s: %w", version.Short(), peer, err)
	}
	return data, nil
}

// get is one download.
type get struct {
	url       string
	byteRange string
	// limit is the most bytes taken; exact asks for just as many.
	limit int64
	exact bool
	// headWait is added to the time that the answer's head may take.
	headWait time.Duration
}

func (l *Link) stallAfter(peer string) time.Duration {
	least := defaultStallAfter
	if l.StallAfter > 0 {
		least = l.StallAfter
	}
	return l.gaps.allowed(peer, least)
}

// get downloads and gives up when no byte comes for stallAfter.
func (l *Link) get(ctx context.Context, g get) ([]byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, g.url, nil)
	if err != nil {
		return nil, err
	}
	allowed := l.stallAfter(request.URL.Host)
	watchdog := time.AfterFunc(allowed+g.headWait, func() {
		l.gaps.stalled(request.URL.Host, allowed)
		cancel(ErrStalled)
	})
	defer watchdog.Stop()
	if g.byteRange != "" {
		request.Header.Set("Range", g.byteRange)
	}
	response, err := l.Client.Do(request)
	if err != nil {
		return nil, causeOf(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response); err != nil {
		return nil, err
	}
	return l.read(ctx, response, g, watchdog)
}

// causeOf prefers the reason for which a download was cancelled.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func statusError(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK, http.StatusPartialContent:
		return nil
	case http.StatusNotFound:
		return ErrAbsent
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrBusy
	default:
		return errors.New("status " + strconv.Itoa(response.StatusCode))
	}
}

func (l *Link) read(ctx context.Context, response *http.Response, g get, watchdog *time.Timer) ([]byte, error) {
	if response.ContentLength > g.limit {
		return nil, fmt.Errorf("answer of %d bytes, more than the %d asked for", response.ContentLength, g.limit)
	}
	data := make([]byte, 0, max(response.ContentLength, readBytes))
	peer := response.Request.URL.Host
	last := time.Now()
	for {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := response.Body.Read(data[len(data):min(cap(data), len(data)+readBytes)])
		data = data[:len(data)+n]
		if n > 0 {
			l.gaps.saw(peer, time.Since(last))
			watchdog.Reset(l.stallAfter(peer))
			if waitErr := l.pace(ctx, n, peer, watchdog); waitErr != nil {
				return nil, causeOf(ctx, waitErr)
			}
			last = time.Now()
		}
		switch {
		case int64(len(data)) > g.limit:
			return nil, fmt.Errorf("answer is longer than the %d bytes asked for", g.limit)
		case errors.Is(err, io.EOF) && g.exact && int64(len(data)) != g.limit:
			return nil, fmt.Errorf("answer has %d of %d bytes: %w", len(data), g.limit, io.ErrUnexpectedEOF)
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, causeOf(ctx, err)
		}
	}
}

// pace holds the download to the link's rate. Waiting for the own link is no
// stall of the sender.
func (l *Link) pace(ctx context.Context, n int, peer string, watchdog *time.Timer) error {
	if l.Download == nil {
		return nil
	}
	watchdog.Stop()
	err := l.Download.WaitN(ctx, n)
	watchdog.Reset(l.stallAfter(peer))
	return err
}

// Package source downloads manifests and chunks of weights from the weight
// store, the origin and the agents of other hosts. Package fetch calls it.
//
// Returned bytes are not verified; callers check them against the manifest. The
// calls to the store and the origin are function fields, as in the platform's
// adapters, so that they can be replaced for other formats.
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

// ErrAbsent means that the source does not hold the requested data.
var ErrAbsent = errors.New("not found at the source")

// ErrStalled means that no byte arrived within the stall timeout.
var ErrStalled = errors.New("transfer stalled")

// Source is the weight store or the origin.
type Source struct {
	// Name is "store" or "origin", for logs.
	Name    string
	Address netip.AddrPort
	// FetchManifest returns a version's manifest bytes, not yet verified.
	FetchManifest func(ctx context.Context, version manifest.Digest) ([]byte, error)
	// FetchRange returns a byte range of a version's file, not yet verified.
	FetchRange func(ctx context.Context, version manifest.Digest, offset, length int64) ([]byte, error)
}

// Downloader downloads within the rate limit of a host and aborts stalled
// transfers.
type Downloader struct {
	Client *http.Client
	// Limiter limits the rate of received bytes; nil means no limit.
	Limiter *rate.Limiter
	// MinStallTimeout is the minimum time without a byte after which a transfer is
	// aborted; 0 means 2s. The timeout is longer for peers with long gaps
	// between reads.
	MinStallTimeout time.Duration

	gaps readGaps
}

// readSize is the maximum number of bytes per read.
const readSize = 64 << 10

// NewSource returns the store or origin at an address.
func NewSource(name string, address netip.AddrPort, downloader *Downloader) *Source {
	base := "http://" + address.String()
	return &Source{
		Name: name, Address: address,
		FetchManifest: func(ctx context.Context, version manifest.Digest) ([]byte, error) {
			data, err := downloader.download(ctx, downloadRequest{url: base + "/manifests/" + version.String(), limit: manifest.MaxBytes})
			if err != nil {
				return nil, fmt.Errorf("fetch manifest %s from %s %s: %w", version.Short(), name, address, err)
			}
			return data, nil
		},
		FetchRange: func(ctx context.Context, version manifest.Digest, offset, length int64) ([]byte, error) {
			byteRange := fmt.Sprintf("bytes=%d-%d", offset, offset+length-1)
			data, err := downloader.download(ctx, downloadRequest{url: base + "/weights/" + version.String(), byteRange: byteRange, limit: length, exact: true})
			if err != nil {
				return nil, fmt.Errorf("fetch bytes %d+%d of %s from %s %s: %w", offset, length, version.Short(), name, address, err)
			}
			return data, nil
		},
	}
}

// ChunkRequest describes the download of one chunk from another agent.
type ChunkRequest struct {
	Peer   netip.AddrPort
	Digest manifest.Digest
	Length int64
	// Wait is how long the peer may wait until it holds the chunk.
	Wait time.Duration
}

// FetchChunk returns a chunk from another agent, not yet verified.
func (d *Downloader) FetchChunk(ctx context.Context, request ChunkRequest) ([]byte, error) {
	url := "http://" + request.Peer.String() + "/chunks/" + request.Digest.String()
	if request.Wait > 0 {
		url += "?wait=" + request.Wait.String()
	}
	data, err := d.download(ctx, downloadRequest{url: url, limit: request.Length, exact: true, headerWait: request.Wait})
	if err != nil {
		return nil, fmt.Errorf("fetch chunk %s from peer %s: %w", request.Digest.Short(), request.Peer, err)
	}
	return data, nil
}

// FetchPeerManifest returns a version's manifest from another agent, not yet
// verified.
func (d *Downloader) FetchPeerManifest(ctx context.Context, peer netip.AddrPort, version manifest.Digest) ([]byte, error) {
	data, err := d.download(ctx, downloadRequest{url: "http://" + peer.String() + "/manifests/" + version.String(), limit: manifest.MaxBytes})
	if err != nil {
		return nil, fmt.Errorf("fetch manifest %s from peer %s: %w", version.Short(), peer, err)
	}
	return data, nil
}

// downloadRequest describes one download.
type downloadRequest struct {
	url       string
	byteRange string
	// limit is the maximum length of the body; exact requires this length.
	limit int64
	exact bool
	// headerWait is added to the timeout for the response header.
	headerWait time.Duration
}

func (d *Downloader) stallTimeout(peer string) time.Duration {
	minimum := defaultStallTimeout
	if d.MinStallTimeout > 0 {
		minimum = d.MinStallTimeout
	}
	return d.gaps.timeout(peer, minimum)
}

// download returns the response body. It fails with ErrStalled when no byte
// arrives within the stall timeout of the peer.
func (d *Downloader) download(ctx context.Context, r downloadRequest) ([]byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url, nil)
	if err != nil {
		return nil, err
	}
	timeout := d.stallTimeout(request.URL.Host)
	watchdog := time.AfterFunc(timeout+r.headerWait, func() {
		d.gaps.recordStall(request.URL.Host, timeout)
		cancel(ErrStalled)
	})
	defer watchdog.Stop()
	if r.byteRange != "" {
		request.Header.Set("Range", r.byteRange)
	}
	response, err := d.Client.Do(request)
	if err != nil {
		return nil, cancelCause(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response); err != nil {
		return nil, err
	}
	return d.read(ctx, response, r, watchdog)
}

// cancelCause returns the cause of the cancellation of ctx, or err if ctx is not
// cancelled.
func cancelCause(ctx context.Context, err error) error {
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

func (d *Downloader) read(ctx context.Context, response *http.Response, r downloadRequest, watchdog *time.Timer) ([]byte, error) {
	if response.ContentLength > r.limit {
		return nil, fmt.Errorf("response has %d bytes, more than the requested %d", response.ContentLength, r.limit)
	}
	data := make([]byte, 0, max(response.ContentLength, readSize))
	peer := response.Request.URL.Host
	last := time.Now()
	for {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := response.Body.Read(data[len(data):min(cap(data), len(data)+readSize)])
		data = data[:len(data)+n]
		if n > 0 {
			d.gaps.record(peer, time.Since(last))
			watchdog.Reset(d.stallTimeout(peer))
			if waitErr := d.waitForLimiter(ctx, n, peer, watchdog); waitErr != nil {
				return nil, cancelCause(ctx, waitErr)
			}
			last = time.Now()
		}
		switch {
		case int64(len(data)) > r.limit:
			return nil, fmt.Errorf("response exceeds the requested %d bytes", r.limit)
		case errors.Is(err, io.EOF) && r.exact && int64(len(data)) != r.limit:
			return nil, fmt.Errorf("response truncated: got %d of %d bytes: %w", len(data), r.limit, io.ErrUnexpectedEOF)
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, cancelCause(ctx, err)
		}
	}
}

// waitForLimiter waits until the rate limit admits n bytes. The watchdog is
// stopped meanwhile, since this wait is not a stall of the sender.
func (d *Downloader) waitForLimiter(ctx context.Context, n int, peer string, watchdog *time.Timer) error {
	if d.Limiter == nil {
		return nil
	}
	watchdog.Stop()
	err := d.Limiter.WaitN(ctx, n)
	watchdog.Reset(d.stallTimeout(peer))
	return err
}

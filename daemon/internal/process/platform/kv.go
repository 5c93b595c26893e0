package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/connection/call"
	"github.com/wheelcleat/wheelcleat/daemon/internal/timeout"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Item is one key with its value.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Change is one change that a watch delivers.
type Change struct {
	Item
	Deleted bool `json:"deleted"`
}

// Listing is the response to a list.
type Listing struct {
	Revision uint64 `json:"revision"`
	Items    []Item `json:"items"`
}

// Changes is the response to a watch.
type Changes struct {
	Revision uint64   `json:"revision"`
	Events   []Change `json:"events"`
}

// Lease is the ID of a lease; 0 means none.
type Lease uint64

// Write is a conditional write.
type Write struct {
	Key   string
	Value []byte
	// IfRevision is the revision that the key must have; 0 means that it must be absent.
	IfRevision uint64
	// Lease is the lease on whose end the key is deleted; 0 means none.
	Lease Lease
}

// KV is a client of the key-value service. Each field is one call of the service and counts
// against its rate limits.
type KV struct {
	List func(ctx context.Context, prefix string) (Listing, error)
	Get  func(ctx context.Context, key string) (Item, error)
	// Put returns the new revision, a *ConflictError, ErrUnavailable or ErrUnknownResult.
	Put func(ctx context.Context, write Write) (uint64, error)
	// Delete returns the revision of the deletion, an error as Put does, or ErrNotFound.
	Delete func(ctx context.Context, key string, ifRevision uint64) (uint64, error)
	// Watch waits for changes after a revision. It returns no changes once wait has passed,
	// and ErrCompacted if the caller must list instead.
	Watch     func(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	Grant     func(ctx context.Context, ttl time.Duration) (Lease, error)
	KeepAlive func(ctx context.Context, lease Lease) error
	Revoke    func(ctx context.Context, lease Lease) error
}

// MaxValueBytes is the size of the largest value that the service stores.
const MaxValueBytes = 1 << 20

// callTimeout is the timeout for the first byte of a response, except that of a watch, and for
// each further read.
const callTimeout = 2 * time.Second

// totalTimeout limits a complete call.
const totalTimeout = time.Minute

// watchGrace is how much longer than its wait a watch may take.
const watchGrace = 3 * time.Second

// maxResponseBytes limits the body of a response.
const maxResponseBytes = call.MaxControlResponse

// maxConflictBytes limits the body of a conflict, which holds a revision.
const maxConflictBytes = 1 << 10

// NewKV returns a client of the service at an address.
func NewKV(address netip.AddrPort, client *http.Client) *KV {
	c := &kvClient{address: address, client: client}
	return &KV{
		List: c.list, Get: c.get, Put: c.put, Delete: c.delete, Watch: c.watch,
		Grant: c.grant, KeepAlive: c.keepAlive, Revoke: c.revoke,
	}
}

// kvClient implements the calls of KV over HTTP.
type kvClient struct {
	address netip.AddrPort
	client  *http.Client
}

// kvCall is one HTTP call.
type kvCall struct {
	method  string
	path    string
	query   url.Values
	body    []byte
	timeout time.Duration // 0 means callTimeout
}

func (c *kvClient) list(ctx context.Context, prefix string) (Listing, error) {
	var listing Listing
	err := c.do(ctx, kvCall{method: http.MethodGet, path: "/kv", query: url.Values{"prefix": {prefix}}}, &listing)
	return listing, err
}

func (c *kvClient) get(ctx context.Context, key string) (Item, error) {
	var item Item
	err := c.do(ctx, kvCall{method: http.MethodGet, path: "/kv/" + key}, &item)
	return item, err
}

// revisionResponse is the body of the response to a write.
type revisionResponse struct {
	Revision uint64 `json:"revision"`
}

func (c *kvClient) put(ctx context.Context, write Write) (uint64, error) {
	query := url.Values{"ifRevision": {strconv.FormatUint(write.IfRevision, 10)}}
	if write.Lease != 0 {
		query.Set("lease", strconv.FormatUint(uint64(write.Lease), 10))
	}
	var resp revisionResponse
	err := c.do(ctx, kvCall{method: http.MethodPut, path: "/kv/" + write.Key, query: query, body: write.Value}, &resp)
	return resp.Revision, err
}

func (c *kvClient) delete(ctx context.Context, key string, ifRevision uint64) (uint64, error) {
	query := url.Values{"ifRevision": {strconv.FormatUint(ifRevision, 10)}}
	var resp revisionResponse
	err := c.do(ctx, kvCall{method: http.MethodDelete, path: "/kv/" + key, query: query}, &resp)
	return resp.Revision, err
}

func (c *kvClient) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	var changes Changes
	err := c.do(ctx, kvCall{method: http.MethodGet, path: "/watch", query: query, timeout: wait + watchGrace}, &changes)
	return changes, err
}

// leaseResponse is the body of the response to a grant.
type leaseResponse struct {
	ID Lease `json:"id"`
}

func (c *kvClient) grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	var resp leaseResponse
	err := c.do(ctx, kvCall{method: http.MethodPost, path: "/leases", query: url.Values{"ttl": {ttl.String()}}}, &resp)
	return resp.ID, err
}

func leasePath(lease Lease) string { return "/leases/" + strconv.FormatUint(uint64(lease), 10) }

func (c *kvClient) keepAlive(ctx context.Context, lease Lease) error {
	return c.do(ctx, kvCall{method: http.MethodPost, path: leasePath(lease) + "/keepalive"}, nil)
}

func (c *kvClient) revoke(ctx context.Context, lease Lease) error {
	return c.do(ctx, kvCall{method: http.MethodDelete, path: leasePath(lease)}, nil)
}

// do makes a call and decodes the response into target, which may be nil.
func (c *kvClient) do(ctx context.Context, call kvCall, target any) error {
	firstByte := call.timeout
	if firstByte == 0 {
		firstByte = callTimeout
	}
	ctx, cancel := timeout.Limit{FirstByte: firstByte, Stall: callTimeout, Total: totalTimeout}.Context(ctx)
	defer cancel()
	rawURL := "http://" + c.address.String() + call.path
	if len(call.query) > 0 {
		rawURL += "?" + call.query.Encode()
	}
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	req, err := http.NewRequestWithContext(ctx, call.method, rawURL, bytes.NewReader(call.body))
	if err != nil {
		return fmt.Errorf("key-value %s %s: %w", call.method, call.path, err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return c.wrap(call, transportError(timeout.Explain(ctx, err), connected))
	}
	defer func() { _ = resp.Body.Close() }()
	if err := statusError(resp, call); err != nil {
		return c.wrap(call, err)
	}
	if target == nil {
		return nil
	}
	data, err := provider.ReadAll(ctx, resp.Body, maxResponseBytes)
	if err == nil {
		err = json.Unmarshal(data, target)
	}
	if err != nil {
		return c.wrap(call, errors.Join(ErrUnknownResult, timeout.Explain(ctx, err)))
	}
	return nil
}

func (c *kvClient) wrap(call kvCall, err error) error {
	return fmt.Errorf("key-value %s %s at %s: %w", call.method, call.path, c.address, err)
}

// transportError classifies an error of the HTTP transport: without a connection no call was
// sent, otherwise it may have been. The error itself does not distinguish the two, since a
// context may expire before or after a connection was made.
func transportError(err error, connected bool) error {
	if !connected {
		return errors.Join(ErrUnavailable, err)
	}
	return errors.Join(ErrUnknownResult, err)
}

func statusError(resp *http.Response, call kvCall) error {
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusGone:
		return ErrCompacted
	case http.StatusConflict:
		var body revisionResponse
		if err := json.NewDecoder(io.LimitReader(resp.Body, maxConflictBytes)).Decode(&body); err != nil {
			return errors.Join(ErrUnknownResult, err)
		}
		return &ConflictError{Key: call.path[len("/kv/"):], Revision: body.Revision}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return fmt.Errorf("%w: status %s", ErrUnknownResult, resp.Status)
	}
}

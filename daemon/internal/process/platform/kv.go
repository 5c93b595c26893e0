package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/timeout"
	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// Item is one key with its value.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Change is one event of a watch.
type Change struct {
	Item
	Deleted bool `json:"deleted"`
}

// Listing is the answer to a list.
type Listing struct {
	Revision uint64 `json:"revision"`
	Items    []Item `json:"items"`
}

// Changes is the answer to a waiting watch.
type Changes struct {
	Revision uint64   `json:"revision"`
	Events   []Change `json:"events"`
}

// Lease is a lease of the key-value service; 0 means none.
type Lease uint64

// Write is a conditional write.
type Write struct {
	Key   string
	Value []byte
	// IfRevision is the revision the key must have; 0 means it must be absent.
	IfRevision uint64
	// Lease ties the key to a lease; 0 means none.
	Lease Lease
}

// KV is the key-value service. Each field is one call of the service, and
// every call counts against the service's rates.
type KV struct {
	List func(ctx context.Context, prefix string) (Listing, error)
	Get  func(ctx context.Context, key string) (Item, error)
	// Put returns the new revision, a *ConflictError, ErrUnavailable or ErrUnknown.
	Put func(ctx context.Context, write Write) (uint64, error)
	// Delete fails as Put does, and with ErrNotFound.
	Delete func(ctx context.Context, key string, ifRevision uint64) (uint64, error)
	// Watch waits for changes after a revision and returns none when the wait
	// has passed; ErrCompacted when it must be replaced by a list.
	Watch     func(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	Grant     func(ctx context.Context, ttl time.Duration) (Lease, error)
	KeepAlive func(ctx context.Context, lease Lease) error
	Revoke    func(ctx context.Context, lease Lease) error
}

// MaxValueBytes is the size of the largest value that the service holds.
const MaxValueBytes = 1 << 20

// callTimeout is how long the answer of a call may take to begin, but for the waiting
// watch, and each part of it after the first.
const callTimeout = 2 * time.Second

// longestRead bounds a call whatever comes of its answer.
const longestRead = time.Minute

// watchGrace is what a watch may take beyond its wait.
const watchGrace = 3 * time.Second

// maxAnswerBytes bounds one answer of the service.
const maxAnswerBytes = 256 << 20

// NewKV returns the service at an address.
func NewKV(address netip.AddrPort, client *http.Client) *KV {
	c := &kvClient{peer: address, client: client}
	return &KV{
		List: c.list, Get: c.get, Put: c.put, Delete: c.delete, Watch: c.watch,
		Grant: c.grant, KeepAlive: c.keepAlive, Revoke: c.revoke,
	}
}

// kvClient speaks the service's HTTP.
type kvClient struct {
	peer   netip.AddrPort
	client *http.Client
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

// revisionAnswer is the body of a write's answer.
type revisionAnswer struct {
	Revision uint64 `json:"revision"`
}

func (c *kvClient) put(ctx context.Context, write Write) (uint64, error) {
	query := url.Values{"ifRevision": {strconv.FormatUint(write.IfRevision, 10)}}
	if write.Lease != 0 {
		query.Set("lease", strconv.FormatUint(uint64(write.Lease), 10))
	}
	var answer revisionAnswer
	err := c.do(ctx, kvCall{method: http.MethodPut, path: "/kv/" + write.Key, query: query, body: write.Value}, &answer)
	return answer.Revision, err
}

func (c *kvClient) delete(ctx context.Context, key string, ifRevision uint64) (uint64, error) {
	query := url.Values{"ifRevision": {strconv.FormatUint(ifRevision, 10)}}
	var answer revisionAnswer
	err := c.do(ctx, kvCall{method: http.MethodDelete, path: "/kv/" + key, query: query}, &answer)
	return answer.Revision, err
}

func (c *kvClient) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	var changes Changes
	err := c.do(ctx, kvCall{method: http.MethodGet, path: "/watch", query: query, timeout: wait + watchGrace}, &changes)
	return changes, err
}

// leaseAnswer is the body of a lease call's answer.
type leaseAnswer struct {
	ID Lease `json:"id"`
}

func (c *kvClient) grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	var answer leaseAnswer
	err := c.do(ctx, kvCall{method: http.MethodPost, path: "/leases", query: url.Values{"ttl": {ttl.String()}}}, &answer)
	return answer.ID, err
}

func leasePath(lease Lease) string { return "/leases/" + strconv.FormatUint(uint64(lease), 10) }

func (c *kvClient) keepAlive(ctx context.Context, lease Lease) error {
	return c.do(ctx, kvCall{method: http.MethodPost, path: leasePath(lease) + "/keepalive"}, nil)
}

func (c *kvClient) revoke(ctx context.Context, lease Lease) error {
	return c.do(ctx, kvCall{method: http.MethodDelete, path: leasePath(lease)}, nil)
}

// do makes a call and reads its answer into target, which may be nil.
func (c *kvClient) do(ctx context.Context, call kvCall, target any) error {
	firstByte := call.timeout
	if firstByte == 0 {
		firstByte = callTimeout
	}
	ctx, end := timeout.Limit{FirstByte: firstByte, Stall: callTimeout, Total: longestRead}.Context(ctx)
	defer end()
	address := "http://" + c.peer.String() + call.path
	if len(call.query) > 0 {
		address += "?" + call.query.Encode()
	}
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	request, err := http.NewRequestWithContext(ctx, call.method, address, bytes.NewReader(call.body))
	if err != nil {
		return fmt.Errorf("key-value %s %s: %w", call.method, call.path, err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return c.wrap(call, lost(timeout.Explain(ctx, err), connected))
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response, call); err != nil {
		return c.wrap(call, err)
	}
	if target == nil {
		return nil
	}
	data, err := provider.ReadAll(ctx, response.Body, maxAnswerBytes)
	if err == nil {
		err = json.Unmarshal(data, target)
	}
	if err != nil {
		return c.wrap(call, errors.Join(ErrUnknown, timeout.Explain(ctx, err)))
	}
	return nil
}

func (c *kvClient) wrap(call kvCall, err error) error {
	return fmt.Errorf("key-value %s %s at %s: %w", call.method, call.path, c.peer, err)
}

// lost says what a transport error means: where no connection was ever had, no
// call was sent; all else may have been. The kind of the error does not tell: a
// context that ends while a connection is made looks like one that ends later.
func lost(err error, connected bool) error {
	if !connected {
		return errors.Join(ErrUnavailable, err)
	}
	return errors.Join(ErrUnknown, err)
}

func statusError(response *http.Response, call kvCall) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusGone:
		return ErrCompacted
	case http.StatusConflict:
		var answer revisionAnswer
		if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
			return errors.Join(ErrUnknown, err)
		}
		return &ConflictError{Key: call.path[len("/kv/"):], Revision: answer.Revision}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return fmt.Errorf("%w: status %s", ErrUnknown, response.Status)
	}
}

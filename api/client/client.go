// Package client is a typed client for wheelcleat's resource API.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/wheelcleat/wheelcleat/api"
)

// maxResponseBytes bounds the body of one response.
const maxResponseBytes = 64 << 20

// Client calls the resource API. It tries the entries in order until it can connect
// to one. A request that may have reached an entry is not sent to another, because
// a write may have taken effect.
type Client struct {
	// Entries are the base URLs of the entries, such as "http://127.0.0.1:7002".
	Entries []string
	// Key is the operator's bearer key; "" sends none.
	Key string
	// HTTP is the HTTP client; nil means http.DefaultClient.
	HTTP *http.Client
}

// PutOptions are the options of Put.
type PutOptions struct {
	// IfRevision is the revision that the write replaces; 0 replaces any.
	IfRevision uint64
	// Create makes the write fail if the resource exists.
	Create bool
	// DryRun validates the write without applying it.
	DryRun bool
}

// Put writes a resource and returns it as accepted.
func (c *Client) Put(ctx context.Context, r *api.Resource, options PutOptions) (*api.Resource, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode %s %q: %w", r.Kind, r.Name, err)
	}
	call := request{method: http.MethodPut, path: resourcePath(r.Kind, r.Name), body: body, ifRevision: options.IfRevision, create: options.Create}
	if options.DryRun {
		call.query = url.Values{"dryRun": {"true"}}
	}
	accepted := &api.Resource{}
	return accepted, c.doJSON(ctx, call, accepted)
}

// Get returns one resource.
func (c *Client) Get(ctx context.Context, kind api.Kind, name string) (*api.Resource, error) {
	found := &api.Resource{}
	return found, c.doJSON(ctx, request{method: http.MethodGet, path: resourcePath(kind, name)}, found)
}

// List returns all resources of a kind, sorted by name.
func (c *Client) List(ctx context.Context, kind api.Kind) (*api.List, error) {
	list := &api.List{}
	return list, c.doJSON(ctx, request{method: http.MethodGet, path: "/v1/resources/" + kind.Plural()}, list)
}

// Delete deletes a resource. An ifRevision of 0 deletes any revision.
func (c *Client) Delete(ctx context.Context, kind api.Kind, name string, ifRevision uint64) error {
	return c.doJSON(ctx, request{method: http.MethodDelete, path: resourcePath(kind, name), ifRevision: ifRevision}, nil)
}

// Rollout returns the progress of the rollout of a service's declared version.
func (c *Client) Rollout(ctx context.Context, service string) (*api.RolloutStatus, error) {
	status := &api.RolloutStatus{}
	return status, c.doJSON(ctx, request{method: http.MethodGet, path: "/v1/rollouts/" + url.PathEscape(service)}, status)
}

// Watch calls handle for each event after the given revision until ctx is
// cancelled, the stream ends, or handle returns an error. It returns an
// *api.Problem with api.CodeTooOld if the caller has to list again.
func (c *Client) Watch(ctx context.Context, after uint64, handle func(api.Event) error) error {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	resp, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/watch", query: query})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return fmt.Errorf("watch after revision %d: stream ended: %w", after, err)
		}
		var event api.Event
		if err := json.Unmarshal(line, &event); err != nil {
			return fmt.Errorf("watch: decode event: %w", err)
		}
		if err := handle(event); err != nil {
			return err
		}
	}
}

// request is one request to the resource API.
type request struct {
	method     string
	path       string
	query      url.Values
	body       []byte
	ifRevision uint64
	create     bool
}

func resourcePath(kind api.Kind, name string) string {
	return "/v1/resources/" + kind.Plural() + "/" + url.PathEscape(name)
}

// doJSON sends a request and decodes the response into target unless that is nil.
func (c *Client) doJSON(ctx context.Context, call request, target any) error {
	resp, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if target == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(target); err != nil {
		return fmt.Errorf("%s %s: decode response: %w", call.method, call.path, err)
	}
	return nil
}

// do sends a request and returns the response if it is successful. The caller closes
// its body.
func (c *Client) do(ctx context.Context, call request) (*http.Response, error) {
	var lastErr error
	for _, entry := range c.Entries {
		resp, err := c.send(ctx, entry, call)
		if err == nil {
			return resp, nil
		}
		lastErr = err
		if !failedToConnect(err) || ctx.Err() != nil {
			return nil, err
		}
	}
	if lastErr == nil {
		lastErr = fmt.Errorf("%s %s: no entry address is known; name one with --entry", call.method, call.path)
	}
	return nil, lastErr
}

// failedToConnect reports whether a request failed before a connection was
// established.
func failedToConnect(err error) bool {
	return strings.Contains(err.Error(), "dial tcp")
}

func (c *Client) send(ctx context.Context, entry string, call request) (*http.Response, error) {
	target := strings.TrimSuffix(entry, "/") + call.path
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	httpReq, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(call.body))
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", call.method, target, err)
	}
	if c.Key != "" {
		httpReq.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if call.ifRevision != 0 {
		httpReq.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(call.ifRevision, 10)))
	}
	if call.create {
		httpReq.Header.Set("If-None-Match", "*")
	}
	httpClient := c.HTTP
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	resp, err := httpClient.Do(httpReq)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", call.method, target, err)
	}
	if resp.StatusCode < http.StatusBadRequest {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, readProblem(resp, call.method, target)
}

// readProblem returns the *api.Problem of an error response, or another error if the body
// is not a problem.
func readProblem(resp *http.Response, method, target string) error {
	problem := &api.Problem{}
	err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(problem)
	if err != nil || problem.Code == "" {
		return fmt.Errorf("%s %s: entry responded with %s", method, target, resp.Status)
	}
	return problem
}

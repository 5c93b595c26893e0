// Package client is the typed client of wheelcleat's resource API.
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

// maxAnswerBytes bounds one answer of the resource API.
const maxAnswerBytes = 64 << 20

// Client calls the resource API of the entries in order: a call that cannot
// reach one goes to the next. A write that reached an entry is never sent to
// another, because it may have taken effect.
type Client struct {
	// Entries are base addresses such as "http://127.0.0.1:7002".
	Entries []string
	// Key is the operator's bearer key, or "".
	Key string
	// HTTP makes the calls; nil means http.DefaultClient.
	HTTP *http.Client
}

// PutOptions vary a Put.
type PutOptions struct {
	// IfRevision is the revision the caller has seen; 0 writes over any.
	IfRevision uint64
	// Create refuses to write over a present resource.
	Create bool
	// DryRun validates and reports what the write would do.
	DryRun bool
}

// Put declares a resource and returns it as accepted.
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
	return accepted, c.decode(ctx, call, accepted)
}

// Get returns one resource.
func (c *Client) Get(ctx context.Context, kind api.Kind, name string) (*api.Resource, error) {
	found := &api.Resource{}
	return found, c.decode(ctx, request{method: http.MethodGet, path: resourcePath(kind, name)}, found)
}

// List returns all resources of a kind, sorted by name.
func (c *Client) List(ctx context.Context, kind api.Kind) (*api.List, error) {
	list := &api.List{}
	return list, c.decode(ctx, request{method: http.MethodGet, path: "/v1/resources/" + kind.Plural()}, list)
}

// Delete removes a resource. An ifRevision of 0 removes any revision.
func (c *Client) Delete(ctx context.Context, kind api.Kind, name string, ifRevision uint64) error {
	return c.decode(ctx, request{method: http.MethodDelete, path: resourcePath(kind, name), ifRevision: ifRevision}, nil)
}

// Rollout returns how far a service's declared version has come.
func (c *Client) Rollout(ctx context.Context, service string) (*api.RolloutStatus, error) {
	status := &api.RolloutStatus{}
	return status, c.decode(ctx, request{method: http.MethodGet, path: "/v1/rollouts/" + url.PathEscape(service)}, status)
}

// Watch calls handle for each event after the given revision until the
// context ends, the stream breaks, or handle returns an error. An *api.Problem
// with code too-old says that the caller must list again.
func (c *Client) Watch(ctx context.Context, after uint64, handle func(api.Event) error) error {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	response, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/watch", query: query})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return fmt.Errorf("watch after revision %d: stream ended: %w", after, err)
		}
		var event api.Event
		if err := json.Unmarshal(line, &event); err != nil {
			return fmt.Errorf("watch: read event: %w", err)
		}
		if err := handle(event); err != nil {
			return err
		}
	}
}

// request is one call of the resource API.
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

// decode makes a call and reads its answer into target, which may be nil.
func (c *Client) decode(ctx context.Context, call request, target any) error {
	response, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if target == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(target); err != nil {
		return fmt.Errorf("%s %s: read answer: %w", call.method, call.path, err)
	}
	return nil
}

// do returns a successful answer whose body the caller closes.
func (c *Client) do(ctx context.Context, call request) (*http.Response, error) {
	var lastErr error
	for _, entry := range c.Entries {
		response, err := c.send(ctx, entry, call)
		if err == nil {
			return response, nil
		}
		lastErr = err
		if !neverSent(err) || ctx.Err() != nil {
			return nil, err
		}
	}
	if lastErr == nil {
		lastErr = fmt.Errorf("%s %s: no entry address is known; name one with --entry", call.method, call.path)
	}
	return nil, lastErr
}

// neverSent reports whether a call failed before a connection was made.
func neverSent(err error) bool {
	return strings.Contains(err.Error(), "dial tcp")
}

func (c *Client) send(ctx context.Context, entry string, call request) (*http.Response, error) {
	target := strings.TrimSuffix(entry, "/") + call.path
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	httpRequest, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(call.body))
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", call.method, target, err)
	}
	if c.Key != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if call.ifRevision != 0 {
		httpRequest.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(call.ifRevision, 10)))
	}
	if call.create {
		httpRequest.Header.Set("If-None-Match", "*")
	}
	httpClient := c.HTTP
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	response, err := httpClient.Do(httpRequest)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", call.method, target, err)
	}
	if response.StatusCode < http.StatusBadRequest {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	return nil, readProblem(response, call)
}

func readProblem(response *http.Response, call request) error {
	problem := &api.Problem{}
	err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(problem)
	if err != nil || problem.Code == "" {
		return fmt.Errorf("%s %s: entry answered %s", call.method, call.path, response.Status)
	}
	return problem
}

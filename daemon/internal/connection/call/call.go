// Package call makes short HTTP calls between daemons, with JSON or raw bodies.
//
// It serves the calls that are made for each request or that carry raw bytes. Twirp was
// rejected for these, because its headers and bodies are larger and the links between
// hosts are narrow and shared with weight transfers.
package call

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/wheelcleat/wheelcleat/daemon/provider"
)

// maxErrorBody bounds how much of the body of an error response is read.
const maxErrorBody = 1 << 10

// StatusError reports a response with a status other than 200.
type StatusError struct{ Status int }

// Error returns the status code as text.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// Get returns the body of a response of at most maxBytes, and reports received bytes
// through provider.Progress. Errors do not name the peer; the caller adds it.
func Get(ctx context.Context, client *http.Client, url string, maxBytes int64) ([]byte, error) {
	return send(ctx, client, http.MethodGet, url, http.NoBody, maxBytes)
}

// PostJSON sends a JSON body and decodes a JSON response into target.
func PostJSON(ctx context.Context, client *http.Client, url string, body []byte, maxBytes int64, target any) error {
	data, err := send(ctx, client, http.MethodPost, url, bytes.NewReader(body), maxBytes)
	if err != nil {
		return err
	}
	return decode(data, target)
}

func send(ctx context.Context, client *http.Client, method, url string, body io.Reader, maxBytes int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	req.Header["User-Agent"] = nil // omit the default header; no peer reads it
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		// Read the body to its end, so that the connection can be reused.
		_, _ = io.CopyN(io.Discard, resp.Body, maxErrorBody)
		return nil, &StatusError{resp.StatusCode}
	}
	data, err := provider.ReadAll(ctx, resp.Body, maxBytes)
	if err != nil {
		return nil, fmt.Errorf("read response body, got %d bytes: %w", len(data), err)
	}
	return data, nil
}

// GetJSON gets a JSON response of at most maxBytes and decodes it into target.
func GetJSON(ctx context.Context, client *http.Client, url string, maxBytes int64, target any) error {
	data, err := Get(ctx, client, url, maxBytes)
	if err != nil {
		return err
	}
	return decode(data, target)
}

func decode(data []byte, target any) error {
	if err := json.Unmarshal(data, target); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// Package call makes the short calls between our processes that are no twirp calls:
// plain HTTP, because they are asked for each request or carry bytes as they are, over
// links of a few megabits a second that weights need too.
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

// refusalBytes is what is read of an answer that refuses: a line of text.
const refusalBytes = 1 << 10

// StatusError is an answer with a status other than 200.
type StatusError struct{ Status int }

// Error tells the status.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// Get reads an answer of at most some bytes, and reports what comes through
// provider.Progress. Errors do not name the peer: callers know what they asked it for.
func Get(ctx context.Context, client *http.Client, url string, most int64) ([]byte, error) {
	return send(ctx, client, http.MethodGet, url, http.NoBody, most)
}

// PostJSON sends a JSON body and reads a JSON answer into target.
func PostJSON(ctx context.Context, client *http.Client, url string, body []byte, most int64, target any) error {
	data, err := send(ctx, client, http.MethodPost, url, bytes.NewReader(body), most)
	if err != nil {
		return err
	}
	return decode(data, target)
}

func send(ctx context.Context, client *http.Client, method, url string, body io.Reader, most int64) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	request.Header["User-Agent"] = nil // some 30 bytes that nobody reads
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		// A connection whose answer was not read to its end is closed.
		_, _ = io.CopyN(io.Discard, response.Body, refusalBytes)
		return nil, &StatusError{response.StatusCode}
	}
	data, err := provider.ReadAll(ctx, response.Body, most)
	if err != nil {
		return nil, fmt.Errorf("read the answer, %d bytes came: %w", len(data), err)
	}
	return data, nil
}

// JSON reads a JSON answer into target.
func JSON(ctx context.Context, client *http.Client, url string, most int64, target any) error {
	data, err := Get(ctx, client, url, most)
	if err != nil {
		return err
	}
	return decode(data, target)
}

func decode(data []byte, target any) error {
	if err := json.Unmarshal(data, target); err != nil {
		return fmt.Errorf("decode the answer: %w", err)
	}
	return nil
}

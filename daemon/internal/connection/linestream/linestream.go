// Package linestream streams a state from one daemon to another: one line for each
// change, in the body of an HTTP response that does not end.
//
// Polling was rejected, because the headers of frequent requests to many hosts
// use a large share of a narrow link.
package linestream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
)

const (
	// keepAlive is the longest time between two lines, by which the reader
	// detects a connection that was cut without a reset.
	keepAlive = 400 * time.Millisecond
	// readTimeout is how long a reader waits for the next line.
	readTimeout = 1500 * time.Millisecond
)

// ErrNotServed reports that the other daemon does not serve the requested stream.
var ErrNotServed = errors.New("stream not served by peer")

// Serve streams states until the reader disconnects. State returns the current
// state as a line, nil for none, and a channel that is closed at the next change.
// Changes within the time that batchDelay returns are sent as one line.
func Serve(w http.ResponseWriter, r *http.Request, batchDelay func() time.Duration, state func() ([]byte, <-chan struct{})) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(w)
	timer := time.NewTimer(keepAlive)
	defer timer.Stop()
	for {
		line, changed := state()
		if line != nil {
			_, err := w.Write(append(append([]byte(nil), line...), '\n'))
			if err != nil || controller.Flush() != nil {
				return
			}
		}
		timer.Reset(keepAlive)
		select {
		case <-changed:
			helpers.Pause(batchDelay(), r.Context().Done())
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
	}
}

// Read calls onLine with each line of a stream until the stream ends, no line
// arrives within readTimeout, or onLine returns an error.
func Read(ctx context.Context, client *http.Client, url string, onLine func([]byte) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(readTimeout, cancel)
	defer idle.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return fmt.Errorf("read stream %s: %w", url, err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("read stream %s: %w", url, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("read stream %s: status %d: %w", url, resp.StatusCode, ErrNotServed)
	}
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		idle.Reset(readTimeout)
		if err := onLine(scanner.Bytes()); err != nil {
			return fmt.Errorf("read stream %s: %w", url, err)
		}
	}
	return scanner.Err()
}

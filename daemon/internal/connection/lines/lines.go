// Package lines streams a state from one daemon to another: a line at each
// change, in the body of one HTTP answer that does not end.
//
// Asking again and again was rejected: on a host's link of a few megabits a
// second, the headers of twenty questions a second to each of twenty hosts took
// a sixth of the link while weights were on their way.
package lines

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
	// lineEvery is the longest time between two lines, so that a stream that
	// was cut in silence is noticed.
	lineEvery = 400 * time.Millisecond
	// silence is how long a stream may say nothing before it ends.
	silence = 1500 * time.Millisecond
)

// ErrNotServed says that the other daemon does not have what was asked for.
var ErrNotServed = errors.New("the other daemon does not serve this")

// Serve streams states until the caller leaves. State returns the present line,
// nil for none, and a channel that closes at the next change. Changes within the
// time that pause returns are told together.
func Serve(w http.ResponseWriter, r *http.Request, pause func() time.Duration, state func() ([]byte, <-chan struct{})) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(w)
	timer := time.NewTimer(lineEvery)
	defer timer.Stop()
	for {
		line, changed := state()
		if line != nil {
			_, err := w.Write(append(append([]byte(nil), line...), '\n'))
			if err != nil || controller.Flush() != nil {
				return
			}
		}
		timer.Reset(lineEvery)
		select {
		case <-changed:
			helpers.Pause(pause(), r.Context().Done())
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
	}
}

// Read calls onLine with each line of a stream until it ends, falls silent, or
// onLine returns an error.
func Read(ctx context.Context, client *http.Client, url string, onLine func([]byte) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(silence, cancel)
	defer silent.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return fmt.Errorf("follow %s: %w", url, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("follow %s: %w", url, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("follow %s: status %d: %w", url, response.StatusCode, ErrNotServed)
	}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		silent.Reset(silence)
		if err := onLine(scanner.Bytes()); err != nil {
			return fmt.Errorf("follow %s: %w", url, err)
		}
	}
	return scanner.Err()
}

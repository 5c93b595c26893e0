package exchange_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/buffer"
	"github.com/wheelcleat/wheelcleat/daemon/internal/request/exchange"
)

// TestCutStreamNeverLooksComplete cuts event streams at any place. It guards against a stream that ends
// within an event and counts as complete, and against bytes that the upstream did not send.
func TestCutStreamNeverLooksComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		separator := rapid.SampledFrom([]string{"\n\n", "\r\n\r\n"}).Draw(t, "separator")
		texts := rapid.SliceOfN(rapid.StringMatching(`id: [0-9]{1,3}|data: [a-z]{0,20}|: comment`), 1, 6).Draw(t, "events")
		whole := strings.Join(texts, separator) + separator
		cut := rapid.IntRange(0, len(whole)).Draw(t, "cut")
		marked, declared := rapid.Bool().Draw(t, "marked"), rapid.Bool().Draw(t, "declared")
		response := &http.Response{ContentLength: -1, Header: http.Header{}, Body: io.NopCloser(iotest.OneByteReader(strings.NewReader(whole[:cut])))}
		if marked {
			response.ContentLength = int64(cut)
		}
		if declared {
			response.Header.Set("Content-Type", "text/event-stream")
		}

		events, got := exchange.NewEvents(response, &buffer.Budget{}), ""
		var err error
		for err == nil {
			var event exchange.Event
			event, err = events.Next()
			got += string(event.Bytes)
		}
		assert.True(t, strings.HasPrefix(whole[:cut], got), "only bytes of the upstream")
		atBoundary := cut == 0 || strings.HasSuffix(whole[:cut], separator)
		complete := errors.Is(err, io.EOF) && !errors.Is(err, exchange.ErrPartialEvent)
		assert.Equal(t, atBoundary || marked && !declared, complete)
		assert.Equal(t, complete, got == whole[:cut])
	})
}

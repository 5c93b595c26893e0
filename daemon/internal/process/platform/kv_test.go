package platform_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/helpers"
	"github.com/wheelcleat/wheelcleat/daemon/internal/process/platform"
)

// slowTransport answers all calls with the same body, of which it delivers a part each second.
type slowTransport struct {
	body      []byte
	chunkSize int
}

// RoundTrip returns the response at once; its body is slow.
func (s *slowTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	body := &slowBody{request: request, remaining: bytes.NewReader(s.body), chunkSize: s.chunkSize}
	return &http.Response{StatusCode: http.StatusOK, Body: body, Request: request}, nil
}

type slowBody struct {
	request   *http.Request
	remaining *bytes.Reader
	chunkSize int
}

func (b *slowBody) Read(buffer []byte) (int, error) {
	if !helpers.Pause(time.Second, b.request.Context().Done()) {
		return 0, b.request.Context().Err()
	}
	return io.LimitReader(b.remaining, int64(b.chunkSize)).Read(buffer)
}

func (b *slowBody) Close() error { return nil }

// Guards against a fixed timeout for complete calls, with which entries on a slow link never
// receive a large list.
func TestSlowResponseIsReadCompletely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listing := platform.Listing{Revision: 7, Items: []platform.Item{{Key: "a", Value: make([]byte, 3000), Revision: 7}}}
		body, err := json.Marshal(listing)
		require.NoError(t, err)
		const chunks = 10
		client := &http.Client{Transport: &slowTransport{body: body, chunkSize: len(body)/chunks + 1}}
		kv := platform.NewKV(netip.MustParseAddrPort("10.0.0.1:80"), client)
		received, err := kv.List(t.Context(), "")
		require.NoError(t, err)
		assert.Equal(t, listing, received)
	})
}

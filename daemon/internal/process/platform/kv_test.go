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

// slowly answers every call with the same body, a part each second.
type slowly struct {
	body []byte
	part int
}

// RoundTrip answers at once; the body takes its time.
func (s *slowly) RoundTrip(request *http.Request) (*http.Response, error) {
	body := &slowBody{request: request, left: bytes.NewReader(s.body), part: s.part}
	return &http.Response{StatusCode: http.StatusOK, Body: body, Request: request}, nil
}

type slowBody struct {
	request *http.Request
	left    *bytes.Reader
	part    int
}

func (b *slowBody) Read(buffer []byte) (int, error) {
	if !helpers.Pause(time.Second, b.request.Context().Done()) {
		return 0, b.request.Context().Err()
	}
	return io.LimitReader(b.left, int64(b.part)).Read(buffer)
}

func (b *slowBody) Close() error { return nil }

// Symptom: entries that share a narrow link to the service never have a large list.
//
// Sequence: many entries list or watch at the same time; each answer takes longer
// than a call may take; each entry gives up halfway and begins anew.
//
// Cause: one fixed time for calls whose answers differ by five orders of magnitude.
func TestLongAnswersAreReadToTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listing := platform.Listing{Revision: 7, Items: []platform.Item{{Key: "a", Value: make([]byte, 3000), Revision: 7}}}
		body, err := json.Marshal(listing)
		require.NoError(t, err)
		const parts = 10
		client := &http.Client{Transport: &slowly{body: body, part: len(body)/parts + 1}}
		kv := platform.NewKV(netip.MustParseAddrPort("10.0.0.1:80"), client)
		got, err := kv.List(t.Context(), "")
		require.NoError(t, err)
		assert.Equal(t, listing, got)
	})
}

package content_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
)

// TestDigestCoversEveryPartSeparately guards against collisions, including those between
// requests whose concatenated parts are equal.
func TestDigestCoversEveryPartSeparately(t *testing.T) {
	base := content.Request{Account: "a", Method: "POST", Host: "h", Target: "/x?y", Body: []byte("body")}
	others := []content.Request{
		{Account: "b", Method: "POST", Host: "h", Target: "/x?y", Body: []byte("body")},
		{Account: "a", Method: "PUT", Host: "h", Target: "/x?y", Body: []byte("body")},
		{Account: "a", Method: "POST", Host: "i", Target: "/x?y", Body: []byte("body")},
		{Account: "a", Method: "POST", Host: "h", Target: "/x?z", Body: []byte("body")},
		{Account: "a", Method: "POST", Host: "h", Target: "/x?y", Body: []byte("bodies")},
		{Account: "a", Method: "POST", Host: "h", Target: "/x?yb", Body: []byte("ody")},
	}
	for _, other := range others {
		assert.NotEqual(t, base.Digest(), other.Digest(), "%+v", other)
	}
	same := base
	assert.Equal(t, base.Digest(), same.Digest())
}

func TestDigestTextRoundTrip(t *testing.T) {
	digest := content.Request{Body: []byte("x")}.Digest()
	text, err := digest.MarshalText()
	require.NoError(t, err)
	var decoded content.Digest
	require.NoError(t, decoded.UnmarshalText(text))
	assert.Equal(t, digest, decoded)
	require.Error(t, decoded.UnmarshalText([]byte("12")))
	require.Error(t, decoded.UnmarshalText([]byte("zz"+string(text[2:]))))
}

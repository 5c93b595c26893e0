package content_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wheelcleat/wheelcleat/daemon/internal/request/content"
)

// TestNameTellsRequestsApart: whatever differs makes another name, also where the parts
// put together are the same.
func TestNameTellsRequestsApart(t *testing.T) {
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
		assert.NotEqual(t, base.Name(), other.Name(), "%+v", other)
	}
	again := base
	assert.Equal(t, base.Name(), again.Name())
}

func TestNameIsReadBack(t *testing.T) {
	name := content.Request{Body: []byte("x")}.Name()
	text, err := name.MarshalText()
	require.NoError(t, err)
	var read content.Name
	require.NoError(t, read.UnmarshalText(text))
	assert.Equal(t, name, read)
	require.Error(t, read.UnmarshalText([]byte("12")))
	require.Error(t, read.UnmarshalText([]byte("zz"+string(text[2:]))))
}

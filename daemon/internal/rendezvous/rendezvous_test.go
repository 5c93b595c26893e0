package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wheelcleat/wheelcleat/daemon/internal/rendezvous"
)

// TestPositionFollowsRank guards against processes that disagree on their order.
func TestPositionFollowsRank(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	for i := range 20 {
		key := fmt.Sprint("key-", i)
		for position, name := range rendezvous.Rank(key, names) {
			assert.Equal(t, position, rendezvous.Position(key, name, names))
		}
	}
	assert.Zero(t, rendezvous.Position("key", "a", nil))
}

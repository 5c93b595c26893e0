package swarm

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// hasTurn reports whether an upload may be sent.
func hasTurn(turn chan struct{}) bool {
	select {
	case <-turn:
		return true
	default:
		return false
	}
}

// TestUploadsHaveTheirTurns: one at a time, urgent ones first and always
// admitted; whoever leaves while waiting holds nobody up.
func TestUploadsHaveTheirTurns(t *testing.T) {
	u := &Uplink{}
	enter := func(urgent bool) chan struct{} {
		turn, ok := u.enter(urgent)
		require.True(t, ok)
		return turn
	}
	sent := enter(false)
	assert.True(t, hasTurn(sent))
	usual, second := enter(false), enter(false)
	_, ok := u.enter(false)
	assert.False(t, ok, "too many wait")
	urgent, later := enter(true), enter(true)
	u.leave()
	assert.True(t, hasTurn(urgent))
	assert.False(t, hasTurn(later) || hasTurn(usual) || hasTurn(second), "one at a time")
	u.giveUp(usual)
	u.giveUp(urgent) // it had its turn
	assert.True(t, hasTurn(later))
	u.leave()
	assert.True(t, hasTurn(second))
	assert.False(t, hasTurn(usual), "it has left")
	u.leave()
	assert.True(t, hasTurn(enter(false)), "nobody is being sent to")
}

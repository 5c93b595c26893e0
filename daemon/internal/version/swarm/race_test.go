//go:build race

package swarm_test

// slowdown is the factor by which the race detector slows tests down; fleets are smaller by it.
const slowdown = 2

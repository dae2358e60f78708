//go:build !race

// The race detector makes sync.Pool drop a part of what is returned to it, so
// that net/http allocates. The Makefile runs this test without it.

package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Lengths of the answers whose difference is the cost of a token.
const (
	pathShort = 100
	pathLong  = 1100
)

// TestNoAllocationPerToken guards against work that allocates for each relayed
// token. The cost of the request itself is taken off. The frames are shorter than
// 256 bytes: net/http allocates the length of a longer chunk.
func TestNoAllocationPerToken(t *testing.T) {
	c := newPathClient(t)
	c.engine.step = make(chan struct{})
	allocs := func(tokens int) float64 {
		return testing.AllocsPerRun(20, func() { assert.Assert(t, c.ask(tokens)) })
	}
	perToken := (allocs(pathLong) - allocs(pathShort)) / (pathLong - pathShort)
	t.Logf("%.4f allocations per token", perToken)
	// What else this process does meanwhile adds a few allocations per answer.
	assert.Assert(t, perToken < 0.02, "%.4f allocations per token", perToken)
}

//go:build !race

// The race detector makes sync.Pool drop some of the objects that are returned to
// it, so that net/http allocates. The Makefile runs this test without it.

package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Lengths of two answers. Their difference in allocations is the cost of the
// additional tokens.
const (
	shortAnswerTokens = 100
	longAnswerTokens  = 1100
)

// TestNoAllocationPerToken guards against allocations for each relayed token. The
// allocations for the request itself are subtracted. The frames are shorter than
// 256 bytes because net/http allocates for the length of a longer chunk.
func TestNoAllocationPerToken(t *testing.T) {
	c := newRelayClient(t)
	c.engine.sendToken = make(chan struct{})
	allocs := func(tokens int) float64 {
		return testing.AllocsPerRun(20, func() { assert.Assert(t, c.complete(tokens)) })
	}
	perToken := (allocs(longAnswerTokens) - allocs(shortAnswerTokens)) / (longAnswerTokens - shortAnswerTokens)
	t.Logf("%.4f allocations per token", perToken)
	// Background work of this process adds a few allocations per answer.
	assert.Assert(t, perToken < 0.02, "%.4f allocations per token", perToken)
}

package integration

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/load"
)

// startWorkers calls fn repeatedly in n goroutines. The returned function stops
// them and waits for their end.
func startWorkers(t *testing.T, n int, fn func(ctx context.Context, worker int)) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				fn(ctx, i)
			}
		}()
	}
	return func() { cancel(); wg.Wait() }
}

// startBackgroundStreams sends streams with different prompts through all entry
// instances until the returned function is called. It fails the test if a stream
// ends with an outcome that is not allowed.
func (r *rig) startBackgroundStreams(workers, tokens int, allowed ...load.Outcome) (stop func()) {
	var n atomic.Int64
	return startWorkers(r.t, workers, func(_ context.Context, worker int) {
		res := r.stream(r.testCluster.Entries[worker%3], fmt.Sprintf("%s %d", r.t.Name(), n.Add(1)), tokens)
		assert.Check(r.t, slices.Contains(allowed, res.Outcome), "%s %s", res.Outcome, res.Detail)
	})
}

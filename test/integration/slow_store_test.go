package integration

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/load"
	standin "github.com/bulrushfall/bulrushfall/standin/platform"
)

// storeLatency is the duration of each call to the slow store.
const storeLatency = 400 * time.Millisecond

// TestSlowStore guards against streams that wait for the store, and against
// leases, orders and edits that fail while the store is slow but answers.
func TestSlowStore(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.waitServing()
	r.waitOrdersServed()
	holder := r.leaseHolder()
	assert.NilError(t, r.testCluster.SetFaults(standin.Faults{LatencyMillis: int(storeLatency.Milliseconds())}))
	slowedAt := time.Now()
	res := r.order(r.testCluster.Entries[0], "timed", false)
	assert.Equal(t, res.Outcome, load.Answered, "%s", res.Detail)
	assert.Assert(t, res.Duration >= storeLatency, "the store is not slow: an order took %s", res.Duration)
	for i := range 6 {
		e := r.testCluster.Entries[i%3]
		stream := r.stream(e, fmt.Sprintf("%s %d", t.Name(), i), 10)
		assert.Equal(t, stream.Outcome, load.Answered, "%s", stream.Detail)
		order := r.order(e, fmt.Sprintf("slow-%d", i), false)
		assert.Equal(t, order.Outcome, load.Answered, "%s", order.Detail)
	}
	a := r.drainPartner(r.testCluster.Entries[1], "firm")
	for _, e := range r.testCluster.Entries {
		r.waitUntil("the edit at "+string(e.Instance), func() bool { return r.hasRevision(e, a.Revision) })
	}
	// Longer than the duration of a lease, so it must have been renewed.
	r.waitUntil("the lease duration passes", func() bool { return time.Since(slowedAt) > 10*time.Second })
	assert.Equal(t, r.leaseHolder(), holder)
	r.checkHistory()
}

package integration

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/load"
	standin "github.com/bulrushfall/bulrushfall/standin/platform"
)

// TestHolderKilledInStoreOutage guards against credits that depend on the store:
// the holder of the leases is killed while the store is down. Its replacement has
// no credit reserve and cannot read a lease, and still must serve.
func TestHolderKilledInStoreOutage(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.waitServing()
	holder := r.leaseHolder()
	assert.NilError(t, r.testCluster.SetFaults(standin.Faults{Outage: true}))
	_, err := r.testCluster.Instances(r.ctx)
	assert.Assert(t, err != nil, "the platform still answers")
	holder.Kill()
	assert.NilError(t, r.testCluster.StartEntry(holder))
	assert.NilError(t, r.testCluster.WaitReady(r.ctx))
	for _, e := range r.testCluster.Entries {
		r.waitUntil("a stream through "+string(e.Instance), func() bool {
			return r.stream(e, t.Name()+" "+string(e.Instance), 5).Outcome == load.Answered
		})
	}
	assert.NilError(t, r.testCluster.SetFaults(standin.Faults{}))
	r.checkHistory()
}

package formation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
)

// TestSilentMemberKeepsGroup guards against a sound group that is taken apart, with the requests
// that it runs, because one of its members is silent for a while.
func TestSilentMemberKeepsGroup(t *testing.T) {
	for member := range 2 {
		t.Run(fmt.Sprintf("member %d", member), func(t *testing.T) {
			sim := newSimulation(t, 1, 2, 9)
			sim.run(2 * time.Minute)
			sim.step(TrafficStarted{})
			head := sim.servers[sim.headOf("m0", 0)]
			group, epoch := head.Group, head.Epoch
			silent := sim.servers[head.members[member]]
			silent.dead = true
			sim.after(500*time.Millisecond, func() { sim.step(GroupStalled{Group: group, Epoch: epoch}) })
			sim.run(1300 * time.Millisecond)
			silent.dead = false
			sim.run(4 * time.Second)
			assert.Equal(t, head.Group, group)
			assert.Equal(t, head.Epoch, epoch)
			assert.Equal(t, head.State, fleet.Open)
			row, err := decodeRow(sim.rows[group])
			assert.NilError(t, err)
			assert.Equal(t, row.Epoch, epoch)
		})
	}
}

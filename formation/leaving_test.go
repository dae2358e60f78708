package formation

import (
	"cmp"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Guards against groups that are left with servers which are taken away, and against spares of
// which as many groups could be formed again.
func TestLeavingServersAreReplaced(t *testing.T) {
	sim := newSimulation(t, 1, 1, 9)
	sim.service.Models = sim.service.Models[1:]
	sim.service.Models[0].Share = 1
	sim.startPlanner()
	sim.run(2 * time.Minute)
	sim.step(TrafficStarted{})
	assert.Equal(t, sim.servingGroups("m1"), 3)
	leaving := map[ident.InstanceID]bool{
		sim.servers[sim.headOf("m1", 0)].members[1]: true, sim.servers[sim.headOf("m1", 1)].members[1]: true, sim.servers[sim.headOf("m1", 2)].members[1]: true,
	}
	loads := sim.loadCount
	sim.step(Leaving{Servers: leaving})
	sim.run(8 * time.Second)
	assert.Equal(t, sim.servingGroups("m1"), 2)
	assert.Equal(t, sim.loadCount, loads)
	for id := range leaving {
		assert.Equal(t, sim.servers[id].State, fleet.NoGroup)
	}
	for id := range leaving {
		sim.kill(id)
	}
	sim.run(8 * time.Second)
	assert.Equal(t, sim.servingGroups("m1"), 2)
}

// Guards against reassigned servers that go back to groups of the model that they held.
func TestReassignedServersServeTheOtherModel(t *testing.T) {
	sim := newSimulation(t, 1, 6, 9)
	sim.run(3 * time.Minute)
	sim.step(TrafficStarted{})
	m0, m1 := sim.servingGroups("m0"), sim.servingGroups("m1")
	models := make(map[ident.InstanceID]string)
	for _, id := range sim.servers[sim.headOf("m0", 0)].members {
		models[id] = "m1"
	}
	sim.step(Reassigned{Models: models})
	sim.run(time.Minute)
	assert.Assert(t, sim.servingGroups("m0") == m0-1 && sim.servingGroups("m1") > m1, "%d and %d groups", sim.servingGroups("m0"), sim.servingGroups("m1"))
}

// Guards against groups of servers of which each is taken away at another time.
func TestGroupsAreFormedInOrderOfStay(t *testing.T) {
	p := New(DefaultConfig())
	a, b := &fleet.Server{ID: "a"}, &fleet.Server{ID: "b"}
	assert.Equal(t, p.compareForGroup(a, b, "m0"), 0)
	p.cfg.CompareStay = func(a, b *fleet.Server) int { return cmp.Compare(b.ID, a.ID) }
	assert.Equal(t, p.compareForGroup(a, b, "m0"), 1)
	a.Staged = []string{"m0"}
	assert.Equal(t, p.compareForGroup(a, b, "m0"), -1)
}

package formation

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// conflictResolvedWithin is the longest time until each server is in one row, from the read of
// rows that conflict. A head that has to finish its requests takes most of it.
const conflictResolvedWithin = 2500 * time.Millisecond

// putRow stores a row of a group without regard to others.
func (sim *simulation) putRow(version uint64, name string, epoch ident.Epoch, members ...ident.InstanceID) {
	row := Row{Group: ident.GroupID(name), Service: "llm", Epoch: epoch, Model: "m0", Domain: "d0"}
	for _, id := range members {
		row.Members = append(row.Members, Member{ID: id, Incarnation: sim.servers[id].Incarnation})
	}
	sim.rows[row.Group] = infra.Row{RowKey: Key(row.Group), Version: version, Value: encodeRow(&row)}
}

// newConflictSimulation returns a simulation with a group that serves, five servers that have
// loaded its model, and the members of the group.
func newConflictSimulation(t *testing.T, seed int64) (*simulation, []ident.InstanceID) {
	sim := newSimulation(t, seed, 1, 0)
	for i := range 4 {
		sim.addStaged(fmt.Sprintf("s-%d", i), "d0", "m0")
	}
	sim.step(TrafficStarted{})
	sim.run(4 * time.Second)
	assert.Equal(t, sim.servingGroups("m0"), 1)
	members := sim.servers[sim.headOf("m0", 0)].members
	for i := 4; i < 9; i++ {
		sim.addStaged(fmt.Sprintf("s-%d", i), "d0", "m0")
		sim.servers[ident.InstanceID(fmt.Sprintf("s-%d", i))].Draining = true // No group is formed of it meanwhile.
	}
	return sim, members
}

func (sim *simulation) endDraining() {
	for _, s := range sim.servers {
		s.Draining = false
	}
}

// TestServingGroupKeepsItsServers guards against orders to the members of a serving group to
// leave it for one whose older row names them too.
func TestServingGroupKeepsItsServers(t *testing.T) {
	sim, members := newConflictSimulation(t, 1)
	sim.putRow(1, "g0-9", 1, members[1], members[2], "s-4", "s-5")
	sim.endDraining()
	sim.conflictsUntil = sim.now + conflictResolvedWithin
	sim.version += 10
	sim.startPlanner()
	leaves, closes := sim.orderCounts[Leave], sim.orderCounts[Close]
	for range 200 {
		sim.run(tickInterval)
		assert.Assert(t, sim.servingGroups("m0") >= 1, "at %v", sim.now)
	}
	assert.Equal(t, sim.orderCounts[Leave], leaves)
	assert.Equal(t, sim.orderCounts[Close], closes)
	assert.Equal(t, sim.servingGroups("m0"), 2)
}

// TestLaterRowTakesServers guards against a member that joins the group of the later row while
// the head of the other one still serves, and against two groups that dissolve each other.
func TestLaterRowTakesServers(t *testing.T) {
	sim, members := newConflictSimulation(t, 1)
	sim.version += 10
	sim.putRow(sim.version, "g0-9", 1<<30, "s-4", members[1], members[2], "s-5")
	sim.endDraining()
	sim.conflictsUntil = sim.now + conflictResolvedWithin
	sim.startPlanner()
	sim.run(6 * time.Second)
	assert.Equal(t, sim.servingGroups("m0"), 2)
	_, ok := sim.rows["g0-9"]
	assert.Assert(t, ok, "the later row was deleted")
	leaves := sim.orderCounts[Leave]
	sim.run(10 * time.Second)
	assert.Equal(t, sim.orderCounts[Leave], leaves, "members are still ordered away")
}

// TestConflictingRows guards against rows that name one server twice for longer than a few
// steps, and against groups that do not serve again, for random rows beside a group that serves.
func TestConflictingRows(t *testing.T) {
	for seed := range int64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim, _ := newConflictSimulation(t, seed)
			ids := slices.Sorted(maps.Keys(sim.servers))
			for i := range 1 + sim.rng.Intn(4) {
				sim.rng.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
				version := sim.version + 1 + uint64(i)
				if sim.rng.Intn(2) == 0 {
					version = 1 // Older than the row of the group that serves.
				}
				sim.putRow(version, fmt.Sprintf("g0-%d", i), ident.Epoch(1+sim.rng.Intn(1<<24)), ids[:4]...)
			}
			sim.endDraining()
			sim.version += 10
			sim.conflictsUntil = sim.now + 2*conflictResolvedWithin // A hand-over begins it anew.
			sim.startPlanner()
			for range sim.rng.Intn(3) {
				sim.after(time.Duration(sim.rng.Int63n(int64(conflictResolvedWithin))), sim.startPlanner)
			}
			sim.run(8 * time.Second)
			assert.Equal(t, sim.servingGroups("m0"), 2)
			leaves := sim.orderCounts[Leave]
			sim.run(3 * time.Second)
			assert.Equal(t, sim.orderCounts[Leave], leaves, "members are still ordered away")
		})
	}
}

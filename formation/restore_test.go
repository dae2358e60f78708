package formation

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// restoredCopy is an older state of the table and of the list of servers.
type restoredCopy struct {
	rows    map[ident.GroupID]infra.Row
	entries map[ident.InstanceID]fleet.Server
}

func (sim *simulation) copyState() restoredCopy {
	c := restoredCopy{rows: maps.Clone(sim.rows), entries: make(map[ident.InstanceID]fleet.Server)}
	for id, s := range sim.servers {
		if s.listed {
			c.entries[id] = s.Server
		}
	}
	return c
}

// restore replaces the rows by those of a copy and begins an era. If the planner has no
// earlier knowledge, its list shows the entries of the copy for a time, until the servers have
// written them again.
func (sim *simulation) restore(c restoredCopy, listIsStale bool) {
	sim.rows = maps.Clone(c.rows)
	sim.era++
	if listIsStale {
		sim.staleEntries = c.entries
		sim.after(2*time.Second, func() { sim.staleEntries = nil })
	}
	sim.startPlanner()
	sim.step(TrafficStarted{})
}

// TestGroupsOutliveARestore guards against groups that are dissolved, or reached by orders of
// an older state, because the rows of a restored store lack them or have them in an older
// state. Members are lost and replaced between the copy and the restore.
func TestGroupsOutliveARestore(t *testing.T) {
	for seed := range int64(15) {
		for _, listIsStale := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d stale list %v", seed, listIsStale), func(t *testing.T) {
				sim := newSimulation(t, seed, 4, 9)
				sim.era = 1
				sim.startPlanner()
				sim.run(100 * time.Second)
				sim.step(TrafficStarted{})
				older := sim.copyState()
				for range 1 + sim.rng.Intn(3) {
					ids := slices.Sorted(maps.Keys(sim.servers))
					ids = slices.DeleteFunc(ids, func(id ident.InstanceID) bool { return sim.servers[id].Group == "" || sim.servers[id].dead })
					sim.kill(ids[sim.rng.Intn(len(ids))])
					sim.run(time.Duration(1+sim.rng.Intn(4)) * time.Second)
				}
				sim.run(6 * time.Second)
				serving := make(map[ident.GroupID]bool)
				for _, s := range sim.servers {
					if s.State == fleet.Open && !s.dead {
						serving[s.Group] = true
					}
				}
				before := sim.servingGroups("m0") + sim.servingGroups("m1")
				assert.Assert(t, before > 0)
				sim.restore(older, listIsStale)
				for range 300 {
					sim.run(tickInterval)
					assert.Assert(t, sim.servingGroups("m0")+sim.servingGroups("m1") >= before, "at %v", sim.now)
				}
				for _, s := range sim.servers {
					if s.State != fleet.Open || s.dead || !serving[s.Group] {
						continue
					}
					row, err := decodeRow(sim.rows[s.Group])
					assert.NilError(t, err)
					assert.Equal(t, row.Epoch, s.Epoch)
				}
			})
		}
	}
}

// TestRefusedEndOfAdoption guards against an adoption whose end is never recorded because the
// store refused the write once, so that each later read of the rows starts another one.
func TestRefusedEndOfAdoption(t *testing.T) {
	sim := newSimulation(t, 3, 4, 9)
	sim.era = 1
	sim.startPlanner()
	sim.run(100 * time.Second)
	sim.step(TrafficStarted{})
	older := sim.copyState()
	sim.run(2 * time.Second)
	sim.restore(older, false)
	for sim.planner.adoption == nil {
		sim.run(tickInterval)
	}
	for !sim.planner.adoption.done {
		sim.refuseWrites = sim.planner.adoption.until-sim.now < 300*time.Millisecond
		sim.run(tickInterval)
	}
	sim.run(300 * time.Millisecond)
	sim.refuseWrites = false
	sim.run(60 * time.Second)
	_, recorded := sim.rows[eraKey]
	// A conflict or a lost answer makes the planner read its rows again.
	for id := range sim.planner.groups {
		sim.planner.groups[id].writing = true
		sim.step(Written{Attempt: sim.planner.groups[id].attempt, Group: id, Outcome: infra.OutcomeUnknown})
		break
	}
	sim.run(2 * time.Second)
	assert.Check(t, recorded, "era row is missing a minute after the refused write")
	assert.Check(t, sim.planner.adoption == nil, "another adoption a minute later")
}

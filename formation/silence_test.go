package formation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
)

// Guards against a group that is re-formed because a sound server was silent for a while,
// which ends the group's running requests.
func TestSilentServersKeepTheirGroup(t *testing.T) {
	for _, model := range []string{"m0", "m1"} {
		for _, silent := range []struct {
			name  string
			ranks []int
		}{
			{"streams only", nil},
			{"head", []int{0}},
			{"member", []int{1}},
			{"head and member", []int{0, 1}},
			{"two members", []int{1, 2}},
			{"all", []int{0, 1, 2}},
		} {
			for _, d := range []time.Duration{time.Second, 1300 * time.Millisecond, 1500 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s/%s/%v", model, silent.name, d), func(t *testing.T) {
					sim := newSimulation(t, 1, 2, 9)
					sim.unrepeatableTime = 8 * time.Second
					sim.startPlanner()
					sim.run(2 * time.Minute)
					sim.step(TrafficStarted{})
					head := sim.servers[sim.headOf(model, 0)]
					group, epoch := head.Group, head.Epoch
					var servers []*simServer
					for _, rank := range silent.ranks {
						servers = append(servers, sim.servers[head.members[rank]])
					}
					sim.silence(d, group, epoch, servers...)
					sim.run(10 * time.Second)
					assert.Equal(t, head.State, fleet.Open)
					for _, id := range head.members {
						s := sim.servers[id]
						assert.Assert(t, s.Group == group && s.Epoch == epoch, "%s is in %s/%d, was in %s/%d", id, s.Group, s.Epoch, group, epoch)
					}
				})
			}
		}
	}
}

// A server that stays silent counts as dead after MaxSilence and one more probe where requests
// would end with its group. Its group is repaired as quickly as ever where other groups can
// take over all requests, and where the probe is refused.
func TestRepairOfSilentGroup(t *testing.T) {
	const (
		repairTime = 3100 * time.Millisecond // from the silence, with a spare of staged weights
		forGood    = time.Hour
	)
	cfg := DefaultConfig()
	for _, rank := range []int{0, 1} {
		for _, c := range []struct {
			name             string
			unrepeatableTime time.Duration
			refused          bool
			limit            time.Duration
		}{
			{"unrepeatable requests", 8 * time.Second, false, repairTime + cfg.MaxSilence + cfg.ProbeInterval},
			{"refused probe", 8 * time.Second, true, repairTime},
			{"repeatable requests", 0, false, repairTime},
		} {
			t.Run(fmt.Sprintf("%s/%d", c.name, rank), func(t *testing.T) {
				sim := newSimulation(t, 1, 2, 9)
				sim.unrepeatableTime = c.unrepeatableTime
				sim.startPlanner()
				sim.run(2 * time.Minute)
				sim.step(TrafficStarted{})
				before := sim.servingGroups("m0")
				head := sim.servers[sim.headOf("m0", 0)]
				member := sim.servers[head.members[rank]]
				if c.refused {
					sim.kill(member.ID)
				} else {
					sim.silence(forGood, head.Group, head.Epoch, member)
					member.dead = true
				}
				sim.run(c.limit)
				assert.Equal(t, sim.servingGroups("m0"), before)
			})
		}
	}
}

// Guards against a head that is replaced for failing all requests while it only is silent:
// connections to it time out too. It is replaced if it fails them once it answers probes.
func TestSilentHeadIsNotReplaced(t *testing.T) {
	sim := newSimulation(t, 1, 2, 9)
	sim.unrepeatableTime = 8 * time.Second
	sim.startPlanner()
	sim.run(2 * time.Minute)
	sim.step(TrafficStarted{})
	head := sim.servers[sim.headOf("m0", 0)]
	group, epoch := head.Group, head.Epoch
	sim.silence(1300*time.Millisecond, group, epoch, head)
	sim.run(600 * time.Millisecond)
	sim.step(HeadFailing{Group: group, Epoch: epoch})
	sim.run(4 * time.Second)
	assert.Assert(t, head.Group == group && head.Epoch == epoch && head.State == fleet.Open, "it is in %s/%d, was in %s/%d", head.Group, head.Epoch, group, epoch)
	sim.step(HeadFailing{Group: group, Epoch: epoch})
	sim.run(1500 * time.Millisecond)
	assert.Assert(t, head.Rank != 0, "the failing head is still the head")
}

// Guards against a group that is re-formed because its head's entry is missing for the time
// in which entries come back that lapsed while the store was away.
func TestLapsedEntriesKeepTheirGroup(t *testing.T) {
	const missing = 2 * time.Second
	sim := newSimulation(t, 1, 2, 9)
	sim.unrepeatableTime = 8 * time.Second
	sim.startPlanner()
	sim.run(2 * time.Minute)
	sim.step(TrafficStarted{})
	head := sim.servers[sim.headOf("m0", 0)]
	group, epoch := head.Group, head.Epoch
	head.listed = false
	sim.run(missing)
	head.listed = true
	sim.run(10 * time.Second)
	for _, id := range head.members {
		s := sim.servers[id]
		assert.Assert(t, s.Group == group && s.Epoch == epoch, "%s is in %s/%d, was in %s/%d", id, s.Group, s.Epoch, group, epoch)
	}
}

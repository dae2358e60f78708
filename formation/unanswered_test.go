package formation

import (
	"flag"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
)

// TestUnansweredWriteIsDoneLater guards against two rows that name one server because the
// planner takes a write without an answer for one that failed and uses its servers elsewhere.
func TestUnansweredWriteIsDoneLater(t *testing.T) {
	sim := newSimulation(t, 1, 1, 0)
	for _, id := range []string{"s-92", "s-93", "s-94", "s-95"} {
		sim.addStaged(id, "d0", "m0")
	}
	var late ident.GroupID
	sim.fateOfWrite = func(a WriteRow) writeFate {
		if late != "" || !strings.Contains(string(a.Txn.Writes[0].Value), "s-95") {
			return writeFate{}
		}
		late = a.Group
		return writeFate{unanswered: true, delay: 5 * time.Second}
	}
	sim.step(TrafficStarted{})
	sim.run(time.Second)
	assert.Assert(t, late != "", "no row was written")
	sim.addStaged("s-90", "d0", "m0")
	sim.addStaged("s-96", "d0", "m0")
	sim.run(6 * time.Second)
	assert.Equal(t, sim.servingGroups("m0"), 1)
	sim.servers["s-95"].Draining = true
	sim.run(6 * time.Second)
	sim.startPlanner()
	sim.run(2 * time.Second)
	leaves := sim.orderCounts[Leave]
	sim.run(15 * time.Second)
	assert.Equal(t, sim.servingGroups("m0"), 1)
	assert.Equal(t, sim.orderCounts[Leave], leaves, "members are still ordered away")
}

// addStaged adds a server with a model's weights.
func (sim *simulation) addStaged(id, domain, model string) {
	sim.add(id, domain)
	sim.servers[ident.InstanceID(id)].Staged = []string{model}
}

var (
	writeSchedules = flag.Int("write-schedules", 200, "number of schedules of unanswered writes")
	firstSchedule  = flag.Int64("first-write-schedule", 0, "first seed of the schedules of unanswered writes")
)

// Bounds of the schedules of unanswered writes.
const (
	disturbedTime = 12 * time.Second
	// longestDelay is how long after its call the store may still do a write.
	longestDelay = 6 * time.Second
	// formedWithin is the time from the end of the last disturbance until all groups serve.
	formedWithin = 12 * time.Second
)

// TestUnansweredWrites guards against servers in two groups, and groups that are dissolved
// again and again, after writes that are lost, done late or done without an answer, beside
// changes of the lease holder and the return of a data centre.
func TestUnansweredWrites(t *testing.T) {
	for seed := *firstSchedule; seed < *firstSchedule+int64(*writeSchedules); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			testUnansweredWrites(t, seed)
		})
	}
}

func testUnansweredWrites(t *testing.T, seed int64) {
	sim := newSimulation(t, seed, 1, 0)
	rng := rand.New(rand.NewSource(seed))
	for i := range 9 {
		sim.addStaged(fmt.Sprintf("s0-%02d", i), "d0", "m0")
		sim.addStaged(fmt.Sprintf("s1-%02d", i), "d1", "m1")
	}
	sim.step(TrafficStarted{})
	if rng.Intn(2) == 0 {
		sim.run(4 * time.Second)
	}
	share := 0.1 + 0.5*rng.Float64()
	sim.fateOfWrite = func(WriteRow) writeFate {
		switch r := rng.Float64(); {
		case r >= share:
			return writeFate{}
		case r < share/4:
			return writeFate{unanswered: true, lost: true}
		case r < share/2:
			return writeFate{unanswered: true}
		default:
			return writeFate{unanswered: true, delay: time.Duration(rng.Int63n(int64(longestDelay)))}
		}
	}
	within := func() time.Duration { return time.Duration(rng.Int63n(int64(disturbedTime))) }
	for range rng.Intn(4) {
		sim.after(within(), sim.startPlanner)
	}
	if rng.Intn(3) > 0 {
		domain := ident.Domain(fmt.Sprintf("d%d", rng.Intn(2)))
		sim.after(within(), func() { sim.outage(domain, 4500*time.Millisecond) })
	}
	for range rng.Intn(3) {
		id := sim.randomServer(rng)
		sim.after(within(), func() {
			sim.kill(id)
			sim.after(time.Duration(1+rng.Intn(5))*time.Second, func() { sim.restart(id) })
		})
	}
	if rng.Intn(2) == 0 {
		sim.after(within(), func() { sim.addStaged("s0-90", "d0", "m0") })
	}
	sim.run(disturbedTime)
	sim.fateOfWrite = nil
	sim.run(longestDelay)
	end := sim.now
	for sim.servingGroups("m0") < 2 || sim.servingGroups("m1") < 3 {
		sim.run(tickInterval)
		assert.Assert(t, sim.now-end <= formedWithin, "%d and %d groups serve %v after the last disturbance", sim.servingGroups("m0"), sim.servingGroups("m1"), formedWithin)
	}
	leaves := sim.orderCounts[Leave]
	sim.run(3 * time.Second)
	assert.Equal(t, sim.orderCounts[Leave], leaves, "members are still ordered away")
}

// randomServer returns the id of a server.
func (sim *simulation) randomServer(rng *rand.Rand) ident.InstanceID {
	ids := slices.Sorted(maps.Keys(sim.servers))
	return ids[rng.Intn(len(ids))]
}

// outage kills the servers of a domain and starts them again together.
func (sim *simulation) outage(domain ident.Domain, length time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(sim.servers)) {
		if sim.servers[id].Domain != domain {
			continue
		}
		sim.kill(id)
		sim.after(length, func() { sim.restart(id) })
	}
}

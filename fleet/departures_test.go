package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
)

const testDrainTime = 2 * time.Second

// Guards against a leaving backend server that gets requests later than the drain time, against
// one that is used again because its entry was missing for a while, and against a new run that
// is taken for the one that has left.
func TestDepartures(t *testing.T) {
	d := NewDepartures(testDrainTime)
	run, next := Run{"p", "1"}, Run{"p", "2"}
	listed := func(Run) bool { return true }
	missing := func(Run) bool { return false }
	assert.Equal(t, d.Use(0, run), UseNormally)
	assert.Assert(t, d.Step(time.Second, SaidLeaving{run}))
	assert.Equal(t, d.Use(time.Second, run), UseLastResort)
	assert.Assert(t, !d.Step(1900*time.Millisecond, SaidLeaving{run}), "later responses don't begin it again")
	assert.Equal(t, d.Use(2*time.Second, run), UseNever)
	assert.Equal(t, d.Use(2*time.Second, next), UseNormally)
	d.Step(3*time.Second, ListChanged{missing})
	d.Step(time.Minute, ListChanged{listed})
	assert.Equal(t, d.Use(time.Minute, run), UseNever)
	d.Step(time.Hour, ListChanged{listed})
	assert.Equal(t, d.Use(time.Hour, run), UseNever)
	d.Step(time.Hour, ListChanged{missing})
	d.Step(time.Hour+unlistedRunLifetime, ListChanged{missing})
	assert.Equal(t, d.Len(), 0)
}

// Guards against the last resort where the settings name no drain time.
func TestDepartureWithoutDrainTime(t *testing.T) {
	d := NewDepartures(0)
	d.Step(0, SaidLeaving{Run{"p", "1"}})
	assert.Equal(t, d.Use(0, Run{"p", "1"}), UseNever)
}

// Guards against a backend server without an incarnation that is never used again after its
// restart.
func TestDepartureWithoutIncarnation(t *testing.T) {
	d := NewDepartures(testDrainTime)
	run := Run{ID: "p"}
	d.Step(0, SaidLeaving{run})
	assert.Equal(t, d.Use(unidentifiedRunLifetime-1, run), UseNever)
	assert.Equal(t, d.Use(unidentifiedRunLifetime, run), UseNormally)
	assert.Assert(t, d.Step(unidentifiedRunLifetime, SaidLeaving{run}), "it leaves still or again")
	assert.Equal(t, d.Use(unidentifiedRunLifetime+testDrainTime, run), UseNever)
}

// Guards against an order of responses, restarts, lost and returned entries in which a leaving
// run gets requests later than the drain time or a run that does not leave gets none.
func TestDeparturesInManyOrders(t *testing.T) {
	const seeds, steps, servers = 100, 300, 4
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, seed))
		d := NewDepartures(testDrainTime)
		now := time.Duration(0)
		current := make([]int, servers)
		entry := make([]bool, servers)
		saidAt := make(map[Run]time.Duration)
		runOf := func(s, incarnation int) Run {
			return Run{ident.InstanceID(fmt.Sprint(s)), ident.Incarnation(fmt.Sprint("i", incarnation))}
		}
		list := ListChanged{func(run Run) bool {
			for s := range servers {
				if entry[s] && run == runOf(s, current[s]) {
					return true
				}
			}
			return false
		}}
		for range steps {
			now += time.Duration(r.IntN(300)) * time.Millisecond
			s := r.IntN(servers)
			// Late responses can come from earlier runs.
			run := runOf(s, max(0, current[s]-r.IntN(2)))
			switch r.IntN(6) {
			case 0:
				_, known := saidAt[run]
				assert.Equal(t, d.Step(now, SaidLeaving{run}), !known, "seed %d", seed)
				if !known {
					saidAt[run] = now
				}
			case 1:
				current[s]++
				d.Step(now, list)
			case 2:
				entry[s] = !entry[s]
				d.Step(now, list)
			}
			for s := range servers {
				run := runOf(s, current[s])
				at, leaves := saidAt[run]
				switch use := d.Use(now, run); {
				case !leaves:
					assert.Equal(t, use, UseNormally, "seed %d, %v at %v", seed, run, now)
				case now-at > testDrainTime/2:
					assert.Equal(t, use, UseNever, "seed %d, %v at %v, leaving since %v", seed, run, now, at)
				default:
					assert.Assert(t, use != UseNormally, "seed %d, %v at %v, leaving since %v", seed, run, now, at)
				}
			}
		}
		for s := range servers {
			entry[s] = false
		}
		d.Step(now, list)
		d.Step(now+unlistedRunLifetime, list)
		assert.Equal(t, d.Len(), 0, "seed %d", seed)
	}
}

package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Repeats of all entry instances stay below the bound in each window, for few
// and many instances, also when all of them want to repeat everything after a
// quiet time.
func TestBudgetOverAllEntries(t *testing.T) {
	const (
		ratio  = 0.2
		slack  = 132.0
		window = 10 * time.Second
		tick   = 10 * time.Millisecond
	)
	for _, entries := range []int{1, 7, 84} {
		budgets := make([]*Budget, entries)
		for i := range budgets {
			budgets[i] = NewBudget(ratio, slack, window)
		}
		var repeats []time.Duration
		requests := 0
		for now := time.Duration(0); now < 4*window; now += tick {
			for i := range 2 {
				budgets[(requests+i)%entries].First()
			}
			requests += 2
			if now < 2*window {
				continue
			}
			for _, b := range budgets {
				for b.Retry(now, entries) {
					repeats = append(repeats, now)
				}
			}
		}
		perWindow := float64(requests) * float64(window) / float64(4*window)
		for i, from := range repeats {
			n := 0
			for _, at := range repeats[i:] {
				if at-from < window {
					n++
				}
			}
			assert.Assert(t, float64(n) <= ratio*perWindow+slack, "%d entries: %d repeats", entries, n)
		}
		assert.Assert(t, float64(len(repeats)) > ratio*perWindow/2, "%d entries: only %d repeats", entries, len(repeats))
	}
}

// Each of many entry instances can repeat the few requests that one lost group
// leaves to it. With its part of the slack alone it could repeat two.
func TestBudgetOfManyEntries(t *testing.T) {
	const entries = 84
	b := NewBudget(0.2, 277, 10*time.Second)
	now := time.Duration(0)
	for range 60 { // six requests a second
		b.First()
		now += 160 * time.Millisecond
		b.refill(now, entries)
	}
	granted := 0
	for b.Retry(now, entries) {
		granted++
	}
	assert.Assert(t, granted >= 4, "%d", granted)
}

package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The retries of all entry instances together stay below the limit in each window, for
// few and many entry instances, also if all of them retry everything after a time
// without retries.
func TestSharedRetryBudgetOverAllEntries(t *testing.T) {
	const (
		ratio  = 0.2
		slack  = 132.0
		window = 10 * time.Second
		tick   = 10 * time.Millisecond
	)
	for _, entries := range []int{1, 7, 84} {
		budgets := make([]*SharedRetryBudget, entries)
		for i := range budgets {
			budgets[i] = NewSharedRetryBudget(ratio, slack, window)
		}
		var retries []time.Duration
		requests := 0
		for now := time.Duration(0); now < 4*window; now += tick {
			for i := range 2 {
				budgets[(requests+i)%entries].RecordRequest()
			}
			requests += 2
			if now < 2*window {
				continue
			}
			for _, b := range budgets {
				for b.TakeRetry(now, entries) {
					retries = append(retries, now)
				}
			}
		}
		perWindow := float64(requests) * float64(window) / float64(4*window)
		for i, from := range retries {
			n := 0
			for _, at := range retries[i:] {
				if at-from < window {
					n++
				}
			}
			assert.Assert(t, float64(n) <= ratio*perWindow+slack, "%d entry instances: %d retries in a window", entries, n)
		}
		assert.Assert(t, float64(len(retries)) > ratio*perWindow/2, "%d entry instances: only %d retries", entries, len(retries))
	}
}

// Each of many entry instances can retry its few requests to a group that was lost. Its
// share of the slack alone would allow one; the rest comes from the ratio of its own
// requests.
func TestSharedRetryBudgetOfManyEntries(t *testing.T) {
	const entries = 84
	b := NewSharedRetryBudget(0.2, 277, 10*time.Second)
	now := time.Duration(0)
	for range 60 { // six requests a second
		b.RecordRequest()
		now += 160 * time.Millisecond
		b.refill(now, entries)
	}
	granted := 0
	for b.TakeRetry(now, entries) {
		granted++
	}
	assert.Assert(t, granted >= 4, "granted %d retries", granted)
}

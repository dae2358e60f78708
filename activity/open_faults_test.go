package activity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Guards against windows that are given out with the counts of one instance, because the start of a
// process whose clock was behind is taken for the start of the first run.
func TestStartOfInstanceWhoseClockWasBehind(t *testing.T) {
	c, totals := NewCollector(testWindows()), NewTotals(testWindows(), 0.05)
	// All instances have started after a power loss.
	c.Receive(testNow, Run{"e1", "2"}, "a", &Report{Time: testNow, Since: testNow})
	c.Receive(testNow, Run{"e2", "2"}, "a", &Report{Time: testNow - time.Hour, Since: testNow - time.Hour})
	now := testNow + time.Second
	for _, id := range []ident.InstanceID{"e1", "e2"} {
		c.Receive(now, Run{id, "2"}, "a", &Report{Time: now})
	}
	for _, s := range c.Sums(now) {
		totals.Merge(now, s)
	}
	for _, r := range totals.Ready(now, map[ident.DataCentre]int{"a": 2}) {
		assert.Assert(t, testWindows().Start(r.Window) >= testNow, "window %d began before all runs, counts %v", r.Window, r.Counts)
	}
}

// Guards against a window that counts as complete although most instances can't be heard since before
// it began: the instance that adds it up is cut off from them.
func TestWindowOfCutOffHolder(t *testing.T) {
	c, totals := NewCollector(testWindows()), NewTotals(testWindows(), 0.05)
	k := testWindows().At(testNow) + 2
	begin := testWindows().Start(k)
	for _, id := range []ident.InstanceID{"e1", "e2", "e3", "e4", "e5"} {
		c.Receive(begin-time.Second, Run{id, "1"}, "a", &Report{Time: begin - time.Second, Since: testNow})
	}
	now := testWindows().End(k) + settleTime
	c.Receive(now, Run{"e1", "1"}, "a", &Report{Time: now, Windows: []WindowCounts{{k, 3, []Count{{"x", 3}}}}})
	for _, s := range c.Sums(now) {
		totals.Merge(now, s)
	}
	// The others have left the roster.
	for _, r := range totals.Ready(now, map[ident.DataCentre]int{"a": 1}) {
		if r.Window == k {
			assert.Assert(t, !r.Complete, "counted %d of %d", r.Counted, r.Expected)
		}
	}
}

// Guards against usage windows that are wrong for good, because the clock was ahead when the process
// started and was put right later, where too few others are there to correct the estimate.
func TestClockPutRightWithoutOthers(t *testing.T) {
	c := NewTrueTime()
	c.Sample(0, testNow+time.Hour)
	now := time.Duration(0)
	for ; now < 10*time.Minute; now += 200 * time.Millisecond {
		c.Sample(now, testNow+now)
		c.Receive(now, "e2", testNow+now)
	}
	assert.Assert(t, (c.Now(now)-testNow-now).Abs() < time.Second, "%v", c.Now(now)-testNow-now)
}

package activity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testNow = 1000 * time.Hour

func testWindows() Windows { return Windows{Length: 5 * time.Second, Delay: 10 * time.Second} }

// Guards against a window that is given out without an instance's last counts, because that one's
// clock was ahead when its process started.
func TestWindowOfInstanceWhoseClockWasAhead(t *testing.T) {
	c := NewCollector(testWindows())
	run := Run{"e1", "1"}
	c.Receive(testNow, run, "a", &Report{Time: testNow + time.Hour, Since: testNow + time.Hour})
	k := testWindows().At(testNow)
	c.Receive(testNow+4*time.Second, run, "a", &Report{
		Time:    testNow + 4*time.Second,
		Windows: []WindowCounts{{k, 4, []Count{{"x", 4}}}},
	})
	sums := c.Sums(testWindows().End(k) + settleTime)
	for _, w := range sums[0].Windows {
		if w.Window == k {
			assert.Equal(t, w.Whole, 0, "no report shows the end of the window")
			assert.Equal(t, w.Partial, 1)
		}
	}
}

// Guards against a demand that is not seen, because the clock of its instance was ahead when its
// process started.
func TestDemandOfInstanceWhoseClockWasAhead(t *testing.T) {
	c := NewCollector(testWindows())
	run, key := Run{"e1", "1"}, ModelKey{"s", "m"}
	report := func(now, clock time.Duration, requests uint64) {
		c.Receive(now, run, "a", &Report{Time: clock, Models: []ModelDemand{{key, Demand{Requests: requests}}}})
	}
	report(testNow, testNow+time.Hour, 0)
	report(testNow+time.Second, testNow+time.Second, 100)
	report(testNow+2*time.Second, testNow+2*time.Second, 200)
	sums := c.Sums(testNow + 2*time.Second)
	assert.Equal(t, len(sums[0].Models), 1)
	assert.Equal(t, sums[0].Models[0].Arrivals, 100.0)
}

// Guards against a demand of millions a second, because reports of an instance whose clock is ahead were
// read at once after they had waited.
func TestDemandOfReportsThatWaited(t *testing.T) {
	c := NewCollector(testWindows())
	run, key := Run{"e1", "1"}, ModelKey{"s", "m"}
	for i := range uint64(4) {
		sent := testNow + time.Duration(i)*time.Second
		now := testNow + 4*time.Second + time.Duration(i)*time.Microsecond
		if i == 0 {
			now = testNow
		}
		c.Receive(now, run, "a", &Report{Time: sent + 5*time.Second, Models: []ModelDemand{{key, Demand{Requests: 100 * i}}}})
	}
	arrivals := c.Sums(testNow + 4*time.Second)[0].Models[0].Arrivals
	assert.Assert(t, arrivals > 0 && arrivals <= 100, "%v a second", arrivals)
}

package saturate

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDuration guards against a long time that becomes a negative one, also in a sum.
func TestDuration(t *testing.T) {
	for _, c := range []struct {
		n    float64
		unit time.Duration
		want time.Duration
	}{
		{1500, time.Millisecond, 1500 * time.Millisecond},
		{0.5, time.Second, 500 * time.Millisecond},
		{-2, time.Second, -2 * time.Second},
		{math.MaxInt64, time.Millisecond, MaxDuration},
		{math.MaxInt64, 1, MaxDuration},
		{-math.MaxInt64, time.Millisecond, -MaxDuration},
		{1e300, time.Second, MaxDuration},
		{math.Inf(1), time.Second, MaxDuration},
		{math.Inf(-1), time.Second, -MaxDuration},
		{math.NaN(), time.Second, 0},
	} {
		assert.Equal(t, Duration(c.n, c.unit), c.want, "%v of %s", c.n, c.unit)
	}
	assert.Assert(t, Duration(math.Inf(1), 1)+Duration(math.Inf(1), 1) > 0)
}

// TestInt guards against a large number that becomes a negative one.
func TestInt(t *testing.T) {
	for n, want := range map[float64]int{
		4.9: 4, -4.9: -4, math.MaxInt64: math.MaxInt, 1e300: math.MaxInt, math.Inf(1): math.MaxInt, math.Inf(-1): math.MinInt,
	} {
		assert.Equal(t, Int(n), want, "%v", n)
	}
	assert.Equal(t, Int(math.NaN()), 0)
}

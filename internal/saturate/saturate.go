// Package saturate converts floating-point numbers that come from outside the process. Go leaves open
// what the conversion of a number gives that the type cannot hold: on x86-64 the most negative value,
// on arm64 the nearest one.
package saturate

import (
	"math"
	"time"
)

// MaxDuration is the longest time that Duration returns. The sum of two fits into a time.Duration.
const MaxDuration = time.Duration(math.MaxInt64 / 2)

// Duration returns a number of units as a time, at most MaxDuration and at least -MaxDuration. NaN
// gives 0.
func Duration(n float64, unit time.Duration) time.Duration {
	n *= float64(unit)
	switch {
	case math.IsNaN(n):
		return 0
	case n >= float64(MaxDuration):
		return MaxDuration
	case n <= -float64(MaxDuration):
		return -MaxDuration
	}
	return time.Duration(n)
}

// Int returns the integer part of a number, or the nearest integer if it does not fit. NaN gives 0.
func Int(n float64) int {
	switch {
	case math.IsNaN(n):
		return 0
	case n >= math.MaxInt:
		return math.MaxInt
	case n <= math.MinInt:
		return math.MinInt
	}
	return int(n)
}

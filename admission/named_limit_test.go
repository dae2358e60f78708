package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against more requests than the users' bound over all entry instances, and against
// leaving most of the limit unused, for fleets and limits of all sizes under a constant press
// of requests or bursts after quiet times.
func TestNamedLimitOverManyInstances(t *testing.T) {
	const window, length, step = 4 * time.Second, 40 * time.Second, 10 * time.Millisecond
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		limit := rng.Float64() * []float64{1, 10, 100}[seed%3]
		instances := 1 + rng.IntN([]int{10, 100, 300}[seed/3%3])
		limits := make([]NamedLimit, instances)
		for i := range limits {
			limits[i].Observe(0, 1, limit, true)
		}
		quietUntil := time.Duration(0)
		if seed%2 == 1 {
			quietUntil = length / 2
		}
		var sent []time.Duration
		for now := quietUntil; now < length; now += step {
			for _, i := range rng.Perm(instances) {
				for limits[i].Allows(now, i, instances) {
					limits[i].Take()
					sent = append(sent, now)
				}
			}
		}
		most, first := 0, 0
		for last, at := range sent {
			for at-sent[first] >= window {
				first++
			}
			most = max(most, last-first+1)
		}
		assert.Check(t, float64(most) <= 1.5*limit*window.Seconds()+5, "seed %d: %d requests in %v of limit %.2f, %d instances", seed, most, window, limit, instances)
		used := float64(len(sent)) / (length - quietUntil).Seconds()
		assert.Check(t, used >= 0.8*limit-0.1, "seed %d: %.2f requests a second of limit %.2f, %d instances", seed, used, limit, instances)
	}
}

// Guards against a limit that holds after an answer that named none, and against an older
// observation that undoes a newer one.
func TestNamedLimitEnds(t *testing.T) {
	var l NamedLimit
	assert.Assert(t, l.Allows(0, 9, 10))
	assert.Assert(t, l.Observe(10, 10, 2, true))
	assert.Assert(t, !l.Allows(20, 9, 10))
	assert.Assert(t, l.Observe(30, 30, 0, false))
	assert.Assert(t, !l.Observe(40, 20, 2, true))
	assert.Assert(t, l.Allows(40, 9, 10))
}

// Guards against a backend server with a limit of 0 that never gets another request.
func TestNamedLimitOfZero(t *testing.T) {
	var l NamedLimit
	l.Observe(0, 1, 0, true)
	assert.Assert(t, !l.Allows(time.Second, 0, 7))
	assert.Assert(t, l.Allows(6*time.Second, 0, 7))
}

// Guards against a limit beyond the range of an integer that leaves a single sender.
func TestVeryLargeNamedLimit(t *testing.T) {
	var l NamedLimit
	assert.Assert(t, l.Observe(0, 1, 1e19, true))
	assert.Assert(t, l.Allows(time.Second, 9, 10) || l.Allows(2*time.Second, 9, 10))
}

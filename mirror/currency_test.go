package mirror

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a replica that is used longer than it is known to be current while the store can be
// reached, and against one that is given up in an outage of the store.
func TestCurrency(t *testing.T) {
	const maxAge = 2 * time.Second
	c := &Currency{}
	assert.Assert(t, !c.Current(time.Minute, maxAge), "never confirmed")
	c.Confirm(time.Minute)
	c.Confirm(50 * time.Second) // arrives late
	assert.Assert(t, c.Current(time.Minute+maxAge, maxAge))
	assert.Assert(t, !c.Current(time.Minute+maxAge+1, maxAge))
	assert.Assert(t, c.Current(time.Hour, 0), "no bound")
	c.StoreUnreachable(time.Minute + 3*time.Second)
	assert.Assert(t, c.Current(time.Minute+5*time.Second, maxAge))
	assert.Assert(t, !c.Current(time.Minute+6*time.Second, maxAge))
	assert.Equal(t, c.Age(time.Minute+6*time.Second), 6*time.Second)
}

package activity

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Guards against an instance that moves its estimate because the others' estimates were old when it read
// them: it was suspended, and the datagrams waited.
func TestTrueTimeAfterSuspension(t *testing.T) {
	c := NewTrueTime()
	peers := make([]ident.InstanceID, 9)
	for i := range peers {
		peers[i] = ident.InstanceID(fmt.Sprint("e", i))
	}
	receive := func(now, sent time.Duration) {
		for _, id := range peers {
			c.Receive(now, id, testNow+sent)
		}
	}
	for now := time.Duration(0); now < 10*time.Second; now += 200 * time.Millisecond {
		c.Sample(now, testNow+now)
		receive(now, now)
	}
	// The receive buffer was full after the first second of eight.
	const resumed = 18 * time.Second
	for sent := 10 * time.Second; sent < 11*time.Second; sent += 200 * time.Millisecond {
		receive(resumed, sent)
	}
	assert.Equal(t, c.Sample(resumed, testNow+resumed), time.Duration(0))
	assert.Equal(t, c.Now(resumed), testNow+resumed)
}

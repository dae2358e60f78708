package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against sends for callers that do not wait any more.
func TestDecideSend(t *testing.T) {
	const minTime = 20 * time.Millisecond
	assert.Equal(t, DecideSend(time.Second, 2*time.Second, minTime, false), MaySend)
	assert.Equal(t, DecideSend(time.Second, 2*time.Second, minTime, true), CallerLeft)
	assert.Equal(t, DecideSend(time.Second, time.Second+minTime, minTime, false), MaySend)
	assert.Equal(t, DecideSend(time.Second+1, time.Second+minTime, minTime, false), DeadlinePassed)
	assert.Equal(t, DecideSend(3*time.Second, 2*time.Second, minTime, false), DeadlinePassed)
	assert.Equal(t, DecideSend(3*time.Second, 0, minTime, false), MaySend)
	assert.Equal(t, CallerLeft.String(), "caller-left")
}

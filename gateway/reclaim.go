package gateway

import (
	"runtime/debug"
	"time"
)

// Parking a stream leaves about 100 KiB of garbage: the buffers of two connections
// and the stacks of their goroutines. An instance whose callers have stopped
// reading allocates little, so its next garbage collection can be minutes away.
// Therefore one is forced after many streams were parked.
const (
	// reclaimAfterStreams is the number of newly parked streams after which memory
	// is reclaimed.
	reclaimAfterStreams = 64
	// reclaimInterval is the minimum interval between forced collections.
	reclaimInterval = 5 * time.Second
)

// reclaimMemory returns memory to the operating system after many streams were
// parked, until the gateway closes.
func (g *Gateway) reclaimMemory() {
	tick := time.NewTicker(reclaimInterval)
	defer tick.Stop()
	last := uint64(0)
	for {
		select {
		case <-g.baseContext.Done():
			return
		case <-tick.C:
			if parked := g.parked.parkedTotal.Load(); parked-last >= reclaimAfterStreams {
				last = parked
				debug.FreeOSMemory()
			}
		}
	}
}

package gateway

import (
	"runtime/debug"
	"time"
)

// A parked stream leaves about 100 KiB of garbage: the buffers of two
// connections and the stacks of their goroutines. An instance whose readers
// have stopped allocates little, so that its next collection can be minutes
// away. Parking therefore asks for one.
const (
	// reclaimStreams is the number of parked streams after which memory is
	// returned.
	reclaimStreams = 64
	// reclaimInterval separates two returns of memory.
	reclaimInterval = 5 * time.Second
)

// reclaim returns memory to the operating system after many streams were
// parked, until the gateway closes.
func (g *Gateway) reclaim() {
	tick := time.NewTicker(reclaimInterval)
	defer tick.Stop()
	last := uint64(0)
	for {
		select {
		case <-g.base.Done():
			return
		case <-tick.C:
			if parked := g.parked.total.Load(); parked-last >= reclaimStreams {
				last = parked
				debug.FreeOSMemory()
			}
		}
	}
}

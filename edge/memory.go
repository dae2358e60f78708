package edge

import "runtime/debug"

// Shares of the memory of an instance.
const (
	// heldShare is the share for request and response bodies.
	heldShare = 0.4
	// heapShare is the share that the Go runtime tries not to exceed: it collects garbage more
	// often near it. The rest is for what the runtime does not count, and for unread bytes of
	// connections.
	heapShare = 0.6
	// defaultMemory stands for the memory of an instance whose settings don't state it, in bytes.
	defaultMemory = 256_000_000
)

// heldBytes returns the limit of the bodies that an instance holds, given its memory.
func heldBytes(memory int64) int64 {
	if memory <= 0 {
		memory = defaultMemory
	}
	return int64(heldShare * float64(memory))
}

// limitHeap sets the limit of the Go runtime, unless the memory of the instance is not known.
func limitHeap(memory int64) {
	if memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(memory)))
	}
}

package mirror

import (
	"sync/atomic"
	"time"
)

// Currency is what is known of the age of a replica: when it last certainly had all that the store had
// confirmed. Its methods may be called from any goroutine; times are those of one clock.
type Currency struct {
	confirmedAt, unreachableAt atomic.Int64
}

// Confirm records that the replica was as new as the store at a time.
func (c *Currency) Confirm(at time.Duration) { raise(&c.confirmedAt, at) }

// StoreUnreachable records that nobody who could be asked has reached the store at a time. What is
// known then stays in use, however old it becomes.
func (c *Currency) StoreUnreachable(at time.Duration) { raise(&c.unreachableAt, at) }

func raise(v *atomic.Int64, to time.Duration) {
	for {
		old := v.Load()
		if int64(to) <= old || v.CompareAndSwap(old, int64(to)) {
			return
		}
	}
}

// Current reports whether requests may be decided by the replica: it was as new as the store within
// maxAge, or the store is known to be unreachable within maxAge. A maxAge of 0 is no bound.
func (c *Currency) Current(now, maxAge time.Duration) bool {
	if maxAge == 0 {
		return true
	}
	return now-time.Duration(max(c.confirmedAt.Load(), c.unreachableAt.Load())) <= maxAge
}

// Age returns the time since the replica was last confirmed.
func (c *Currency) Age(now time.Duration) time.Duration {
	return now - time.Duration(c.confirmedAt.Load())
}

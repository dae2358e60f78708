// Package credit distributes the concurrency limit of each backend server over
// the entry instances. For each service, one entry instance runs the Owner,
// which splits each limit into allocations. Every entry instance runs a Holder,
// which issues one credit of its allocation to each request. Holders send syncs
// to the owner, and the owner's replies carry the allocations. Follower and
// Followers decide which entry instance is the owner. All of these types are
// deterministic and do no I/O.
//
// Three rules keep a backend server within its limit:
//   - An allocation expires on the holder's clock a fixed time after the holder
//     sent the sync that the allocation answers.
//   - The owner counts an allocation until the holder confirms that it ended, or
//     until it expired and the engine's load report shows that its requests ended.
//   - Each allocation belongs to one incarnation of the backend server, so a
//     restarted backend server starts with an empty ledger and its cold limit.
package credit

import "time"

// Protocol timing.
const (
	// SyncInterval is the time between two syncs of a holder.
	SyncInterval = 500 * time.Millisecond
	// AllocationTTL is how long an allocation is valid after its sync was sent.
	AllocationTTL = 1500 * time.Millisecond
	// ReserveTTL is how long a reserve is valid after its sync was sent. A holder
	// uses its reserve when it receives no allocations.
	ReserveTTL = 30 * time.Second
	// driftPercent is the clock drift that the owner allows for.
	driftPercent = 10
	// maxReportAge is the greatest age of the data in an engine's load report.
	maxReportAge = 500 * time.Millisecond
	// reconcileDelay is the longest wait before a load report is compared with
	// the usage that the entry instances report for the same time. Their syncs
	// arrive up to two intervals later.
	reconcileDelay = 2 * SyncInterval
	// defaultLostRequestTTL bounds how long requests of a lost entry instance count
	// when no load report of the engine shows that they ended.
	defaultLostRequestTTL = 10 * time.Minute
	// liveTimeout is the time without a sync after which an entry instance gets
	// no share of the limits.
	liveTimeout = 2 * AllocationTTL
	// exclusiveTTL is how long an exclusive claim is valid after the holder last
	// repeated it.
	exclusiveTTL = 2 * AllocationTTL
)

// withDrift extends a duration by the allowed clock drift: once this much time
// has passed on the local clock, d has passed on the other clock too.
func withDrift(d time.Duration) time.Duration {
	return d + d*driftPercent/100
}

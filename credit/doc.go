// Package credit shares the concurrency limit of each backend server among the
// entry instances. The Owner runs where the lease of the service is held and
// splits each limit into allocations; the Holder runs at every entry instance
// and hands credits to requests from its allocation. Both are deterministic
// and do no I/O.
//
// Safety rests on three rules. An allocation ends on the holder's clock a fixed
// time after the holder sent the sync that it answers. The owner counts an
// allocation until the holder proves that it ended, or until it expired and the
// engine's load report shows that its requests ended. Each allocation belongs
// to one incarnation of the backend server, so a restarted backend server
// starts with an empty ledger and its cold limit.
package credit

import "time"

// Times of the protocol.
const (
	// SyncInterval is the time between two syncs of a holder.
	SyncInterval = 500 * time.Millisecond
	// AllocationTTL is how long an allocation holds after its sync was sent.
	AllocationTTL = 1500 * time.Millisecond
	// ReserveTTL is how long a reserve holds after its sync was sent.
	ReserveTTL = 30 * time.Second
	// driftPercent is the clock drift that the owner allows for.
	driftPercent = 10
	// reportLag is the age that a load report of an engine can have.
	reportLag = 500 * time.Millisecond
	// settleTime is the wait before a load report is compared with the syncs
	// of the entry instances, whose reports arrive up to two intervals later.
	settleTime = 2 * SyncInterval
	// lostEntryLimit bounds how long requests of a lost entry instance count
	// when the engine's reports never prove that they ended.
	lostEntryLimit = 10 * time.Minute
	// liveWindow is the silence after which an entry instance has no part in
	// the split.
	liveWindow = 2 * AllocationTTL
	// exclusiveTTL ends an exclusive claim that its holder stopped repeating.
	exclusiveTTL = 2 * AllocationTTL
)

// withDrift returns a duration on another clock, measured safely on this one.
func withDrift(d time.Duration) time.Duration {
	return d + d*driftPercent/100
}

package group

import (
	"time"

	"github.com/bulrushfall/bulrushfall/view"
)

// Policy enables optional parts of the planner. The zero value is the baseline,
// which replaces a broken group by a new one of idle instances.
type Policy struct {
	// Spares keeps preloaded weights on idle instances: single spares and
	// standby groups.
	Spares bool
	// Swap replaces lost members of a group instead of forming a new group.
	Swap bool
}

// Config holds the timeouts and limits of a planner.
type Config struct {
	Policy Policy
	// LossTimeout is how long a member may leave polls unanswered before it counts
	// as lost. It is longer than view.ConfirmTTL, so requests are no longer routed
	// to its group by then.
	LossTimeout time.Duration
	// MemberReturnTimeout is how long a broken group that can be neither repaired
	// nor replaced waits for its lost members to come back.
	MemberReturnTimeout time.Duration
	// AssignTimeout is how long a reachable member may take to accept its
	// assignment.
	AssignTimeout time.Duration
	// AssignBackoff is how long an instance that failed an assignment gets no new
	// one.
	AssignBackoff time.Duration
	// DrainGrace is how long a group with a drained member waits for its
	// replacement. Entry instances stop sending new work to drained members
	// within 5 s in any case.
	DrainGrace time.Duration
	// DrainTimeout is how long running requests of a stopping group may take to
	// finish.
	DrainTimeout time.Duration
	// MaxCommandFlight is the longest time that a command can be in flight.
	MaxCommandFlight time.Duration
	// CommandRetryInterval is the time from one command to the next one to the
	// same instance, unless its assignment changes.
	CommandRetryInterval time.Duration
	// TxnRetryDelay is the delay after a failed transaction or read of the store.
	TxnRetryDelay time.Duration
	// ConflictBackoff is how long an instance that another service assigned first
	// gets no assignment.
	ConflictBackoff time.Duration
	// MaxPreloads bounds the concurrent preloads, because the rate of the weight
	// store is limited.
	MaxPreloads int
	// PreloadTimeout is how long one preload may take.
	PreloadTimeout time.Duration
	// StragglerRatio and RecoveredRatio are times per token, relative to the median
	// of the service. An instance becomes a straggler at or above StragglerRatio
	// and stops being one at or below RecoveredRatio.
	StragglerRatio, RecoveredRatio float64
	// StragglerTime is how long an instance has to stay slow to become a straggler.
	StragglerTime time.Duration
}

// DefaultConfig returns the default configuration, with spares and swaps.
func DefaultConfig() Config {
	return Config{
		Policy:               Policy{Spares: true, Swap: true},
		LossTimeout:          2 * view.ConfirmTTL,
		MemberReturnTimeout:  30 * time.Second,
		AssignTimeout:        10 * time.Second,
		AssignBackoff:        time.Minute,
		DrainGrace:           3 * time.Second,
		DrainTimeout:         time.Minute,
		MaxCommandFlight:     1100 * time.Millisecond,
		CommandRetryInterval: 500 * time.Millisecond,
		TxnRetryDelay:        500 * time.Millisecond,
		ConflictBackoff:      5 * time.Second,
		MaxPreloads:          2,
		PreloadTimeout:       10 * time.Minute,
		StragglerRatio:       2,
		RecoveredRatio:       1.3,
		StragglerTime:        10 * time.Second,
	}
}

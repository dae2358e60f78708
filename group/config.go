package group

import (
	"time"

	"github.com/bulrushfall/bulrushfall/view"
)

// Policy switches parts of the planner. The zero value is the baseline, which
// re-forms groups from idle instances.
type Policy struct {
	// Spares keeps idle instances with preloaded weights, single ones and
	// standby groups.
	Spares bool
	// Swap replaces lost members in place of forming a new group.
	Swap bool
}

// Config holds the times and limits of a planner.
type Config struct {
	Policy Policy
	// LossTimeout is the silence after which a member counts as lost. It is
	// longer than view.ConfirmTTL, so routing has stopped by then.
	LossTimeout time.Duration
	// StrandTimeout is how long the members of a broken group that cannot be
	// repaired or replaced wait for the lost ones to come back.
	StrandTimeout time.Duration
	// FormTimeout bounds the time in which a reachable member has to accept
	// its assignment.
	FormTimeout time.Duration
	// AvoidTime is how long an instance that failed an assignment, or that
	// straggled, gets no new one.
	AvoidTime time.Duration
	// DrainGrace is how long a group with a drained member waits for its
	// replacement. Entries stop new work on a drain within 5 s in any case.
	DrainGrace time.Duration
	// DrainTimeout bounds the time in which running requests may finish.
	DrainTimeout time.Duration
	// CommandFlight is the longest time for which a command can be under way.
	CommandFlight time.Duration
	// CommandRetry is the time between repetitions of a command.
	CommandRetry time.Duration
	// TxnRetry is the delay after a transaction that the store refused.
	TxnRetry time.Duration
	// ConflictPause is how long an instance that another service took is left
	// alone.
	ConflictPause time.Duration
	// MaxPreloads bounds preloads at a time, for the weight store's rate.
	MaxPreloads int
	// PreloadTimeout bounds one preload.
	PreloadTimeout time.Duration
	// SlowRatio and FastRatio are the token times relative to the median above
	// which an instance starts, and below which it stops, to be a straggler.
	SlowRatio, FastRatio float64
	// SlowTime is how long an instance has to be slow.
	SlowTime time.Duration
}

// DefaultConfig returns the planner's configuration with spares and swap.
func DefaultConfig() Config {
	return Config{
		Policy:         Policy{Spares: true, Swap: true},
		LossTimeout:    2 * view.ConfirmTTL,
		StrandTimeout:  30 * time.Second,
		FormTimeout:    10 * time.Second,
		AvoidTime:      time.Minute,
		DrainGrace:     3 * time.Second,
		DrainTimeout:   time.Minute,
		CommandFlight:  1100 * time.Millisecond,
		CommandRetry:   500 * time.Millisecond,
		TxnRetry:       500 * time.Millisecond,
		ConflictPause:  5 * time.Second,
		MaxPreloads:    2,
		PreloadTimeout: 10 * time.Minute,
		SlowRatio:      2,
		FastRatio:      1.3,
		SlowTime:       10 * time.Second,
	}
}

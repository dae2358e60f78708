package duty

import "time"

// Config holds the limits and durations of the duties.
type Config struct {
	// ChecksTokens is true if the platform refuses calls with an outdated token.
	ChecksTokens bool
	// CallRate is the number of calls a second that the platform accepts.
	CallRate float64
	// HolderTime is the time within which a duty must not return to an earlier holder.
	HolderTime time.Duration
	// LeaseLength is how long a former holder may act after another one has acquired the lease.
	LeaseLength time.Duration
	// LateCallTime is how long a call without an answer may take until it is done.
	LateCallTime time.Duration
	// CallTime bounds a call.
	CallTime time.Duration
	// RetryMin and RetryMax bound the delay until a call or a store access is repeated.
	RetryMin, RetryMax time.Duration
	// UsageWindow is the length of a usage window, UsageDelay the time from its end until the
	// report is due.
	UsageWindow, UsageDelay time.Duration
	// StartedAt is when the process started, on the clock that is passed to Step.
	StartedAt time.Duration
}

// Machine decides which calls are made. It is not safe for concurrent use.
type Machine struct{ cfg Config }

// New returns a machine that does not hold the lease.
func New(cfg Config) *Machine { return &Machine{cfg: cfg} }

// Step handles one event and returns the actions to perform.
func (m *Machine) Step(now time.Duration, ev Event) []Action { return nil }

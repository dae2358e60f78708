// Package lease holds a lease per service on two rows of the platform's table.
// It is a deterministic state machine without I/O: the caller feeds it events
// with the time on its own monotonic clock and performs the returned actions.
//
// A holder counts its lease from the instant at which it sent the last
// successful renewal. A contender waits until it has seen the row unchanged
// for the lease's length plus a margin on its own clock. No clock is compared
// between machines, so only the drift within one lease matters, and the margin
// covers it.
package lease

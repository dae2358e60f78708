// Package lease elects one entry instance per service by a lease in two rows of the
// platform's table, one for the lease and one for its epoch. The Machine is a
// deterministic state machine without I/O: the caller passes events and the time on its
// own monotonic clock, and performs the returned actions.
//
// A holder counts its lease from the time at which it sent the last successful renewal,
// less a margin. A contender acquires the lease after it has seen the lease row unchanged
// for the lease's length plus a margin on its own clock. Clocks of different machines are
// never compared, so only the drift during one lease matters, which the margin covers.
package lease

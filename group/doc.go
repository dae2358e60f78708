// Package group forms, repairs and stops the engine groups of one service. The
// Planner is a deterministic state machine without I/O: the holder of the
// service's lease passes events to it and performs the actions that it returns.
//
// Every command to an engine follows from a committed table row, and its
// fencing token is the version of that row. Versions grow over all rows, so a
// later assignment of an instance carries a higher token than any earlier one,
// also when another service made it. Lease epochs cannot serve as tokens,
// because the epochs of two services cannot be compared.
//
// A member is assigned to another group only after it has left its old group.
// The old group's row must say stopping, and the member must have acknowledged
// the release, report another group, have restarted, or have left the
// platform's instance list. A command that was not answered may still arrive: it
// may wait in the socket buffer of an unreachable member. So these facts count
// only after the member has been reachable without interruption for the longest
// time that a command can be in flight.
package group

// Package group plans and runs the groups of one service. It is a
// deterministic state machine without I/O: the lease holder of the service
// feeds it events and performs the returned actions.
//
// Every command to an engine follows from a committed table row, and its
// fencing token is the version of that row. Versions grow over all rows, so a
// later assignment of an instance carries a higher token than any earlier one,
// also when another service made it; lease epochs of two services cannot be
// compared.
//
// A member is given to another group only after its old group has stopped
// there: the row says stopping, and the member has acknowledged the release,
// reports another group, restarted, or left the platform's list. A command
// without an answer may still be under way, so none of these counts before the
// command's longest flight time has passed with the member reachable.
package group

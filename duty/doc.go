// Package duty decides which calls of the platform this entry instance makes while it holds the
// lease of the duties: reports of the requests of each client account in a usage window, and
// orders of the number of backend servers. The Machine is a deterministic state machine without
// I/O: the caller passes events and the time, and performs the returned actions.
//
// It answers failures of holders and calls: a holder that is killed, frozen or cut off between
// two calls, a call without an answer that is done seconds later, and a store that is restored
// from an older copy. Each call has a fencing token that no other holder has used. Two reports
// of a window never differ, because the counts are stored before they are sent; see usage.go. A
// duty does not return to an earlier holder within Config.HolderTime; see beginTerm.
package duty

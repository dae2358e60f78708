// Package claim implements at-most-once execution of non-idempotent requests,
// which are identified by an idempotency key. It consists of deterministic state
// machines without I/O: Machine handles one request, Batcher does group commit
// of row writes, a registry keeps the attempts of one incarnation (one run of an
// entry instance's process) in memory, Minter mints tickets and Sweeper finds
// expired rows. Package claim/runner executes their actions.
//
// A claim is a row in the store that names the attempt that owns a key. Exactly
// one attempt owns a key at a time. An attempt is dispatched only after the store
// has confirmed that the row names it. A request whose key is a ticket of this
// incarnation is dispatched without a row, because no other incarnation may run
// it. Another attempt may take over the row only after the owner's incarnation
// reported the attempt as abandoned, or wrote that state to the row.
package claim

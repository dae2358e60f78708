// Package claim decides how a non-idempotent request runs at most once. It
// holds deterministic state machines without I/O: Machine for one request,
// Batcher for group commit of row writes, Register for what one incarnation
// remembers of its attempts, Minter for tickets and Sweeper for old rows.
// Package claim/runner executes their actions.
//
// Exactly one attempt owns an idempotency key at a time: the one named in the
// key's row. An attempt dispatches only after it saw its own row, and loses the
// row only after its incarnation answered that it is abandoned or wrote so.
package claim

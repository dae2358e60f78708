// Package config spreads service documents and drain records over the entry
// instances.
//
// The Machine is deterministic: events and the time go in, actions come out.
// Each accepted edit takes the next revision of the head row, so a node that
// holds every revision up to some number knows that it misses nothing below
// it. Records only ever grow in revision: neither a stale read of the store nor
// an old push lowers anything.
package config

// Package config replicates service documents and drain records to all entry
// instances.
//
// The Machine is deterministic: its inputs are events and the time, its outputs
// are actions. Each accepted edit gets the next revision of the head row, so a
// node that holds every revision up to some number misses no edit below it. A
// record is only replaced by one with a higher revision, so neither a stale read
// of the store nor a late push reverts it.
package config

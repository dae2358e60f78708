// Package trace reads, records and replays traces of what a service saw:
// requests, load reports, cache events, loss and return of members, drains,
// store outages and edits. A replay feeds decision machines in the trace's own
// time and yields a decision log that is the same, byte for byte, each time.
// docs/trace-format.md describes the format.
package trace

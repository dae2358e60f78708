// Package trace records, reads and replays traces of the events at a service:
// requests, load reports, cache events, loss and return of members, drains,
// store outages and edits. A replay runs decision machines on the timestamps of
// the trace, independent of the wall clock, and writes a decision log that is
// byte for byte the same on each run. docs/trace-format.md describes the format.
package trace

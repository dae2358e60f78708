// Package membership detects failed entry instances with random probes and gossip,
// similar to SWIM. Each node sends a constant number of messages per second,
// independent of the number of nodes. The result is a hint: no safety property
// depends on it.
//
// The package is a deterministic state machine without I/O. The caller passes the
// time and the source of randomness.
package membership

// Package membership keeps an opinion on which entry instances are alive, by
// random probes in the manner of SWIM. Each node sends a constant number of
// messages per second, however many nodes there are. The result is a hint:
// nothing depends on it for safety.
//
// It is a deterministic state machine without I/O; time and randomness are
// passed in.
package membership

// Package check verifies a recorded history against the ten promises of
// docs/design.md. A history consists of observations by callers, backend servers,
// order systems, the store and operators. They are made from outside, without
// access to internal state. All times must come from the same clock.
package check

// Package check decides whether a history breaks one of the ten promises of
// docs/design.md. A history holds what callers, backend servers, order systems,
// the store and operators saw from outside; no part of the system itself is
// asked. All times are readings of one clock.
package check

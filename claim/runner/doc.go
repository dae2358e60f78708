// Package runner runs non-idempotent requests. It executes the actions of the
// state machines in package claim: it accesses the table service and the object
// store, queries peers and dispatches requests to backend servers.
package runner

// Package runner executes the actions of package claim against the table, the
// object store, the peers and the backend servers.
package runner

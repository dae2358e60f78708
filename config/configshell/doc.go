// Package configshell connects the configuration machine to the platform's
// table and to the peers.
package configshell

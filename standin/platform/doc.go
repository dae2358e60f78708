// Package platform is a stand-in for the platform's services: the transactional
// table, the object store, the lagging instance list and the rate-limited
// weight store. It keeps everything in memory and speaks the protocol of
// package github.com/bulrushfall/bulrushfall/platform, with faults that a test
// switches on and off.
package platform

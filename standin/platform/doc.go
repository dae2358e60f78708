// Package platform simulates the platform's services: the transactional table, the
// object store, the instance list, which shows changes after a delay, and the
// rate-limited weight store. It keeps all data in memory and speaks the protocol of
// package github.com/bulrushfall/bulrushfall/platform. A test can inject faults at
// run time.
package platform

// Package integration holds tests that run the real daemon and the stand-ins
// as processes on loopback, inject faults, and verify the system's guarantees
// with package check, from the requests and records of each test.
package integration

// Package integration holds tests that run the real daemon and the stand-ins
// as processes on loopback, injure them, and judge the promises from outside
// with package check.
package integration

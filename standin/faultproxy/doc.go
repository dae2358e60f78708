// Package faultproxy forwards TCP and UDP traffic between loopback addresses
// and injects faults on command: latency, loss, one-way drops, established
// connections that go silent while new ones work, slow draining and cuts,
// also of one direction, between named groups of processes. Counters show that a fault really
// happened. Faults count events instead of drawing random numbers, so that a
// test sees the same fault each time.
package faultproxy
